// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <StandIns/EngineStandIn/EngineModel.h>
#include <Tests/Support/VirtualClock.h>
#include <catch2/catch.hpp>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

EngineModel::Options plain_options()
{
    EngineModel::Options options;
    options.prefill_tokens_per_second = 10'000;
    options.prefill_base = Duration::zero();
    options.step_base = milliseconds(10);
    options.step_per_sequence = milliseconds(1);
    options.cache_bytes_per_token = 1000;
    options.link_bytes_per_second = 1'000'000;
    options.decode_slots = 2;
    return options;
}

EngineModel::Prefill prefill(std::string name, std::int64_t tokens)
{
    return { { std::move(name), "entry-1", "a" }, tokens, {}, 42, 0 };
}

EngineModel::Decode decode(std::string name, std::int64_t bytes, std::int64_t tokens)
{
    return { { std::move(name), "entry-1", "a" }, bytes, 42, 0, tokens };
}

}

TEST_CASE("Prefills run one after another and their results are kept for the hold time")
{
    EngineModel engine(plain_options());
    REQUIRE_FALSE(engine.start_prefill(prefill("r1", 1000), at_milliseconds(0)).is_error());
    REQUIRE_FALSE(engine.start_prefill(prefill("r2", 2000), at_milliseconds(0)).is_error());
    engine.advance(at_milliseconds(99));
    CHECK(engine.prefill_phase("r1") == EngineModel::PrefillPhase::Queued);
    engine.advance(at_milliseconds(100));
    CHECK(engine.prefill_phase("r1") == EngineModel::PrefillPhase::Held);
    engine.advance(at_milliseconds(300));
    CHECK(engine.prefill_phase("r2") == EngineModel::PrefillPhase::Held);
    engine.advance(at_milliseconds(1000));
    CHECK(engine.prefill_phase("r1") == EngineModel::PrefillPhase::Expired);
    CHECK(engine.totals().wasted_tokens == 1000);
    CHECK(engine.drop_export("r2"));
    CHECK(engine.held().empty());
}

TEST_CASE("Decode waits for a slot, then for its share of the link, then gives a token a step")
{
    EngineModel engine(plain_options());
    REQUIRE_FALSE(engine.start_decode(decode("r1", 100'000, 3), at_milliseconds(0)).is_error());
    REQUIRE_FALSE(engine.start_decode(decode("r2", 100'000, 3), at_milliseconds(0)).is_error());
    REQUIRE_FALSE(engine.start_decode(decode("r3", 0, 3), at_milliseconds(0)).is_error());
    engine.advance(at_milliseconds(199));
    CHECK(engine.find_stream("r1")->phase == EngineModel::DecodePhase::Importing);
    CHECK(engine.find_stream("r3")->phase == EngineModel::DecodePhase::WaitingForSlot);
    engine.advance(at_milliseconds(214));
    CHECK(engine.find_stream("r1")->tokens_ready == 1);
    engine.advance(at_milliseconds(400));
    CHECK(engine.find_stream("r1")->phase == EngineModel::DecodePhase::Finished);
    CHECK(engine.find_stream("r3")->phase == EngineModel::DecodePhase::Finished);
    CHECK(engine.held().empty());
    CHECK(engine.totals().decoded_tokens == 9);
}

TEST_CASE("A cancel frees what is held in every phase")
{
    for (std::int64_t const when : { 0, 50, 150 }) {
        EngineModel engine(plain_options());
        REQUIRE_FALSE(engine.start_prefill(prefill("r1", 1000), at_milliseconds(0)).is_error());
        REQUIRE_FALSE(engine.start_decode(decode("r2", 100'000, 50), at_milliseconds(0)).is_error());
        engine.advance(at_milliseconds(when));
        CHECK(engine.cancel("r1", at_milliseconds(when)));
        CHECK(engine.cancel("r2", at_milliseconds(when)));
        CHECK_FALSE(engine.cancel("r2", at_milliseconds(when)));
        CHECK(engine.held().empty());
        CHECK(engine.slots_in_use() == 0);
    }
}

TEST_CASE("A stalled transfer moves nothing and leaves the link to the others", "[stalled-transfer][held]")
{
    EngineModel engine(plain_options());
    REQUIRE_FALSE(engine.start_decode(decode("r1", 100'000, 1), at_milliseconds(0)).is_error());
    REQUIRE_FALSE(engine.start_decode(decode("r2", 100'000, 1), at_milliseconds(0)).is_error());
    engine.stall_transfer("r1", at_milliseconds(0));
    engine.advance(at_milliseconds(100));
    CHECK(engine.find_stream("r2")->phase == EngineModel::DecodePhase::Decoding);
    engine.advance(at_milliseconds(10'000));
    CHECK(engine.find_stream("r1")->phase == EngineModel::DecodePhase::Importing);
}

TEST_CASE("A known prefix shortens the prefill and its events come late and with gaps")
{
    auto options = plain_options();
    options.cache_event_loss = 0.3;
    options.cache_event_delay = milliseconds(200);
    EngineModel engine(options);
    std::string const prompt(4 * 4096, 'x');
    for (int i = 0; i < 2; ++i) {
        EngineModel::Prefill work { { "r" + std::to_string(i), "entry-1", "a" }, 4096, prompt_prefixes(prompt), 42, 0 };
        REQUIRE_FALSE(engine.start_prefill(work, at_milliseconds(i * 2000)).is_error());
    }
    engine.advance(at_milliseconds(2001));
    CHECK(engine.find_export("r1")->cached_tokens == 4096);
    CHECK(engine.cache_events(0, at_milliseconds(500)).empty());
    auto const events = engine.cache_events(0, at_milliseconds(2000));
    CHECK(events.size() < 7);
    CHECK(events.size() > 0);
}

TEST_CASE("The same content gives the same answer from any offset")
{
    EngineModel engine(plain_options());
    REQUIRE_FALSE(engine.start_decode({ { "r1", "entry-1", "a" }, 0, 99, 4, 10 }, at_milliseconds(0)).is_error());
    engine.advance(at_milliseconds(1000));
    auto const stream = engine.find_stream("r1");
    CHECK(stream->first_offset == 4);
    CHECK(stream->tokens_ready == 10);
    CHECK(answer_token(99, 4) == answer_token(99, 4));
    CHECK(answer_token(99, 4) != answer_token(98, 4));
}

TEST_CASE("A leaving engine takes nothing new and finishes what it has", "[leaving]")
{
    EngineModel engine(plain_options());
    REQUIRE_FALSE(engine.start_decode(decode("r1", 0, 3), at_milliseconds(0)).is_error());
    engine.set_leaving(true);
    CHECK(engine.start_decode(decode("r2", 0, 3), at_milliseconds(1)).is_error());
    CHECK(engine.start_prefill(prefill("r3", 10), at_milliseconds(1)).is_error());
    engine.advance(at_milliseconds(100));
    CHECK(engine.find_stream("r1")->phase == EngineModel::DecodePhase::Finished);
}
