// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/LogLine.h>
#include <Tests/Platform/NodeUnderTest.h>
#include <Tests/Platform/PeerVirtualMachine.h>
#include <catch2/catch.hpp>
#include <platform/PlatformDocuments.h>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

constexpr auto KEY = "key-of-masons";
constexpr auto OTHER_KEY = "key-of-roofers";

nlohmann::json account(std::string const& name, std::vector<std::string> const& keys)
{
    return { { "name", name }, { "api_keys", keys }, { "priority", 1 }, { "unit", "tokens" }, { "plain_tokens", 200 }, { "rate_per_s", 1'000'000 }, { "burst", 1'000'000 } };
}

/// Both accounts; the routes ask for keys but for one that is open.
void add_accounts(nlohmann::json& json)
{
    json["tenants"] = { account("masons", { KEY }), account("roofers", { OTHER_KEY }) };
    auto open = json["routes"][0];
    open["name"] = "open";
    open["path_prefix"] = "/open/";
    open["no_auth"] = true;
    json["routes"].push_back(open);
}

HttpRequest with_key(HttpRequest request, std::string const& key)
{
    request.head.headers.add("X-Api-Key", key);
    return request;
}

std::string account_seen(HttpRequest const& request) { return std::string(request.head.headers.find("X-Spurtide-Tenant").value_or("none")); }

bool shows_a_key(HttpRequest const& request)
{
    auto const& fields = request.head.headers.all();
    return std::any_of(fields.begin(), fields.end(), [](auto const& field) { return equal_names(field.name, "X-Api-Key") || field.value.find("key-of-") != std::string::npos; });
}

nlohmann::json configuration_with(nlohmann::json accounts) { return { { "version", 1 }, { "tenants", std::move(accounts) } }; }

}

TEST_CASE("A caller without the key of an account is turned away, and nothing of it is sent", "[keys]")
{
    NodeUnderTest test;
    UpstreamStandIn plain(test.loop, "i-1");
    test.configure(1, add_accounts);
    test.list(plain, "plain");
    CHECK(test.call(test.request("GET", "/safe/x", "a")).head.status == 401);
    CHECK(test.call(with_key(test.request("GET", "/safe/x", "b"), "no-such-key")).head.status == 401);
    CHECK(test.call(with_key(test.request("GET", "/safe/x", "c"), "")).head.status == 401);
    CHECK(test.call(with_key(test.model_request("/stream/x", "d"), "no-such-key")).head.status == 401);
    // Whose a request with two keys is nobody can say.
    CHECK(test.call(with_key(with_key(test.request("GET", "/safe/x", "e"), KEY), OTHER_KEY)).head.status == 401);
    // That there is no route is said to anybody.
    CHECK(test.call(test.request("GET", "/none/x", "f")).head.status == 404);
    CHECK(plain.requests.empty());
    CHECK(test.call(with_key(test.request("GET", "/safe/x", "g"), KEY)).head.status == 200);
}

TEST_CASE("Without a configuration a key is not called unknown", "[keys][config]")
{
    NodeUnderTest test;
    CHECK(test.call(with_key(test.request("GET", "/safe/x", "a"), "no-such-key")).head.status == 503);
}

TEST_CASE("Upstreams are told the account, on every send, and never the key", "[keys]")
{
    NodeUnderTest test;
    UpstreamStandIn plain(test.loop, "i-1");
    UpstreamStandIn prefill(test.loop, "i-p", "prefill");
    UpstreamStandIn decode(test.loop, "i-d", "decode");
    test.configure(1, add_accounts);
    test.list(plain, "plain");
    test.list(prefill, "engines");
    test.list(decode, "engines");
    auto forged = with_key(test.request("GET", "/safe/x", "a"), KEY);
    forged.head.headers.add("x-spurtide-TENANT", "roofers");
    REQUIRE(test.call(forged).head.status == 200);
    REQUIRE(test.call(with_key(test.request("POST", "/once/x", "b"), OTHER_KEY)).head.status == 200);
    auto lower = test.request("GET", "/safe/x", "c");
    lower.head.headers.add("x-api-key", KEY);
    REQUIRE(test.call(lower).head.status == 200);
    REQUIRE(test.call(with_key(test.model_request("/stream/x", "d"), OTHER_KEY)).head.status == 200);
    REQUIRE(plain.requests.size() == 3);
    CHECK(account_seen(plain.requests[0]) == "masons");
    CHECK(account_seen(plain.requests[1]) == "roofers");
    CHECK(account_seen(plain.requests[2]) == "masons");
    REQUIRE(prefill.requests.size() == 1);
    REQUIRE(decode.requests.size() == 1);
    CHECK(account_seen(prefill.requests[0]) == "roofers");
    CHECK(account_seen(decode.requests[0]) == "roofers");
    for (auto const* upstream : { &plain, &prefill, &decode }) {
        for (auto const& request : upstream->requests)
            CHECK_FALSE(shows_a_key(request));
    }
}

