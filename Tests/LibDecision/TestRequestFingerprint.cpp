// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/RequestFingerprint.h>
#include <catch2/catch.hpp>

using namespace Spurtide;

namespace {

constexpr RequestFingerprint::Parts PARTS { "POST", "h.example", "/a/b", "masons", "the prompt" };

}

TEST_CASE("A repeated request has the same fingerprint, and any different part changes it", "[fingerprint]")
{
    auto const fingerprint = RequestFingerprint::of(PARTS);
    CHECK(RequestFingerprint::of(PARTS) == fingerprint);
    auto const others = std::array {
        RequestFingerprint::Parts { "PUT", PARTS.host, PARTS.target, PARTS.account, PARTS.body },
        RequestFingerprint::Parts { PARTS.method, "g.example", PARTS.target, PARTS.account, PARTS.body },
        RequestFingerprint::Parts { PARTS.method, PARTS.host, "/a/c", PARTS.account, PARTS.body },
        RequestFingerprint::Parts { PARTS.method, PARTS.host, PARTS.target, "roofers", PARTS.body },
        RequestFingerprint::Parts { PARTS.method, PARTS.host, PARTS.target, PARTS.account, "another" },
        // The same bytes, divided differently.
        RequestFingerprint::Parts { PARTS.method, "h.example/a", "/b", PARTS.account, PARTS.body },
    };
    for (auto const& parts : others)
        CHECK(RequestFingerprint::of(parts) != fingerprint);
}

TEST_CASE("A fingerprint is parsed from its bytes and its text, and from nothing else", "[fingerprint]")
{
    auto const fingerprint = RequestFingerprint::of(PARTS);
    CHECK(RequestFingerprint::from_bytes(fingerprint.to_bytes()) == fingerprint);
    CHECK(RequestFingerprint::from_hex(fingerprint.to_hex()) == fingerprint);
    for (std::string const& text : { std::string(), std::string("0f"), std::string(31, 'a'), std::string(32, 'g'), std::string(32, 'A'), std::string(64, '0') })
        CHECK_FALSE(RequestFingerprint::from_hex(text));
    CHECK_FALSE(RequestFingerprint::from_bytes(std::string(15, 'x')));
}
