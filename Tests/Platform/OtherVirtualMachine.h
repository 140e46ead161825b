// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <Tests/Platform/NodeUnderTest.h>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Spurtide::Tests {

/// Called around each turn of a VM's loop.
struct VirtualMachineTurns {
    std::function<void()> before = [] {};
    std::function<void()> after = [] {};
};

/// Another VM with the same store and upstreams, on a loop of its own. Its end is that of a killed process: nobody hears a
/// word, and nothing is kept.
class OtherVirtualMachine {
public:
    /// Waits until it is ready and sees those that it was told of and is to meet.
    OtherVirtualMachine(NodeUnderTest& test, std::vector<std::string> seeds, std::function<void(NodeSettings&)> const& change = {}, std::string name = "vm-2", VirtualMachineTurns turns = {})
        : test(test)
        , before(test.beside)
        , turns(std::move(turns))
    {
        NodeSettings settings;
        settings.virtual_machine = std::move(name);
        settings.data_centre = "dc";
        settings.caller_address = settings.operations_address = settings.wire_address = { "127.0.0.1", 0 };
        settings.relay_address = Address { "127.0.0.1", 0 };
        settings.registry_address = test.store.address();
        settings.seeds = std::move(seeds);
        if (change)
            change(settings);
        PlatformRegistry::Options options;
        options.address = settings.registry_address;
        this->registry = std::make_unique<PlatformRegistry>(options);
        this->node = Node::create(this->loop, settings, { this->dialect, *this->registry, *this->registry, *this->registry, *this->registry, "/v1/readyz" }).release_value();
        test.beside = [this] {
            this->before();
            this->turns.before();
            this->loop.run_for(std::chrono::milliseconds(2));
            this->turns.after();
        };
        auto const live = settings.seeds.empty() ? 1 : 2;
        REQUIRE(test.run_until([&] { return this->node->is_ready() && this->live_virtual_machines() >= live; }));
    }
    ~OtherVirtualMachine()
    {
        this->test.beside = this->before;
        this->loop.stop();
    }
    OtherVirtualMachine(OtherVirtualMachine const&) = delete;
    OtherVirtualMachine& operator=(OtherVirtualMachine const&) = delete;

    CallerAnswer call(HttpRequest request) { return this->test.call(this->node->caller_address(), std::move(request)); }
    Address const& caller_address() const { return this->node->caller_address(); }
    Address const& operations_address() const { return this->node->operations_address(); }
    std::string wire_address() const { return this->node->wire_address(); }

private:
    int live_virtual_machines()
    {
        auto const metrics = this->test.call(this->node->operations_address(), this->test.request("GET", "/metrics", "m"));
        constexpr std::string_view NAME = "spurtide_live_vms ";
        auto const line = metrics.body.find("\n" + std::string(NAME));
        return line == std::string::npos ? 0 : std::stoi(metrics.body.substr(line + 1 + NAME.size()));
    }

    NodeUnderTest& test;
    std::function<void()> before;
    VirtualMachineTurns turns;
    asio::io_context loop { 1 };
    PlatformDialect dialect;
    std::unique_ptr<Node> node;
    std::unique_ptr<PlatformRegistry> registry;
};

}