TEST_CASE("An open route takes anybody, and names the account of those who have one", "[keys]")
{
    NodeUnderTest test;
    UpstreamStandIn plain(test.loop, "i-1");
    test.configure(1, add_accounts);
    test.list(plain, "plain");
    REQUIRE(test.call(test.request("GET", "/open/x", "a")).head.status == 200);
    REQUIRE(test.call(with_key(test.request("GET", "/open/x", "b"), "no-such-key")).head.status == 200);
    REQUIRE(test.call(with_key(test.request("GET", "/open/x", "c"), KEY)).head.status == 200);
    auto forged = test.request("GET", "/open/x", "d");
    forged.head.headers.add("X-Spurtide-Tenant", "roofers");
    REQUIRE(test.call(forged).head.status == 200);
    CHECK(account_seen(plain.requests[0]) == "none");
    CHECK(account_seen(plain.requests[1]) == "none");
    CHECK(account_seen(plain.requests[2]) == "masons");
    CHECK(account_seen(plain.requests[3]) == "none");
    for (auto const& request : plain.requests)
        CHECK_FALSE(shows_a_key(request));
}

TEST_CASE("A key that is taken away is refused, also to a request that waits for a place", "[keys][config][revoke]")
{
    NodeUnderTest test;
    UpstreamStandIn prefill(test.loop, "i-p", "prefill");
    UpstreamStandIn decode(test.loop, "i-d", "decode");
    test.configure(1, add_accounts);
    test.list(prefill, "engines");
    test.list(decode, "engines");
    // The key goes while the prompt is read; the answer is not begun then.
    bool is_reading = false;
    bool may_end = false;
    prefill.script = [&](HttpExchange&) -> asio::awaitable<bool> {
        is_reading = true;
        asio::steady_timer timer(test.loop);
        while (!may_end) {
            timer.expires_after(std::chrono::milliseconds(1));
            co_await timer.async_wait(asio::use_awaitable);
        }
        co_return false;
    };
    std::optional<int> status;
    auto const carry = [&]() -> asio::awaitable<void> {
        auto connected = co_await HttpConnection::connect(test.node->caller_address(), seconds(1), {});
        auto const connection = connected.release_value();
        connection->set_deadline(monotonic_now() + seconds(10));
        auto const made = with_key(test.model_request("/stream/x", "a"), KEY);
        connection->send(format_request_head(made.head), std::make_shared<std::string const>(made.body));
        auto const head = co_await connection->read_head();
        status = head.is_error() ? 0 : head.value().status;
        connection->abort();
    };
    asio::co_spawn(test.loop, carry(), asio::detached);
    REQUIRE(test.run_until([&] { return is_reading; }));
    test.configure(2, [](auto& json) {
        add_accounts(json);
        json["tenants"].erase(0);
    });
    may_end = true;
    REQUIRE(test.run_until([&] { return status.has_value(); }));
    CHECK(*status == 401);
    CHECK(decode.run.empty());
    // Nobody takes what was read for it.
    REQUIRE(test.run_until([&] { return !prefill.freed.empty(); }));
    CHECK(test.call(with_key(test.model_request("/stream/x", "b"), KEY)).head.status == 401);
    CHECK(test.call(with_key(test.model_request("/stream/x", "c"), OTHER_KEY)).head.status == 200);
}

TEST_CASE("What is over an account's limit is refused at once with when to come back, and others are not", "[quota]")
{
    NodeUnderTest test;
    UpstreamStandIn plain(test.loop, "i-1");
    test.configure(1, [](auto& json) {
        add_accounts(json);
        json["tenants"][0]["rate_per_s"] = 1;
        json["tenants"][0]["burst"] = 450;
    });
    test.list(plain, "plain");
    // 200 tokens a call: two fit into the burst and the eight of the rate.
    CHECK(test.call(with_key(test.request("GET", "/safe/x", "a"), KEY)).head.status == 200);
    CHECK(test.call(with_key(test.request("POST", "/once/x", "b"), KEY)).head.status == 200);
    auto const refused = test.call(with_key(test.request("POST", "/once/x", "c"), KEY));
    CHECK(refused.head.status == 429);
    auto const retry_after = refused.head.headers.find("Retry-After");
    REQUIRE(retry_after);
    // When the rate has made good what is missing: 453 may be used at once, and 400 were.
    CHECK(std::stod(std::string(*retry_after)) > 100);
    CHECK(std::stod(std::string(*retry_after)) < 150);
    CHECK(plain.requests.size() == 2);
    CHECK(test.call(with_key(test.request("POST", "/once/x", "d"), OTHER_KEY)).head.status == 200);
}

