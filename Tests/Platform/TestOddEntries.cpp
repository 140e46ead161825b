// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/LogLine.h>
#include <Tests/Platform/VersionedDeployment.h>
#include <catch2/catch.hpp>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

constexpr int LEVELS = 60'000;

std::string repeat(std::string const& text, int times)
{
    std::string all;
    for (int i = 0; i < times; ++i)
        all += text;
    return all;
}

std::string nested_arrays() { return repeat("[", LEVELS) + repeat("]", LEVELS); }
std::string nested_objects() { return repeat("{\"a\":", LEVELS) + "1" + repeat("}", LEVELS); }

/// The document with text in the place of a field's value, which need not be JSON.
std::string with_field(nlohmann::json json, std::string const& field, std::string const& text)
{
    std::string const mark = "\"the place\"";
    json[field] = "the place";
    auto document = json.dump();
    return document.replace(document.find(mark), mark.size(), text);
}

/// What was left in the place of an entry.
struct OddEntry {
    std::string name;
    std::string bytes;
};

std::vector<OddEntry> odd_documents()
{
    return {
        { "nested arrays", nested_arrays() },
        { "nested objects", nested_objects() },
        { "nested without an end", repeat("[", LEVELS) },
        { "too large a number", "1e400" },
        { "no UTF-8", "\xff\xfe\x80" },
        { "a zero byte", std::string(1, '\0') },
        { "empty", "" },
    };
}

/// None of them names an upstream to use.
std::vector<OddEntry> odd_entries(nlohmann::json const& good)
{
    auto odd = odd_documents();
    std::vector<std::string> const values { nested_arrays(), nested_objects(), "1e400", "1e300", "-1e300", "18446744073709551616", "\"a\xff\"", "\"\"", "null" };
    for (auto const* field : { "address", "slots", "cold_left_ms", "born", "version", "state", "phase", "service", "zone", "call_seq" }) {
        for (auto const& value : values) {
            // An upstream whose version is unknown can serve what needs none.
            if (field == std::string("version") && value == "\"\"")
                continue;
            odd.push_back({ std::string(field) + " " + value.substr(0, 24), with_field(good, field, value) });
        }
    }
    odd.push_back({ "slots -1", with_field(good, "slots", "-1") });
    odd.push_back({ "call_seq -1", with_field(good, "call_seq", "-1") });
    for (auto const* address : { "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:99999999999", "127.0.0.1:-1", "127.0.0.1:", ":80", "127.0.0.1", "127.0.0.1:80x", "" })
        odd.push_back({ std::string("address ") + address, with_field(good, "address", nlohmann::json(address).dump()) });
    return odd;
}

class OddEntriesDeployment : public VersionedDeployment {
public:
    enum class Arrival {
        OneByOne,
        AtOnce,
    };

    void put_odd_entries(Arrival arrival)
    {
        int count = 0;
        for (auto const* service : { "plain", "engines" }) {
            auto const& unused = *this->never_used.emplace_back(std::make_unique<UpstreamStandIn>(this->loop, "odd", service == std::string("engines") ? "decode" : ""));
            for (auto const& odd : odd_entries(unused.entry(service))) {
                auto const feeds = this->store.feeds;
                this->odd_identities.push_back("odd-" + std::to_string(++count));
                this->store.put_bytes("servers", this->odd_identities.back(), odd.bytes);
                if (arrival == Arrival::OneByOne)
                    REQUIRE(this->run_until([&] { return this->store.feeds > feeds; }));
            }
        }
    }

    void check_no_odd_one_is_known() const
    {
        for (auto const& identity : this->odd_identities) {
            CAPTURE(identity);
            CHECK_FALSE(this->node->knows_upstream(identity, UpstreamRecord::Life::Serving));
            CHECK_FALSE(this->node->knows_upstream(identity, UpstreamRecord::Life::Leaving));
        }
        for (auto const& unused : this->never_used)
            CHECK(unused->arrivals.empty());
    }

    void check_serving()
    {
        for (int i = 0; i < 5; ++i) {
            auto const number = std::to_string(++this->calls);
            CHECK(this->call(this->request("GET", "/safe/x", "a" + number)).head.status == 200);
            CHECK(this->call(this->model_request("/resumable/x", "b" + number)).head.status == 200);
        }
    }

    /// Changes the list and waits until the node has followed.
    void check_following()
    {
        auto& later = *this->engines.emplace_back(std::make_unique<UpstreamStandIn>(this->loop, "later-" + std::to_string(++this->calls)));
        this->list(later, "plain");
        for (auto const& engine : this->engines) {
            if (engine.get() != &later && engine->phase.empty())
                this->list(*engine, "plain", "draining");
        }
        CHECK(this->call(this->request("GET", "/safe/x", "c" + std::to_string(this->calls))).head.status == 200);
        CHECK(later.run.size() == 1);
    }

