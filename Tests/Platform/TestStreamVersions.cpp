// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <Tests/Platform/VersionedDeployment.h>
#include <catch2/catch.hpp>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

constexpr int STREAMS = 12;

std::vector<std::string> stream_names()
{
    std::vector<std::string> names;
    for (int i = 0; i < STREAMS; ++i)
        names.push_back("s" + std::to_string(i));
    return names;
}

/// Streams that began there have to continue at others.
void leave_first_engines(VersionedDeployment& test)
{
    for (auto const* version : { "v1", "v2" })
        test.list(test.engine(VersionedDeployment::decode_name(1, version)), "engines", "draining");
}

/// Lets callers leave in the middle of a stream.
void stream_slowly(VersionedDeployment& test)
{
    for (auto const& engine : test.engines)
        engine->event_pause = milliseconds(15);
}

}

// Guards against streams that continue at an engine of another software version after their engine broke off.
TEST_CASE("A stream that breaks within a response continues only at the software version that began it", "[stream-versions]")
{
    VersionedDeployment test;
    test.configure(1);
    test.add_version("v1", 2);
    test.add_version("v2", 2);
    test.break_new_streams_after(2);
    for (int i = 0; i < STREAMS; ++i) {
        auto const answer = test.call(test.model_request("/resumable/x", "s" + std::to_string(i)));
        CAPTURE(i, answer.body);
        CHECK(answer.head.status == 200);
        CHECK_FALSE(answer.error);
        CHECK(VersionedDeployment::versions_in(answer.body).size() == 1);
    }
}

// Guards against streams that continue at another software version since no other engine has theirs.
TEST_CASE("A stream whose software version no engine has any more does not continue", "[stream-versions]")
{
    VersionedDeployment test;
    test.configure(1);
    test.add_version("v1", 1);
    test.add_version("v2", 1);
    stream_slowly(test);
    auto& crashing = test.engine(VersionedDeployment::decode_name(1, "v1"));
    for (auto const& engine : test.engines)
        engine->events = 100;
    asio::steady_timer timer(test.loop, milliseconds(600));
    timer.async_wait([&](asio::error_code) { crashing.crash(); });
    std::vector<HttpRequest> requests;
    for (int i = 0; i < STREAMS; ++i)
        requests.push_back(test.model_request("/resumable/x", "s" + std::to_string(i)));
    int broken = 0;
    for (auto const& answer : test.call_all(test.node->caller_address(), requests)) {
        if (answer.head.status != 200)
            continue;
        CHECK(VersionedDeployment::versions_in(answer.body).size() == (answer.error ? 0U : 1U));
        broken += answer.error ? 1 : 0;
    }
    CHECK(broken > 0);
    // Streams of the other version are not affected, and none was sent there after its first events.
    for (auto const& request : requests)
        CHECK(test.runs_of(std::string(request.head.headers.find("X-Spurtide-Attempt-Id").value_or(""))) <= 1);
}

// Guards against VMs that place a caller's next try at any software version.
TEST_CASE("A stream that its caller takes up continues at the software version that began it, at any VM", "[stream-versions]")
{
    VersionedDeployment test;
    test.configure(1);
    test.add_version("v1", 2);
    test.add_version("v2", 2);
    stream_slowly(test);
    auto& second = test.add_virtual_machine("vm-2");
    std::vector<Address> const addresses { test.node->caller_address(), second.caller_address() };
    auto const names = stream_names();
    auto const begun = test.begin_streams(addresses[0], names);
    leave_first_engines(test);
    for (std::size_t i = 0; i < names.size(); ++i) {
        // Callers name the try that brought the first event in all further ones.
        auto const next = test.call_and_leave(addresses[i % 2], test.resumption(names[i] + "-2", names[i], 2), 3);
        auto const last = test.call(addresses[i / 2 % 2], test.resumption(names[i] + "-3", names[i], 3));
        CAPTURE(i, begun[i].body, next.body, last.body);
        CHECK(next.head.status == 200);
        CHECK(last.head.status == 200);
        CHECK(VersionedDeployment::versions_in(begun[i].body + next.body + last.body).size() == 1);
    }
}

// Guards against streams of a killed VM that continue at any software version, or not at all.
TEST_CASE("A stream that its caller takes up after its VM was killed continues at the software version that began it", "[stream-versions]")
{
    VersionedDeployment test;
    test.configure(1);
    test.add_version("v1", 2);
    test.add_version("v2", 2);
    stream_slowly(test);
    test.add_virtual_machine("vm-2");
    auto& third = test.add_virtual_machine("vm-3");
    auto const names = stream_names();
    auto const begun = test.begin_streams(third.caller_address(), names);
    test.kill_last();
    leave_first_engines(test);
    for (std::size_t i = 0; i < names.size(); ++i) {
        auto const address = i % 2 == 0 ? test.node->caller_address() : test.others.front()->caller_address();
        auto const next = test.call(address, test.resumption(names[i] + "-2", names[i], 2));
        CAPTURE(i, begun[i].body, next.body);
        CHECK(next.head.status == 200);
        CHECK(VersionedDeployment::versions_in(begun[i].body + next.body).size() == 1);
    }
}

// Guards against streams that continue although no VM knows the software version that began them.
TEST_CASE("A resumption of a stream that no VM knows is refused at once as not run", "[stream-versions]")
{
    VersionedDeployment test;
    test.configure(1);
    test.add_version("v1", 2);
    test.add_version("v2", 2);
    auto const named = GENERATE(as<std::string> {}, "nobody", "r1", "", std::string(1000, 'a'));
    auto const request = test.resumption("r1", named, 2);
    auto const begun = monotonic_now();
    auto const answer = test.call(request);
    CHECK(answer.head.status == 503);
    CHECK(answer.head.headers.find("Retry-After"));
    CHECK(monotonic_now() - begun < AT_ONCE);
    CHECK(test.runs_of("r1") == 0);
}