// The pattern: a data centre is cut off, and for the seconds in which each side only suspects the other both give out
// the whole limit.
TEST_CASE("Beside a VM that fell silent an account gets this side's part of its limit alone", "[quota][cut]")
{
    NodeUnderTest test;
    UpstreamStandIn plain(test.loop, "i-1");
    test.configure(1, [](auto& json) {
        add_accounts(json);
        json["tenants"][0]["rate_per_s"] = 1;
        json["tenants"][0]["burst"] = 1650;
    });
    test.list(plain, "plain");
    PeerVirtualMachine peer(test, "vm-2");
    REQUIRE(peer.is_seen_by(test));
    REQUIRE(PeerVirtualMachine::is_lost_by(test));
    // 200 tokens a call: eight fit into the whole limit.
    int served = 0;
    for (int i = 0; i < 8; ++i)
        served += test.call(with_key(test.request("GET", "/safe/x", "r" + std::to_string(i)), KEY)).head.status == 200 ? 1 : 0;
    CHECK(served == 4);
}

TEST_CASE("What has not run costs an account nothing", "[quota][not-run]")
{
    NodeUnderTest test;
    UpstreamStandIn plain(test.loop, "i-1");
    test.configure(1, [](auto& json) {
        add_accounts(json);
        json["tenants"][0]["rate_per_s"] = 1;
        json["tenants"][0]["burst"] = 250;
    });
    // No upstream yet: refused, and not counted.
    for (auto const* identifier : { "a", "b", "c" })
        CHECK(test.call(with_key(test.request("POST", "/once/x", identifier), KEY)).head.status == 503);
    test.list(plain, "plain");
    CHECK(test.call(with_key(test.request("POST", "/once/x", "d"), KEY)).head.status == 200);
    CHECK(test.call(with_key(test.request("POST", "/once/x", "e"), KEY)).head.status == 429);
}

TEST_CASE("Accounts that make no sense are a fault that names the field, and the last good ones stay", "[keys][config][bad-input]")
{
    using Kind = ConfigurationFault::Kind;
    struct Row {
        nlohmann::json accounts;
        Kind kind;
        std::string field;
    };
    auto const changed = [](char const* key, nlohmann::json value) {
        auto made = account("one", { "a" });
        made[key] = std::move(value);
        return nlohmann::json { made };
    };
    std::vector<Row> const rows {
        { "text", Kind::WrongType, "/tenants" },
        { { 7 }, Kind::WrongType, "/tenants/0" },
        { { account("one", { "a" }), account("", { "b" }) }, Kind::Missing, "/tenants/1/name" },
        { { account("one", { "a" }), account("one", { "b" }) }, Kind::Duplicate, "/tenants/1/name" },
        { { account("one", { "a" }), account("two", { "b", "a" }) }, Kind::Duplicate, "/tenants/1/api_keys" },
        { changed("api_keys", "a"), Kind::WrongType, "/tenants/0/api_keys" },
        { changed("api_keys", { "a", 7 }), Kind::WrongType, "/tenants/0/api_keys/1" },
        { changed("api_keys", { "" }), Kind::WrongType, "/tenants/0/api_keys/0" },
        { changed("unit", "bricks"), Kind::OutOfRange, "/tenants/0/unit" },
        { changed("unit", 1), Kind::WrongType, "/tenants/0/unit" },
        { changed("rate_per_s", "many"), Kind::WrongType, "/tenants/0/rate_per_s" },
        { changed("rate_per_s", -1), Kind::OutOfRange, "/tenants/0/rate_per_s" },
        { changed("burst", nlohmann::json::array()), Kind::WrongType, "/tenants/0/burst" },
        { changed("plain_tokens", -200), Kind::OutOfRange, "/tenants/0/plain_tokens" },
    };
    for (auto const& row : rows) {
        auto const read = read_configuration_row(configuration_with(row.accounts).dump());
        CAPTURE(row.field);
        REQUIRE(read.is_error());
        CHECK(read.error().kind == row.kind);
        CHECK(read.error().field == row.field);
    }
    auto const unlimited = read_configuration_row(configuration_with(changed("rate_per_s", 0)).dump());
    REQUIRE_FALSE(unlimited.is_error());
    CHECK_FALSE(unlimited.value().accounts->find_by_name("one")->limit);

    std::vector<std::string> lines;
    LogLine::set_observer([&](std::string_view line) { lines.emplace_back(line); });
    NodeUnderTest test;
    UpstreamStandIn plain(test.loop, "i-1");
    test.configure(1, add_accounts);
    test.list(plain, "plain");
    auto bad = configuration_with({ account("one", { "secret-a" }), account("two", { "secret-a" }) });
    bad["version"] = 2;
    test.store.put("op", "config", bad);
    auto const is_named = [](std::string const& line) { return line.find("configuration_unreadable") != std::string::npos && line.find("/tenants/1/api_keys") != std::string::npos; };
    REQUIRE(test.run_until([&] { return std::any_of(lines.begin(), lines.end(), is_named); }));
    CHECK(test.node->configuration_version() == 1);
    CHECK(test.call(with_key(test.request("GET", "/safe/x", "a"), KEY)).head.status == 200);
    for (auto const& line : lines) {
        CHECK(line.find("secret-a") == std::string::npos);
        CHECK(line.find(KEY) == std::string::npos);
    }
}
