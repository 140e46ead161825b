// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/LogWriter.h>
#include <Tests/Support/UnreadPipe.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdio>
#include <memory>
#include <sstream>
#include <sys/socket.h>
#include <vector>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

/// Several times as many lines as a pipe of one page and the writer hold.
constexpr int LINE_COUNT = 2000;

std::string describe_drop(std::uint64_t count) { return "dropped=" + std::to_string(count); }

std::string numbered_line(int number) { return "line=" + std::to_string(number) + std::string(100, '.'); }

std::vector<std::string> split_lines(std::string const& text)
{
    std::vector<std::string> lines;
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);)
        lines.push_back(line);
    return lines;
}

/// Reads and flushes until nothing more comes.
std::string read_all(UnreadPipe const& pipe, LogWriter& writer)
{
    std::string text;
    for (std::string piece = pipe.read_available(); !piece.empty(); piece = pipe.read_available()) {
        text += piece;
        writer.flush();
    }
    return text;
}

}

// Guards against a process that stands still since nobody reads its log.
TEST_CASE("Writing to a full pipe that nobody reads returns, and the lines dropped are told once when it is read", "[log]")
{
    UnreadPipe pipe;
    LogWriter writer(pipe.write_end, describe_drop);
    for (int number = 0; number < LINE_COUNT; ++number)
        writer.write(numbered_line(number));
    REQUIRE_FALSE(pipe.has_blocked_writer());
    auto const dropped = writer.dropped_lines();
    CHECK(dropped > 0);

    auto lines = split_lines(read_all(pipe, writer));
    auto const kept = LINE_COUNT - static_cast<int>(dropped);
    REQUIRE(lines.size() == static_cast<std::size_t>(kept) + 1);
    for (int number = 0; number < kept; ++number)
        REQUIRE(lines[static_cast<std::size_t>(number)] == numbered_line(number));
    CHECK(lines.back() == describe_drop(dropped));

    writer.write("after");
    CHECK(read_all(pipe, writer) == "after\n");
    CHECK(writer.dropped_lines() == dropped);
}

// Guards against the notice of dropped lines after lines that are newer than those.
TEST_CASE("The notice of dropped lines stands where they are missing, also if the next line finds the reader back", "[log]")
{
    UnreadPipe pipe;
    LogWriter writer(pipe.write_end, describe_drop);
    for (int number = 0; number < LINE_COUNT && writer.dropped_lines() < 3; ++number)
        writer.write(numbered_line(number));
    REQUIRE_FALSE(pipe.has_blocked_writer());
    REQUIRE(writer.dropped_lines() == 3);
    std::string text;
    while (text.find("after") == std::string::npos) {
        text += pipe.read_available();
        writer.write("after");
    }
    auto const lines = split_lines(text + read_all(pipe, writer));
    auto const first_new = std::find(lines.begin(), lines.end(), "after");
    REQUIRE(first_new != lines.begin());
    CHECK(*std::prev(first_new) == describe_drop(writer.dropped_lines()));
}

// Guards against two lines that are read as one.
TEST_CASE("A line that the pipe takes in part is completed before the next one", "[log]")
{
    UnreadPipe pipe;
    LogWriter writer(pipe.write_end, describe_drop);
    std::string const long_line(10000, 'x');
    writer.write("first");
    writer.write(long_line);
    writer.write("last");
    REQUIRE_FALSE(pipe.has_blocked_writer());
    CHECK(read_all(pipe, writer) == "first\n" + long_line + "\nlast\n");
    CHECK(writer.dropped_lines() == 0);
}

// Guards against other processes whose writes fail since they share the pipe with this one.
TEST_CASE("The pipe of the caller stays a blocking one", "[log]")
{
    UnreadPipe const pipe;
    LogWriter writer(pipe.write_end, describe_drop);
    writer.write("line");
    CHECK((::fcntl(pipe.write_end, F_GETFL) & O_NONBLOCK) == 0);
}

// Guards against a process that stands still since nobody reads a log that is no pipe.
TEST_CASE("Writing to a full socket that nobody reads returns", "[log]")
{
    std::array<int, 2> ends {};
    REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, ends.data()) == 0);
    // Only a failing test waits so long, once.
    constexpr std::chrono::seconds BLOCKED_TIME(20);
    timeval const limit { BLOCKED_TIME.count(), 0 };
    REQUIRE(::setsockopt(ends[0], SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit)) == 0);
    {
        LogWriter writer(ends[0], describe_drop);
        auto const start = std::chrono::steady_clock::now();
        bool has_blocked = false;
        for (int number = 0; number < 10000 && !has_blocked; ++number) {
            writer.write(numbered_line(number));
            has_blocked = std::chrono::steady_clock::now() - start >= BLOCKED_TIME;
        }
        CHECK_FALSE(has_blocked);
        CHECK(writer.dropped_lines() > 0);
    }
    ::close(ends[0]);
    ::close(ends[1]);
}

// Guards against a log file whose earlier lines are overwritten.
TEST_CASE("Lines in a file follow what others wrote through the same descriptor", "[log]")
{
    std::unique_ptr<std::FILE, int (*)(std::FILE*)> const file(std::tmpfile(), std::fclose);
    REQUIRE(file);
    auto const descriptor = ::fileno(file.get());
    REQUIRE(::write(descriptor, "before\n", 7) == 7);
    LogWriter writer(descriptor, describe_drop);
    writer.write("line");
    std::array<char, 64> buffer {};
    auto const size = ::pread(descriptor, buffer.data(), buffer.size(), 0);
    CHECK(std::string(buffer.data(), static_cast<std::size_t>(size)) == "before\nline\n");
}
