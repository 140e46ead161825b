// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <Tests/Platform/NodeUnderTest.h>
#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Spurtide::Tests {

/// Upstreams that crash as soon as they begin to answer certain requests.
class CrashingUpstreams {
public:
    using Predicate = std::function<bool(HttpRequest const&)>;

    /// How the connection of a request that crashes its upstream ends.
    enum class Ending {
        Reset,
        /// It is closed within the first event of an answer that has no length.
        ClosedInsideEvent,
    };

    CrashingUpstreams(NodeUnderTest& test, std::string const& service, int count, Predicate const& is_crashing, Ending ending = Ending::Reset)
    {
        bool const are_engines = service == "engines";
        for (int i = 0; i < count; ++i) {
            auto& upstream = *this->upstreams.emplace_back(std::make_unique<UpstreamStandIn>(test.loop, "i-" + std::to_string(i), are_engines ? "decode" : ""));
            upstream.script = [this, &upstream, is_crashing, ending](HttpExchange& exchange) -> asio::awaitable<bool> {
                if (!is_crashing(exchange.request()) || is_prefill(exchange.request()))
                    co_return false;
                ++this->ended;
                if (ending == Ending::ClosedInsideEvent)
                    co_await close_inside_event(upstream, exchange);
                else
                    upstream.crash();
                co_return true;
            };
            test.list(upstream, service);
        }
    }

    static bool is_prefill(HttpRequest const& request) { return request.head.headers.find("X-Spurtide-Serving-Phase") == "prefill"; }

    /// Answers last so many events of five milliseconds.
    void answer_with(int events)
    {
        for (auto const& upstream : this->upstreams) {
            upstream->events = events;
            upstream->event_pause = milliseconds(5);
        }
    }
    int running() const
    {
        int sum = 0;
        for (auto const& upstream : this->upstreams)
            sum += static_cast<int>(upstream->run.size());
        return sum;
    }

    /// Ends the one that began to run a request; false while there is none.
    bool crash_busy()
    {
        auto const busy = std::find_if(this->upstreams.begin(), this->upstreams.end(), [](auto const& upstream) { return !upstream->run.empty(); });
        if (busy == this->upstreams.end())
            return false;
        (*busy)->crash();
        return true;
    }

    static asio::awaitable<void> close_inside_event(UpstreamStandIn& upstream, HttpExchange& exchange)
    {
        upstream.stop_listening();
        auto head = upstream.answer_head(exchange, 200);
        head.headers.add("Content-Type", "text/event-stream");
        static_cast<void>(co_await exchange.begin(std::move(head), BodyFraming::UntilClose));
        static_cast<void>(co_await exchange.write("id: 1\nda"));
        static_cast<void>(co_await exchange.finish());
    }

    /// Upstreams that ended; each took one of the requests once.
    int ended = 0;

private:
    std::vector<std::unique_ptr<UpstreamStandIn>> upstreams;
};

inline void allow_many_sends(NodeSettings& settings)
{
    settings.retry.allowance = 1000;
    settings.retry.window = seconds(600);
}

}
