// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/CellMap.h>
#include <LibDecision/StreamOriginReplicas.h>
#include <algorithm>
#include <xxhash.h>

namespace Spurtide {

namespace {

using Member = StreamOriginReplicas::Member;

constexpr std::uint64_t SHARDS = 16;
constexpr std::size_t CANDIDATES_IN_OWN_DATA_CENTRE = 6;
constexpr std::size_t CANDIDATES_IN_OTHER_DATA_CENTRES = 2;
constexpr std::string_view RECORDER = "stream-origin-recorder";

std::string shard_of(std::string_view request) { return "stream-origin/" + std::to_string(XXH3_64bits(request.data(), request.size()) % SHARDS); }

bool is_serving(Member const& member) { return member.life == Member::Life::Serving; }

/// Leaving VMs still answer, but hold no new copies.
enum class LeavingMembers {
    Included,
    Excluded,
};

void add_first_ranked(std::vector<Member> const& data_centre, std::string_view shard, std::size_t count, LeavingMembers leaving, std::vector<Member>& selected)
{
    struct Ranked {
        std::uint64_t score = 0;
        Member const* member = nullptr;
    };
    std::vector<Ranked> ranking;
    for (auto const& member : data_centre) {
        if (leaving == LeavingMembers::Included || is_serving(member))
            ranking.push_back({ rendezvous_score(shard, member.virtual_machine), &member });
    }
    auto const end = ranking.begin() + static_cast<std::ptrdiff_t>(std::min(count, ranking.size()));
    std::partial_sort(ranking.begin(), end, ranking.end(), [](auto const& a, auto const& b) { return a.score > b.score; });
    std::for_each(ranking.begin(), end, [&](auto const& ranked) { selected.push_back(*ranked.member); });
}

}

void StreamOriginReplicas::set_members(std::vector<Member> alive)
{
    this->members.clear();
    for (auto& member : alive) {
        if (member.virtual_machine != this->virtual_machine)
            this->members[member.data_centre].push_back(std::move(member));
    }
}

StreamOriginReplicas::DataCentre const* StreamOriginReplicas::backup_data_centre() const
{
    DataCentre const* best = nullptr;
    std::uint64_t best_score = 0;
    for (auto const& [name, members_there] : this->members) {
        auto const score = rendezvous_score(this->data_centre, name);
        bool const is_usable = name != this->data_centre && std::any_of(members_there.begin(), members_there.end(), is_serving);
        if (!is_usable || (best && score <= best_score))
            continue;
        best = &members_there;
        best_score = score;
    }
    return best;
}

std::vector<Member> StreamOriginReplicas::holders(std::string_view request) const
{
    auto const shard = shard_of(request);
    std::vector<Member> selected;
    auto const own = this->members.find(this->data_centre);
    if (own != this->members.end())
        add_first_ranked(own->second, shard, 1, LeavingMembers::Excluded, selected);
    if (auto const* backup = this->backup_data_centre())
        add_first_ranked(*backup, shard, 1, LeavingMembers::Excluded, selected);
    return selected;
}

std::vector<Member> StreamOriginReplicas::candidates(std::string_view request) const
{
    auto const shard = shard_of(request);
    std::vector<Member> selected;
    for (auto const& [name, members_there] : this->members) {
        auto const count = name == this->data_centre ? CANDIDATES_IN_OWN_DATA_CENTRE : CANDIDATES_IN_OTHER_DATA_CENTRES;
        add_first_ranked(members_there, shard, count, LeavingMembers::Included, selected);
    }
    return selected;
}

std::optional<Member> StreamOriginReplicas::recorder() const
{
    std::vector<Member> first;
    auto const own = this->members.find(this->data_centre);
    if (own != this->members.end())
        add_first_ranked(own->second, RECORDER, 1, LeavingMembers::Excluded, first);
    bool const is_other = !first.empty() && rendezvous_score(RECORDER, first.front().virtual_machine) > rendezvous_score(RECORDER, this->virtual_machine);
    return is_other ? std::optional(first.front()) : std::nullopt;
}

}
