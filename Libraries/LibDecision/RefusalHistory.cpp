// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/RefusalHistory.h>
#include <array>
#include <xxhash.h>

namespace Spurtide {

namespace {

std::uint64_t traits_hash(RequestTraits const& traits)
{
    auto const text_hash = [](std::string_view text) { return XXH3_64bits(text.data(), text.size()); };
    std::array<std::uint64_t, 6> const parts {
        text_hash(traits.account),
        text_hash(traits.model),
        text_hash(traits.own_part),
        static_cast<std::uint64_t>(traits.prompt_tokens),
        static_cast<std::uint64_t>(traits.maximum_output_tokens),
        static_cast<std::uint64_t>(traits.expected_output_tokens),
    };
    return XXH3_64bits(parts.data(), sizeof(parts));
}

}

void RefusalHistory::note_refused(RequestTraits const& traits, MonotonicTime first_token_deadline, MonotonicTime retry_until)
{
    this->refused.emplace(traits_hash(traits), Refused { first_token_deadline, retry_until });
}

std::optional<MonotonicTime> RefusalHistory::take_matching_refusal(RequestTraits const& traits, MonotonicTime now)
{
    auto const [from, to] = this->refused.equal_range(traits_hash(traits));
    for (auto found = from; found != to; ++found) {
        if (now > found->second.retry_until)
            continue;
        auto const deadline = found->second.first_token_deadline;
        this->refused.erase(found);
        return deadline;
    }
    return {};
}

void RefusalHistory::remove_expired(MonotonicTime now)
{
    std::erase_if(this->refused, [&](auto const& entry) { return now > entry.second.retry_until; });
}

}
