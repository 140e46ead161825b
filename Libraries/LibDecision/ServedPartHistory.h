// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <LibDecision/PromptPart.h>
#include <cstddef>
#include <deque>
#include <list>
#include <map>
#include <optional>

namespace Spurtide {

/// When this VM last served an answer to a prompt with a part. Bounded: the parts served longest ago are forgotten first.
class ServedPartHistory {
public:
    struct Options {
        Duration retention = seconds(3600);
        /// About 120 bytes per part.
        std::size_t capacity = 8192;
        /// Answers whose times are kept. More are never needed to tell whether an upstream serves other prompts.
        std::size_t kept_answers = 16;
    };

    explicit ServedPartHistory(Options options)
        : options(options)
    {
    }

    void note_served(PromptParts const& parts, MonotonicTime now);
    std::optional<MonotonicTime> last_served(PromptPart part, MonotonicTime now) const;
    /// The number of answers served since then, up to the number that is kept.
    std::size_t answers_since(MonotonicTime since) const;
    std::size_t size() const { return this->entries.size(); }

private:
    struct Served {
        PromptPart part;
        MonotonicTime at;
    };

    Options options;
    /// Least recently served first.
    std::list<Served> order;
    std::map<PromptPart, std::list<Served>::iterator> entries;
    std::deque<MonotonicTime> answers;
};

}
