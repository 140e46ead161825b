// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <Tests/Platform/NodeUnderTest.h>
#include <catch2/catch.hpp>
#include <fstream>
#include <platform/PlatformDocuments.h>
#include <random>
#include <sstream>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

std::string corpus(std::string const& name)
{
    std::ifstream file(std::string(CORPUS_FOLDER) + "/" + name + ".json");
    REQUIRE(file);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

nlohmann::json entry() { return nlohmann::json::parse(corpus("server-entry")); }

/// What another writer may leave in the place of a value.
nlohmann::json foreign_value(std::mt19937& random)
{
    switch (random() % 10) {
    case 0:
        return nullptr;
    case 1:
        return -1;
    case 2:
        return 1e300;
    case 3:
        return std::uint64_t { 18446744073709551615U };
    case 4:
        return "";
    case 5:
        return "text\r\nX-Other: 1";
    case 6:
        return nlohmann::json::array({ 1, "a", nullptr });
    case 7:
        return { { "name", 3 } };
    case 8:
        return 0.5;
    default:
        return true;
    }
}

/// Puts foreign values for some of those within, or takes them away.
void damage_values(nlohmann::json& json, std::mt19937& random)
{
    if (!json.is_structured())
        return;
    for (auto position = json.begin(); position != json.end(); ++position) {
        if (random() % 8 == 0)
            *position = foreign_value(random);
        else
            damage_values(*position, random);
    }
    if (json.is_object() && !json.empty() && random() % 8 == 0)
        json.erase(json.begin());
}

std::string damaged(std::string const& text, std::mt19937& random)
{
    auto json = nlohmann::json::parse(text);
    damage_values(json, random);
    auto changed = json.dump();
    if (random() % 3 == 0)
        changed[random() % changed.size()] = static_cast<char>(random() % 256);
    if (random() % 8 == 0)
        changed.resize(random() % changed.size());
    return changed;
}

}

TEST_CASE("Whatever stands in the platform's documents, readers give a value or a typed fault", "[bad-input]")
{
    constexpr int ROUNDS = 4000;
    std::mt19937 random(20261203);
    PlatformDialect const dialect;
    auto const documents = std::array { corpus("server-entry"), corpus("server-report"), corpus("held-cache"), corpus("cached-prompts"), corpus("store-row"), corpus("quarantine-row"), corpus("configuration") };
    int readable = 0;
    for (int round = 0; round < ROUNDS; ++round) {
        for (auto const& document : documents) {
            auto const text = damaged(document, random);
            CAPTURE(text);
            if (auto const record = read_server_row("i-1", text)) {
                ++readable;
                CHECK(record->slots > 0);
            }
            if (auto const cache = dialect.read_prefill_cache(text); !cache.is_error())
                CHECK(cache.value().handle.find('\r') == std::string::npos);
            static_cast<void>(dialect.read_engine_status(text));
            if (auto const entry = read_quarantine_row("00112233445566778899aabbccddeeff", text)) {
                Quarantine quarantine { Quarantine::Options {} };
                quarantine.merge(*entry, 1'767'225'600'000);
                CHECK(quarantine.held_for(entry->request, 1'767'225'600'000).value_or(Duration::zero()) < seconds(100 * 3600));
            }
            static_cast<void>(dialect.read_cached_prompts(text));
            if (auto const read = read_configuration_row(text); !read.is_error()) {
                RouteTable const table(read.value());
                for (auto const& route : table.configuration().routes) {
                    CHECK(route.timeout >= Duration::zero());
                    static_cast<void>(table.find(route.host, route.path_prefix));
                    static_cast<void>(table.service(route.target_for(random())));
                }
            }
            static_cast<void>(read_store_row(nlohmann::json::parse(text, nullptr, false)));
        }
    }
    // It is not all rejected either.
    CHECK(readable > ROUNDS / 20);
}

TEST_CASE("An entry of another writer names no upstream to use", "[bad-input][leaving]")
{
    REQUIRE(read_server_row("i-1", entry().dump()));
    CHECK(read_server_row("i-1", entry().dump())->started == 1'767'225'600'000);
    for (auto const* field : { "service", "address", "zone", "version", "slots", "state", "cold_left_ms", "call_seq" }) {
        CAPTURE(field);
        auto without = entry();
        without.erase(field);
        CHECK_FALSE(read_server_row("i-1", without.dump()));
        auto of_another_type = entry();
        of_another_type[field] = nlohmann::json::array();
        CHECK_FALSE(read_server_row("i-1", of_another_type.dump()));
    }
    auto const changed = [](char const* field, nlohmann::json value) {
        auto json = entry();
        json[field] = std::move(value);
        return json.dump();
    };
    CHECK_FALSE(read_server_row("i-1", changed("state", "resting")));
    CHECK_FALSE(read_server_row("i-1", changed("phase", "both")));
    CHECK_FALSE(read_server_row("i-1", changed("phase", 3)));
    CHECK_FALSE(read_server_row("i-1", changed("address", "nowhere")));
    CHECK_FALSE(read_server_row("i-1", changed("slots", 0)));
    CHECK_FALSE(read_server_row("i-1", changed("slots", 1e300)));
    CHECK_FALSE(read_server_row("i-1", changed("call_seq", -1)));
    CHECK_FALSE(read_server_row("i-1", changed("born", "yesterday")));
    CHECK_FALSE(read_server_row("i 1\r\nX-Other: 1", entry().dump()));
    auto without_born = entry();
    without_born.erase("born");
    CHECK(read_server_row("i-1", without_born.dump()));
}

TEST_CASE("Beside entries of another writer the others are served", "[bad-input]")
{
    NodeUnderTest test;
    UpstreamStandIn plain(test.loop, "i-1");
    test.configure(1);
    for (auto const& foreign : std::vector<nlohmann::json> { nullptr, 3, "text", nlohmann::json::array(), { { "service", 7 } }, { { "service", "plain" }, { "address", 1 }, { "state", "ready" } }, { { "service", "plain" }, { "address", "127.0.0.1:1" }, { "state", "resting" } } })
        test.store.put("servers", "x-" + std::to_string(foreign.dump().size()), foreign);
    test.list(plain, "plain");
    for (int i = 0; i < 5; ++i)
        CHECK(test.call(test.request("GET", "/safe/x", "a" + std::to_string(i))).head.status == 200);
}

TEST_CASE("A caller that names a time or a length beyond all measure is served as one that names a long one", "[bad-input]")
{
    NodeUnderTest test;
    UpstreamStandIn plain(test.loop, "i-1");
    test.configure(1);
    test.list(plain, "plain");
    HttpRequest request { { "GET", "/safe/x", {} }, {} };
    request.head.headers.add("Host", "h.example");
    request.head.headers.add("X-Spurtide-Attempt-Id", "a");
    request.head.headers.add("X-Spurtide-Deadline-Ms", "9223372036854775807");
    request.head.headers.add("X-Spurtide-Token-Count", "9223372036854775807,9223372036854775807");
    CHECK(test.call(request).head.status == 200);
}
