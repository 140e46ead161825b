// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <LibDecision/CellMap.h>
#include <LibRouter/VirtualMachineRanking.h>
#include <algorithm>

namespace Spurtide {

std::string VirtualMachineRanking::endpoint_of(std::string const& virtual_machine) const
{
    if (virtual_machine == this->kernel.virtual_machine())
        return this->kernel.endpoint();
    return this->kernel.directory().resolve_on(virtual_machine, PLACEMENT_SERVICE).value_or("");
}

std::vector<std::string> VirtualMachineRanking::names(std::string_view key) const
{
    auto const now = monotonic_now();
    auto const confined = this->hooks.confined_to();
    auto const answering = [&](std::string_view service) {
        auto found = this->kernel.directory().virtual_machines_with(service);
        if (confined)
            std::erase_if(found, [&](auto const& name) { return std::find(confined->begin(), confined->end(), name) == confined->end(); });
        std::erase_if(found, [&](auto const& name) {
            auto const silent = this->silent_until.find(name);
            return silent != this->silent_until.end() && now < silent->second;
        });
        return found;
    };
    auto found = answering(STRONG_PLACEMENT_SERVICE);
    if (found.empty())
        found = answering(PLACEMENT_SERVICE);
    std::sort(found.begin(), found.end(), [&](auto const& a, auto const& b) { return rendezvous_score(key, a) > rendezvous_score(key, b); });
    return found;
}

std::string VirtualMachineRanking::present_endpoint(std::string_view key) const
{
    auto const ranked = this->names(key);
    return ranked.empty() ? this->kernel.endpoint() : this->endpoint_of(ranked.front());
}

bool VirtualMachineRanking::is_own(std::string_view key) const { return this->present_endpoint(key) == this->kernel.endpoint(); }

void VirtualMachineRanking::note_silent(std::string const& virtual_machine)
{
    this->silent_until[virtual_machine] = monotonic_now() + this->suspicion;
}

}
