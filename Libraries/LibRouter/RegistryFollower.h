// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibRouter/RegistryPort.h>
#include <functional>

namespace Spurtide {

/// Follows the registry by watches, and reads the whole again where history is gone. Each of its two loops
/// tells what is new, and whether the registry can be read.
class RegistryFollower {
public:
    struct Options {
        /// How long one watch waits for news. Short enough to notice a registry that is silent.
        Duration watch = seconds(4);
        Duration first_pause = milliseconds(150);
        Duration longest_pause = milliseconds(900);
        /// Spreads the VMs' tries; any number that differs by VM.
        std::uint64_t spread = 0;
    };

    struct Hooks {
        std::function<void(ConfigurationDocument const&)> on_configuration;
        /// The whole list as of a position.
        std::function<void(UpstreamSnapshot const&)> on_upstreams;
        std::function<void(UpstreamNews const&)> on_upstream_news;
        std::function<void(UpstreamList::RegistryState)> on_upstreams_state;
    };

    RegistryFollower(Options options, asio::io_context& loop, RegistryPort& registry, Hooks hooks);

    void start();
    /// Whether the upstreams were read at least once.
    bool has_upstreams() const { return this->upstreams_read; }

private:
    asio::awaitable<void> follow_configuration();
    asio::awaitable<void> follow_upstreams();
    asio::awaitable<void> pause(int failures);
    Duration wait_after(int failures) const;

    Options options;
    asio::io_context& loop;
    RegistryPort& registry;
    Hooks hooks;
    bool upstreams_read = false;
};

}
