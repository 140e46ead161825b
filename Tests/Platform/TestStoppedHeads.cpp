// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/LogLine.h>
#include <Tests/Platform/PartitionedDeployment.h>
#include <Tests/Platform/RawUpstream.h>
#include <catch2/catch.hpp>

// Guards against callers that get a whole response with an empty or short body since an upstream stopped within the head of its own.

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

std::string const PLAIN_HEAD = "HTTP/1.1 200 OK\r\nX-Spurtide-Attempt-Id: {id}\r\nX-Spurtide-Server-Stamp: stamp\r\nContent-Length: 11\r\n\r\n";
std::string const STREAM_HEAD = "HTTP/1.1 200 OK\r\nX-Spurtide-Attempt-Id: {id}\r\nX-Spurtide-Server-Stamp: stamp\r\nContent-Type: text/event-stream\r\n\r\n";

/// How an upstream ends a response within its head.
enum class Stop {
    Close,
    Reset,
    ShutDownSending,
};

/// Responds to the first request of each connection as a sound server, where it is told to, and to the next with a part of a head.
class StoppingUpstream {
public:
    StoppingUpstream(asio::io_context& loop, std::string head)
        : head(std::move(head))
        , server(loop, [this](auto& socket) { return this->serve(socket); })
    {
    }

    Address const& address() const { return this->server.address(); }

    std::size_t size = 0;
    Stop stop = Stop::Close;
    bool is_sound = false;
    std::vector<std::string> received;

private:
    std::string head_for(std::string const& request) const
    {
        constexpr std::string_view IDENTIFIER = "{id}";
        auto bytes = this->head;
        return bytes.replace(bytes.find(IDENTIFIER), IDENTIFIER.size(), RawUpstream::identifier_of(request));
    }

    asio::awaitable<void> serve(asio::ip::tcp::socket& socket)
    {
        std::string buffer;
        asio::error_code error;
        while (!error) {
            auto const request = co_await RawUpstream::read_request(socket, buffer);
            if (request.empty())
                co_return;
            this->received.push_back(RawUpstream::identifier_of(request));
            auto bytes = this->head_for(request);
            if (this->is_sound) {
                if (!request.starts_with("HEAD"))
                    bytes += "sound body.";
                co_await asio::async_write(socket, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
                continue;
            }
            co_await asio::async_write(socket, asio::buffer(bytes, std::min(bytes.size() - 1, this->size)), asio::redirect_error(asio::use_awaitable, error));
            if (this->stop == Stop::Reset)
                socket.set_option(asio::socket_base::linger(true, 0), error);
            if (this->stop != Stop::ShutDownSending) {
                socket.close(error);
                co_return;
            }
            socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
            // Until the other side closes.
            co_await RawUpstream::read_request(socket, buffer);
            co_return;
        }
    }

    std::string head;
    RawUpstream server;
};

/// A VM before one stopping upstream, and another VM that may be partitioned from it.
class StoppedHeadsTest : public PartitionedDeployment {
public:
    StoppedHeadsTest(std::string const& head, std::string const& service, std::string const& phase)
        : stopping(this->loop, head)
        , listed(this->loop, "i-1", phase)
    {
        this->configure(1);
        this->add_upstream("i-p", "engines", "prefill");
        auto& path = *this->paths.emplace_back(std::make_unique<UpstreamPath>(this->stopping.address()));
        path.begin_turn("vm-1");
        this->listed.listed_address = path.address();
        this->list(this->listed, service);
    }

    StoppingUpstream stopping;
    UpstreamStandIn listed;
};

/// Nothing, a part of the first line, whole lines, and all but the last line end or its last byte.
std::vector<std::size_t> stop_sizes(std::string const& head)
{
    std::vector<std::size_t> sizes { 0, 5, head.size() - 2, head.size() - 1 };
    for (auto end = head.find("\r\n"); end + 4 < head.size(); end = head.find("\r\n", end + 1))
        sizes.push_back(end + 2);
    return sizes;
}

}

TEST_CASE("A head that stops is never the head of a caller's response", "[stopped-head][whole]")
{
    struct Kind {
        std::string method;
        std::string target;
        std::string head;
        std::string service;
        std::string phase;
    };
    auto const kind = GENERATE(values<Kind>({ { "GET", "/safe/x", PLAIN_HEAD, "plain", "" }, { "POST", "/once/x", PLAIN_HEAD, "plain", "" }, { "HEAD", "/safe/x", PLAIN_HEAD, "plain", "" }, { "POST", "/stream/x", STREAM_HEAD, "engines", "decode" }, { "POST", "/resumable/x", STREAM_HEAD, "engines", "decode" } }));
    auto const stop = GENERATE(Stop::Close, Stop::Reset, Stop::ShutDownSending);
    CAPTURE(kind.method, kind.target, static_cast<int>(stop));
    StoppedHeadsTest test(kind.head, kind.service, kind.phase);
    test.stopping.stop = stop;
    int count = 0;
    for (auto const size : stop_sizes(kind.head)) {
        // On a new connection, and on one that has carried a response.
        for (bool const is_reused : { false, true }) {
            auto const name = "r" + std::to_string(++count);
            if (is_reused && kind.phase.empty()) {
                test.stopping.is_sound = true;
                REQUIRE(test.call(test.request("GET", "/safe/x", name + "-first")).head.status == 200);
                test.stopping.is_sound = false;
            }
            test.stopping.size = size;
            CAPTURE(size, is_reused);
            auto request = test.request_for(kind.target, name);
            request.head.method = kind.method;
            auto const before = test.stopping.received.size();
            auto const answer = test.call(std::move(request));
            REQUIRE(test.stopping.received.size() > before);
            CHECK_FALSE(answer.error);
            // It may have run.
            CHECK(answer.head.status == 502);
        }
    }
}

TEST_CASE("A head that stops at a relaying VM is never the head of a caller's response", "[stopped-head][whole][partitioned-vm]")
{
    StoppedHeadsTest test(PLAIN_HEAD, "plain", "");
    auto const& partitioned = test.add_virtual_machine("vm-2");
    test.set_condition("vm-2", UpstreamPath::Condition::Reset);
    test.stopping.is_sound = true;
    test.serve_for(PartitionedDeployment::DETECTION_TIME, partitioned.caller_address(), "/once/x");
    test.stopping.is_sound = false;
    int relayed = 0;
    for (auto const stop : { Stop::Close, Stop::Reset, Stop::ShutDownSending }) {
        test.stopping.stop = stop;
        for (auto const size : stop_sizes(PLAIN_HEAD)) {
            CAPTURE(static_cast<int>(stop), size);
            test.stopping.size = size;
            auto const before = test.stopping.received.size();
            auto const answer = test.call_once(partitioned.caller_address(), "/once/x");
            CHECK(answer.head.status != 200);
            if (test.stopping.received.size() > before) {
                CHECK(answer.head.status == 502);
                ++relayed;
            }
        }
    }
    CHECK(relayed > 0);
}
