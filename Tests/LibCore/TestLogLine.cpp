// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/LogLine.h>
#include <catch2/catch.hpp>
#include <vector>

using namespace Spurtide;

TEST_CASE("A log line is one line of key=value pairs whatever its values hold")
{
    std::vector<std::string> lines;
    LogLine::set_observer([&](std::string_view line) { lines.emplace_back(line); });
    LogLine("placement").with("request", "r-1").with("candidates", 4).with("wait", 1.5).with("reason", "two words").with("body", "a\nevent=fake \"x\"").with("empty", "");
    LogLine::set_observer({});
    REQUIRE(lines.size() == 1);
    CHECK(lines.front() == R"(event=placement request=r-1 candidates=4 wait=1.500 reason="two words" body="a event=fake \"x\"" empty="")");
}
