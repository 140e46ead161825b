// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibUpstream/HttpEngine.h>
#include <StandIns/EngineStandIn/EngineStandIn.h>
#include <Tests/Support/Waiting.h>
#include <catch2/catch.hpp>
#include <future>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

Address const s_any_port { "127.0.0.1", 0 };

ReadMore wanted() { return ReadMore::Yes; }

/// A prefill and a decode engine, and their ports.
struct Engines {
    explicit Engines(EngineModel::Options prefill_model = {}, EngineStandIn::Options::FenceCheck fence_check = EngineStandIn::Options::FenceCheck::On, std::optional<EngineModel::Options> decode_model = {})
    {
        // These tests are not about the hold time: a machine that is busy for a while must not end it.
        prefill_model.cache_hold = seconds(60);
        EngineStandIn::Options options;
        options.address = s_any_port;
        options.model = prefill_model;
        options.threads = 16;
        options.report_lag = Duration::zero();
        options.fence_check = fence_check;
        this->prefill = EngineStandIn::create(options).release_value();
        options.model = decode_model.value_or(prefill_model);
        this->decode = EngineStandIn::create(options).release_value();
        this->prefill_port = std::make_unique<HttpEngine>(this->prefill->address(), HttpEngine::Options {});
        this->decode_port = std::make_unique<HttpEngine>(this->decode->address(), HttpEngine::Options {});
    }

    Result<PrefillResult, EngineError> run_prefill(std::string const& request, std::string const& prompt = "prompt", std::int64_t continuation = 0)
    {
        return this->prefill_port->prefill({ { request, "entry-1", "a" }, "llm", prompt, "", continuation }, wanted);
    }

    /// Reads a whole decode; gives its text.
    Result<DecodeEnd, EngineError> run_decode(std::string const& request, std::string& text, std::int64_t stop_after = 1000)
    {
        DecodeOrder const order { { request, "entry-1", "a" }, "llm", this->prefill->address().to_string(), 30, 1 };
        std::int64_t count = 0;
        return this->decode_port->decode(order, [&](EngineToken const* token) {
            text += token ? token->text : "";
            count += token ? 1 : 0;
            return count >= stop_after ? ReadMore::No : ReadMore::Yes;
        });
    }

    std::unique_ptr<EngineStandIn> prefill;
    std::unique_ptr<EngineStandIn> decode;
    std::unique_ptr<HttpEngine> prefill_port;
    std::unique_ptr<HttpEngine> decode_port;
};

}

TEST_CASE("Prefill, transfer and decode give every token once and leave nothing held")
{
    Engines engines;
    auto const prefilled = engines.run_prefill("r1", std::string(400, 'x'));
    REQUIRE_FALSE(prefilled.is_error());
    CHECK(prefilled.value().prompt_tokens == 100);
    CHECK(engines.prefill->held().size() == 1);
    std::string text;
    auto const end = engines.run_decode("r1", text);
    REQUIRE_FALSE(end.is_error());
    CHECK_FALSE(text.empty());
    CHECK(engines.prefill->held().empty());
    CHECK(engines.decode->held().empty());
}

TEST_CASE("What was relayed already is prefilled behind the prompt and the stream goes on behind it")
{
    Engines engines;
    std::string whole;
    std::string rest;
    REQUIRE_FALSE(engines.run_prefill("r1").is_error());
    REQUIRE_FALSE(engines.run_decode("r1", whole).is_error());
    std::string const relayed = answer_token(0, 0);
    REQUIRE_FALSE(engines.run_prefill("r2", "prompt", 3).is_error());
    REQUIRE_FALSE(engines.run_decode("r2", rest).is_error());
    CHECK(whole.ends_with(rest));
    CHECK(whole.size() > rest.size());
}

