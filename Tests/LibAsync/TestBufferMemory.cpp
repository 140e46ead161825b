// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibAsync/BufferReservation.h>
#include <catch2/catch.hpp>
#include <utility>
#include <vector>

using namespace Spurtide;

namespace {

using Kind = BufferMemory::Kind;
using Outcome = BufferReservation::Outcome;

constexpr std::size_t MEBIBYTE = 1024UL * 1024;

/// Sets the limit of the process for one test.
struct LimitUnderTest {
    explicit LimitUnderTest(std::size_t bytes) { BufferMemory::the().set_limit(bytes); }
    ~LimitUnderTest() { BufferMemory::the().set_limit(BufferMemory::DEFAULT_LIMIT_BYTES); }
    LimitUnderTest(LimitUnderTest const&) = delete;
    LimitUnderTest& operator=(LimitUnderTest const&) = delete;
};

/// As many reservations of a size as can be had.
std::vector<BufferReservation> take_all(Kind kind, std::size_t size)
{
    std::vector<BufferReservation> taken;
    while (true) {
        BufferReservation reservation(kind);
        if (reservation.try_set_size(size) == Outcome::OutOfMemory)
            return taken;
        taken.push_back(std::move(reservation));
    }
}

}

// Guards against large uploads that take the memory which usual requests, and responses of requests that have run, need.
TEST_CASE("Large request bodies leave memory to responses and to small requests", "[buffer-memory]")
{
    LimitUnderTest const limit(16 * MEBIBYTE);
    auto const& memory = BufferMemory::the();
    REQUIRE(memory.used() == 0);
    auto const uploads = take_all(Kind::RequestBodies, MEBIBYTE);
    CHECK(uploads.size() == 8);
    CHECK(take_all(Kind::RelayedBodies, MEBIBYTE).empty());
    auto const responses = take_all(Kind::ResponseBodies, MEBIBYTE);
    CHECK(responses.size() == 4);
    CHECK(take_all(Kind::WithheldEvents, MEBIBYTE).empty());
    auto const small = take_all(Kind::RequestBodies, BufferMemory::SMALL_BYTES);
    CHECK(small.size() == 32);
    CHECK(memory.used(Kind::RequestBodies) == 10 * MEBIBYTE);
    auto const small_responses = take_all(Kind::ResponseBodies, BufferMemory::SMALL_BYTES);
    CHECK(small_responses.size() == 32);
    CHECK(memory.used() == memory.limit());
}

// Guards against memory that stays charged after what it was for has gone, or is given back twice.
TEST_CASE("A reservation counts what it holds and gives it back once", "[buffer-memory]")
{
    LimitUnderTest const limit(MEBIBYTE);
    auto const& memory = BufferMemory::the();
    auto const refusals_before = memory.refusals(Kind::ResponseBodies);
    {
        BufferReservation reservation(Kind::ResponseBodies);
        CHECK(reservation.try_set_size(512UL * 1024) == Outcome::Granted);
        CHECK(reservation.try_set_size(2 * MEBIBYTE) == Outcome::OutOfMemory);
        CHECK(reservation.size() == 512UL * 1024);
        CHECK(memory.refusals(Kind::ResponseBodies) == refusals_before + 1);
        BufferReservation moved(std::move(reservation));
        CHECK(memory.used() == 512UL * 1024);
        CHECK(moved.try_set_size(100) == Outcome::Granted);
        CHECK(memory.used(Kind::ResponseBodies) == 100);
        BufferReservation other(Kind::ReadAhead);
        other.set_size(3 * MEBIBYTE);
        CHECK(memory.used() == 3 * MEBIBYTE + 100);
        // Beyond the limit already.
        CHECK(moved.try_set_size(101) == Outcome::OutOfMemory);
        CHECK(moved.try_set_size(50) == Outcome::Granted);
        other = std::move(moved);
        CHECK(memory.used() == 50);
    }
    CHECK(memory.used() == 0);
}
