// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibDecision/EnginePace.h>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace Spurtide {

/// The measured paces of the engines of all models. An engine keeps its pace while it has another role and while it is not
/// listed, for a limited time.
class EnginePaceTable {
public:
    void add(std::string_view engine, std::string_view model, std::int64_t tokens, Duration time, MonotonicTime now);
    /// Empty if the engine has not been measured.
    std::optional<Duration> of_engine(std::string_view engine) const;
    /// The median of the model's measured engines; empty if none has been measured.
    std::optional<Duration> of_model(std::string_view model) const;
    /// Forgets engines that are not among the given ones and have not been measured lately.
    void forget_missing(std::set<std::string_view> const& listed, MonotonicTime now);

private:
    /// Covers a restart, which takes some 10 s, and a longer stay outside of a keeper's subset.
    static constexpr Duration RETENTION = seconds(600);

    struct Entry {
        std::string model;
        EnginePace pace;
        Duration estimate {};
        MonotonicTime measured_at;
    };

    void update_model(std::string_view model);

    std::map<std::string, Entry, std::less<>> entries;
    std::map<std::string, Duration, std::less<>> medians;
};

}
