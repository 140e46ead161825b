// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibAsync/Signal.h>
#include <LibCore/Clock.h>
#include <LibRouter/RelayProtocol.h>
#include <Tests/Platform/NodeUnderTest.h>
#include <Tests/Platform/RawUpstream.h>
#include <catch2/catch.hpp>

// Guards against responses that are broken at their upstream and look whole at their caller.

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

/// More than the socket buffers of both sides hold together, so that the request is still being written when its response ends.
constexpr std::size_t LONG_REQUEST_BYTES = 12UL * 1024 * 1024;
/// The same for a response that ends at once, and within the limit of the engines that stand beside the broken one.
constexpr std::size_t LONG_PROMPT_BYTES = 3'500'000;

std::string const FIELDS = "X-Spurtide-Attempt-Id: {id}\r\nX-Spurtide-Server-Stamp: stamp\r\n";
std::string const STREAM_FIELDS = FIELDS + "Content-Type: text/event-stream\r\n";
std::string const CACHE = R"({"kv_handle":"h","tokens":1000,"version":1})";

std::string event(int number) { return "id: " + std::to_string(number) + "\ndata: piece " + std::to_string(number) + "\n\n"; }
std::string const ALL_EVENTS = event(1) + event(2) + event(3) + event(4) + event(5);

/// The bytes of a response, of which {id} stands for the request's identifier.
struct RawResponse {
    enum class End {
        /// Reads on, and leaves it to the other side to close.
        KeepOpen,
        Reset,
        CloseWithUnreadBytes,
        /// The kernel closes in good order, and resets the connection when more of the request arrives.
        CloseWithoutUnreadBytes,
        ShutDownSending,
    };

    std::string bytes;
    End end = End::KeepOpen;
    /// Lets the bytes arrive before the connection ends.
    Duration pause {};
};

/// Responds as soon as it has the head of a request, and reads the body only if the response ends in good order.
class RawResponder {
public:
    explicit RawResponder(asio::io_context& loop)
        : server(loop, [this](auto& socket) { return this->serve(socket); })
    {
    }

    Address const& address() const { return this->server.address(); }

    RawResponse response;
    int requests = 0;

private:
    std::string response_to(std::string const& request) const
    {
        constexpr std::string_view IDENTIFIER = "{id}";
        auto bytes = this->response.bytes;
        for (auto at = bytes.find(IDENTIFIER); at != std::string::npos; at = bytes.find(IDENTIFIER))
            bytes.replace(at, IDENTIFIER.size(), RawUpstream::identifier_of(request));
        return bytes;
    }

    asio::awaitable<void> serve(asio::ip::tcp::socket& socket)
    {
        std::string request;
        asio::error_code error;
        co_await asio::async_read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", asio::redirect_error(asio::use_awaitable, error));
        if (error)
            co_return;
        ++this->requests;
        auto const bytes = this->response_to(request);
        co_await asio::async_write(socket, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
        if (this->response.pause > Duration::zero()) {
            Signal never(socket.get_executor());
            static_cast<void>(co_await never.wait_until(monotonic_now() + this->response.pause));
        }
        switch (this->response.end) {
        case RawResponse::End::Reset:
            socket.set_option(asio::socket_base::linger(true, 0), error);
            break;
        case RawResponse::End::CloseWithUnreadBytes:
            break;
        case RawResponse::End::CloseWithoutUnreadBytes:
            read_available(socket);
            break;
        case RawResponse::End::ShutDownSending:
            socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
            co_await read_to_end(socket);
            break;
        case RawResponse::End::KeepOpen:
            co_await read_to_end(socket);
            break;
        }
        socket.close(error);
    }

    static void read_available(asio::ip::tcp::socket& socket)
    {
        std::array<char, 4096> buffer {};
        asio::error_code error;
        socket.non_blocking(true, error);
        while (!error)
            socket.read_some(asio::buffer(buffer), error);
    }

    static asio::awaitable<void> read_to_end(asio::ip::tcp::socket& socket)
    {
        std::array<char, 4096> buffer {};
        asio::error_code error;
        while (!error)
            static_cast<void>(co_await socket.async_read_some(asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error)));
    }

    RawUpstream server;
};

