// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/LogLine.h>
#include <Tests/Platform/PartitionedDeployment.h>
#include <array>
#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

// Guards against responses to HEAD that announce a length of 0 in place of the upstream's.

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

/// How an upstream announces the body that a GET would have.
enum class Announcement {
    Length,
    EmptyBody,
    Chunked,
};

constexpr std::array ANNOUNCEMENTS { Announcement::Length, Announcement::EmptyBody, Announcement::Chunked };

std::optional<std::string_view> expected_length(Announcement announcement)
{
    switch (announcement) {
    case Announcement::Length:
        return "11";
    case Announcement::EmptyBody:
        return "0";
    default:
        return {};
    }
}

UpstreamStandIn::Script announce(UpstreamStandIn& upstream, Announcement const& announcement)
{
    return [&](HttpExchange& exchange) -> asio::awaitable<bool> {
        if (exchange.request().head.method != "HEAD")
            co_return false;
        auto head = upstream.answer_head(exchange, 200);
        if (auto const length = expected_length(announcement))
            head.headers.add("Content-Length", *length);
        else
            head.headers.add("Transfer-Encoding", "chunked");
        static_cast<void>(co_await exchange.begin(std::move(head), BodyFraming::None));
        static_cast<void>(co_await exchange.finish());
        co_return true;
    };
}

/// Sends HEAD and then GET on one connection, and returns both responses.
std::vector<CallerAnswer> call_head_and_get(NodeUnderTest& test, Address const& address, std::string const& identifier)
{
    std::vector<CallerAnswer> answers;
    bool is_over = false;
    auto const carry = [&]() -> asio::awaitable<void> {
        auto connected = co_await HttpConnection::connect(address, seconds(1), {});
        auto const connection = connected.release_value();
        connection->set_deadline(monotonic_now() + seconds(10));
        for (std::string const method : { "HEAD", "GET" }) {
            auto const request = test.request(method, "/safe/x", identifier + method);
            connection->send(format_request_head(request.head), nullptr, method == "HEAD" ? MessageParser::ExpectedBody::None : MessageParser::ExpectedBody::AsFramed);
            auto answer = co_await NodeUnderTest::read_answer(connection);
            answers.push_back(std::move(answer));
        }
        is_over = true;
    };
    asio::co_spawn(test.loop, carry(), asio::detached);
    REQUIRE(test.run_until([&] { return is_over; }));
    return answers;
}

void check_answers(std::vector<CallerAnswer> const& answers, Announcement announcement)
{
    CAPTURE(static_cast<int>(announcement));
    REQUIRE(answers.size() == 2);
    auto const& answer = answers[0];
    CHECK_FALSE(answer.error);
    CHECK(answer.head.status == 200);
    CHECK(answer.body.empty());
    CHECK(answer.head.headers.contains("X-Spurtide-Server-Stamp"));
    CHECK(answer.head.headers.find("Content-Length") == expected_length(announcement));
    CHECK(answer.head.headers.count("Content-Length") <= 1);
    CHECK_FALSE(answer.head.headers.contains("Transfer-Encoding"));
    for (auto const& field : answer.head.headers.all())
        CHECK_FALSE(field.name.starts_with("Spurtide-Relay"));
    CHECK_FALSE(answers[1].error);
    CHECK(answers[1].head.status == 200);
    CHECK(answers[1].body.starts_with("answer of "));
}

}

TEST_CASE("The response to HEAD carries the upstream's Content-Length and its connection stays usable", "[whole]")
{
    NodeUnderTest test;
    UpstreamStandIn plain(test.loop, "i-1");
    auto announcement = Announcement::Length;
    plain.script = announce(plain, announcement);
    test.configure(1);
    test.list(plain, "plain");
    for (auto const each : ANNOUNCEMENTS) {
        announcement = each;
        check_answers(call_head_and_get(test, test.node->caller_address(), "r" + std::to_string(static_cast<int>(each))), each);
    }
    // Responses without a body leave the upstream's connection usable too.
    CHECK(plain.connection_count() == 1);
}

TEST_CASE("The response to HEAD carries the upstream's Content-Length through a relaying VM", "[whole][partitioned-vm]")
{
    PartitionedDeployment test;
    test.configure(1);
    auto announcement = Announcement::Length;
    for (std::string const identity : { "i-0", "i-1", "i-2" }) {
        auto& upstream = test.add_upstream(identity, "plain");
        upstream.script = announce(upstream, announcement);
    }
    auto const& partitioned = test.add_virtual_machine("vm-2");
    test.set_condition("vm-2", UpstreamPath::Condition::Reset);
    int relayed = 0;
    LogLine::set_observer([&](std::string_view line) { relayed += line.find("event=request_relayed ") != std::string_view::npos ? 1 : 0; });
    test.serve_for(PartitionedDeployment::DETECTION_TIME, partitioned.caller_address(), "/safe/x");
    for (auto const each : ANNOUNCEMENTS) {
        announcement = each;
        relayed = 0;
        check_answers(call_head_and_get(test, partitioned.caller_address(), "r" + std::to_string(static_cast<int>(each))), each);
        CHECK(relayed >= 2);
    }
    LogLine::set_observer({});
}
