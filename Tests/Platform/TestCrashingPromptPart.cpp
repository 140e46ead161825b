// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/LogLine.h>
#include <Tests/Platform/CrashingUpstreams.h>
#include <Tests/Platform/NodeUnderTest.h>
#include <Tests/Platform/OtherVirtualMachine.h>
#include <array>
#include <catch2/catch.hpp>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

constexpr auto PARTS_FIELD = "X-Spurtide-Prompt-Prefix";

/// Crashes by which a part is known to crash engines.
constexpr int CRASHES = 5;

CrashingUpstreams::Predicate const HAS_BAD_PART = [](HttpRequest const& request) { return request.head.headers.find(PARTS_FIELD).value_or("").find("bad:") != std::string_view::npos; };

/// A request whose prompt has these shared parts, and whose body and own part no other has.
HttpRequest prompt_of(NodeUnderTest& test, std::string const& target, std::string const& identifier, std::string const& shared_parts)
{
    auto made = test.model_request(target, identifier);
    std::erase_if(made.head.headers.all(), [](auto const& field) { return equal_names(field.name, PARTS_FIELD) || equal_names(field.name, "Content-Length"); });
    made.head.headers.add(PARTS_FIELD, shared_parts + ",own-" + identifier + ":700");
    made.body = "the prompt of " + identifier;
    made.head.headers.add("Content-Length", std::to_string(made.body.size()));
    return made;
}

}

// Guards against requests, no two alike, that go on crashing engines with one part of their prompts.
TEST_CASE("Prompts that share a part under which five engines crashed reach no more of them, at any VM", "[crashing-part]")
{
    struct Case {
        char const* target;
        char const* crashing;
        char const* sound;
        CrashingUpstreams::Ending ending = CrashingUpstreams::Ending::Reset;
    };
    auto const cases = std::array {
        Case { "/stream/x", "aa:200,bb:100,bad:50", "aa:200,bb:100" },
        Case { "/resumable/x", "aa:200,bb:100,bad:50", "aa:200,bb:100" },
        Case { "/resumable/x", "bad:50,aa:200", "aa:200" },
        Case { "/stream/x", "bad:50", "aa:200" },
        Case { "/stream/x", "aa:200,bad:50", "aa:200", CrashingUpstreams::Ending::ClosedInsideEvent },
        Case { "/resumable/x", "aa:200,bad:50", "aa:200", CrashingUpstreams::Ending::ClosedInsideEvent },
    };
    constexpr int ENGINES = 14;
    constexpr int ATTEMPTS = 7;
    for (auto const& given : cases) {
        CAPTURE(given.target, given.crashing);
        NodeUnderTest test(allow_many_sends);
        test.configure(1);
        UpstreamStandIn prefill(test.loop, "i-p", "prefill");
        test.list(prefill, "engines");
        CrashingUpstreams const engines(test, "engines", ENGINES, HAS_BAD_PART, given.ending);
        OtherVirtualMachine other(test, { test.node->wire_address() }, allow_many_sends);
        auto const serves_sound = [&](std::string const& name) {
            auto const here = test.call(prompt_of(test, given.target, "s1" + name, given.sound));
            auto const there = other.call(prompt_of(test, given.target, "s2" + name, given.sound));
            return here.head.status == 200 && there.head.status == 200;
        };
        for (int i = 0; i < 4; ++i)
            CHECK(serves_sound("before" + std::to_string(i)));
        for (int i = 0; i < ATTEMPTS; ++i) {
            test.call(prompt_of(test, given.target, "c1" + std::to_string(i), given.crashing));
            other.call(prompt_of(test, given.target, "c2" + std::to_string(i), given.crashing));
            CHECK(serves_sound("beside" + std::to_string(i)));
        }
        CHECK(engines.ended <= CRASHES);
    }
}

// Guards against a refusal that the log does not explain.
TEST_CASE("From a refused prompt the log leads to its held part and to what spoke for and against it", "[crashing-part]")
{
    std::string lines;
    LogLine::set_observer([&](std::string_view line) { lines.append(line).append("\n"); });
    NodeUnderTest test(allow_many_sends);
    test.configure(1);
    UpstreamStandIn prefill(test.loop, "i-p", "prefill");
    test.list(prefill, "engines");
    CrashingUpstreams const engines(test, "engines", 8, HAS_BAD_PART);
    for (int i = 0; i < 4; ++i)
        CHECK(test.call(prompt_of(test, "/stream/x", "s" + std::to_string(i), "aa:200")).head.status == 200);
    for (int i = 0; i < CRASHES; ++i)
        test.call(prompt_of(test, "/stream/x", "c" + std::to_string(i), "aa:200,bad:50"));
    CHECK(lines.find("event=parts_quarantined") != std::string::npos);
    CHECK(lines.find(" parts=" + PromptPart::of("m", "bad").to_hex() + " crashes=") != std::string::npos);
    auto const refused = test.call(prompt_of(test, "/stream/x", "refused", "aa:200,bad:50"));
    CHECK(refused.head.status == 503);
    CHECK(std::stod(std::string(refused.head.headers.find("Retry-After").value_or("0"))) > 500);
    auto const of_end = "parts=" + describe(make_prompt_parts({ PromptPart::of("m", "aa"), PromptPart::of("m", "bad") }));
    CHECK(lines.find(of_end) != std::string::npos);
    CHECK(lines.find("outcome=refused_not_run reason=quarantined status=503 sends=0") != std::string::npos);
}