/// A VM with one upstream that sends broken responses.
struct BrokenResponseTest : NodeUnderTest {
    explicit BrokenResponseTest(std::string const& service, std::string const& phase = {})
        : listed(this->loop, "i-1", phase)
    {
        this->configure(1, [](nlohmann::json& configuration) { configuration["limits"]["max_body_bytes"] = 2 * LONG_REQUEST_BYTES; });
        if (phase == "decode")
            this->list(this->prefill, "engines");
        if (phase == "prefill")
            this->list(this->decode, "engines");
        this->listed.listed_address = this->broken.address();
        this->list(this->listed, service);
    }

    HttpRequest request_for(std::string const& target, std::string const& identifier)
    {
        bool const is_model_request = target.starts_with("/stream/") || target.starts_with("/resumable/");
        return is_model_request ? this->model_request(target, identifier) : this->request("POST", target, identifier);
    }

    HttpRequest long_request_for(std::string const& target, std::string const& identifier)
    {
        auto request = this->request_for(target, identifier);
        std::erase_if(request.head.headers.all(), [](auto const& field) { return field.name == "Content-Length"; });
        bool const is_model_request = request.head.headers.contains("X-Spurtide-Model");
        request.body.assign(is_model_request ? LONG_PROMPT_BYTES : LONG_REQUEST_BYTES, 'x');
        request.head.headers.add("Content-Length", std::to_string(request.body.size()));
        return request;
    }

    RawResponder broken { this->loop };
    UpstreamStandIn listed;
    UpstreamStandIn prefill { this->loop, "i-p", "prefill" };
    UpstreamStandIn decode { this->loop, "i-d", "decode" };
};

}

// Guards against a part of a body that its caller got as the whole, since the upstream reset the connection while it was being sent a
// long request.
TEST_CASE("A part of an early response is not the whole if its connection was reset", "[broken-response][whole]")
{
    using End = RawResponse::End;
    // After a pause, the upstream could read all of a prompt of this length before it closes, and the response would be whole.
    auto const [end, pause] = GENERATE(table<End, Duration>({ { End::Reset, Duration::zero() }, { End::Reset, milliseconds(20) }, { End::CloseWithUnreadBytes, Duration::zero() }, { End::CloseWithUnreadBytes, milliseconds(20) }, { End::CloseWithoutUnreadBytes, Duration::zero() } }));
    CAPTURE(static_cast<int>(end), to_milliseconds(pause));
    SECTION("a plain request that may run only once fails")
    {
        BrokenResponseTest test("plain");
        test.broken.response = { "HTTP/1.1 200 OK\r\n" + FIELDS + "\r\npart", end, pause };
        for (int i = 0; i < 3; ++i)
            CHECK(test.call(test.long_request_for("/once/x", "r" + std::to_string(i))).head.status == 502);
        CHECK(test.broken.requests == 3);
    }
    SECTION("a plain request that may be repeated is served elsewhere")
    {
        BrokenResponseTest test("plain");
        test.broken.response = { "HTTP/1.1 200 OK\r\n" + FIELDS + "\r\npart", end, pause };
        RawResponder sound(test.loop);
        sound.response.bytes = "HTTP/1.1 200 OK\r\n" + FIELDS + "Content-Length: 5\r\n\r\nwhole";
        UpstreamStandIn other(test.loop, "i-2");
        other.listed_address = sound.address();
        test.list(other, "plain");
        for (int i = 0; i < 4; ++i) {
            auto const answer = test.call(test.long_request_for("/safe/x", "r" + std::to_string(i)));
            CHECK(answer.head.status == 200);
            CHECK(answer.body == "whole");
        }
        CHECK(test.broken.requests > 0);
    }
    SECTION("a stream is broken off")
    {
        BrokenResponseTest test("engines", "decode");
        test.broken.response = { "HTTP/1.1 200 OK\r\n" + STREAM_FIELDS + "\r\n" + event(1) + event(2), end, pause };
        for (int i = 0; i < 3; ++i) {
            auto const answer = test.call(test.long_request_for("/stream/x", "r" + std::to_string(i)));
            CHECK((answer.error || answer.head.status == 502));
        }
        CHECK(test.broken.requests > 0);
    }
    SECTION("a stream that may be resumed goes on elsewhere")
    {
        BrokenResponseTest test("engines", "decode");
        test.broken.response = { "HTTP/1.1 200 OK\r\n" + STREAM_FIELDS + "\r\n" + event(1) + event(2), end, pause };
        UpstreamStandIn other(test.loop, "i-2", "decode");
        test.list(other, "engines");
        for (int i = 0; i < 4; ++i) {
            auto const answer = test.call(test.long_request_for("/resumable/x", "r" + std::to_string(i)));
            CHECK_FALSE(answer.error);
            CHECK(answer.body == ALL_EVENTS);
        }
        CHECK(test.broken.requests > 0);
    }
    SECTION("a request that is relayed for another VM is broken off")
    {
        BrokenResponseTest test("plain");
        test.broken.response = { "HTTP/1.1 200 OK\r\n" + FIELDS + "\r\npart", end, pause };
        for (int i = 0; i < 3; ++i) {
            auto const upstream_request = test.long_request_for("/once/x", "r" + std::to_string(i));
            RelayedSend send;
            send.request = "r" + std::to_string(i);
            send.upstream = "i-1";
            send.time_left = seconds(3);
            auto const bytes = format_request_head(upstream_request.head) + upstream_request.body;
            HttpRequest relayed { relay_request_head("127.0.0.1", send, bytes.size()), bytes };
            CHECK(test.call(*test.node->relay_address(), std::move(relayed)).error == HttpError::Closed);
        }
        CHECK(test.broken.requests == 3);
    }
}

