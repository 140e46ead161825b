// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <Tests/Platform/StoreStandIn.h>
#include <catch2/catch.hpp>
#include <platform/PlatformRegistry.h>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

/// Calls of the store's client itself, on its own.
struct RegistryTest {
    RegistryTest()
    {
        PlatformRegistry::Options options;
        options.address = this->store.address();
        options.answer_timeout = milliseconds(300);
        this->registry = std::make_unique<PlatformRegistry>(options);
    }

    template<typename Value>
    Result<Value, PlatformError> run(asio::awaitable<Result<Value, PlatformError>> call)
    {
        std::optional<Result<Value, PlatformError>> result;
        auto const carry = [&]() -> asio::awaitable<void> { result.emplace(co_await std::move(call)); };
        asio::co_spawn(this->loop, carry(), asio::detached);
        while (!result)
            this->loop.run_one();
        return std::move(*result);
    }

    asio::io_context loop { 1 };
    StoreStandIn store { loop };
    std::unique_ptr<PlatformRegistry> registry;
};

}

TEST_CASE("A lease's row is written on its version alone, and read back as it was written", "[lapsed-lease]")
{
    RegistryTest test;
    auto const none = test.run(test.registry->read_lease("roles"));
    REQUIRE_FALSE(none.is_error());
    CHECK_FALSE(none.value().row);
    auto const first = test.run(test.registry->write_lease("roles", "vm-1.7", {}));
    REQUIRE_FALSE(first.is_error());
    auto const row = test.run(test.registry->read_lease("roles"));
    REQUIRE_FALSE(row.is_error());
    REQUIRE(row.value().row);
    CHECK(row.value().row->holder == "vm-1.7");
    CHECK(row.value().row->version == first.value());
    CHECK(test.run(test.registry->write_lease("roles", "vm-2.1", {})).error() == PlatformError::Conflict);
    CHECK(test.store.value("leases", "roles") == "vm-1.7");
    auto const second = test.run(test.registry->write_lease("roles", "vm-2.1", first.value()));
    REQUIRE_FALSE(second.is_error());
    CHECK(second.value() > first.value());
}

TEST_CASE("Each fault of the store is a typed error of reads and writes", "[platform-down][answer-lost]")
{
    using Fault = StoreStandIn::Fault;
    struct Row {
        Fault fault;
        PlatformError read;
        PlatformError write;
        bool is_written;
    };
    auto const row = GENERATE(values<Row>({
        { Fault::Busy, PlatformError::Unavailable, PlatformError::Unavailable, false },
        { Fault::TooMany, PlatformError::Unavailable, PlatformError::Unavailable, false },
        { Fault::Silent, PlatformError::InDoubt, PlatformError::InDoubt, true },
        { Fault::Garbage, PlatformError::Malformed, PlatformError::Malformed, true },
        { Fault::LostWrites, PlatformError::NotFound, PlatformError::InDoubt, true },
    }));
    CAPTURE(static_cast<int>(row.fault));
    RegistryTest test;
    test.store.set_fault(row.fault);
    if (row.fault != Fault::LostWrites)
        CHECK(test.run(test.registry->read_lease("roles")).error() == row.read);
    CHECK(test.run(test.registry->write_lease("roles", "vm-1.7", {})).error() == row.write);
    CHECK(test.store.value("leases", "roles").has_value() == row.is_written);
    // What is in doubt is told by a read.
    test.store.set_fault(Fault::None);
    auto const after = test.run(test.registry->read_lease("roles"));
    REQUIRE_FALSE(after.is_error());
    CHECK(after.value().row.has_value() == row.is_written);
}

TEST_CASE("A store that cannot be connected is unreachable: nothing was written", "[platform-down]")
{
    RegistryTest test;
    test.store.stop_listening();
    CHECK(test.run(test.registry->read_lease("roles")).error() == PlatformError::Unreachable);
    CHECK(test.run(test.registry->write_lease("roles", "vm-1.7", {})).error() == PlatformError::Unreachable);
}

