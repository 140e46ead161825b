// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibWire/WireMembers.h>
#include <algorithm>
#include <catch2/catch.hpp>

using namespace Spurtide;

TEST_CASE("A member's record comes back as it was, and services of one process cost their names alone")
{
    MemberRecord record;
    record.virtual_machine = "front-7";
    record.incarnation = 1'760'000'000'000;
    record.version = 3;
    record.liveness = MemberLiveness::Leaving;
    record.configuration_generation = 12;
    for (auto const* name : { "directory", "config", "placement" })
        record.services.push_back({ name, "tcp://127.0.0.1:8146", "front-7.0123456789abcdef" });
    wire::MemberRecord of_one_process;
    write_record(record, of_one_process);
    CHECK(of_one_process.services_size() == 0);
    CHECK(of_one_process.ByteSizeLong() < 130);
    // A VM of several processes.
    record.services.push_back({ "entry", "tcp://127.0.0.1:9000", "front-7.fedcba9876543210" });
    wire::MemberRecord message;
    write_record(record, message);
    auto const back = read_record(message);
    CHECK(back.virtual_machine == record.virtual_machine);
    CHECK(back.incarnation == record.incarnation);
    CHECK(back.version == record.version);
    CHECK(back.liveness == record.liveness);
    CHECK(back.configuration_generation == record.configuration_generation);
    CHECK(back.services == record.services);
    CHECK(read_record(wire::MemberRecord {}).services.empty());
}
