// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibAsync/Signal.h>
#include <LibRouter/RegistryPort.h>
#include <functional>
#include <list>
#include <memory>

namespace Spurtide {

/// Follows the configuration and the list of upstreams in the registry by long-poll watches, and reads them anew if the
/// registry no longer has the history since the last position. Each has its own loop. While the registry is unavailable, only
/// the loop of the upstreams retries.
class RegistryFollower {
public:
    struct Options {
        /// Timeout of one watch of the upstreams; short enough to detect a registry that has stopped answering.
        Duration upstreams_watch_timeout = seconds(4);
        /// Timeout of one watch of the configuration; as short, since other VMs rely on this one's updates.
        Duration configuration_watch_timeout = seconds(4);
        /// How often a VM that does not watch checks whether it should.
        Duration idle_check_interval = milliseconds(200);
        Duration initial_retry_interval = milliseconds(150);
        Duration maximum_retry_interval = milliseconds(900);
        /// Seed that spreads the retries of different VMs; any number that differs by VM.
        std::uint64_t retry_seed = 0;
    };

    struct Hooks {
        std::function<void(ConfigurationDocument const&)> on_configuration;
        /// Called after on_configuration for the same update.
        std::function<void(EvacuationUpdate const&)> on_evacuations = [](auto const&) {};
        /// The whole list was read.
        std::function<void(UpstreamSnapshot const&)> on_upstreams;
        std::function<void(UpstreamNews const&)> on_upstream_news;
        std::function<void(UpstreamList::RegistryState)> on_upstreams_state;
        /// A call to the registry ended; the result is the name of its error, or "answered".
        std::function<void(std::string_view what, std::string_view result)> on_call = [](auto, auto) {};
        /// Whether this VM should watch the registry, as opposed to relying on others.
        std::function<bool()> watches = [] { return true; };
        /// Delay after each update during which further ones are collected into one batch.
        std::function<Duration()> batching_delay = [] { return milliseconds(200); };
        /// Adjusts the longest pause between retries.
        std::function<Duration(Duration usual)> maximum_retry_interval = [](Duration usual) { return usual; };
        /// The version of the list of upstreams, including updates from other VMs.
        std::function<StorePosition()> upstreams_version = [] { return StorePosition(); };
    };

    RegistryFollower(Options options, asio::io_context& loop, RegistryPort& registry, Hooks hooks);

    void start();
    /// The registry is known to be in an era, from this VM's own calls or from peers. Watches of earlier eras are given up, since they
    /// wait for versions that may have been given out before.
    void note_era(std::int64_t new_era);
    /// Reads what has changed in the list of upstreams up to now, also on a VM that relies on others. Returns whether the list is
    /// known to be current as of the call. Calls that come while a read is in progress share the next one.
    asio::awaitable<bool> confirm_upstreams(Duration timeout);
    /// Whether the list of upstreams was read at least once.
    bool has_upstreams() const { return this->upstreams_read; }
    /// Whether the last call to the registry succeeded.
    bool follows_configuration() const { return this->configuration_followed; }
    bool follows_upstreams() const { return this->upstreams_followed; }

private:
    /// Waits for a watch; HistoryGone if the registry turns out to be in a later era than the position meanwhile.
    template<typename News>
    asio::awaitable<Result<News, PlatformError>> watch_in_era(asio::awaitable<Result<News, PlatformError>> watch, StorePosition position);
    /// A read that several calls wait for.
    struct Confirmation {
        enum class State {
            Pending,
            Confirmed,
            Failed,
        } state
            = State::Pending;
        std::list<Signal*> waiting;
    };

    asio::awaitable<void> run_confirmations();
    asio::awaitable<void> follow_configuration();
    asio::awaitable<void> follow_upstreams();
    asio::awaitable<void> wait_before_retry(int failures);
    asio::awaitable<void> wait_before_read(int reads_in_a_row);
    asio::awaitable<void> sleep(Duration duration);
    asio::awaitable<void> wait_until_watching(std::string_view what);
    asio::awaitable<void> wait_until_upstreams_followed();

    Options options;
    asio::io_context& loop;
    RegistryPort& registry;
    Hooks hooks;
    std::int64_t era = 0;
    /// Those that wait for a watch.
    std::list<Signal*> waiting;
    /// Position of the last answer about the upstreams. Later than the list's version if nothing has changed lately, when the registry
    /// may not have the history since that version any more.
    StorePosition upstreams_position;
    /// The read that has not begun; null if none was asked for.
    std::shared_ptr<Confirmation> next_confirmation;
    bool is_confirming = false;
    bool upstreams_read = false;
    bool configuration_followed = false;
    bool upstreams_followed = false;
};

}