// Guards against early responses that are thrown away although the upstream ended them in good order.
TEST_CASE("An early response that ends in good order is whole", "[broken-response][whole]")
{
    auto const pause = GENERATE(Duration::zero(), Duration(milliseconds(20)));
    CAPTURE(to_milliseconds(pause));
    for (auto const* target : { "/once/x", "/safe/x" }) {
        BrokenResponseTest test("plain");
        test.broken.response = { "HTTP/1.1 200 OK\r\n" + FIELDS + "\r\nwhole", RawResponse::End::ShutDownSending, pause };
        auto const answer = test.call(test.long_request_for(target, "a"));
        CAPTURE(target);
        CHECK(answer.head.status == 200);
        CHECK(answer.body == "whole");
    }
    for (auto const* target : { "/stream/x", "/resumable/x" }) {
        BrokenResponseTest test("engines", "decode");
        test.broken.response = { "HTTP/1.1 200 OK\r\n" + STREAM_FIELDS + "\r\n" + ALL_EVENTS, RawResponse::End::ShutDownSending, pause };
        auto const answer = test.call(test.long_request_for(target, "a"));
        CAPTURE(target);
        CHECK_FALSE(answer.error);
        CHECK(answer.body == ALL_EVENTS);
    }
}

namespace {

std::vector<std::string> unusable_statuses()
{
    return { "000", "001", "099", "0", "7", "42", "600", "700", "999", "101", "0200" };
}

/// A body that would be taken for a whole response under a usable status, or nothing more on a connection that stays open.
struct BodyCase {
    std::string fields;
    std::string body;
};

std::vector<BodyCase> plain_bodies()
{
    return { { "Content-Length: 11\r\n", "wrong body." }, { "Transfer-Encoding: chunked\r\n", "b\r\nwrong body.\r\n0\r\n\r\n" }, { "", "" }, { "Content-Length: 0\r\nX-Spurtide-Not-Executed: 1\r\n", "" } };
}

}

// Guards against statuses that no HTTP server means, which reached callers or held them until their deadline.
TEST_CASE("A plain response of an unusable status is a failure of its upstream at once", "[broken-response]")
{
    auto const status = GENERATE(from_range(unusable_statuses()));
    auto const body = GENERATE(from_range(plain_bodies()));
    CAPTURE(status, body.fields);
    BrokenResponseTest test("plain");
    test.broken.response.bytes = "HTTP/1.1 " + status + " Trouble\r\n" + FIELDS + body.fields + "\r\n" + body.body;
    auto begun = monotonic_now();
    for (auto const* method : { "POST", "HEAD" }) {
        auto request = test.request_for("/once/x", std::string("once-") + method);
        request.head.method = method;
        auto const answer = test.call(std::move(request));
        CHECK_FALSE(answer.error);
        // It may have run.
        CHECK(answer.head.status == 502);
    }
    CHECK(monotonic_now() - begun < AT_ONCE);
    CHECK(test.broken.requests == 2);
    UpstreamStandIn other(test.loop, "i-2");
    test.list(other, "plain");
    begun = monotonic_now();
    for (int i = 0; i < 3; ++i) {
        auto const identifier = "safe" + std::to_string(i);
        auto const answer = test.call(test.request_for("/safe/x", identifier));
        CHECK(answer.head.status == 200);
        CHECK(answer.body == "answer of i-2 to " + identifier);
    }
    CHECK(monotonic_now() - begun < AT_ONCE);
}

