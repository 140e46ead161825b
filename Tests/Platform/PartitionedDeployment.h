// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Clock.h>
#include <Tests/Platform/NodeUnderTest.h>
#include <Tests/Platform/OtherVirtualMachine.h>
#include <Tests/Platform/UpstreamPath.h>
#include <memory>
#include <string>
#include <vector>

namespace Spurtide::Tests {

/// Several VMs before common upstreams, of which single VMs may be partitioned. The node of the test is "vm-1".
class PartitionedDeployment : public NodeUnderTest {
public:
    /// Callers notice a partition only for so long.
    static constexpr Duration DETECTION_TIME = seconds(3);

    explicit PartitionedDeployment(std::function<void(NodeSettings&)> const& change = {})
        : NodeUnderTest(change)
    {
        this->beside = [this] {
            for (auto const& path : this->paths)
                path->poll();
        };
    }
    ~PartitionedDeployment()
    {
        while (!this->others.empty())
            this->others.pop_back();
    }
    PartitionedDeployment(PartitionedDeployment const&) = delete;
    PartitionedDeployment& operator=(PartitionedDeployment const&) = delete;

    UpstreamStandIn& add_upstream(std::string const& identity, std::string const& service, std::string const& phase = "", std::string const& data_centre = "dc")
    {
        auto& upstream = *this->upstreams.emplace_back(std::make_unique<UpstreamStandIn>(this->loop, identity, phase));
        upstream.data_centre = data_centre;
        auto& path = *this->paths.emplace_back(std::make_unique<UpstreamPath>(upstream.address()));
        path.begin_turn("vm-1");
        upstream.listed_address = path.address();
        this->list(upstream, service);
        return upstream;
    }

    OtherVirtualMachine& add_virtual_machine(std::string const& name, std::string const& data_centre = "dc")
    {
        auto const change = [data_centre](NodeSettings& settings) { settings.data_centre = data_centre; };
        VirtualMachineTurns turns;
        turns.before = [this, name] { this->begin_turn(name); };
        turns.after = [this] { this->begin_turn("vm-1"); };
        return *this->others.emplace_back(std::make_unique<OtherVirtualMachine>(*this, std::vector<std::string> { this->node->wire_address() }, change, name, std::move(turns)));
    }

    /// Ends the VM that was added last, like a killed process.
    void kill_last() { this->others.pop_back(); }

    void set_condition(std::string const& virtual_machine, UpstreamPath::Condition condition)
    {
        for (auto const& path : this->paths)
            path->set_condition(virtual_machine, condition);
    }

    /// Lets a VM serve callers for as long as a partition may go unnoticed, and returns how many of its requests were served.
    int serve_for(Duration duration, Address const& address, std::string const& target)
    {
        int served = 0;
        auto const until = monotonic_now() + duration;
        while (monotonic_now() < until) {
            served += this->call_once(address, target).head.status == 200 ? 1 : 0;
            this->wait(milliseconds(100));
        }
        return served;
    }

    CallerAnswer call_once(Address const& address, std::string const& target)
    {
        return this->call(address, this->request_for(target, "r" + std::to_string(++this->calls)));
    }

    /// A request of the kind that the target's route takes.
    HttpRequest request_for(std::string const& target, std::string const& identifier)
    {
        bool const is_model_request = target.starts_with("/stream/") || target.starts_with("/resumable/");
        return is_model_request ? this->model_request(target, identifier) : this->request("POST", target, identifier);
    }

    void wait(Duration duration)
    {
        auto const until = monotonic_now() + duration;
        this->run_until([&] { return monotonic_now() >= until; });
    }

    /// The most often that one request was run, over all upstreams.
    int most_runs() const
    {
        std::map<std::string, int> runs;
        int most = 0;
        for (auto const& upstream : this->upstreams) {
            for (auto const& request : upstream->run)
                most = std::max(most, ++runs[request]);
        }
        return most;
    }

    std::vector<std::unique_ptr<UpstreamStandIn>> upstreams;
    std::vector<std::unique_ptr<UpstreamPath>> paths;
    std::vector<std::unique_ptr<OtherVirtualMachine>> others;

private:
    void begin_turn(std::string const& virtual_machine)
    {
        for (auto const& path : this->paths)
            path->begin_turn(virtual_machine);
    }

    int calls = 0;
};

}