    UpstreamStandIn& add_plain(std::string const& identity)
    {
        auto& plain = *this->engines.emplace_back(std::make_unique<UpstreamStandIn>(this->loop, identity));
        this->list(plain, "plain");
        return plain;
    }

private:
    std::vector<std::string> odd_identities;
    /// Named by what is odd otherwise.
    std::vector<std::unique_ptr<UpstreamStandIn>> never_used;
    int calls = 0;
};

}

// Guards against processes that end, or stop following the list, by an odd entry that comes as news.
TEST_CASE("A node that hears of odd entries goes on serving and follows the list", "[bad-input][odd-entries]")
{
    OddEntriesDeployment test;
    test.configure(1);
    test.add_version("v1", 2);
    test.add_plain("i-1");
    test.put_odd_entries(OddEntriesDeployment::Arrival::OneByOne);
    test.check_serving();
    test.check_following();
    test.check_no_odd_one_is_known();
    test.check_serving();
}

// Guards against processes that end at their start, or never see the good entries, by an odd one in the list.
TEST_CASE("A node that starts with odd entries in the list uses the good ones and follows the list", "[bad-input][odd-entries]")
{
    OddEntriesDeployment test;
    // An answer with all of them would be too large.
    test.store.page_size = 20;
    test.put_odd_entries(OddEntriesDeployment::Arrival::AtOnce);
    test.configure(1);
    test.add_version("v1", 2);
    test.add_plain("i-1");
    test.check_serving();
    test.check_following();
    test.check_no_odd_one_is_known();
    // Read as a whole once more while they are used.
    test.store.set_fault(StoreStandIn::Fault::HistoryGone);
    auto const reads = test.store.reads;
    REQUIRE(test.run_until([&] { return test.store.reads >= reads + 2; }));
    test.store.set_fault(StoreStandIn::Fault::None);
    test.check_serving();
    test.check_following();
    test.check_no_odd_one_is_known();
}

// Guards against odd entries one page of which holds nothing else.
TEST_CASE("A node that reads the list in pages gets past odd entries", "[bad-input][odd-entries]")
{
    OddEntriesDeployment test;
    test.store.page_size = 1;
    test.put_odd_entries(OddEntriesDeployment::Arrival::AtOnce);
    test.configure(1);
    test.add_version("v1", 1);
    test.add_plain("z-1");
    test.check_serving();
    auto& late = test.add_virtual_machine("vm-2", std::vector<std::string> {});
    CHECK(late.call(test.request("GET", "/safe/x", "late")).head.status == 200);
    test.check_following();
    test.check_no_odd_one_is_known();
}

// Guards against an upstream that is used by what its entry said before, or not again once the entry is good.
TEST_CASE("An odd entry under a listed identity takes the upstream out until there is a good one", "[bad-input][odd-entries]")
{
    OddEntriesDeployment test;
    test.configure(1);
    test.add_version("v1", 1);
    auto const& plain = test.add_plain("i-1");
    test.add_plain("i-2");
    auto const all = odd_entries(plain.entry("plain"));
    // Some of each field and of each kind of value: each takes two rounds of news.
    for (std::size_t i = 0; i < all.size(); i += 5) {
        auto const& odd = all[i];
        CAPTURE(odd.name);
        test.store.put_bytes("servers", plain.identity, odd.bytes);
        CHECK(test.run_until([&] { return !test.node->knows_upstream(plain.identity, UpstreamRecord::Life::Serving); }));
        test.store.put("servers", plain.identity, plain.entry("plain"));
        CHECK(test.run_until([&] { return test.node->knows_upstream(plain.identity, UpstreamRecord::Life::Serving); }));
    }
    test.check_serving();
}

