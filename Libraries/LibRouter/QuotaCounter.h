// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibAccounts/QuotaLedger.h>
#include <LibDecision/RouteTable.h>
#include <LibRouter/KeeperRanking.h>
#include <LibWire/Kernel.h>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Spurtide {

constexpr std::string_view QUOTA_SERVICE = "quota";

/// Hosts the service that counts accounts against their limits. Every VM hosts one; each account is counted by the VM
/// that the ranking names first for it, so the work is spread over those that can keep things for all. Exact while
/// that VM is agreed on. Where it is not, what is given out stays inside the limit by parts:
/// - A VM that is asked and is not the first by its own ranking stands in with a quarter of the limit: the one before
///   it may count as well, until all have heard that it is gone.
/// - Whoever counts gives out the part of the limit that its reachable VMs are of all, so data centres that are cut off
///   from each other stay inside the limit together. VMs that left as planned are not missed.
/// - A VM that reaches none of them counts for itself, with one VM's part.
class QuotaCounter {
public:
    /// VMs as this one sees them.
    struct VirtualMachines {
        /// Those that answer, this one among them.
        std::size_t live = 1;
        /// Those that were lost without leaving.
        std::size_t lost = 0;
        /// Of those that answer, the ones that started within the window and may have forgotten what they used.
        std::size_t young = 0;
    };

    struct Hooks {
        std::function<std::shared_ptr<RouteTable const>()> routes;
        /// Whether this VM has met most of the others since its start.
        std::function<bool()> is_settled = [] { return true; };
        std::function<VirtualMachines()> virtual_machines = [] { return VirtualMachines {}; };
    };

    enum class Standing {
        /// By the ranking, first or standing in.
        Ranked,
        /// Nobody else answered.
        Alone,
    };

    QuotaCounter(QuotaLedger::Options options, Kernel& kernel, KeeperRanking& ranking, Hooks hooks);

    /// Makes the service known. Call before the kernel starts.
    void host();
    void retain(AccountBook const& book) { this->ledger.retain(book); }

    bool is_settled() const { return this->hooks.is_settled(); }
    /// Empty where the configuration here has no such limit, or this VM has not met the others yet: it would count beside
    /// the one that does.
    std::optional<QuotaLedger::Answer> take(std::string const& account, QuotaLedger::Ask const& ask, Standing standing);
    void give_back(std::string const& account, double amount);

private:
    void answer(wire::Envelope const& request, Kernel::Responder const& respond);
    QuotaLedger::Share share_of(std::string const& account, Standing standing) const;

    QuotaLedger ledger;
    Kernel& kernel;
    KeeperRanking& ranking;
    Hooks hooks;
};

}
