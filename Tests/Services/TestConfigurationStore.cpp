// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <Services/ConfigServer/ClaimKeeper.h>
#include <Services/ConfigServer/ConfigurationStore.h>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <optional>
#include <utility>

using namespace Spurtide;

namespace {

/// A table and object store in memory whose next calls can be made to fail.
class FaultyPlatform final
    : public TablePort,
      public ObjectStorePort {
public:
    Result<TableRow, PlatformError> read(std::string_view key) override
    {
        if (this->read_fault)
            return Failure { *this->read_fault };
        auto const found = this->rows.find(std::string(key));
        if (found == this->rows.end())
            return Failure { PlatformError::NotFound };
        return found->second;
    }

    Result<std::int64_t, PlatformError> write(std::string_view key, std::string_view value, std::int64_t expected_version) override
    {
        if (auto race = std::exchange(this->before_write, {}))
            race();
        auto const found = this->rows.find(std::string(key));
        auto const present = found == this->rows.end() ? 0 : found->second.version;
        if (this->write_fault && this->write_fault != PlatformError::InDoubt)
            return Failure { *this->write_fault };
        if (present != expected_version)
            return Failure { PlatformError::Conflict };
        bool const takes_effect = !this->write_fault || this->lost_write_takes_effect;
        if (takes_effect)
            this->rows[std::string(key)] = { present + 1, std::string(value) };
        if (this->write_fault)
            return Failure { *this->write_fault };
        return present + 1;
    }

    Result<Done, PlatformError> put(std::string_view name, std::string_view content) override
    {
        if (this->put_fault)
            return Failure { *this->put_fault };
        this->objects[std::string(name)] = content;
        return Done {};
    }

    Result<std::string, PlatformError> get(std::string_view name) override
    {
        auto const found = this->objects.find(std::string(name));
        if (found == this->objects.end())
            return Failure { PlatformError::NotFound };
        return found->second;
    }

    std::map<std::string, TableRow> rows;
    std::map<std::string, std::string> objects;
    std::optional<PlatformError> read_fault;
    std::optional<PlatformError> write_fault;
    std::optional<PlatformError> put_fault;
    bool lost_write_takes_effect = true;
    std::function<void()> before_write;
};

ApplyOrder order(std::string apply_id, std::int64_t base, std::string content)
{
    return { std::move(apply_id), base, std::move(content), "ana" };
}

}

TEST_CASE("Generations follow each other and an apply id is accepted once", "[config]")
{
    FaultyPlatform platform;
    ConfigurationStore store(platform, platform);
    CHECK(store.apply(order("a", 0, "one"), 1).value() == 1);
    CHECK(store.apply(order("b", 1, "two"), 2).value() == 2);
    CHECK(store.apply(order("a", 0, "one"), 3).value() == 1);
    CHECK(store.held().generation == 2);
    CHECK(store.held().content == "two");
    CHECK(store.history().value().size() == 2);
}

TEST_CASE("Of two operators' changes on the same base one is a conflict that names the other", "[config][operator-race]")
{
    FaultyPlatform platform;
    ConfigurationStore first(platform, platform);
    ConfigurationStore second(platform, platform);
    REQUIRE(first.apply(order("a", 0, "one"), 1).value() == 1);
    SECTION("seen before the write")
    {
        auto const late = second.apply(order("b", 0, "other"), 2);
        CHECK(late.error().kind == ApplyErrorKind::Conflict);
        CHECK(late.error().present.generation == 1);
        CHECK(late.error().present.author == "ana");
    }
    SECTION("between the read and the write")
    {
        platform.before_write = [&] { REQUIRE(first.apply(order("c", 1, "three"), 3).value() == 2); };
        CHECK(second.apply(order("b", 1, "other"), 2).error().kind == ApplyErrorKind::Conflict);
        CHECK(first.history().value().size() == 2);
    }
}

namespace {

struct ApplyCase {
    char const* name;
    std::function<void(FaultyPlatform&)> break_it;
    std::optional<ApplyErrorKind> error;
    /// Generation in the table once the platform is well again.
    std::int64_t table_generation;
};

}

TEST_CASE("An apply under each fault of the platform says what is true", "[config][platform-down][slow][answer-lost]")
{
    std::vector<ApplyCase> const cases = {
        { "table down", [](auto& p) { p.read_fault = PlatformError::Unavailable; }, ApplyErrorKind::NotAccepted, 1 },
        { "table unreachable", [](auto& p) { p.read_fault = PlatformError::Unreachable; }, ApplyErrorKind::NotAccepted, 1 },
        { "object store down", [](auto& p) { p.put_fault = PlatformError::Unavailable; }, ApplyErrorKind::NotAccepted, 1 },
        { "object answer lost", [](auto& p) { p.put_fault = PlatformError::InDoubt; }, ApplyErrorKind::NotAccepted, 1 },
        { "write refused", [](auto& p) { p.write_fault = PlatformError::Unavailable; }, ApplyErrorKind::NotAccepted, 1 },
        { "answer lost after the write", [](auto& p) { p.write_fault = PlatformError::InDoubt; }, {}, 2 },
        { "answer and write lost", [](auto& p) { p.write_fault = PlatformError::InDoubt; p.lost_write_takes_effect = false; }, ApplyErrorKind::InDoubt, 1 },
        { "answer lost, then the table too", [](auto& p) { p.write_fault = PlatformError::InDoubt; p.before_write = [&p] { p.read_fault = PlatformError::Unavailable; }; }, ApplyErrorKind::InDoubt, 2 },
    };
    for (auto const& test : cases) {
        CAPTURE(test.name);
        FaultyPlatform platform;
        ConfigurationStore store(platform, platform);
        REQUIRE(store.apply(order("a", 0, "one"), 1).value() == 1);
        test.break_it(platform);
        auto const applied = store.apply(order("b", 1, "two"), 2);
        CHECK(applied.is_error() == test.error.has_value());
        if (applied.is_error() && test.error)
            CHECK(applied.error().kind == *test.error);
        platform.read_fault.reset();
        platform.write_fault.reset();
        platform.put_fault.reset();
        CHECK(store.history().value().front().generation == test.table_generation);
        // Whatever was said, applying again with the same id gives one generation 2.
        CHECK(store.apply(order("b", 1, "two"), 3).value() == 2);
        CHECK(store.held().generation == 2);
    }
}

