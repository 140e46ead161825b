// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibDecision/MembershipTable.h>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Spurtide {

/// A process's copy of which services the data centre's VMs host. Safe to use from any thread.
class ServiceDirectory {
public:
    explicit ServiceDirectory(std::string virtual_machine);

    /// Replaces the copy with a newer view.
    void replace(std::int64_t version, std::int64_t configuration_generation, std::vector<MemberRecord> members, std::vector<std::string> leaving_machines);
    void note_generation(std::int64_t configuration_generation);

    std::int64_t version() const;
    std::int64_t configuration_generation() const;

    /// Endpoints of a service: this VM's first, then the peers' that are not leaving.
    std::vector<std::string> resolve(std::string_view service) const;
    std::optional<std::string> resolve_on(std::string_view virtual_machine, std::string_view service) const;
    /// Where the process of that incarnation listens, while its VM is not dead.
    std::optional<std::string> find_incarnation(std::string_view incarnation) const;
    /// Machines that the platform's list says are leaving; a hint that lags.
    std::vector<std::string> leaving_machines() const;
    void set_leaving_machines(std::vector<std::string> machines);

    /// VMs that host a service and are alive. A suspect VM is left out: its cells move at once, since two
    /// keepers for a moment cost efficiency and not safety.
    std::vector<std::string> virtual_machines_with(std::string_view service) const;
    std::vector<MemberRecord> members() const;

private:
    std::string own_virtual_machine;
    mutable std::mutex mutex;
    std::int64_t current_version = 0;
    std::int64_t current_generation = 0;
    std::vector<MemberRecord> current_members;
    std::vector<std::string> current_leaving_machines;
};

}
