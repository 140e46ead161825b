// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibRouter/RouterState.h>
#include <asio.hpp>
#include <functional>
#include <span>
#include <string>

namespace Spurtide {

/// Queries each engine once for its cached prompts after this VM has become the keeper. A new keeper does not know which
/// engines served the responses that were cut off when its predecessor died. Their callers retry all at once, and an
/// engine that still caches a prompt can skip its prefill.
class PromptCacheFetcher {
public:
    struct Options {
        /// How long this VM must have been the keeper. Until it has heard of its peers, a VM that has just started
        /// considers itself the keeper.
        Duration keeper_settle_time = milliseconds(300);
        Duration check_interval = milliseconds(100);
        /// Per engine. One that does not respond in time is skipped.
        Duration timeout = milliseconds(250);
    };

    struct Hooks {
        std::function<bool()> is_keeper;
        /// Whether the keeper schedules requests on the engine. The rest of thousands of engines have cached none of its callers'
        /// prompts.
        std::function<bool(std::string_view engine)> is_used = [](auto) { return true; };
        std::function<void(std::string_view engine, std::span<std::string const> own_parts)> on_cached;
    };

    PromptCacheFetcher(Options options, RouterState& state, Hooks hooks);

    void start();

private:
    asio::awaitable<void> run();
    asio::awaitable<void> fetch(UpstreamRecord engine);

    Options options;
    RouterState& state;
    Hooks hooks;
};

}
