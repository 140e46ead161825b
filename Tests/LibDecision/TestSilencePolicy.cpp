// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/SilencePolicy.h>
#include <catch2/catch.hpp>

using namespace Spurtide;

namespace {

using Alternative = SilentRequest::Alternative;

SilentRequest silent_for(Duration duration, Alternative alternative)
{
    SilentRequest request;
    request.silent_for = duration;
    request.time_elsewhere = milliseconds(900);
    request.alternative = alternative;
    return request;
}

}

// Guards against requests that are given up at a busy upstream and then have no other place to go.
TEST_CASE("A silent request without an alternative is never given up", "[silent-upstream]")
{
    SilencePolicy const policy { SilencePolicy::Options {} };
    for (auto const duration : { milliseconds(0), milliseconds(1300), seconds(60) }) {
        auto request = silent_for(duration, Alternative::None);
        CHECK_FALSE(policy.may_abandon(request));
        request.caller_patience = milliseconds(2520);
        CHECK_FALSE(policy.may_abandon(request));
    }
}

TEST_CASE("Before a response begins a silent request soon goes to another upstream, and later through another VM", "[silent-upstream]")
{
    SilencePolicy const policy { SilencePolicy::Options {} };
    CHECK_FALSE(policy.may_abandon(silent_for(milliseconds(299), Alternative::Direct)));
    CHECK(policy.may_abandon(silent_for(milliseconds(300), Alternative::Direct)));
    CHECK_FALSE(policy.may_abandon(silent_for(milliseconds(1999), Alternative::ThroughRelay)));
    CHECK(policy.may_abandon(silent_for(milliseconds(2000), Alternative::ThroughRelay)));
}

// Guards against requests that are sent twice since their upstream works on them for as long as it usually does.
TEST_CASE("Before a response begins a request waits as long as a sound upstream may take", "[silent-upstream]")
{
    SilencePolicy const policy { SilencePolicy::Options {} };
    auto request = silent_for(milliseconds(1999), Alternative::Direct);
    request.usual_wait = seconds(2);
    CHECK_FALSE(policy.may_abandon(request));
    request.silent_for = seconds(2);
    CHECK(policy.may_abandon(request));
}

// Guards against streams that are cut during a silence that their callers wait out.
TEST_CASE("A response that has begun waits as long as its caller can still be served elsewhere", "[silent-upstream]")
{
    SilencePolicy const policy { SilencePolicy::Options {} };
    auto request = silent_for(milliseconds(1619), Alternative::Direct);
    request.caller_patience = milliseconds(2520);
    CHECK_FALSE(policy.may_abandon(request));
    request.silent_for = milliseconds(1620);
    CHECK(policy.may_abandon(request));
    request.alternative = Alternative::ThroughRelay;
    request.caller_patience = milliseconds(5000);
    request.silent_for = milliseconds(4099);
    CHECK_FALSE(policy.may_abandon(request));
    request.silent_for = milliseconds(4100);
    CHECK(policy.may_abandon(request));
    // A caller that leaves sooner than it could be served elsewhere gains nothing by a longer wait.
    auto hurried = silent_for(milliseconds(300), Alternative::Direct);
    hurried.caller_patience = milliseconds(500);
    CHECK(policy.may_abandon(hurried));
}
