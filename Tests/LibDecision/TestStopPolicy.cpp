// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/StopPolicy.h>
#include <array>
#include <catch2/catch.hpp>
#include <cmath>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

using namespace Spurtide;

// Guards against requests that a stopping VM sends and interrupts at its exit: only their deadline counts, whatever they are.
TEST_CASE("A stopping VM accepts only requests whose deadline comes before its exit", "[planned-stop]")
{
    struct Row {
        std::string name;
        std::int64_t deadline;
        std::int64_t left;
        bool accepted;
    };
    auto const row = GENERATE(values<Row>({
        { "a stream at the begin of the stop", 14'000, 7600, false },
        { "a stream in the first third", 14'000, 5100, false },
        { "a stream late in the stop", 14'000, 1600, false },
        { "a stream at the end", 14'000, 100, false },
        { "a stream whose caller waits no longer than the process lives", 3000, 3000, true },
        { "a call that times out in time", 1500, 1500, true },
        { "a call that does not", 1500, 1499, false },
        { "a short call", 400, 500, true },
        { "a short call at the exit", 400, 0, false },
        { "a request after the exit was due", 0, -1, false },
        { "a request whose deadline is at the exit", 0, 0, true },
    }));
    CAPTURE(row.name);
    CHECK(may_begin_before_exit(milliseconds(row.deadline), milliseconds(row.left)) == row.accepted);
}

namespace {

constexpr double GRACE = 7.6;
constexpr double RETRY_AFTER = 0.2;

/// A decode engine whose time per token changes: it is slow after its start, beside other work, or from some moment on.
struct SimulatedEngine {
    double seconds_per_token = 0;
    double changes_at = 0;
    double factor = 1;

    double end_of(double begin, double tokens) const
    {
        auto const before = std::max(0.0, this->changes_at - begin);
        auto const done_before = std::min(tokens, before / this->seconds_per_token);
        return begin + done_before * this->seconds_per_token + (tokens - done_before) * this->seconds_per_token * this->factor;
    }
};

struct SimulatedStream {
    double sent = 0;
    double tokens = 0;
    double deadline = 0;
    std::size_t engine = 0;
};

enum class StreamEnd {
    Whole,
    /// Its own time was over first.
    OutOfTime,
    Interrupted,
};

StreamEnd end_of(SimulatedStream const& stream, SimulatedEngine const& engine, double exit)
{
    auto const end = engine.end_of(stream.sent, stream.tokens);
    auto const deadline = stream.sent + stream.deadline;
    if (end > exit && deadline > exit)
        return StreamEnd::Interrupted;
    return end > deadline ? StreamEnd::OutOfTime : StreamEnd::Whole;
}

}

// Guards against streams that a stopping VM begins by what engines did before and interrupts at its exit. Callers keep their
// connections and send during the whole stop. Of the engines, some slow down, some are slow from their start, and some are added.
TEST_CASE("A stopping VM interrupts no stream that it begins, whatever the paces of its engines", "[planned-stop]")
{
    auto const engine_count = GENERATE(std::size_t(2), std::size_t(9), std::size_t(400));
    auto const seed = GENERATE(range(1, 6));
    CAPTURE(engine_count, seed);
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    std::lognormal_distribution<double> pace(std::log(0.0007), 0.3);
    std::lognormal_distribution<double> change(0, 1.2);
    std::uniform_real_distribution<double> moment(-30, GRACE);
    std::vector<SimulatedEngine> engines(engine_count);
    for (auto& engine : engines)
        engine = { pace(random), moment(random), change(random) };

    std::lognormal_distribution<double> tokens(std::log(1500.0), 0.6);
    std::uniform_real_distribution<double> sent(0, GRACE);
    // Some callers wait for a few seconds alone.
    std::uniform_real_distribution<double> shortest_deadline(0.5, 14);
    constexpr int STREAMS = 2000;
    int begun = 0;
    int refused = 0;
    std::array<int, 3> ends_of_begun {};
    int refused_in_vain = 0;
    int whole_elsewhere = 0;
    int out_of_time_elsewhere = 0;
    for (int i = 0; i < STREAMS; ++i) {
        SimulatedStream stream { sent(random), tokens(random), shortest_deadline(random), random() % engine_count };
        auto const& engine = engines[stream.engine];
        if (may_begin_before_exit(from_seconds(stream.deadline), from_seconds(GRACE - stream.sent))) {
            ++begun;
            ++ends_of_begun.at(static_cast<std::size_t>(end_of(stream, engine, GRACE)));
            continue;
        }
        ++refused;
        refused_in_vain += stream.sent + stream.deadline <= GRACE ? 1 : 0;
        // Another VM, which does not stop, has the same engines.
        stream.sent += RETRY_AFTER;
        stream.deadline -= RETRY_AFTER;
        auto const end = end_of(stream, engine, 1e9);
        whole_elsewhere += end == StreamEnd::Whole ? 1 : 0;
        out_of_time_elsewhere += end == StreamEnd::OutOfTime ? 1 : 0;
    }
    CAPTURE(begun, refused, whole_elsewhere, out_of_time_elsewhere);
    CHECK(ends_of_begun.at(static_cast<std::size_t>(StreamEnd::Interrupted)) == 0);
    CHECK(begun > 0);
    CHECK(refused_in_vain == 0);
    CHECK(whole_elsewhere + out_of_time_elsewhere == refused);
}
