// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <Tests/Platform/NodeUnderTest.h>
#include <Tests/Platform/RawUpstream.h>
#include <catch2/catch.hpp>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

/// A node that changes roles, and four engines of which three read prompts; one is enough for what comes.
struct RoleTest {
    RoleTest()
    {
        this->test.configure(1);
        for (auto* engine : { &this->first, &this->second, &this->third, &this->decode })
            this->test.list(*engine, "engines");
    }

    std::size_t orders() const { return this->first.orders.size() + this->second.orders.size() + this->third.orders.size() + this->decode.orders.size(); }

    NodeUnderTest test { [](NodeSettings& settings) {
        settings.role_changes = NodeSettings::RoleChanges::On;
    } };
    UpstreamStandIn first { test.loop, "i-1", "prefill" };
    UpstreamStandIn second { test.loop, "i-2", "prefill" };
    UpstreamStandIn third { test.loop, "i-3", "prefill" };
    UpstreamStandIn decode { test.loop, "i-4", "decode" };
};

/// A prefill engine that takes orders, and sends each status again before its next response on the same connection.
class RepeatingEngine {
public:
    explicit RepeatingEngine(asio::io_context& loop)
        : server(loop, [this](auto& socket) { return this->serve(socket); })
    {
    }

    Address const& address() const { return this->server.address(); }

    int orders = 0;
    int prefills = 0;

private:
    static std::string response(std::string const& status, std::string const& fields, std::string const& body)
    {
        return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    std::string respond(std::string const& head)
    {
        if (head.starts_with("GET /v1/report"))
            return response("200 OK", {}, R"({"phase":"prefill","busy_slots":false,"call_seq":)" + std::to_string(this->orders) + "}");
        if (head.starts_with("POST /v1/order")) {
            ++this->orders;
            return response("202 Accepted", {}, {});
        }
        auto const identifier = RawUpstream::identifier_of(head);
        if (identifier.empty())
            return response("404 Not Found", {}, {});
        ++this->prefills;
        return response("200 OK", "X-Spurtide-Attempt-Id: " + identifier + "\r\nX-Spurtide-Server-Stamp: s\r\n", R"({"kv_handle":"h","tokens":1000,"version":1})");
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
            auto const answer = this->respond(head);
            auto const bytes = late + answer;
            late = head.starts_with("GET /v1/report") ? answer : std::string();
            co_await asio::async_write(socket, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
        }
    }

    RawUpstream server;
};

}

TEST_CASE("Engines are ordered to the roles that are needed, by one holder and after their last order", "[lapsed-lease]")
{
    RoleTest roles;
    REQUIRE(roles.test.run_until([&] { return roles.orders() == 2; }));
    CHECK(roles.decode.orders.empty());
    CHECK(roles.test.store.value("leases", "roles"));
    for (auto const* engine : { &roles.first, &roles.second, &roles.third }) {
        for (auto const& order : engine->orders) {
            CHECK(order.at("phase") == "decode");
            CHECK(order.at("holder") == *roles.test.store.value("leases", "roles"));
        }
        CHECK(engine->orders.size() <= 1);
    }
    // An engine that changes takes nothing; the one that stays reads.
    auto const answer = roles.test.call(roles.test.model_request("/stream/x", "s1"));
    CHECK(answer.head.status == 200);
    for (auto const* engine : { &roles.first, &roles.second, &roles.third })
        CHECK(engine->handles.size() == (engine->orders.empty() ? 1 : 0));
}

TEST_CASE("Another's lease is waited out before anything is ordered", "[lapsed-lease]")
{
    RoleTest roles;
    roles.test.store.put("leases", "roles", "another");
    auto const begun = monotonic_now();
    REQUIRE(roles.test.run_until([&] { return roles.orders() > 0; }));
    CHECK(monotonic_now() - begun >= seconds(6));
}

TEST_CASE("A lease whose write was lost is read back, not written on", "[answer-lost]")
{
    RoleTest roles;
    roles.test.store.set_fault(StoreStandIn::Fault::LostWrites);
    REQUIRE(roles.test.run_until([&] { return roles.orders() == 2; }));
    CHECK(roles.test.store.writes <= 2);
}

TEST_CASE("While the store is away nothing is ordered, and requests go on", "[platform-down]")
{
    RoleTest roles;
    auto const fault = GENERATE(StoreStandIn::Fault::Busy, StoreStandIn::Fault::TooMany);
    roles.test.store.set_fault(fault);
    roles.test.run_until([&] { return roles.orders() > 0; }, milliseconds(3000));
    CHECK(roles.orders() == 0);
    CHECK(roles.test.call(roles.test.model_request("/stream/x", "s1")).head.status == 200);
    roles.test.store.set_fault(StoreStandIn::Fault::None);
    CHECK(roles.test.run_until([&] { return roles.orders() == 2; }));
}

TEST_CASE("An engine that changes counts with the role it will have", "[config]")
{
    NodeUnderTest test([](NodeSettings& settings) {
        settings.role_changes = NodeSettings::RoleChanges::On;
    });
    test.configure(1);
    std::vector<std::unique_ptr<UpstreamStandIn>> engines;
    for (int i = 0; i < 6; ++i) {
        engines.push_back(std::make_unique<UpstreamStandIn>(test.loop, "i-" + std::to_string(i), i < 5 ? "prefill" : "decode"));
        test.list(*engines.back(), "engines");
    }
    auto const orders = [&] {
        std::size_t count = 0;
        for (auto const& engine : engines)
            count += engine->orders.size();
        return count;
    };
    REQUIRE(test.run_until([&] { return orders() == 3; }));
    // Two of six read while nothing is known: each look after that, for as long as the lease is good, orders nothing.
    test.run_until([&] { return orders() > 3; }, milliseconds(1500));
    REQUIRE(orders() == 3);
}

// Guards against a late copy of an engine's status that is read as the response to the order that follows it: the order counted as not
// accepted, and the engine got requests while it changed its role.
TEST_CASE("A late copy of a status says nothing about an order", "[late]")
{
    NodeUnderTest test([](NodeSettings& settings) {
        settings.role_changes = NodeSettings::RoleChanges::On;
    });
    test.configure(1);
    std::vector<std::unique_ptr<RepeatingEngine>> engines;
    for (int i = 0; i < 3; ++i) {
        engines.push_back(std::make_unique<RepeatingEngine>(test.loop));
        UpstreamStandIn entry(test.loop, "i-" + std::to_string(i), "prefill");
        entry.listed_address = engines.back()->address();
        test.list(entry, "engines");
    }
    UpstreamStandIn decode(test.loop, "i-3", "decode");
    test.list(decode, "engines");
    auto const count = [&](int RepeatingEngine::*counter) {
        int sum = 0;
        for (auto const& engine : engines)
            sum += (*engine).*counter;
        return sum;
    };
    REQUIRE(test.run_until([&] { return count(&RepeatingEngine::orders) == 2; }));
    for (int i = 0; i < 6; ++i)
        CHECK(test.call(test.model_request("/stream/x", "s" + std::to_string(i))).head.status == 200);
    CHECK(count(&RepeatingEngine::prefills) == 6);
    for (auto const& engine : engines)
        CHECK((engine->orders == 0 || engine->prefills == 0));
}
