// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibAsync/MessageParser.h>
#include <catch2/catch.hpp>
#include <random>

using namespace Spurtide;

namespace {

struct Parsed {
    std::optional<HttpError> error;
    bool complete = false;
    std::string body;
    std::size_t consumed = 0;
    HttpRequestHead head;
};

Parsed parse_request(std::string const& bytes, std::size_t piece)
{
    MessageParser parser(MessageParser::Kind::Request);
    Parsed parsed;
    std::string unread;
    for (std::size_t at = 0; at < bytes.size() && !parser.is_complete(); at += piece) {
        unread += bytes.substr(at, piece);
        auto const consumed = parser.feed(unread);
        if (consumed.is_error()) {
            parsed.error = consumed.error();
            return parsed;
        }
        unread.erase(0, consumed.value());
        parsed.consumed += consumed.value();
        parsed.body += parser.take_body();
    }
    parsed.complete = parser.is_complete();
    if (parser.has_head())
        parsed.head = parser.take_request_head();
    return parsed;
}

}

TEST_CASE("Requests are read whatever the pieces they come in")
{
    auto const piece = GENERATE(std::size_t { 1 }, std::size_t { 2 }, std::size_t { 7 }, std::size_t { 4096 });
    auto const chunked = parse_request("POST /a?b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6\r\n world\r\n0\r\nTrailer: x\r\n\r\nGET / HTTP/1.1\r\n", piece);
    REQUIRE_FALSE(chunked.error);
    REQUIRE(chunked.complete);
    REQUIRE(chunked.body == "hello world");
    REQUIRE(chunked.head.method == "POST");
    REQUIRE(chunked.head.target == "/a?b");
    REQUIRE(chunked.head.headers.find("hOST") == "h");
    REQUIRE_FALSE(chunked.head.headers.contains("Trailer"));
    auto const counted = parse_request("POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcdef", piece);
    REQUIRE(counted.complete);
    REQUIRE(counted.body == "abc");
}

TEST_CASE("What could be read in two ways is no request", "[whole]")
{
    auto const bytes = GENERATE(as<std::string> {},
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1x\r\n\r\na",
        "POST / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        "POST / HTTP/1.1\r\nBad Name: h\r\n\r\n",
        "POST / HTTP/1.1\r\nTransfer-Encoding : chunked\r\n\r\n",
        "POST / HTTP/1.1\r\n: h\r\n\r\n",
        "POST / HTTP/2.0\r\nHost: h\r\n\r\n",
        "\x16\x03\x01 garbage\r\n\r\n");
    CAPTURE(bytes);
    REQUIRE(parse_request(bytes, 4096).error);
    REQUIRE(parse_request(bytes, 1).error);
}

