// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <Tests/Platform/NodeUnderTest.h>
#include <Tests/Platform/RawUpstream.h>
#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <map>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

/// A server that refuses requests, and sends a refusal again before its response to the next request on the same connection.
class RepeatingUpstream {
public:
    explicit RepeatingUpstream(asio::io_context& loop)
        : server(loop, [this](auto& socket) { return this->serve(socket); })
    {
    }

    Address const& address() const { return this->server.address(); }

    /// How many further requests of the stage it refuses, "prefill" or "run".
    std::map<std::string, int> refusals;
    /// Sent late in place of the refusal, if set.
    std::string late_response;
    std::vector<std::string> run;
    int repeated = 0;

private:
    static std::string response(std::string const& status, std::string const& identifier, std::string const& fields, std::string const& body)
    {
        auto const named = identifier.empty() ? std::string() : "X-Spurtide-Attempt-Id: " + identifier + "\r\n";
        return "HTTP/1.1 " + status + "\r\n" + named + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    /// The response to a request; sets whether it is a refusal.
    std::string respond(std::string const& head, bool& is_refusal)
    {
        auto const identifier = RawUpstream::identifier_of(head);
        bool const is_prefill = RawUpstream::field(head, "X-Spurtide-Serving-Phase") == "prefill";
        is_refusal = !identifier.empty() && this->refusals[is_prefill ? "prefill" : "run"]-- > 0;
        if (is_refusal)
            return response("503 Service Unavailable", identifier, "X-Spurtide-Not-Executed: 1\r\n", {});
        if (identifier.empty())
            return response("404 Not Found", {}, {}, {});
        if (is_prefill)
            return response("200 OK", identifier, "X-Spurtide-Server-Stamp: s\r\n", R"({"kv_handle":"h","tokens":1000,"version":1})");
        this->run.push_back(identifier);
        return response("200 OK", identifier, "X-Spurtide-Server-Stamp: s\r\nContent-Type: text/event-stream\r\n", "id: 1\ndata: " + identifier + "\n\n");
    }

    asio::awaitable<void> serve(asio::ip::tcp::socket& socket)
    {
        std::string buffer;
        std::string late;
        asio::error_code error;
        while (!error) {
            auto const head = co_await RawUpstream::read_request(socket, buffer);
            if (head.empty())
                co_return;
            bool is_refusal = false;
            auto const answer = this->respond(head, is_refusal);
            this->repeated += late.empty() ? 0 : 1;
            auto const bytes = late + answer;
            late.clear();
            if (is_refusal)
                late = this->late_response.empty() ? answer : this->late_response;
            co_await asio::async_write(socket, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
        }
    }

    RawUpstream server;
};

/// Refusals as upstreams send them to the router's own calls, which have no identifier.
constexpr std::array UNNAMED_REFUSALS {
    "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 503 Service Unavailable\r\nX-Spurtide-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
};

struct LateTest : NodeUnderTest {
    LateTest() { this->configure(1); }

    void list_late(UpstreamStandIn& upstream, std::string const& service)
    {
        upstream.listed_address = this->late.address();
        this->list(upstream, service);
    }

    RepeatingUpstream late { this->loop };
    UpstreamStandIn prefill { this->loop, "i-p", "prefill" };
    UpstreamStandIn decode { this->loop, "i-d", "decode" };
    UpstreamStandIn plain { this->loop, "i-1" };
};

void check_stream(LateTest& test, std::string const& target)
{
    test.list(test.prefill, "engines");
    test.list_late(test.decode, "engines");
    test.late.refusals["run"] = 1;
    // The only engine refuses it.
    CHECK(test.call(test.model_request(target, "s1")).head.status == 503);
    auto const answer = test.call(test.model_request(target, "s2"));
    CHECK(test.late.repeated == 1);
    CHECK(answer.head.status == 200);
    CHECK(answer.body == "id: 1\ndata: s2\n\n");
    CHECK(std::count(test.late.run.begin(), test.late.run.end(), "s2") == 1);
}

void check_plain_requests(LateTest& test)
{
    test.list_late(test.plain, "plain");
    test.late.refusals["run"] = 1;
    CHECK(test.call(test.request("POST", "/once/x", "p1")).head.status == 503);
    CHECK(test.call(test.request("POST", "/once/x", "p2")).head.status == 200);
}

void check_prefills(LateTest& test)
{
    test.list_late(test.prefill, "engines");
    test.list(test.decode, "engines");
    test.late.refusals["prefill"] = 1;
    // The decode engine prefills what the other one refuses.
    CHECK(test.call(test.model_request("/stream/x", "r1")).head.status == 200);
    CHECK(test.call(test.model_request("/stream/x", "r2")).head.status == 200);
    auto const cache = test.decode.requests.back().head.headers.find("X-Spurtide-Kv-Source");
    REQUIRE(cache);
    CHECK(cache->ends_with("/h"));
}

}

// Guards against a late second refusal of one stream that was taken for the refusal of the next one on its connection: that one ran,
// and its caller was told that it had not.
TEST_CASE("A refusal of another request says nothing about a stream", "[not-run][late]")
{
    LateTest test;
    auto const* target = GENERATE("/stream/x", "/resumable/x");
    CAPTURE(target);
    check_stream(test, target);
}

// Guards against the same on the paths of plain requests and prefills.
TEST_CASE("A refusal of another request says nothing about a plain request or a prefill", "[not-run][late]")
{
    LateTest test;
    SECTION("plain requests")
    {
        check_plain_requests(test);
    }
    SECTION("prefills")
    {
        check_prefills(test);
    }
    CHECK(test.late.repeated == 1);
}

// Guards against a late response to one of the router's own calls (a role order, the release of a cache) that was taken for the refusal
// of the next stream on its connection: that one ran, and its caller was told that it had not.
TEST_CASE("A refusal that names no request says nothing about a stream", "[not-run][late]")
{
    LateTest test;
    auto const* target = GENERATE("/stream/x", "/resumable/x");
    auto const* refusal = GENERATE(from_range(UNNAMED_REFUSALS));
    CAPTURE(target, refusal);
    test.late.late_response = refusal;
    check_stream(test, target);
}

// Guards against the same on the paths of plain requests and prefills.
TEST_CASE("A refusal that names no request says nothing about a plain request or a prefill", "[not-run][late]")
{
    LateTest test;
    auto const* refusal = GENERATE(from_range(UNNAMED_REFUSALS));
    CAPTURE(refusal);
    test.late.late_response = refusal;
    SECTION("plain requests")
    {
        check_plain_requests(test);
    }
    SECTION("prefills")
    {
        check_prefills(test);
    }
    CHECK(test.late.repeated == 1);
}

// Guards against a late second refusal of a request that was taken for the refusal of its next send to the same upstream: that one ran,
// and its caller was told that it had not.
TEST_CASE("A late copy of a refusal says nothing about another send of the same request", "[not-run][late]")
{
    LateTest test;
    test.list_late(test.plain, "plain");
    test.late.refusals["run"] = 1;
    auto const answer = test.call(test.request("GET", "/safe/x", "p1"));
    CHECK(answer.head.status == 200);
    CHECK(test.late.run == std::vector<std::string> { "p1" });
}
