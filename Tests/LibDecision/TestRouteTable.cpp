// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/RouteTable.h>
#include <catch2/catch.hpp>

using namespace Spurtide;

namespace {

Route route(std::string name, std::string host, std::string prefix)
{
    Route made;
    made.name = std::move(name);
    made.host = std::move(host);
    made.path_prefix = std::move(prefix);
    made.targets = { { "service", 1 } };
    return made;
}

}

TEST_CASE("A request is routed by the longest path prefix of its host")
{
    RoutingConfiguration configuration;
    configuration.routes = { route("all", "a.example", "/"), route("one", "a.example", "/one/"), route("deep", "a.example", "/one/two/"), route("other", "b.example", "/only/") };
    RouteTable const table(configuration);
    struct Case {
        std::string host;
        std::string target;
        /// Empty if no route matches.
        std::string name;
    };
    auto const given = GENERATE(
        Case { "a.example", "/", "all" }, Case { "a.example", "/one", "all" }, Case { "a.example", "/one/", "one" }, Case { "a.example", "/one/x?y=/one/two/", "one" },
        Case { "a.example", "/one/two/three", "deep" }, Case { "A.Example:8080", "/one/two/", "deep" }, Case { "b.example", "/", "" }, Case { "b.example", "/only/x", "other" },
        Case { "c.example", "/one/", "" }, Case { "", "/", "" }, Case { "a.example", "?x=/one/", "" });
    CAPTURE(given.host, given.target);
    auto const* found = table.find(given.host, given.target);
    REQUIRE((found ? found->name : "") == given.name);
}

TEST_CASE("A weighted route sends each target its share")
{
    Route split;
    split.targets = { { "old", 90 }, { "new", 10 } };
    std::map<std::string, int> counts;
    for (std::uint64_t i = 0; i < 1000; ++i)
        ++counts[split.target_for(i)];
    REQUIRE(counts["old"] == 900);
    REQUIRE(counts["new"] == 100);
    split.targets = { { "none", 0 }, { "nothing", 0 } };
    REQUIRE(split.target_for(7) == "none");
}

TEST_CASE("Hosts are compared without port and case")
{
    REQUIRE(normalize_host("Shop.Example:80") == "shop.example");
    REQUIRE(normalize_host("[::1]:80") == "[::1]");
    REQUIRE(normalize_host("[::1]") == "[::1]");
}

TEST_CASE("The connection limit of an upstream is shared among all VMs, including missing ones", "[connections]")
{
    std::vector<ServiceTraits> services(2);
    services[0].maximum_connections = 360;
    services[1].maximum_connections = 100;
    CHECK(idle_connections_per_virtual_machine(services, { 7, 0 }) == 7);
    CHECK(idle_connections_per_virtual_machine(services, { 4, 3 }) == 7);
    CHECK(idle_connections_per_virtual_machine(services, { 1, 0 }) == 32);
    services[1].maximum_connections = 1800;
    CHECK(idle_connections_per_virtual_machine(services, { 986, 0 }) == 1);
    CHECK(idle_connections_per_virtual_machine({}, { 7, 0 }) == 32);
}