TEST_CASE("A reader that stops leaves the stream, and a newer one reads on and fences the older", "[twice][whole][cut]")
{
    Engines engines;
    std::string first;
    REQUIRE_FALSE(engines.run_prefill("r1").is_error());
    CHECK(engines.run_decode("r1", first, 2).error().kind == EngineErrorKind::Stopped);
    std::promise<void> attached;
    auto slow = std::async(std::launch::async, [&] {
        bool told = false;
        return engines.decode_port->attach({ { "r1", "entry-2", "a" }, 2, 2 }, [&](EngineToken const*) {
            if (!std::exchange(told, true))
                attached.set_value();
            return ReadMore::Yes;
        });
    });
    attached.get_future().wait();
    std::string rest;
    auto const end = engines.decode_port->attach({ { "r1", "entry-3", "a" }, 2, 3 }, [&](EngineToken const* token) {
        rest += token ? token->text : "";
        return ReadMore::Yes;
    });
    REQUIRE_FALSE(end.is_error());
    CHECK(slow.get().error().kind == EngineErrorKind::Fenced);
    std::string whole;
    REQUIRE_FALSE(engines.run_prefill("r2").is_error());
    REQUIRE_FALSE(engines.run_decode("r2", whole).is_error());
    CHECK(first + rest == whole);
}

TEST_CASE("Readers that are older, or of another account, get nothing")
{
    Engines engines;
    std::string text;
    REQUIRE_FALSE(engines.run_prefill("r1").is_error());
    REQUIRE(engines.run_decode("r1", text, 1).is_error());
    auto const sink = [](EngineToken const*) { return ReadMore::Yes; };
    CHECK(engines.decode_port->attach({ { "r1", "entry-2", "a" }, 1, 1 }, sink).error().kind == EngineErrorKind::Fenced);
    CHECK(engines.decode_port->attach({ { "r1", "entry-2", "b" }, 1, 9 }, sink).error().kind == EngineErrorKind::UnknownWork);
    CHECK(engines.decode_port->attach({ { "none", "entry-2", "a" }, 1, 9 }, sink).error().kind == EngineErrorKind::UnknownWork);
}

TEST_CASE("A cancel frees the work, is no error when repeated, and spares a newer reader's stream", "[held][caller-cancel]")
{
    Engines engines;
    std::string text;
    REQUIRE_FALSE(engines.run_prefill("r1").is_error());
    REQUIRE(engines.run_decode("r1", text, 1).is_error());
    auto const sink = [](EngineToken const* token) { return token ? ReadMore::No : ReadMore::Yes; };
    REQUIRE(engines.decode_port->attach({ { "r1", "entry-2", "a" }, 1, 5 }, sink).error().kind == EngineErrorKind::Stopped);
    CHECK(engines.decode_port->cancel("r1", 1).error().kind == EngineErrorKind::Fenced);
    CHECK(engines.decode->held().size() == 1);
    CHECK_FALSE(engines.decode_port->cancel("r1", 5).is_error());
    CHECK_FALSE(engines.decode_port->cancel("r1", 0).is_error());
    CHECK(engines.decode->held().empty());
}

TEST_CASE("A prefill whose caller leaves is stopped by this side and cancelled by name")
{
    EngineModel::Options slow;
    slow.prefill_tokens_per_second = 100;
    Engines engines(slow);
    int asked = 0;
    auto const stopped = engines.prefill_port->prefill({ { "r1", "entry-1", "a" }, "llm", std::string(4000, 'x'), "", 0 }, [&] { return ++asked > 2 ? ReadMore::No : ReadMore::Yes; });
    CHECK(stopped.error().kind == EngineErrorKind::Stopped);
    CHECK(engines.prefill->held().size() == 1);
    CHECK_FALSE(engines.prefill_port->cancel("r1", 0).is_error());
    CHECK(engines.prefill->held().empty());
}