TEST_CASE("A generation in force never reverts", "[config][platform-down]")
{
    FaultyPlatform platform;
    ConfigurationStore store(platform, platform);
    REQUIRE(store.apply(order("a", 0, "one"), 1).value() == 1);
    auto const old_rows = platform.rows;
    REQUIRE(store.apply(order("b", 1, "two"), 2).value() == 2);
    platform.rows = old_rows;
    SECTION("a platform restored from before")
    {
        CHECK(store.refresh().value() == 2);
        CHECK(store.held().content == "two");
        CHECK(store.apply(order("c", 1, "three"), 3).error().kind == ApplyErrorKind::TableWentBack);
    }
    SECTION("a stale peer")
    {
        CHECK_FALSE(store.adopt(1, "one"));
        CHECK_FALSE(store.adopt(2, "other"));
        CHECK(store.held().content == "two");
    }
}

TEST_CASE("An object that is late or damaged is not put in force", "[config][slow]")
{
    FaultyPlatform platform;
    ConfigurationStore writer(platform, platform);
    ConfigurationStore reader(platform, platform);
    REQUIRE(writer.apply(order("a", 0, "one"), 1).value() == 1);
    auto const objects = std::exchange(platform.objects, {});
    CHECK(reader.refresh().error() == PlatformError::NotFound);
    CHECK(reader.generation() == 0);
    platform.objects = objects;
    platform.objects.begin()->second = "damaged";
    CHECK(reader.refresh().error() == PlatformError::Malformed);
    platform.objects = objects;
    CHECK(reader.refresh().value() == 1);
    platform.rows.begin()->second.value = "{}";
    CHECK(reader.refresh().error() == PlatformError::Malformed);
}

TEST_CASE("A claim is granted to one submission under each fault of the table", "[at-most-once][platform-down][slow][answer-lost]")
{
    struct ClaimCase {
        char const* name;
        std::function<void(FaultyPlatform&)> break_it;
        ClaimOutcome outcome;
        ClaimOutcome second_outcome;
    };
    std::vector<ClaimCase> const cases = {
        { "no fault", [](auto&) {}, ClaimOutcome::Granted, ClaimOutcome::Taken },
        { "answer lost after the write", [](auto& p) { p.write_fault = PlatformError::InDoubt; }, ClaimOutcome::Granted, ClaimOutcome::Taken },
        { "answer and write lost", [](auto& p) { p.write_fault = PlatformError::InDoubt; p.lost_write_takes_effect = false; }, ClaimOutcome::InDoubt, ClaimOutcome::Granted },
        { "table down", [](auto& p) { p.write_fault = PlatformError::Unavailable; p.read_fault = PlatformError::Unavailable; }, ClaimOutcome::InDoubt, ClaimOutcome::Granted },
        { "answer lost, then the table too", [](auto& p) { p.write_fault = PlatformError::InDoubt; p.read_fault = PlatformError::Unavailable; }, ClaimOutcome::InDoubt, ClaimOutcome::Taken },
    };
    for (auto const& test : cases) {
        CAPTURE(test.name);
        FaultyPlatform platform;
        ClaimKeeper keeper(platform);
        test.break_it(platform);
        auto const first = keeper.claim("account", "order-1", "token-1");
        CHECK(first == test.outcome);
        platform.write_fault.reset();
        platform.read_fault.reset();
        auto const second = keeper.claim("account", "order-1", "token-2");
        CHECK(second == test.second_outcome);
        CHECK_FALSE((first == ClaimOutcome::Granted && second == ClaimOutcome::Granted));
    }
}

TEST_CASE("Ids of different accounts do not meet, whatever their text", "[at-most-once]")
{
    FaultyPlatform platform;
    ClaimKeeper keeper(platform);
    CHECK(keeper.claim("a", "bc", "t1") == ClaimOutcome::Granted);
    CHECK(keeper.claim("ab", "c", "t2") == ClaimOutcome::Granted);
    CHECK(keeper.claim("a", "bc", "t3") == ClaimOutcome::Taken);
    CHECK(keeper.claim("a", "bc", "t1") == ClaimOutcome::Granted);
}
