// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/RoleBalancer.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

using namespace Spurtide;

namespace {

MonotonicTime at(std::int64_t time) { return MonotonicTime(milliseconds(time)); }

/// Engine capacities of the Temelia deployment.
EngineCapacity const s_capacity { 50'000, 72'000, 64, Duration(1000) };

/// Adds enough requests of these lengths to estimate the workload.
void teach(RoleBalancer& balancer, std::int64_t prompt, std::int64_t output, MonotonicTime now)
{
    for (int i = 0; i < 40; ++i)
        balancer.note_request(prompt, output, now);
}

std::vector<RoleCandidate> pool(std::size_t prefill, std::size_t decode)
{
    std::vector<RoleCandidate> engines;
    for (std::size_t i = 0; i < prefill + decode; ++i)
        engines.push_back({ "e" + std::to_string(i), i < prefill ? EngineRole::Prefill : EngineRole::Decode, 0, "dc" + std::to_string(i % 3) });
    return engines;
}

/// Waits until the pool counts as settled and returns the time after that.
std::int64_t settle(RoleBalancer& balancer, std::vector<RoleCandidate> const& engines, std::int64_t from)
{
    static_cast<void>(balancer.next_change(engines, s_capacity, at(from)));
    return from + 1400;
}

void change(std::vector<RoleCandidate>& engines, RoleChange const& wanted)
{
    for (auto& engine : engines) {
        if (engine.name == wanted.engine)
            engine.role = wanted.role;
    }
}

}

