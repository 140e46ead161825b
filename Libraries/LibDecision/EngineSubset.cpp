// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/EngineSubset.h>
#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace Spurtide {

namespace {

/// Enough to include every engine of any deployment.
constexpr std::size_t MAXIMUM_DOUBLINGS = 16;

struct Ranked {
    std::uint64_t rank = 0;
    std::size_t index = 0;
};

}

void EngineSubset::grow(std::string_view model)
{
    auto& count = this->doublings.try_emplace(std::string(model), 0).first->second;
    count = std::min(count + 1, MAXIMUM_DOUBLINGS);
}

std::vector<std::size_t> EngineSubset::choose(std::span<SubsetCandidate const> candidates)
{
    struct Group {
        std::string_view model;
        std::string_view data_centre;
        std::string_view software_version;
        auto operator<=>(Group const&) const = default;
    };
    std::map<Group, std::vector<Ranked>> groups;
    std::vector<std::size_t> chosen;
    std::set<std::string, std::less<>> still_pinned;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        auto const& candidate = candidates[i];
        groups[{ candidate.model, candidate.data_centre, candidate.software_version }].push_back({ XXH3_64bits(candidate.identity.data(), candidate.identity.size()), i });
        if (this->is_pinned(candidate.identity)) {
            still_pinned.emplace(candidate.identity);
            chosen.push_back(i);
        }
    }
    this->pinned = std::move(still_pinned);
    this->partial_models.clear();
    for (auto& [key, group] : groups) {
        auto const found = this->doublings.find(key.model);
        auto const wanted = this->options.engines_per_data_centre << (found == this->doublings.end() ? 0 : found->second);
        std::sort(group.begin(), group.end(), [](auto const& a, auto const& b) { return std::pair(a.rank, a.index) < std::pair(b.rank, b.index); });
        std::size_t serving = 0;
        for (auto const& ranked : group) {
            auto const& candidate = candidates[ranked.index];
            if (serving >= wanted) {
                if (!this->is_pinned(candidate.identity))
                    this->partial_models.emplace(candidate.model);
                continue;
            }
            serving += candidate.life == SubsetCandidate::Life::Serving ? 1 : 0;
            if (!this->is_pinned(candidate.identity))
                chosen.push_back(ranked.index);
        }
    }
    std::sort(chosen.begin(), chosen.end());
    return chosen;
}

}
