// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/PauseDetector.h>
#include <Tests/Support/VirtualClock.h>
#include <catch2/catch.hpp>

using namespace Spurtide;
using namespace Spurtide::Tests;

TEST_CASE("A process whose event loop was paused catches up for a moment", "[freeze]")
{
    struct Row {
        std::string name;
        std::vector<int> turns;
        int at;
        bool catches_up;
    };
    auto const row = GENERATE(values<Row>({
        { "never a turn", {}, 1000, false },
        { "the first turn", { 1000 }, 1000, false },
        { "regular turns", { 0, 200, 400, 600 }, 600, false },
        { "a late turn", { 0, 200, 699 }, 699, false },
        { "it stood still", { 0, 200, 700 }, 700, true },
        { "it reads on", { 0, 200, 7000, 7050 }, 7099, true },
        { "it has read all", { 0, 200, 7000, 7050 }, 7100, false },
        { "it stood still again", { 0, 700, 800, 1400 }, 1450, true },
    }));
    PauseDetector detector({ milliseconds(500), milliseconds(100) });
    for (auto const turn : row.turns)
        detector.note_iteration(at_milliseconds(turn));
    CAPTURE(row.name);
    CHECK(detector.is_catching_up(at_milliseconds(row.at)) == row.catches_up);
}
