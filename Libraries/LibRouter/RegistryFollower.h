// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibRouter/RegistryPort.h>
#include <functional>

namespace Spurtide {

/// Follows the registry by watches, and reads the whole again where history is gone. Each of its two loops
/// tells what is new, and whether the registry can be read. While it cannot, the loop of the upstreams alone tries.
class RegistryFollower {
public:
    struct Options {
        /// How long one watch of the upstreams waits for news. Short enough to notice a registry that is silent.
        Duration upstreams_watch = seconds(4);
        /// Of the configuration. As short: others rely on what this VM hears.
        Duration configuration_watch = seconds(4);
        /// How often a VM that does not watch looks whether it has to.
        Duration idle_check = milliseconds(200);
        Duration first_pause = milliseconds(150);
        Duration longest_pause = milliseconds(900);
        /// Spreads the VMs' tries; any number that differs by VM.
        std::uint64_t spread = 0;
    };

    struct Hooks {
        std::function<void(ConfigurationDocument const&)> on_configuration;
        /// Told after the configuration that came with it.
        std::function<void(EvacuationUpdate const&)> on_evacuations = [](auto const&) {};
        /// The whole list as of a position.
        std::function<void(UpstreamSnapshot const&)> on_upstreams;
        std::function<void(UpstreamNews const&)> on_upstream_news;
        std::function<void(UpstreamList::RegistryState)> on_upstreams_state;
        /// A call ended: what it was for, and the name of its error, or "answered".
        std::function<void(std::string_view what, std::string_view result)> on_call = [](auto, auto) {};
        /// Whether this VM is to watch the registry; others may do it for this one.
        std::function<bool()> watches = [] { return true; };
        /// How long news are gathered after each, so that those which come together are told together.
        std::function<Duration()> gathering = [] { return milliseconds(200); };
        /// The longest pause between two tries, where usually it would be so long.
        std::function<Duration(Duration usual)> longest_pause = [](Duration usual) { return usual; };
        /// Up to where others told of them.
        std::function<std::int64_t()> upstreams_version = [] { return std::int64_t { 0 }; };
    };

    RegistryFollower(Options options, asio::io_context& loop, RegistryPort& registry, Hooks hooks);

    void start();
    /// Whether the upstreams were read at least once.
    bool has_upstreams() const { return this->upstreams_read; }
    /// Whether news come from the registry just now, as far as the last call tells.
    bool follows_configuration() const { return this->configuration_followed; }
    bool follows_upstreams() const { return this->upstreams_followed; }

private:
    asio::awaitable<void> follow_configuration();
    asio::awaitable<void> follow_upstreams();
    asio::awaitable<void> pause(int failures);
    asio::awaitable<void> sleep(Duration duration);
    asio::awaitable<void> wait_until_it_watches(std::string_view what);
    asio::awaitable<void> wait_until_upstreams_are_heard();

    Options options;
    asio::io_context& loop;
    RegistryPort& registry;
    Hooks hooks;
    bool upstreams_read = false;
    bool configuration_followed = false;
    bool upstreams_followed = false;
};

}
