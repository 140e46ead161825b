// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibAsync/Spawn.h>
#include <LibRouter/CacheRelease.h>
#include <LibRouter/UpstreamCall.h>

namespace Spurtide {

namespace {

constexpr Duration FREE_CACHE_TIMEOUT = milliseconds(500);
constexpr std::size_t MAXIMUM_RESPONSE_BYTES = 64UL * 1024;

}

void free_cache(RouterState& state, UpstreamRecord const& holder, std::string const& handle)
{
    if (handle.empty())
        return;
    auto const free = [](RouterState& state, UpstreamRecord engine, std::string cache) -> asio::awaitable<void> {
        HttpRequest request { state.dialect.free_cache_request_head(engine.address, cache), {} };
        ConnectionPool::Call options;
        options.timeout = FREE_CACHE_TIMEOUT;
        options.largest_body = MAXIMUM_RESPONSE_BYTES;
        // NOTE: If this fails, the engine frees the cache itself when its hold time expires.
        static_cast<void>(co_await call_upstream(state, std::move(engine), std::move(request), CallPurpose::Release, std::move(options)));
    };
    spawn(state.loop.get_executor(), "free_cache", free(state, holder, handle));
}

}
