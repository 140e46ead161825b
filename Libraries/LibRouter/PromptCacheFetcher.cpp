// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibAsync/Spawn.h>
#include <LibCore/Clock.h>
#include <LibCore/LogLine.h>
#include <LibCore/MonotonicTimer.h>
#include <LibRouter/PromptCacheFetcher.h>
#include <LibRouter/UpstreamCall.h>
#include <set>
#include <vector>

namespace Spurtide {

namespace {

/// Enough for the names of a few thousand prompt parts.
constexpr std::size_t MAXIMUM_LIST_BYTES = 1024UL * 1024;

}

PromptCacheFetcher::PromptCacheFetcher(Options options, RouterState& state, Hooks hooks)
    : options(options)
    , state(state)
    , hooks(std::move(hooks))
{
}

void PromptCacheFetcher::start()
{
    spawn_lasting(this->state.loop.get_executor(), "fetch_prompt_caches", [this] { return this->run(); });
}

asio::awaitable<void> PromptCacheFetcher::run()
{
    std::optional<MonotonicTime> keeper_since;
    std::set<std::string> fetched;
    MonotonicTimer timer(this->state.loop);
    while (true) {
        timer.expires_after(this->options.check_interval);
        asio::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        auto const now = monotonic_now();
        if (!this->hooks.is_keeper()) {
            keeper_since.reset();
            fetched.clear();
            continue;
        }
        if (!keeper_since)
            keeper_since = now;
        if (now - *keeper_since < this->options.keeper_settle_time)
            continue;
        // Engines are added to the upstream list one at a time, so each pass queries only the new ones.
        std::vector<UpstreamRecord> due;
        this->state.upstreams.for_each([&](UpstreamRecord const& record) {
            bool const is_decoding = record.role == EngineRole::Decode && record.life == UpstreamRecord::Life::Serving;
            bool const is_due = is_decoding && this->hooks.is_used(record.identity) && !fetched.contains(record.identity);
            // A paused engine is queried after its pause.
            if (!is_due || find_send_obstacle(this->state, record) != SendObstacle::None)
                return;
            fetched.insert(record.identity);
            due.push_back(record);
        });
        for (auto const& record : due)
            co_await this->fetch(record);
    }
}

asio::awaitable<void> PromptCacheFetcher::fetch(UpstreamRecord engine)
{
    HttpRequest request { this->state.dialect.cached_prompts_request_head(engine.address), {} };
    ConnectionPool::Call options;
    options.timeout = this->options.timeout;
    options.largest_body = MAXIMUM_LIST_BYTES;
    auto const response = co_await call_upstream(this->state, engine, std::move(request), CallPurpose::NewWork, std::move(options));
    if (response.is_error() || response.value().head.status != 200 || !response.value().body) {
        LogLine("cached_prompts_unread").with("engine", engine.identity).with("reason", response.is_error() ? to_string(response.error()) : "status_or_body");
        co_return;
    }
    auto const parts = this->state.dialect.read_cached_prompts(*response.value().body);
    if (parts.is_error()) {
        LogLine("cached_prompts_unread").with("engine", engine.identity).with("reason", "malformed");
        co_return;
    }
    LogLine("cached_prompts_read").with("engine", engine.identity).with("count", static_cast<std::int64_t>(parts.value().size()));
    this->hooks.on_cached(engine.identity, parts.value());
}

}
