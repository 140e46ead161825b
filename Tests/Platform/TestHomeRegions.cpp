// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/LogLine.h>
#include <Tests/Platform/TwoDataCentres.h>
#include <catch2/catch.hpp>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

/// A VM in the west, with upstreams of each kind there and in the east.
struct HomeTest : TwoDataCentres {
    HomeTest()
        : TwoDataCentres([](NodeSettings& settings) { settings.regions = { { "dc", "west" }, { "there", "east" } }; })
    {
    }
};

void keep_all_in(nlohmann::json& configuration, std::vector<std::string> const& regions)
{
    for (auto& route : configuration["routes"])
        route["home_regions"] = regions;
}

}

TEST_CASE("What has to stay in a region is sent to its upstreams alone, calls, prompts and answers", "[homes]")
{
    HomeTest test;
    test.configure(1, [](auto& configuration) { keep_all_in(configuration, { "east" }); });
    test.list_all();
    for (int i = 0; i < 5; ++i) {
        CHECK(test.call(test.request("GET", "/safe/x", "a" + std::to_string(i))).head.status == 200);
        CHECK(test.call(test.request("POST", "/once/x", "b" + std::to_string(i))).head.status == 200);
        CHECK(test.call(test.model_request("/stream/x", "c" + std::to_string(i))).head.status == 200);
    }
    CHECK(test.sent_here() == 0);
}

TEST_CASE("Where nothing of the regions is there a request is refused at once, and says so", "[homes][not-run]")
{
    HomeTest test;
    std::vector<std::string> ends;
    LogLine::set_observer([&](std::string_view line) {
        if (line.find("request_end") != std::string_view::npos)
            ends.emplace_back(line);
    });
    auto const regions = GENERATE(std::vector<std::string> { "north" }, std::vector<std::string> { "north", "south" });
    test.configure(1, [&](auto& configuration) { keep_all_in(configuration, regions); });
    test.list_all();
    CHECK(test.call(test.request("GET", "/safe/x", "a")).head.status == 503);
    CHECK(test.call(test.model_request("/stream/x", "b")).head.status == 503);
    CHECK(test.sent_here() + test.sent_there() == 0);
    REQUIRE(ends.size() == 2);
    for (auto const& end : ends)
        CHECK(end.find("reason=no_upstream_in_home_regions") != std::string::npos);
}

TEST_CASE("A second send stays in the regions as the first does", "[homes][kill]")
{
    HomeTest test;
    test.configure(1, [](auto& configuration) { keep_all_in(configuration, { "east" }); });
    test.list_all();
    test.plain_there.script = [](HttpExchange& exchange) -> asio::awaitable<bool> {
        exchange.abort();
        co_return true;
    };
    CHECK(test.call(test.request("GET", "/safe/x", "a")).head.status != 200);
    CHECK(test.sent_here() == 0);
}

TEST_CASE("The regions of an account and of a route both bind", "[homes][accounts]")
{
    HomeTest test;
    test.configure(1, [](auto& configuration) {
        keep_all_in(configuration, { "east", "west" });
        configuration["tenants"] = { { { "name", "a" }, { "api_keys", { "key-a" } }, { "home_regions", { "west" } } }, { { "name", "b" }, { "api_keys", { "key-b" } }, { "home_regions", { "north" } } } };
    });
    test.list_all();
    auto const call = [&](std::string const& key, std::string const& name) {
        auto request = test.request("GET", "/safe/x", name);
        request.head.headers.add("X-Api-Key", key);
        return test.call(request).head.status;
    };
    for (int i = 0; i < 4; ++i)
        CHECK(call("key-a", "a" + std::to_string(i)) == 200);
    CHECK(test.sent_there() == 0);
    CHECK(call("key-b", "b") == 503);
}

TEST_CASE("Regions that cannot be read leave the configuration as it was", "[homes][bad-input][config]")
{
    HomeTest test;
    std::vector<std::string> faults;
    test.configure(1, [](auto& configuration) { keep_all_in(configuration, { "east" }); });
    test.list_all();
    LogLine::set_observer([&](std::string_view line) {
        if (line.find("configuration_unreadable") != std::string_view::npos)
            faults.emplace_back(line);
    });
    auto configuration = nlohmann::json::parse(*test.store.value("op", "config"));
    configuration["version"] = 2;
    configuration["routes"][1]["home_regions"] = GENERATE(nlohmann::json("east"), nlohmann::json { 1, 2 }, nlohmann::json { { "east", true } });
    test.store.put("op", "config", configuration);
    REQUIRE(test.run_until([&] { return !faults.empty(); }));
    CHECK(faults[0].find("/routes/1/home_regions") != std::string::npos);
    CHECK(test.node->configuration_version() == 1);
}