TEST_CASE("The requests that are kept from upstreams come back from the store as they were written, the outdated go", "[quarantine]")
{
    RegistryTest test;
    auto const first = RequestFingerprint::of({ "POST", "h.example", "/x", "", "first" });
    auto const second = RequestFingerprint::of({ "POST", "h.example", "/x", "", "second" });
    CHECK(test.run(test.registry->read_quarantine()).value().empty());
    CHECK_FALSE(test.run(test.registry->write_quarantine({ first, 1, 1000 }, {})).is_error());
    CHECK_FALSE(test.run(test.registry->write_quarantine({ first, 2, 3000 }, {})).is_error());
    CHECK(test.run(test.registry->read_quarantine()).value() == std::vector<QuarantineEntry> { { first, 2, 3000 } });
    CHECK_FALSE(test.run(test.registry->write_quarantine({ second, 1, 5000 }, { first })).is_error());
    CHECK(test.run(test.registry->read_quarantine()).value() == std::vector<QuarantineEntry> { { second, 1, 5000 } });
    // A row of another writer names no request, and the others hold.
    test.store.put("quarantine", "not-a-fingerprint", { { "times", 1 }, { "until", 1 } });
    test.store.put("quarantine", first.to_hex(), { { "times", "often" } });
    CHECK(test.run(test.registry->read_quarantine()).value() == std::vector<QuarantineEntry> { { second, 1, 5000 } });
    auto const parts = make_prompt_parts({ PromptPart::of("m", "system"), PromptPart::of("m", "bad") });
    QuarantineEntry of_parts { RequestFingerprint::of_parts(parts), 3, 7000 };
    of_parts.parts = parts;
    of_parts.lifted = 2;
    CHECK_FALSE(test.run(test.registry->write_quarantine(of_parts, { second })).is_error());
    CHECK(test.run(test.registry->read_quarantine()).value() == std::vector<QuarantineEntry> { of_parts });
    for (auto const& damaged : { nlohmann::json("a"), nlohmann::json({ 1, 2 }), nlohmann::json({ "xyz" }), nlohmann::json({ "00112233445566778" }) }) {
        test.store.put("quarantine", second.to_hex(), { { "times", 1 }, { "until", 1 }, { "parts", damaged } });
        CHECK(test.run(test.registry->read_quarantine()).value() == std::vector<QuarantineEntry> { of_parts });
    }
    test.store.set_fault(StoreStandIn::Fault::Busy);
    CHECK(test.run(test.registry->read_quarantine()).error() == PlatformError::Unavailable);
    CHECK(test.run(test.registry->write_quarantine({ first, 1, 1000 }, {})).error() == PlatformError::Unavailable);
}

TEST_CASE("Positions and versions carry the era that the store states", "[platform-down]")
{
    RegistryTest test;
    struct Row {
        std::optional<std::string> stated;
        std::optional<std::int64_t> era;
    };
    auto const row = GENERATE(values<Row>({
        { {}, 0 },
        { "0", 0 },
        { "7", 7 },
        { "8191", 8191 },
        { "8192", {} },
        { "-1", {} },
        { "two", {} },
        { "2 ", {} },
        { "", {} },
    }));
    CAPTURE(row.stated.value_or("none"));
    test.store.put("servers", "i-1", { { "service", "plain" }, { "address", "127.0.0.1:1" }, { "zone", "dc" }, { "version", "1" }, { "slots", 1 }, { "state", "ready" }, { "cold_left_ms", 0 }, { "call_seq", 0 } });
    test.store.put("op", "evacuate/dc", nlohmann::json::object());
    test.store.era = row.stated;
    auto const upstreams = test.run(test.registry->read_upstreams());
    auto const configuration = test.run(test.registry->read_configuration());
    auto const written = test.run(test.registry->write_lease("roles", "vm-1.7", {}));
    auto const lease = test.run(test.registry->read_lease("roles"));
    if (!row.era) {
        CHECK(upstreams.error() == PlatformError::Malformed);
        CHECK(written.error() == PlatformError::Malformed);
        return;
    }
    REQUIRE_FALSE(upstreams.is_error());
    CHECK(upstreams.value().position == StorePosition(*row.era, 2));
    REQUIRE(upstreams.value().listed.size() == 1);
    CHECK(upstreams.value().listed[0].version == StorePosition(*row.era, 1));
    REQUIRE(configuration.value().evacuations.evacuations.size() == 1);
    CHECK(configuration.value().evacuations.evacuations[0].version == StorePosition(*row.era, 2));
    CHECK(written.value() == StorePosition(*row.era, 3));
    CHECK(lease.value().row->version == StorePosition(*row.era, 3));
}

// Guards against a watch that goes on in another history that has the same version.
TEST_CASE("A watch from a position of another era says that its history is gone", "[platform-down]")
{
    RegistryTest test;
    for (int i = 0; i < 5; ++i)
        test.store.put("op", "other", nlohmann::json::object());
    StorePosition const position(1, 5);
    REQUIRE_FALSE(test.run(test.registry->watch_upstreams(position, Duration::zero())).is_error());
    auto copy = test.store.copy();
    auto const versions_since = GENERATE(-3, 0, 3);
    CAPTURE(versions_since);
    copy.version += versions_since;
    test.store.return_from(copy);
    CHECK(test.run(test.registry->watch_upstreams(position, Duration::zero())).error() == PlatformError::HistoryGone);
    CHECK(test.run(test.registry->watch_configuration(position, Duration::zero())).error() == PlatformError::HistoryGone);
}

TEST_CASE("An answer of an era before a known one is in doubt", "[platform-down][answer-lost]")
{
    RegistryTest test;
    test.store.era = "2";
    REQUIRE_FALSE(test.run(test.registry->read_upstreams()).is_error());
    test.store.era = "1";
    CHECK(test.run(test.registry->read_upstreams()).error() == PlatformError::InDoubt);
    CHECK(test.run(test.registry->write_lease("roles", "vm-1.7", {})).error() == PlatformError::InDoubt);
}