TEST_CASE("The division maximizes throughput")
{
    struct Row {
        std::size_t engines;
        std::int64_t prompt;
        std::int64_t output;
        std::size_t prefill;
    };
    auto const row = GENERATE(values<Row>({
        { 2, 5000, 4400, 1 },
        { 4, 5000, 4400, 1 },
        { 9, 5000, 4400, 2 },
        // 0.125 s of a prefill engine and 0.55 s of a decode engine per request: 7 and 29 engines.
        { 36, 5000, 4400, 7 },
        // Almost only prefill.
        { 9, 20'000, 40, 7 },
        // Almost only decode.
        { 9, 50, 8000, 2 },
    }));
    CAPTURE(row.engines, row.prompt, row.output);
    RoleBalancer balancer({});
    teach(balancer, row.prompt, row.output, at(0));
    CHECK(balancer.wanted_prefill(row.engines, s_capacity) == row.prefill);
}

TEST_CASE("With an unknown workload few engines are prefill engines")
{
    struct Row {
        std::size_t engines;
        std::size_t prefill;
    };
    auto const row = GENERATE(values<Row>({ { 2, 1 }, { 3, 1 }, { 5, 2 }, { 9, 2 }, { 36, 7 }, { 90, 18 } }));
    CAPTURE(row.engines);
    RoleBalancer balancer({});
    CHECK(balancer.wanted_prefill(row.engines, s_capacity) == row.prefill);
    // Without measured rates, the division would depend on the default rate.
    auto guessed = s_capacity;
    guessed.source = EngineCapacity::Source::Assumed;
    teach(balancer, 20'000, 40, at(0));
    CHECK(balancer.wanted_prefill(row.engines, guessed) == row.prefill);
}

TEST_CASE("Under load no role is changed before workload and rates are known")
{
    RoleBalancer balancer({});
    auto guessed = s_capacity;
    guessed.source = EngineCapacity::Source::Assumed;
    for (std::int64_t now = 0; now < 30'000; now += 250) {
        balancer.note_request(20'000, 40, at(now));
        CHECK_FALSE(balancer.next_change(pool(4, 5), guessed, at(now)));
    }
}

TEST_CASE("The learned division is kept while there are no requests")
{
    RoleBalancer balancer({});
    auto engines = pool(2, 7);
    for (std::int64_t now = 0; now < 60'000; now += 100) {
        balancer.note_request(20'000, 100, at(now));
        if (auto const next = balancer.next_change(engines, s_capacity, at(now))) {
            balancer.note_ordered(*next, at(now));
            change(engines, *next);
        }
    }
    auto const reading = std::count_if(engines.begin(), engines.end(), [](auto const& engine) { return engine.role == EngineRole::Prefill; });
    REQUIRE(reading > 2);
    for (std::int64_t now = 60'000; now < 240'000; now += 1000)
        CHECK_FALSE(balancer.next_change(engines, s_capacity, at(now)));
}

namespace {

/// Requests per second that a division serves, found by bisection: the time of decode engines that answers do not use
/// is spent on the prompts that exceed the prefill capacity.
double served(std::size_t prefill, std::size_t decode, std::int64_t prompt, std::int64_t output, EngineCapacity const& capacity)
{
    auto const reading = static_cast<double>(prompt) / capacity.prefill_rate / 0.8;
    auto const answer_time = static_cast<double>(output) * to_seconds(capacity.step_time);
    auto const held = static_cast<double>(prompt) + static_cast<double>(output) / 2;
    auto const answering = answer_time * std::max(held / (0.8 * capacity.memory_tokens), 1.0 / static_cast<double>(capacity.decode_slots));
    double low = 0;
    double high = 1e6;
    for (int i = 0; i < 60; ++i) {
        auto const rate = (low + high) / 2;
        auto const left_over = std::max(0.0, rate * reading - static_cast<double>(prefill));
        (rate * answering + 2 * left_over <= static_cast<double>(decode) ? low : high) = rate;
    }
    return low;
}

}

// For random lengths, rates and pool sizes, the balancer has to come within a tenth of the best division using only
// what it observes.
TEST_CASE("The pool comes within a tenth of the best division from the default one")
{
    auto const prompt = GENERATE(200, 1500, 5000, 20'000);
    auto const output = GENERATE(50, 600, 2500, 8000);
    auto const rate = GENERATE(8'000.0, 33'333.0, 55'556.0);
    auto const step = GENERATE(Duration(600), Duration(5500), Duration(25'000));
    auto const memory = GENERATE(28'000.0, 90'000.0);
    auto const count = GENERATE(std::size_t { 5 }, std::size_t { 9 }, std::size_t { 36 });
    CAPTURE(prompt, output, rate, step.count(), memory, count);
    EngineCapacity const capacity { rate, memory, 64, step };
    RoleBalancer balancer({});
    auto const start = balancer.wanted_prefill(count, capacity);
    auto engines = pool(start, count - start);
    for (std::int64_t now = 0; now < 400'000; now += 100) {
        balancer.note_request(prompt, output, at(now));
        if (auto const next = balancer.next_change(engines, capacity, at(now))) {
            balancer.note_ordered(*next, at(now));
            change(engines, *next);
        }
    }
    auto const reading = static_cast<std::size_t>(std::count_if(engines.begin(), engines.end(), [](auto const& engine) { return engine.role == EngineRole::Prefill; }));
    double best = 0;
    for (std::size_t prefill = 2; prefill + 2 <= count; ++prefill)
        best = std::max(best, served(prefill, count - prefill, prompt, output, capacity));
    CHECK(served(reading, count - reading, prompt, output, capacity) >= 0.9 * best);
}

TEST_CASE("A pool that is still growing is not divided", "[config]")
{
    // At the start of a deployment engines are listed one by one, decode engines first.
    RoleBalancer balancer({});
    auto const whole = pool(4, 5);
    std::vector<RoleCandidate> listed;
    std::int64_t now = 0;
    for (std::size_t i = whole.size(); i-- > 0; now += 350) {
        listed.push_back(whole[i]);
        CHECK_FALSE(balancer.next_change(listed, s_capacity, at(now)));
    }
    auto const last = now - 350;
    CHECK_FALSE(balancer.next_change(listed, s_capacity, at(last + 1399)));
    auto const change_of_all = balancer.next_change(listed, s_capacity, at(last + 1400));
    REQUIRE(change_of_all);
    CHECK(change_of_all->role == EngineRole::Decode);
}

TEST_CASE("Before the first request all changes are ordered at once, each for a different engine")
{
    RoleBalancer balancer({});
    auto const engines = pool(4, 5);
    auto const now = settle(balancer, engines, 0);
    auto const first = balancer.next_change(engines, s_capacity, at(now));
    REQUIRE(first);
    CHECK(first->role == EngineRole::Decode);
    balancer.note_ordered(*first, at(now));
    auto const second = balancer.next_change(engines, s_capacity, at(now + 10));
    REQUIRE(second);
    CHECK(second->engine != first->engine);
    balancer.note_ordered(*second, at(now + 10));
    CHECK_FALSE(balancer.next_change(engines, s_capacity, at(now + 20)));
    CHECK(balancer.is_changing(first->engine));
}

TEST_CASE("Under load a change requires a lasting shortage, and changes are made one by one")
{
    RoleBalancer balancer({});
    auto engines = pool(4, 5);
    std::vector<std::int64_t> ordered_at;
    std::optional<RoleChange> begun;
    for (std::int64_t now = 0; now < 40'000; now += 250) {
        balancer.note_request(5000, 4400, at(now));
        if (begun && now - ordered_at.back() == 6000)
            change(engines, *std::exchange(begun, {}));
        auto const next = balancer.next_change(engines, s_capacity, at(now));
        if (!next)
            continue;
        REQUIRE_FALSE(begun);
        balancer.note_ordered(*next, at(now));
        ordered_at.push_back(now);
        begun = next;
    }
    REQUIRE(ordered_at.size() == 2);
    CHECK(ordered_at[0] >= 5000);
    CHECK(ordered_at[1] - ordered_at[0] >= 6000);
}

TEST_CASE("An engine that returns soon causes no role change")
{
    RoleBalancer balancer({});
    auto const whole = pool(2, 7);
    auto without_one = whole;
    without_one.erase(without_one.begin());
    for (std::int64_t now = 0; now < 30'000; now += 250) {
        balancer.note_request(5000, 4400, at(now));
        bool const is_away = now >= 10'000 && now < 14'500;
        CHECK_FALSE(balancer.next_change(is_away ? without_one : whole, s_capacity, at(now)));
    }
}

TEST_CASE("Without decode engines a role is changed at once, without prefill engines after a delay")
{
    RoleBalancer balancer({});
    auto const now_settled = settle(balancer, pool(3, 0), 0);
    balancer.note_request(5000, 4400, at(now_settled));
    auto const none_answers = balancer.next_change(pool(3, 0), s_capacity, at(now_settled));
    REQUIRE(none_answers);
    CHECK(none_answers->role == EngineRole::Decode);

    // The prefill engines are behind a partition, and decode engines run prefills until it heals.
    RoleBalancer other({});
    for (std::int64_t now = 0; now < 6400; now += 200) {
        other.note_request(5000, 4400, at(now));
        CHECK_FALSE(other.next_change(pool(0, 6), s_capacity, at(now)));
    }
    other.note_request(5000, 4400, at(6400));
    auto const none_reads = other.next_change(pool(0, 6), s_capacity, at(6400));
    REQUIRE(none_reads);
    CHECK(none_reads->role == EngineRole::Prefill);
}

TEST_CASE("Roles follow the workload and are not reversed at once")
{
    RoleBalancer balancer({});
    auto engines = pool(2, 7);
    std::vector<std::pair<std::int64_t, EngineRole>> orders;
    for (std::int64_t now = 0; now < 240'000; now += 100) {
        // Long prompts with very short answers for a while, then the initial workload again.
        bool const is_other = now >= 20'000 && now < 120'000;
        balancer.note_request(is_other ? 20'000 : 5000, is_other ? 100 : 4400, at(now));
        if (auto const next = balancer.next_change(engines, s_capacity, at(now))) {
            balancer.note_ordered(*next, at(now));
            change(engines, *next);
            orders.emplace_back(now, next->role);
        }
    }
    REQUIRE_FALSE(orders.empty());
    CHECK(orders.front().second == EngineRole::Prefill);
    CHECK(orders.back().second == EngineRole::Decode);
    for (std::size_t i = 1; i < orders.size(); ++i) {
        if (orders[i].second != orders[i - 1].second)
            CHECK(orders[i].first - orders[i - 1].first >= 20'000);
    }
    CHECK(std::count_if(engines.begin(), engines.end(), [](auto const& engine) { return engine.role == EngineRole::Prefill; }) == 2);
}

TEST_CASE("An engine that refused an order is not ordered again for a while, and a change without effect is abandoned")
{
    RoleBalancer balancer({});
    auto const engines = pool(4, 5);
    auto const now = settle(balancer, engines, 0);
    auto const first = balancer.next_change(engines, s_capacity, at(now));
    REQUIRE(first);
    balancer.note_refused(first->engine, at(now));
    auto const other = balancer.next_change(engines, s_capacity, at(now + 1));
    REQUIRE(other);
    CHECK(other->engine != first->engine);
    balancer.note_ordered(*other, at(now + 1));
    CHECK(balancer.is_changing(other->engine));
    static_cast<void>(balancer.next_change(engines, s_capacity, at(now + 25'001)));
    CHECK_FALSE(balancer.is_changing(other->engine));
}

TEST_CASE("Unreachable engines count towards their roles and get no orders", "[cut]")
{
    RoleBalancer balancer({});
    teach(balancer, 5000, 4400, at(0));
    // The view from an isolated data centre: its own decode engines respond, both prefill engines are elsewhere.
    auto engines = pool(2, 7);
    for (auto& engine : engines)
        engine.is_failing = engine.data_centre != "dc2";
    for (std::int64_t now = 0; now < 30'000; now += 250)
        CHECK_FALSE(balancer.next_change(engines, s_capacity, at(now)));
    auto all_failing = pool(4, 5);
    for (auto& engine : all_failing)
        engine.is_failing = true;
    static_cast<void>(balancer.next_change(all_failing, s_capacity, at(60'000)));
    CHECK_FALSE(balancer.next_change(all_failing, s_capacity, at(62'000)));
}

// With the slow engines decoding, long answers were cut at the deadline while fast engines ran prefills of 90 ms.
TEST_CASE("The slowest decode engine becomes a prefill engine, and the fastest prefill engine a decode engine")
{
    // 36 engines of one data centre; every third takes 2.4 times as long.
    auto const uneven = [](std::size_t prefill) {
        auto engines = pool(prefill, 36 - prefill);
        for (std::size_t i = 0; i < engines.size(); ++i) {
            engines[i].data_centre = "dc";
            engines[i].relative_time = i % 3 == 2 ? 1.7 : 0.7;
            engines[i].is_speed_measured = true;
            // The slow ones have more work, which would otherwise decide.
            engines[i].work = i % 3 == 2 ? 5 : 2;
        }
        return engines;
    };
    auto const first_change = [&](std::vector<RoleCandidate> const& engines) {
        RoleBalancer balancer({});
        std::optional<RoleChange> wanted;
        for (std::int64_t now = 0; now < 20'000 && !wanted; now += 100) {
            balancer.note_request(5000, 4400, at(now));
            wanted = balancer.next_change(engines, s_capacity, at(now));
        }
        return wanted;
    };
    auto const find = [](std::vector<RoleCandidate> const& engines, std::string const& name) {
        return *std::find_if(engines.begin(), engines.end(), [&](auto const& engine) { return engine.name == name; });
    };
    auto const few = uneven(3);
    auto const to_prefill = first_change(few);
    REQUIRE(to_prefill);
    CHECK(to_prefill->role == EngineRole::Prefill);
    CHECK(find(few, to_prefill->engine).relative_time == 1.7);
    auto const many = uneven(15);
    auto const to_decode = first_change(many);
    REQUIRE(to_decode);
    CHECK(to_decode->role == EngineRole::Decode);
    CHECK(find(many, to_decode->engine).relative_time == 0.7);
}

TEST_CASE("A data centre does not lose its last engine of a role because that is the slowest")
{
    RoleBalancer balancer({});
    auto engines = pool(3, 33);
    for (auto& engine : engines)
        engine.data_centre = "dc1";
    engines[20].data_centre = "dc2";
    engines[20].relative_time = 3;
    std::optional<RoleChange> wanted;
    for (std::int64_t now = 0; now < 20'000 && !wanted; now += 100) {
        balancer.note_request(5000, 4400, at(now));
        wanted = balancer.next_change(engines, s_capacity, at(now));
    }
    REQUIRE(wanted);
    CHECK(wanted->engine != "e20");
}

namespace {

/// Runs a balancer for ten minutes with the division that it wants; orders take effect after 6 s. Returns the orders.
std::vector<RoleChange> run_exchanges(RoleBalancer::Options const& options, std::int64_t work, double slow_time)
{
    RoleBalancer balancer(options);
    teach(balancer, 5000, 4400, at(0));
    auto engines = pool(7, 29);
    for (std::size_t i = 0; i < engines.size(); ++i) {
        engines[i].relative_time = i % 3 == 2 ? slow_time : 0.7;
        engines[i].is_speed_measured = true;
        engines[i].work = engines[i].role == EngineRole::Decode ? work : 0;
    }
    std::vector<RoleChange> orders;
    std::vector<std::pair<std::int64_t, RoleChange>> pending;
    for (std::int64_t now = 0; now < 600'000; now += 100) {
        balancer.note_request(5000, 4400, at(now));
        std::erase_if(pending, [&](auto const& entry) {
            bool const is_done = now - entry.first >= 6000;
            if (is_done)
                change(engines, entry.second);
            return is_done;
        });
        auto const wanted = balancer.next_change(engines, s_capacity, at(now));
        if (!wanted)
            continue;
        CHECK(pending.empty());
        balancer.note_ordered(*wanted, at(now));
        orders.push_back(*wanted);
        pending.emplace_back(now, *wanted);
    }
    return orders;
}

}

// Guards against exchanges that cost more than they gain: each takes two engines out for 6 s.
TEST_CASE("Engines of uneven speed exchange roles in pairs, rarely, and only if it is enabled and there is room")
{
    RoleBalancer::Options options;
    CHECK(run_exchanges(options, 3, 1.7).empty());
    options.exchange = RoleBalancer::Options::Exchange::On;
    CHECK(run_exchanges(options, 40, 1.7).empty());
    CHECK(run_exchanges(options, 3, 0.9).empty());
    auto const orders = run_exchanges(options, 3, 1.7);
    // Five of the seven prefill engines are fast, and an exchange is due every two minutes.
    REQUIRE(orders.size() == 10);
    for (std::size_t i = 0; i < orders.size(); ++i)
        CHECK(orders[i].role == (i % 2 == 0 ? EngineRole::Prefill : EngineRole::Decode));
}