TEST_CASE("A head that grows beyond its limit is refused")
{
    auto const huge = "GET / HTTP/1.1\r\nX: " + std::string(20'000, 'x') + "\r\n\r\n";
    REQUIRE(parse_request(huge, 1000).error == HttpError::HeadTooLarge);
    REQUIRE(parse_request("POST / HTTP/1.1\r\nContent-Length: 20000\r\n\r\n" + std::string(20'000, 'x'), 50'000).complete);
}

// Guards against heads of thousands of short fields, which take twenty times the memory of their bytes.
TEST_CASE("A head of more fields than any sound peer sends is refused")
{
    auto const head_of = [](int fields) {
        std::string head = "GET / HTTP/1.1\r\nHost: h\r\n";
        for (int i = 1; i < fields; ++i)
            head += "a:b\r\n";
        return head + "\r\n";
    };
    CHECK(parse_request(head_of(128), 64).complete);
    auto const parsed = parse_request(head_of(129), 64);
    REQUIRE(parsed.error);
    CHECK(*parsed.error == HttpError::HeadTooLarge);
}

TEST_CASE("The end of the connection ends only an answer that is framed by it", "[whole]")
{
    struct Case {
        std::string bytes;
        bool whole;
    };
    auto const given = GENERATE(
        Case { "HTTP/1.1 200 OK\r\n\r\nabc", true }, Case { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc", false },
        Case { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", false }, Case { "HTTP/1.1 200 O", false }, Case { "", false });
    CAPTURE(given.bytes);
    MessageParser parser(MessageParser::Kind::Response);
    REQUIRE_FALSE(parser.feed(given.bytes).is_error());
    REQUIRE(parser.feed_end().is_error() == !given.whole);
}

// Guards against responses that are taken for whole although their server stopped within the head.
TEST_CASE("The end of the connection within a head is never the end of a response", "[whole]")
{
    std::string const fields = "X-A: b\r\nContent-Type: text/event-stream\r\n";
    auto const head = GENERATE_COPY(values<std::string>({
        "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 12\r\n\r\n",
        "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n",
        "HTTP/1.1 200 OK\r\n" + fields + "Connection: close\r\n\r\n",
        "HTTP/1.0 200 OK\r\n" + fields + "\r\n",
        "HTTP/1.1 204 No Content\r\n" + fields + "\r\n",
        "HTTP/1.1 200 OK\n"
        "X-A: b\n\n",
    }));
    auto const expected_body = GENERATE(MessageParser::ExpectedBody::AsFramed, MessageParser::ExpectedBody::None);
    for (bool const has_interim_response : { false, true }) {
        for (std::size_t size = 0; size < head.size(); ++size) {
            CAPTURE(head, size, has_interim_response);
            MessageParser parser(MessageParser::Kind::Response);
            parser.start(expected_body);
            if (has_interim_response) {
                REQUIRE_FALSE(parser.feed("HTTP/1.1 100 Continue\r\n\r\n").is_error());
                parser.start(expected_body);
            }
            REQUIRE_FALSE(parser.feed(std::string_view(head).substr(0, size)).is_error());
            CHECK(parser.feed_end().is_error());
            CHECK_FALSE(parser.is_complete());
        }
    }
}

TEST_CASE("Damaged requests never crash the reader and never read beyond their bytes")
{
    std::string const whole = "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
    std::mt19937 random(20261202);
    for (int round = 0; round < 20'000; ++round) {
        auto bytes = whole;
        for (int change = 0; change < 3; ++change)
            bytes[random() % bytes.size()] = static_cast<char>(random() % 256);
        bytes.resize(random() % (bytes.size() + 1));
        auto const parsed = parse_request(bytes, 1 + random() % 40);
        REQUIRE(parsed.consumed <= bytes.size());
    }
}

namespace {

/// The bytes that a response's reader takes before it fails; nothing if it takes them all.
std::optional<std::size_t> bytes_to_failure(std::string_view bytes)
{
    MessageParser parser(MessageParser::Kind::Response);
    for (std::size_t size = 1; size <= bytes.size(); ++size) {
        if (parser.feed(bytes.substr(size - 1, 1)).is_error())
            return size;
    }
    return {};
}

}

// Guards against callers that get a status that no HTTP server means, or wait for a body that cannot be used.
TEST_CASE("A response of an unusable status fails at its status line", "[broken-response]")
{
    auto const status = GENERATE(values<std::string>({ "000", "001", "099", "0", "00", "7", "42", "600", "700", "999", "101", "0200", "1000", "2000", "-200", "2 00", "x00", "" }));
    auto const rest = GENERATE(values<std::string>({ " Trouble\r\n", " \r\n", "\r\n", "\n" }));
    CAPTURE(status, rest);
    std::string const status_line = "HTTP/1.1 " + status + rest;
    auto const failed_at = bytes_to_failure(status_line + "Content-Length: 0\r\n\r\n");
    REQUIRE(failed_at);
    CHECK(*failed_at <= status_line.size());
    MessageParser parser(MessageParser::Kind::Response);
    CHECK(parser.feed(status_line).is_error());
}

TEST_CASE("A response of a usable status is read", "[broken-response]")
{
    auto const status = GENERATE(values<std::string>({ "100", "102", "103", "199", "200", "204", "299", "304", "404", "500", "599" }));
    auto const rest = GENERATE(values<std::string>({ " Fine\r\n", " \r\n", "\r\n", "\n" }));
    CAPTURE(status, rest);
    CHECK_FALSE(bytes_to_failure("HTTP/1.1 " + status + rest + "Content-Length: 0\r\n\r\n"));
}
