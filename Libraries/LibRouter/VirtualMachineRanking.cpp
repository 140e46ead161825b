// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <LibDecision/CellMap.h>
#include <LibRouter/VirtualMachineRanking.h>
#include <algorithm>
#include <utility>

namespace Spurtide {

std::string VirtualMachineRanking::endpoint_of(std::string const& virtual_machine) const
{
    if (virtual_machine == this->kernel.virtual_machine())
        return this->kernel.endpoint();
    return this->kernel.directory().resolve_on(virtual_machine, PLACEMENT_SERVICE).value_or("");
}

std::vector<std::string> VirtualMachineRanking::ranked_names(std::string_view key) const
{
    auto const now = monotonic_now();
    auto const confinement = this->hooks.partition_members();
    auto const responsive = [&](std::string_view service) {
        auto found = this->kernel.directory().virtual_machines_with(service);
        if (confinement)
            std::erase_if(found, [&](auto const& name) { return std::find(confinement->begin(), confinement->end(), name) == confinement->end(); });
        std::erase_if(found, [&](auto const& name) {
            auto const exclusion = this->excluded_until.find(name);
            return exclusion != this->excluded_until.end() && now < exclusion->second;
        });
        return found;
    };
    auto found = responsive(STRONG_PLACEMENT_SERVICE);
    if (found.empty())
        found = responsive(PLACEMENT_SERVICE);
    // Requests of hundreds of VMs ask for rankings, and most of the time would go into scores that are computed for each comparison.
    std::vector<std::pair<std::uint64_t, std::string>> scored;
    scored.reserve(found.size());
    for (auto& name : found) {
        auto const score = rendezvous_score(key, name);
        scored.emplace_back(score, std::move(name));
    }
    std::sort(scored.begin(), scored.end(), [](auto const& a, auto const& b) { return a.first > b.first; });
    std::transform(scored.begin(), scored.end(), found.begin(), [](auto& entry) { return std::move(entry.second); });
    return found;
}

std::string VirtualMachineRanking::first_endpoint(std::string_view key) const
{
    auto const ranked = this->ranked_names(key);
    return ranked.empty() ? this->kernel.endpoint() : this->endpoint_of(ranked.front());
}

bool VirtualMachineRanking::is_own(std::string_view key) const { return this->first_endpoint(key) == this->kernel.endpoint(); }

void VirtualMachineRanking::note_unresponsive(std::string const& virtual_machine)
{
    this->excluded_until[virtual_machine] = monotonic_now() + this->suspicion;
}

}
