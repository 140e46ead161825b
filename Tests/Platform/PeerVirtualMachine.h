// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Clock.h>
#include <Services/ConfigServer/MembershipService.h>
#include <Tests/Platform/NodeUnderTest.h>
#include <Tests/Support/LoopKernel.h>
#include <memory>
#include <string>

namespace Spurtide::Tests {

/// Another VM beside the node, as far as membership goes. It has a loop of its own, and is silent while that is not run.
class PeerVirtualMachine {
public:
    /// With a handler, it may be the keeper of the engines, and answers with it those that ask for placements. With a second
    /// one it answers those that ask for permits for plain calls.
    PeerVirtualMachine(NodeUnderTest& test, std::string const& name, Kernel::Handler placement = {}, Kernel::Handler const& call_admission = {})
        : kernel(make_loop_kernel(this->loop, name))
    {
        MembershipService::Options options;
        options.virtual_machine = name;
        options.seeds = { "tcp://" + test.node->wire_address() };
        options.heartbeat_interval = milliseconds(500);
        this->membership = std::make_unique<MembershipService>(
            options, *this->kernel, [] { return 0; }, [](auto const&, auto) {});
        this->membership->set_evacuation_hooks([this]() -> EvacuationTable const& { return this->evacuations; }, [this](auto const& news) { this->evacuations.merge(news, monotonic_now()); });
        this->kernel->host("directory", [this](wire::Envelope const& request, Kernel::Responder const& respond) {
            if (request.has_heartbeat())
                this->membership->handle_heartbeat(request.heartbeat(), respond);
            else if (request.has_member_records())
                this->membership->handle_records(request.member_records(), respond);
        });
        if (placement)
            this->kernel->host("placement-strong", placement);
        if (call_admission)
            this->kernel->host("call-admission", call_admission);
        Kernel::Handler const silent = [](wire::Envelope const&, Kernel::Responder const&) {};
        this->kernel->host("placement", placement ? placement : silent);
        this->kernel->start();
        this->membership->start();
    }

    // Probes that still wait report to the membership.
    ~PeerVirtualMachine() { this->kernel->stop(); }
    PeerVirtualMachine(PeerVirtualMachine const&) = delete;
    PeerVirtualMachine& operator=(PeerVirtualMachine const&) = delete;

    /// What this VM tells with its heartbeats, and has heard.
    EvacuationTable evacuations { EvacuationTable::Options {} };
    void run() { this->loop.run_for(std::chrono::milliseconds(2)); }

    /// Runs both until the node counts this one as alive.
    bool is_seen_by(NodeUnderTest& test)
    {
        return test.run_until([&] {
            this->loop.run_for(std::chrono::milliseconds(2));
            return counts_virtual_machines(test, 2);
        });
    }
    /// Runs the node alone until it counts this one as alive no more.
    static bool is_lost_by(NodeUnderTest& test)
    {
        return test.run_until([&] { return counts_virtual_machines(test, 1); });
    }

private:
    static bool counts_virtual_machines(NodeUnderTest& test, int count)
    {
        auto const metrics = test.call(test.node->operations_address(), test.request("GET", "/metrics", "m"));
        return metrics.body.find("spurtide_live_vms " + std::to_string(count) + "\n") != std::string::npos;
    }

    asio::io_context loop { 1 };
    std::unique_ptr<Kernel> kernel;
    std::unique_ptr<MembershipService> membership;
};

}
