// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibPlatform/HttpPlatform.h>
#include <StandIns/PlatformStandIn/PlatformStandIn.h>
#include <catch2/catch.hpp>

using namespace Spurtide;

namespace {

Address const s_any_port { "127.0.0.1", 0 };

struct Platform {
    std::unique_ptr<PlatformStandIn> stand_in = PlatformStandIn::create({ s_any_port, 8, Duration::zero() }).release_value();
    HttpPlatform port { this->stand_in->address(), milliseconds(400) };
};

}

TEST_CASE("The table writes on its condition alone")
{
    Platform platform;
    CHECK(platform.port.read("row").error() == PlatformError::NotFound);
    CHECK(platform.port.write("row", "one", 0).value() == 1);
    CHECK(platform.port.write("row", "two", 0).error() == PlatformError::Conflict);
    CHECK(platform.port.write("row", "two", 1).value() == 2);
    CHECK(platform.port.write("row", "three", 1).error() == PlatformError::Conflict);
    auto const row = platform.port.read("row").value();
    CHECK(row.version == 2);
    CHECK(row.value == "two");
    CHECK(platform.port.write("other/key", "x", 5).error() == PlatformError::Conflict);
}

TEST_CASE("Objects and machines come back as they were stored")
{
    Platform platform;
    std::string const bytes("a\0b\xff\n", 5);
    CHECK(platform.port.get("o").error() == PlatformError::NotFound);
    CHECK_FALSE(platform.port.put("o", bytes).is_error());
    CHECK_FALSE(platform.port.put("o", bytes).is_error());
    CHECK(platform.port.get("o").value() == bytes);
    platform.stand_in->set_machines({ { "vm-1", "dc", ListedMachine::Life::Live }, { "vm-2", "dc", ListedMachine::Life::Leaving } });
    auto const machines = platform.port.list().value();
    REQUIRE(machines.size() == 2);
    CHECK(machines[1].life == ListedMachine::Life::Leaving);
}

namespace {

struct FaultCase {
    char const* name;
    PlatformFaults faults;
    PlatformError read_error;
    PlatformError write_error;
    /// What the table holds afterwards.
    std::int64_t version;
};

}

TEST_CASE("Each fault of the platform is a typed error, and the table holds what the error says")
{
    std::vector<FaultCase> const cases = {
        { "outage", { true, {}, 0 }, PlatformError::Unavailable, PlatformError::Unavailable, 1 },
        { "slow beyond the timeout", { false, milliseconds(900), 0 }, PlatformError::InDoubt, PlatformError::InDoubt, 1 },
    };
    for (auto const& test : cases) {
        CAPTURE(test.name);
        Platform platform;
        REQUIRE(platform.port.write("row", "one", 0).value() == 1);
        platform.stand_in->set_faults(test.faults);
        CHECK(platform.port.read("row").error() == test.read_error);
        CHECK(platform.port.write("row", "two", 7).error() == test.write_error);
        platform.stand_in->set_faults({});
        CHECK(platform.port.read("row").value().version == test.version);
    }
}

TEST_CASE("An answer lost after the write is in doubt, and the write took effect")
{
    Platform platform;
    platform.stand_in->set_faults({ false, {}, 1 });
    CHECK(platform.port.write("row", "one", 0).error() == PlatformError::InDoubt);
    CHECK(platform.port.read("row").value().value == "one");
}

TEST_CASE("A platform that nobody listens for is unreachable: nothing was sent")
{
    Platform platform;
    platform.stand_in->stop();
    CHECK(platform.port.write("row", "one", 0).error() == PlatformError::Unreachable);
    CHECK(platform.port.read("row").error() == PlatformError::Unreachable);
    CHECK(platform.port.put("o", "x").error() == PlatformError::Unreachable);
    CHECK(platform.port.get("o").error() == PlatformError::Unreachable);
    CHECK(platform.port.list().error() == PlatformError::Unreachable);
}
