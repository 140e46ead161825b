// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/ConnectionAdmission.h>
#include <catch2/catch.hpp>

using namespace Spurtide;

namespace {

constexpr Duration TIMER_INTERVAL = milliseconds(100);

struct AdmissionTest {
    /// Runs timers that are late by this for some time, with new connections all the while. Returns how many were accepted.
    int run(Duration delay, Duration length)
    {
        int accepted = 0;
        auto const until = this->now + length;
        while (this->now < until) {
            this->now += TIMER_INTERVAL + delay;
            this->admission.note_loop_delay(delay, this->now);
            for (int i = 0; i < CONNECTIONS_PER_TIMER; ++i)
                accepted += this->admission.try_accept(this->now) ? 1 : 0;
            this->offered += CONNECTIONS_PER_TIMER;
        }
        return accepted;
    }

    static constexpr int CONNECTIONS_PER_TIMER = 10;
    ConnectionAdmission admission { ConnectionAdmission::Options {} };
    MonotonicTime now { seconds(1000) };
    int offered = 0;
};

}

TEST_CASE("A VM that keeps up accepts all connections, also after a pause of its process", "[overload]")
{
    AdmissionTest test;
    CHECK(test.run(milliseconds(5), seconds(5)) == test.offered);
    test.run(seconds(3), seconds(3));
    test.offered = 0;
    CHECK(test.run(milliseconds(5), seconds(5)) == test.offered);
}

// Guards against a VM that reads all requests of its data centre and answers none of them in time.
TEST_CASE("An overloaded VM closes most new connections, but never all", "[overload]")
{
    AdmissionTest test;
    test.run(milliseconds(150), seconds(1));
    CHECK(test.admission.is_overloaded());
    test.offered = 0;
    auto const accepted = test.run(milliseconds(150), seconds(10));
    CHECK(accepted * 4 <= test.offered);
    CHECK(accepted >= 10);
    test.run(milliseconds(1), milliseconds(100));
    CHECK_FALSE(test.admission.is_overloaded());
    test.offered = 0;
    CHECK(test.run(milliseconds(1), seconds(2)) == test.offered);
}
