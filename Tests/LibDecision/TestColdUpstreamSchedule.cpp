// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/CellScheduler.h>
#include <LibDecision/ColdUpstreamSchedule.h>
#include <Tests/Support/VirtualClock.h>
#include <algorithm>
#include <catch2/catch.hpp>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

/// A cold upstream to which all VMs with pending requests send as early as they may.
struct ColdUpstream {
    ColdUpstream(std::size_t count, double rate)
        : rate(rate)
        , count(count)
    {
        for (std::size_t i = 0; i < count; ++i)
            this->machines.emplace_back(ColdUpstreamSchedule::Options {});
    }

    void run(std::int64_t from, std::int64_t to)
    {
        for (auto at = from; at < to; at += 5) {
            for (std::size_t rank = 0; rank < this->count; ++rank) {
                SendingMachines const place { this->count, rank };
                // Clock differences between VMs.
                auto const time = seconds(1'700'000'000) + milliseconds(at + static_cast<std::int64_t>(rank * 7 % 13));
                if (this->machines[rank].time_until_turn("u", this->rate, place, time) > Duration::zero())
                    continue;
                this->machines[rank].note_sent("u", this->rate, place, time);
                this->sends.push_back(at);
            }
        }
    }

    std::size_t most_in_a_second() const
    {
        std::size_t most = 0;
        for (std::size_t i = 0, first = 0; i < this->sends.size(); ++i) {
            while (this->sends[i] - this->sends[first] >= 1000)
                ++first;
            most = std::max(most, i - first + 1);
        }
        return most;
    }

    double rate;
    std::size_t count;
    std::vector<ColdUpstreamSchedule> machines;
    std::vector<std::int64_t> sends;
};

}

// The operators' limit is 1.5 times the rate plus five requests.
TEST_CASE("All VMs together do not exceed the rate of a cold upstream", "[cold]")
{
    auto const count = GENERATE(1, 8, 71, 350);
    auto const rate = GENERATE(4.0, 29.0);
    ColdUpstream upstream(static_cast<std::size_t>(count), rate);
    upstream.run(0, 20'000);
    CHECK(static_cast<double>(upstream.most_in_a_second()) <= rate * 1.5 + 5);
    // The available rate is used.
    CHECK(static_cast<double>(upstream.sends.size()) >= 0.9 * rate * 20 - 1);
}

TEST_CASE("Idle VMs do not send to a cold upstream all at once", "[cold][burst]")
{
    auto const count = GENERATE(8, 71, 350);
    std::size_t most = 0;
    for (std::int64_t start = 0; start < 40'000; start += 1'310) {
        ColdUpstream upstream(static_cast<std::size_t>(count), 29);
        upstream.run(start, start + 1000);
        most = std::max(most, upstream.sends.size());
    }
    CHECK(static_cast<double>(most) <= 29 * 1.5 + 5);
}

TEST_CASE("A VM knows when its next turn at a cold upstream begins", "[cold]")
{
    ColdUpstreamSchedule turns({});
    SendingMachines const machines { 50, 17 };
    auto const now = seconds(1'700'000'000);
    auto const wait = turns.time_until_turn("u", 10, machines, now);
    CHECK(wait <= seconds(5));
    auto const turn = now + wait;
    CHECK(turns.time_until_turn("u", 10, machines, turn) == Duration::zero());
    turns.note_sent("u", 10, machines, turn);
    CHECK(turns.time_until_turn("u", 10, machines, turn + milliseconds(100)) > Duration::zero());
}

TEST_CASE("A keeper does not exceed the rate of a cold engine", "[cold][burst]")
{
    CellScheduler::Options options;
    options.report_need = CellScheduler::Options::ReportNeed::None;
    CellScheduler scheduler(options);
    EngineDescription prefill;
    prefill.name = "p";
    prefill.model = "m";
    prefill.prefill_rate = 1e6;
    EngineDescription decode = prefill;
    decode.name = "d";
    decode.role = EngineRole::Decode;
    decode.decode_slots = 1000;
    decode.cold_rate = 10;
    decode.cold_until = at_milliseconds(4000);
    std::vector<EngineDescription> const engines { prefill, decode };
    scheduler.set_engines(engines);
    std::vector<AccountDescription> const accounts { { "", 1, 1e6, 1e6 } };
    scheduler.set_accounts(accounts, at_milliseconds(0));
    std::map<std::int64_t, int> granted;
    for (std::int64_t at = 0; at < 6000; at += 10) {
        PlacementAsk ask;
        ask.request = "r" + std::to_string(at);
        ask.model = "m";
        ask.prompt_tokens = 10;
        ask.maximum_output_tokens = 10;
        ask.first_token_deadline = at_milliseconds(at + 900);
        ask.decide_by = at_milliseconds(at + 50);
        scheduler.ask(ask, at_milliseconds(at));
        scheduler.advance(at_milliseconds(at));
        for (auto const& decision : scheduler.take_decisions()) {
            auto const* grant = std::get_if<PlacementGrant>(&decision);
            if (!grant)
                continue;
            ++granted[at / 1000];
            scheduler.progress(grant->request, GrantProgress::CacheHeld, at_milliseconds(at));
            scheduler.progress(grant->request, GrantProgress::Decoding, at_milliseconds(at));
        }
    }
    for (std::int64_t second = 0; second < 4; ++second) {
        CHECK(granted[second] <= 10 * 1.25 + 1);
        CHECK(granted[second] >= 9);
    }
    CHECK(granted[5] >= 90);
}
