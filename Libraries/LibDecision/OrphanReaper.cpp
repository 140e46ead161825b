// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/OrphanReaper.h>
#include <set>

namespace Spurtide {

OrphanReaper::Findings OrphanReaper::observe(std::string_view engine, std::span<HeldWork const> held, std::function<bool(std::string_view origin)> const& is_alive, MonotonicTime now)
{
    Findings findings;
    std::set<std::string_view> names;
    for (auto const& work : held) {
        names.insert(work.request);
        auto& watch = this->watches.try_emplace(Key { std::string(engine), work.request }, Watch { now, {}, {}, false }).first->second;
        if (watch.disowned) {
            findings.cancellations.push_back({ std::string(engine), work.request, "disowned" });
            continue;
        }
        if (is_alive(work.origin)) {
            watch.orphaned_since.reset();
            bool const is_due = now - watch.first_seen >= this->options.question_delay;
            bool const is_waiting = watch.asked_at && now - *watch.asked_at < this->options.question_interval;
            if (is_due && !is_waiting) {
                watch.asked_at = now;
                findings.questions.push_back({ work.origin, std::string(engine), work.request });
            }
            continue;
        }
        if (work.reader == HeldWork::Reader::Attached) {
            watch.orphaned_since.reset();
            continue;
        }
        if (!watch.orphaned_since)
            watch.orphaned_since = now;
        if (now - *watch.orphaned_since >= this->options.dead_origin_grace)
            findings.cancellations.push_back({ std::string(engine), work.request, "origin_dead" });
    }
    std::erase_if(this->watches, [&](auto const& entry) { return entry.first.engine == engine && !names.contains(entry.first.request); });
    return findings;
}

void OrphanReaper::note_disowned(std::string_view engine, std::string_view request)
{
    auto const found = this->watches.find(Key { std::string(engine), std::string(request) });
    if (found != this->watches.end())
        found->second.disowned = true;
}

}