TEST_CASE("Each fault of an engine is a typed error and leaves nothing held once cancelled", "[held][kill][stalled-transfer]")
{
    SECTION("an export that was not picked up in time")
    {
        Engines engines;
        REQUIRE_FALSE(engines.run_prefill("r1").is_error());
        REQUIRE(engines.prefill->held().size() == 1);
        engines.prefill->let_exports_lapse();
        REQUIRE(engines.prefill->held().empty());
        std::string text;
        CHECK(engines.run_decode("r1", text).error().kind == EngineErrorKind::ExportGone);
        CHECK(engines.decode->held().empty());
    }
    SECTION("a transfer that stalls")
    {
        // The decode engine gives its import up; the export itself stays.
        EngineModel::Options impatient;
        impatient.cache_hold = milliseconds(150);
        Engines engines({}, EngineStandIn::Options::FenceCheck::On, impatient);
        engines.decode->set_faults({ false, true, false });
        REQUIRE_FALSE(engines.run_prefill("r1").is_error());
        std::string text;
        CHECK(engines.run_decode("r1", text).error().kind == EngineErrorKind::ExportGone);
        CHECK(engines.decode->held().empty());
    }
    SECTION("an engine that is leaving")
    {
        Engines engines;
        engines.prefill->set_faults({ false, false, true });
        auto const refused = engines.run_prefill("r1");
        CHECK(refused.error().kind == EngineErrorKind::Refused);
        CHECK(refused.error().retry_after == seconds(1));
        CHECK(engines.prefill_port->report().value().life == EngineReport::Life::Leaving);
    }
    SECTION("an engine that takes connections and never answers")
    {
        Engines engines;
        HttpEngine port(engines.prefill->address(), { milliseconds(100), milliseconds(100) });
        engines.prefill->set_faults({ true, false, false });
        CHECK(port.prefill({ { "r1", "entry-1", "a" }, "llm", "p", "", 0 }, wanted).error().kind == EngineErrorKind::Lost);
        CHECK(port.report().error().kind == EngineErrorKind::Lost);
    }
    SECTION("an engine that is gone")
    {
        Engines engines;
        engines.prefill->stop();
        CHECK(engines.run_prefill("r1").error().kind == EngineErrorKind::Unreachable);
        CHECK(engines.prefill_port->report().error().kind == EngineErrorKind::Unreachable);
        CHECK(engines.prefill_port->cancel("r1", 0).error().kind == EngineErrorKind::Unreachable);
    }
    SECTION("an engine that stops in the middle of a stream")
    {
        Engines engines;
        REQUIRE_FALSE(engines.run_prefill("r1").is_error());
        DecodeOrder const order { { "r1", "entry-1", "a" }, "llm", engines.prefill->address().to_string(), 30, 1 };
        std::thread stopper;
        auto const end = engines.decode_port->decode(order, [&](EngineToken const* token) {
            if (token && token->offset == 1)
                stopper = std::thread([&] { engines.decode->stop(); });
            return ReadMore::Yes;
        });
        stopper.join();
        REQUIRE(end.is_error());
        CHECK((end.error().kind == EngineErrorKind::Lost || end.error().kind == EngineErrorKind::UnknownWork));
    }
}

TEST_CASE("Orders under an old epoch are refused where the engine checks them, and taken where it does not", "[config][lapsed-lease]")
{
    using FenceCheck = EngineStandIn::Options::FenceCheck;
    for (auto const check : { FenceCheck::On, FenceCheck::Off }) {
        Engines engines({}, check);
        CHECK_FALSE(engines.decode_port->order_model("llm-2", 7).is_error());
        auto const stale = engines.decode_port->order_model("llm-1", 6);
        CHECK(stale.is_error() == (check == FenceCheck::On));
        if (stale.is_error())
            CHECK(stale.error().kind == EngineErrorKind::StaleEpoch);
    }
}

TEST_CASE("A report names the held work, its origin and whether it is read")
{
    Engines engines;
    std::string text;
    REQUIRE_FALSE(engines.run_prefill("r1").is_error());
    REQUIRE(engines.run_decode("r1", text, 1).is_error());
    REQUIRE(eventually([&] { return engines.decode_port->report().value().held.at(0).reader == HeldWork::Reader::None; }));
    auto const report = engines.decode_port->report().value();
    REQUIRE(report.held.size() == 1);
    CHECK(report.held[0].request == "r1");
    CHECK(report.held[0].origin == "entry-1");
    CHECK(report.held[0].account == "a");
    CHECK(report.step_time > Duration::zero());
}