TEST_CASE("A decode engine's response of an unusable status is a failure of the engine at once", "[broken-response]")
{
    auto const status = GENERATE(from_range(unusable_statuses()));
    auto const body = GENERATE(values<BodyCase>({ { "Content-Length: 24\r\n", "id: 1\ndata: wrong body\n\n" }, { "", "" }, { "X-Spurtide-Not-Executed: 1\r\nContent-Length: 0\r\n", "" } }));
    CAPTURE(status, body.fields);
    BrokenResponseTest test("engines", "decode");
    test.broken.response.bytes = "HTTP/1.1 " + status + " Trouble\r\n" + STREAM_FIELDS + body.fields + "\r\n" + body.body;
    auto begun = monotonic_now();
    auto const answer = test.call(test.model_request("/stream/x", "a"));
    CHECK_FALSE(answer.error);
    CHECK(answer.head.status == 502);
    CHECK(monotonic_now() - begun < AT_ONCE);
    UpstreamStandIn other(test.loop, "i-2", "decode");
    test.list(other, "engines");
    begun = monotonic_now();
    auto const resumed = test.call(test.model_request("/resumable/x", "r"));
    CHECK_FALSE(resumed.error);
    CHECK(resumed.body == ALL_EVENTS);
    CHECK(monotonic_now() - begun < AT_ONCE);
}

TEST_CASE("A prefill engine's response of an unusable status is a failure of the engine at once", "[broken-response]")
{
    auto const status = GENERATE(from_range(unusable_statuses()));
    auto const body = GENERATE(values<BodyCase>({ { "Content-Length: 43\r\n", CACHE }, { "", "" } }));
    CAPTURE(status, body.fields);
    BrokenResponseTest test("engines", "prefill");
    test.broken.response.bytes = "HTTP/1.1 " + status + " Trouble\r\n" + FIELDS + body.fields + "\r\n" + body.body;
    UpstreamStandIn other(test.loop, "i-q", "prefill");
    test.list(other, "engines");
    auto const begun = monotonic_now();
    for (int i = 0; i < 2; ++i) {
        auto const answer = test.call(test.model_request("/stream/x", "s" + std::to_string(i)));
        CHECK_FALSE(answer.error);
        CHECK(answer.body == ALL_EVENTS);
    }
    CHECK(monotonic_now() - begun < AT_ONCE);
}

TEST_CASE("A relayed response of an unusable status is broken off at once", "[broken-response]")
{
    auto const status = GENERATE(from_range(unusable_statuses()));
    auto const body = GENERATE(from_range(plain_bodies()));
    CAPTURE(status, body.fields);
    BrokenResponseTest test("plain");
    test.broken.response.bytes = "HTTP/1.1 " + status + " Trouble\r\n" + FIELDS + body.fields + "\r\n" + body.body;
    RelayedSend send;
    send.request = "a";
    send.upstream = "i-1";
    send.time_left = seconds(3);
    auto const bytes = format_request_head(test.request_for("/once/x", "a").head);
    auto const begun = monotonic_now();
    CHECK(test.call(*test.node->relay_address(), { relay_request_head("127.0.0.1", send, bytes.size()), bytes }).error == HttpError::Closed);
    CHECK(monotonic_now() - begun < AT_ONCE);
    CHECK(test.broken.requests == 1);
}

// Guards against interim responses that end a request: only the final one that follows is the response.
TEST_CASE("A usable response behind interim ones reaches its caller", "[broken-response]")
{
    auto const status = GENERATE(values<std::string>({ "100", "102", "103", "199" }));
    CAPTURE(status);
    BrokenResponseTest test("plain");
    auto const final_status = GENERATE(200, 204, 299, 404, 599);
    test.broken.response.bytes = "HTTP/1.1 " + status + " Wait\r\n\r\nHTTP/1.1 " + std::to_string(final_status) + " Final\r\n" + FIELDS + (final_status == 204 ? "\r\n" : "Content-Length: 11\r\n\r\nright body.");
    auto const answer = test.call(test.request_for("/once/x", "a"));
    CHECK_FALSE(answer.error);
    CHECK(answer.head.status == final_status);
    CHECK(answer.body == (final_status == 204 ? "" : "right body."));
}

