// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibAccounts/QuotaLedger.h>
#include <LibDecision/RouteTable.h>
#include <LibRouter/VirtualMachineRanking.h>
#include <LibWire/Kernel.h>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Spurtide {

constexpr std::string_view QUOTA_SERVICE = "quota";

/// Hosts the service that counts accounts against their limits. All VMs host it; the first VM in an account's ranking counts
/// the account, which spreads the work over the eligible VMs. Counting is exact while all VMs agree on the ranking. While they
/// disagree, partial limits keep the total within the limit:
/// - A VM that is asked but is not first in its own ranking grants up to a quarter of the limit, since the VM before it may
///   still be counting until all VMs know that it is gone.
/// - A counting VM grants the fraction of the limit that corresponds to the fraction of VMs that it can reach, so that data
///   centres that are partitioned from each other stay within the limit together. VMs that left in a planned way do not count
///   as unreachable.
/// - A VM that reaches no counting VM counts for itself, with the share of one VM.
class QuotaCounter {
public:
    /// The numbers of VMs as seen by this one.
    struct MembershipCounts {
        /// VMs that answer, including this one.
        std::size_t live = 1;
        /// VMs that disappeared without leaving.
        std::size_t lost = 0;
        /// Live VMs that started within the quota window and may have lost their usage records.
        std::size_t recently_started = 0;
    };

    struct Hooks {
        std::function<std::shared_ptr<RouteTable const>()> routes;
        /// Whether this VM has discovered most of the others since its start.
        std::function<bool()> is_settled = [] { return true; };
        std::function<MembershipCounts()> virtual_machines = [] { return MembershipCounts {}; };
    };

    enum class Mode {
        /// Chosen by the ranking, as the first VM or as a fallback.
        Ranked,
        /// No other VM answered.
        Alone,
    };

    QuotaCounter(QuotaLedger::Options options, Kernel& kernel, VirtualMachineRanking& ranking, Hooks hooks);

    /// Registers the service. Call before the kernel starts.
    void host();
    void retain(AccountBook const& book) { this->ledger.retain(book); }

    bool is_settled() const { return this->hooks.is_settled(); }
    /// Empty if the local configuration has no limit for the account, or if this VM has not yet discovered the others and might
    /// count in parallel with another VM.
    std::optional<QuotaLedger::Answer> grant(std::string const& account, QuotaLedger::Ask const& ask, Mode mode);
    void return_credit(std::string const& account, double amount);

private:
    void handle_request(wire::Envelope const& request, Kernel::Responder const& respond);
    QuotaLedger::Share share_of(std::string const& account, Mode mode) const;

    QuotaLedger ledger;
    Kernel& kernel;
    VirtualMachineRanking& ranking;
    Hooks hooks;
};

}