// Guards against processes that end by an odd configuration, or do not take the good one after it.
TEST_CASE("A node that reads an odd configuration goes on with the one before and takes the next", "[bad-input][odd-entries]")
{
    OddEntriesDeployment test;
    test.configure(1);
    test.add_version("v1", 1);
    test.add_plain("i-1");
    auto const good = nlohmann::json::parse(test.store.value("op", "config").value_or(""));
    // Each takes a round of news.
    std::vector<OddEntry> odd { { "nested objects", nested_objects() }, { "empty", "" } };
    for (auto const& value : { nested_arrays() }) {
        for (auto const* field : { "version", "tenants", "limits", "routes", "services", "other" })
            odd.push_back({ std::string(field) + " " + value.substr(0, 8), with_field(good, field, value) });
        auto route = good["routes"][0];
        for (auto const* field : { "name", "timeout_ms", "split", "home_regions", "other" }) {
            auto with_route = with_field(good, "routes", "[" + with_field(route, field, value) + "]");
            odd.push_back({ std::string("route ") + field + " " + value.substr(0, 8), std::move(with_route) });
        }
        nlohmann::json const account { { "name", "a" }, { "api_keys", { "k" } } };
        for (auto const* field : { "name", "api_keys", "unit", "rate_per_s" })
            odd.push_back({ std::string("account ") + field + " " + value.substr(0, 8), with_field(good, "tenants", "[" + with_field(account, field, value) + "]") });
    }
    int count = 0;
    std::string lines;
    LogLine::set_observer([&](std::string_view line) { lines += line; });
    for (auto const& document : odd) {
        CAPTURE(document.name);
        auto const number = std::to_string(++count);
        test.store.put_bytes("op", "config", document.bytes);
        test.store.put_bytes("op", "odd-" + number, document.bytes);
        // It comes with the same news, and is taken last.
        auto const elsewhere = "elsewhere-" + number + "-";
        test.store.put_bytes("op", "evacuate/" + elsewhere, document.bytes);
        REQUIRE(test.run_until([&] { return lines.find("evacuated=" + elsewhere) != std::string::npos; }));
        CHECK(test.node->configuration_version() == 1);
    }
    test.configure(2);
    LogLine::set_observer({});
    test.check_serving();
    test.check_following();
}

// Guards against processes that end, or lose good rows, by odd ones among the rows that VMs write themselves.
TEST_CASE("Beside odd rows of other tables a node finds the good ones", "[bad-input][odd-entries]")
{
    OddEntriesDeployment test;
    bool has_read_origins = false;
    LogLine::set_observer([&](std::string_view line) { has_read_origins |= line.find("stream_origins_row_unreadable") != std::string_view::npos; });
    auto const put_rows = [&](std::string const& table, std::vector<OddEntry> const& rows) {
        int count = 0;
        for (auto const& row : rows) {
            auto key = std::to_string(++count);
            test.store.put_bytes(table, key, row.bytes);
            key.insert(0, 32 - key.size(), '0');
            test.store.put_bytes(table, key, row.bytes);
        }
    };
    auto quarantine = odd_documents();
    for (auto const& value : { nested_arrays(), std::string("1e400"), std::string("1e300"), std::string("18446744073709551616"), std::string("-1") }) {
        for (auto const* field : { "times", "until", "lifted", "parts" })
            quarantine.push_back({ field, with_field({ { "times", 1 }, { "until", 1 } }, field, value) });
    }
    put_rows("quarantine", quarantine);
    auto const good = RequestFingerprint::of({ "POST", "h.example", "/x", "", "first" });
    test.store.put("quarantine", good.to_hex(), { { "times", 1 }, { "until", 1 } });
    for (auto const& odd : odd_documents())
        test.store.put_bytes("leases", odd.name, odd.bytes);
    test.store.put_bytes("leases", "roles", nested_arrays());
    test.configure(1);
    test.add_version("v1", 2);
    test.add_version("v2", 2);
    test.add_plain("i-1");
    for (auto const& engine : test.engines)
        engine->event_pause = milliseconds(15);
    auto const& serving = test.add_virtual_machine("vm-2", std::vector<std::string> {});
    std::vector<std::string> const names { "s1", "s2", "s3", "s4" };
    auto const begun = test.begin_streams(serving.caller_address(), names);
    REQUIRE(test.run_until([&] { return test.recorded_streams() == names.size(); }));
    test.kill_last();
    auto origins = odd_documents();
    for (auto const& value : { nested_arrays(), nested_objects(), std::string("1e400"), std::string("[{\"service\":\"engines\",\"version\":\"v1\",\"streams\":[" + nested_arrays() + "]}]") })
        origins.push_back({ "origins", with_field(nlohmann::json::object(), "origins", value) });
    put_rows("stream-origins", origins);
    for (std::size_t i = 0; i < names.size(); ++i) {
        auto const next = test.call(test.resumption(names[i] + "-2", names[i], 2));
        CAPTURE(i, begun[i].body, next.body);
        CHECK(next.head.status == 200);
        CHECK(VersionedDeployment::versions_in(begun[i].body + next.body).size() == 1);
    }
    CHECK(has_read_origins);
    std::vector<QuarantineEntry> read;
    bool is_read = false;
    PlatformRegistry::Options options;
    options.address = test.store.address();
    PlatformRegistry registry(options);
    auto const read_quarantine = [&]() -> asio::awaitable<void> {
        auto result = co_await registry.read_quarantine();
        is_read = !result.is_error();
        if (is_read)
            read = result.release_value();
    };
    asio::co_spawn(test.loop, read_quarantine(), asio::detached);
    CHECK(test.run_until([&] { return is_read; }));
    CHECK(std::any_of(read.begin(), read.end(), [&](auto const& entry) { return entry.request == good; }));
    test.check_serving();
    test.check_following();
    LogLine::set_observer({});
}
