// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibRouter/RouterState.h>
#include <asio.hpp>
#include <functional>
#include <span>
#include <string>

namespace Spurtide {

/// Asks the engines once which prompts they have in memory, when this VM has become their keeper. A keeper that is
/// new in office does not know where the answers were made that its predecessor's death broke off; their callers
/// come back all together, and an engine that still has a prompt need not read it again.
class PromptCacheFetcher {
public:
    struct Options {
        /// A VM that has just started may take itself for the keeper until it hears of others.
        Duration keeper_settle_time = milliseconds(300);
        Duration check_interval = milliseconds(100);
        /// An engine that does not answer by then is passed over.
        Duration timeout = milliseconds(250);
    };

    struct Hooks {
        std::function<bool()> is_keeper;
        /// Whether the keeper gives the engine work: of thousands all others have read none of its callers' prompts.
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