namespace {

enum class Place {
    First,
    Between,
    Last,
    InterimResponse,
};

std::vector<std::string> malformed_field_lines(Place place)
{
    std::vector<std::string> lines { "Bad Name: x", "Bad : x", ": x", "Bad\tName: x", "Bad\t: x", "Transfer-Encoding : chunked", "Content-Length : 5", "Content Length: 5", "X-Spurtide-Attempt-Id : other", "No-Colon", "Bad Line" };
    for (char const control : { '\0', '\x01', '\x07', '\b', '\x0b', '\x0c', '\x1b', '\x1f', '\x7f' }) {
        lines.push_back(std::string("Bad") + control + "Name: x");
        lines.push_back(std::string("Bad") + control + ": x");
        lines.push_back(control + std::string("Bad: x"));
    }
    // Behind another field, a line that begins with a blank continues that field's value.
    if (place == Place::First)
        lines.insert(lines.end(), { " Bad: x", "\tBad: x", " : x" });
    return lines;
}

std::string head_with(std::string const& line, Place place, std::string const& fields)
{
    auto const end_of_first = fields.find("\r\n") + 2;
    std::string const status_line = "HTTP/1.1 200 OK\r\n";
    switch (place) {
    case Place::First:
        return status_line + line + "\r\n" + fields + "\r\n";
    case Place::Between:
        return status_line + fields.substr(0, end_of_first) + line + "\r\n" + fields.substr(end_of_first) + "\r\n";
    case Place::Last:
        return status_line + fields + line + "\r\n\r\n";
    case Place::InterimResponse:
        return "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n" + line + "\r\n\r\n" + status_line + fields + "\r\n";
    }
    return {};
}

}

// Guards against lines of a head that the caller could read in another way than this VM does.
TEST_CASE("A plain response with a malformed field name is a failure of its upstream at once", "[broken-response]")
{
    auto const place = GENERATE(Place::First, Place::Between, Place::Last, Place::InterimResponse);
    BrokenResponseTest test("plain");
    for (auto const& line : malformed_field_lines(place)) {
        CAPTURE(static_cast<int>(place), line);
        test.broken.response.bytes = head_with(line, place, FIELDS + "Content-Length: 11\r\n") + "wrong body.";
        auto const before = test.broken.requests;
        auto const begun = monotonic_now();
        auto const answer = test.call(test.request_for("/once/x", "r" + std::to_string(before)));
        CHECK_FALSE(answer.error);
        CHECK(answer.head.status == 502);
        CHECK(monotonic_now() - begun < AT_ONCE);
        CHECK(test.broken.requests == before + 1);
    }
}

TEST_CASE("A decode engine's response with a malformed field name is a failure of the engine at once", "[broken-response]")
{
    auto const place = GENERATE(Place::First, Place::Between, Place::Last, Place::InterimResponse);
    BrokenResponseTest test("engines", "decode");
    for (auto const& line : malformed_field_lines(place)) {
        CAPTURE(static_cast<int>(place), line);
        test.broken.response.bytes = head_with(line, place, STREAM_FIELDS + "Content-Length: 24\r\n") + "id: 1\ndata: wrong body\n\n";
        auto const before = test.broken.requests;
        auto const begun = monotonic_now();
        auto const answer = test.call(test.model_request("/stream/x", "r" + std::to_string(before)));
        CHECK_FALSE(answer.error);
        CHECK(answer.head.status == 502);
        CHECK(monotonic_now() - begun < AT_ONCE);
        CHECK(test.broken.requests > before);
    }
}

TEST_CASE("A prefill engine's response with a malformed field name is a failure of the engine at once", "[broken-response]")
{
    auto const place = GENERATE(Place::First, Place::Between, Place::Last, Place::InterimResponse);
    BrokenResponseTest test("engines", "prefill");
    for (auto const& line : malformed_field_lines(place)) {
        CAPTURE(static_cast<int>(place), line);
        test.broken.response.bytes = head_with(line, place, FIELDS + "Content-Length: 43\r\n") + CACHE;
        auto const before = test.broken.requests;
        auto const begun = monotonic_now();
        auto const answer = test.call(test.model_request("/stream/x", "r" + std::to_string(before)));
        CHECK_FALSE(answer.error);
        // Without a prefill, the request has not run, or the decode engine has read the prompt itself.
        CHECK((answer.head.status == 503 || answer.body == ALL_EVENTS));
        CHECK(monotonic_now() - begun < AT_ONCE);
        CHECK(test.broken.requests > before);
    }
}
