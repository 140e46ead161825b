// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/RelaySelector.h>
#include <catch2/catch.hpp>
#include <map>
#include <set>

using namespace Spurtide;

namespace {

MonotonicTime at(std::int64_t time) { return MonotonicTime(milliseconds(time)); }

RelayCandidate candidate(std::string const& name, std::string const& data_centre, std::string const& region) { return { name, data_centre, region, "127.0.0.1:1" }; }

std::string chosen(RelaySelector const& selector, MonotonicTime now)
{
    auto const relay = selector.choose(now);
    return relay ? relay->virtual_machine : "";
}

}

TEST_CASE("A near VM relays until it has several requests more than one farther away", "[partitioned-vm]")
{
    RelaySelector selector({}, "vm-1", "a", "north");
    selector.set_candidates({ candidate("far", "c", "south"), candidate("region", "b", "north"), candidate("near", "a", "north") });
    std::map<std::string, int> chosen_count;
    for (int i = 0; i < 40; ++i) {
        auto const relay = chosen(selector, at(0));
        ++chosen_count[relay];
        selector.note_sent(relay);
    }
    CHECK(chosen_count["near"] > chosen_count["region"]);
    CHECK(chosen_count["region"] > chosen_count["far"]);
    CHECK(chosen_count["far"] > 0);
    for (int i = 0; i < chosen_count["near"]; ++i)
        selector.note_end("near");
    CHECK(chosen(selector, at(0)) == "near");
}

TEST_CASE("A VM never relays through itself, and not through one that failed or may not see the request", "[partitioned-vm]")
{
    RelaySelector selector({}, "vm-1", "a", "north");
    selector.set_candidates({ candidate("vm-1", "a", "north") });
    CHECK(chosen(selector, at(0)).empty());
    selector.set_candidates({ candidate("vm-1", "a", "north"), candidate("vm-2", "a", "north"), candidate("vm-3", "b", "south") });
    selector.note_failure("vm-2", at(0));
    CHECK(chosen(selector, at(999)) == "vm-3");
    CHECK_FALSE(selector.choose(at(999), [](auto const& relay) { return relay.region == "north"; }));
    CHECK(chosen(selector, at(1000)) == "vm-2");
}

TEST_CASE("The VMs of a data centre without paths spread over all others, each over a few", "[partitioned-vm]")
{
    // The size to design for: 340 VMs in 26 data centres.
    constexpr int DATA_CENTRES = 26;
    constexpr int MACHINES = 340;
    constexpr int REQUESTS = 8;
    std::vector<RelayCandidate> all;
    for (int i = DATA_CENTRES; i < MACHINES; ++i) {
        auto const data_centre = std::to_string(i % DATA_CENTRES);
        if (data_centre != "0")
            all.push_back(candidate("vm-" + std::to_string(i), data_centre, data_centre < "2" ? "own" : "other"));
    }
    std::map<std::string, int> load;
    for (int partitioned = 0; partitioned < MACHINES / DATA_CENTRES; ++partitioned) {
        RelaySelector selector({}, "cut-" + std::to_string(partitioned), "0", "own");
        selector.set_candidates(all);
        std::set<std::string> used;
        for (int i = 0; i < REQUESTS; ++i) {
            auto const relay = chosen(selector, at(0));
            used.insert(relay);
            ++load[relay];
            selector.note_sent(relay);
        }
        CHECK(used.size() >= 4);
        CHECK(used.size() <= 8);
    }
    for (auto const& [name, requests] : load) {
        CAPTURE(name);
        CHECK(requests <= 3 * REQUESTS / 2);
    }
}

TEST_CASE("A VM that no longer offers to relay is not chosen, though requests are in flight there", "[partitioned-vm]")
{
    RelaySelector selector({}, "vm-1", "a", "");
    selector.set_candidates({ candidate("vm-2", "a", "") });
    selector.note_sent("vm-2");
    selector.set_candidates({});
    CHECK(chosen(selector, at(0)).empty());
    selector.note_end("vm-2");
    selector.note_end("vm-2");
    selector.set_candidates({ candidate("vm-2", "a", "") });
    CHECK(chosen(selector, at(0)) == "vm-2");
}
