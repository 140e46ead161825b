// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/LogLine.h>
#include <Tests/Platform/VersionedDeployment.h>
#include <catch2/catch.hpp>

using namespace Spurtide;
using namespace Spurtide::Tests;

// Guards against streams that are cut after their first events since engines could not be reached before these.
TEST_CASE("A stream that breaks goes on elsewhere although engines refused connections before it began", "[broken-streams]")
{
    VersionedDeployment test;
    test.configure(1);
    test.add_engine("prefill", "prefill", "v1");
    // The keeper prefers them by their names.
    for (auto const* name : { "decode-1", "decode-2" })
        test.add_engine(name, "decode", "v1").crash();
    auto const& breaking = test.add_engine("decode-3", "decode", "v1");
    test.break_new_streams_after(2);
    auto const& whole = test.add_engine("decode-4", "decode", "v1");
    int placements = 0;
    LogLine::set_observer([&](std::string_view line) { placements += line.find("event=placed ") != std::string_view::npos ? 1 : 0; });
    auto const answer = test.call(test.model_request("/resumable/x", "a"));
    LogLine::set_observer({});
    REQUIRE(placements >= 3);
    REQUIRE(breaking.run.size() == 1);
    CHECK(answer.head.status == 200);
    CHECK_FALSE(answer.error);
    CHECK(answer.body.ends_with("id: 5\ndata: v1 5\n\n"));
    CHECK(whole.run.size() == 1);
}
