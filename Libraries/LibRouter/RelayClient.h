// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibDecision/RelaySelector.h>
#include <LibRouter/RelayProtocol.h>
#include <LibWire/Kernel.h>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Spurtide {

/// Finds the VMs that offer to relay requests, and asks them to. Only accessed from the event loop's thread.
class RelayClient {
public:
    struct Options {
        RelaySelector::Options selector {};
        /// Timeout for a relay's answer to a probe: two connection attempts of its own plus a round trip between data centres.
        Duration probe_timeout = milliseconds(600);
    };

    struct Hooks {
        /// A VM's data centre; empty if unknown.
        std::function<std::string(MemberRecord const&)> data_centre_of;
        /// A data centre's region; empty if unknown.
        std::function<std::string(std::string_view data_centre)> region_of;
        /// Whether any other VM was heard recently. Without it, a VM that is cut off from everything would try each of them in vain.
        std::function<bool()> has_company;
    };

    RelayClient(Options options, Kernel& kernel, std::string own_data_centre, Hooks hooks);

    /// The service by which VMs announce that they relay, and where.
    static constexpr std::string_view SERVICE = "relay";
    /// The announcement of a VM that takes relayed requests at the address.
    static ServiceEndpoint announcement(Address const& address, std::string const& incarnation);

    /// Whether any VM may relay a request now.
    bool is_available(MonotonicTime now);
    /// Selects a VM that may relay the request; empty if there is none.
    std::optional<RelayCandidate> choose(MonotonicTime now, RelaySelector::Filter const& may_use);
    /// Shared with the requests in flight, which may outlive the client at shutdown.
    std::shared_ptr<RelaySelector> const& selector() const { return this->relays; }

    /// Asks another VM whether it can connect to the upstream; empty if none answers.
    asio::awaitable<std::optional<RelayOutcome>> probe(ConnectionPool& pool, std::string upstream);

private:
    asio::awaitable<std::optional<RelayOutcome>> probe_through(ConnectionPool& pool, RelayCandidate relay, std::string upstream);
    void update_candidates();

    Options options;
    Kernel& kernel;
    Hooks hooks;
    std::shared_ptr<RelaySelector> relays;
    /// Version of the directory that the candidates were read from.
    std::int64_t directory_version = -1;
};

}
