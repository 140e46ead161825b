// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <LibCore/MonotonicTimer.h>
#include <LibRouter/StreamOriginDirectory.h>
#include <Tests/Support/LoopKernel.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

StreamOrigin origin_at(std::string version)
{
    return { "engines", std::move(version), {} };
}

/// Rows of origins in memory, behind calls that take some time.
class MemoryPort final : public StreamOriginPort {
public:
    explicit MemoryPort(asio::io_context& loop)
        : loop(loop)
    {
    }

    asio::awaitable<Result<std::vector<StoredStreamOrigins>, PlatformError>> read_stream_origins() override
    {
        ++this->reads;
        co_await this->pause();
        if (this->error)
            co_return Failure { *this->error };
        std::vector<StoredStreamOrigins> stored;
        for (auto const& [key, record] : this->rows)
            stored.push_back({ key, record, {} });
        co_return stored;
    }

    asio::awaitable<Result<Done, PlatformError>> write_stream_origins(std::string key, StreamOriginRecord record, std::vector<std::string> removed_keys) override
    {
        ++this->writes;
        co_await this->pause();
        if (this->error)
            co_return Failure { *this->error };
        this->rows.insert_or_assign(key, record);
        for (auto const& removed : removed_keys)
            this->rows.erase(removed);
        co_return Done {};
    }

    /// Whether a row has the origin of the stream.
    bool has(std::string_view request) const
    {
        for (auto const& [key, record] : this->rows) {
            for (auto const& group : record.groups) {
                if (std::find(group.streams.begin(), group.streams.end(), stream_key(request)) != group.streams.end())
                    return true;
            }
        }
        return false;
    }

    std::map<std::string, StreamOriginRecord> rows;
    std::optional<PlatformError> error;
    Duration answer_time = milliseconds(2);
    int reads = 0;
    int writes = 0;

private:
    asio::awaitable<void> pause()
    {
        MonotonicTimer timer(this->loop, this->answer_time);
        asio::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    asio::io_context& loop;
};

struct Recording {
    explicit Recording(StreamOriginRecorder::Hooks hooks = {})
        : recorder({}, this->loop, this->port, this->metrics, "vm-1/1", std::move(hooks))
    {
        this->recorder.start();
    }

    asio::io_context loop { 1 };
    Metrics metrics;
    MemoryPort port { this->loop };
    StreamOriginRecorder recorder;
};

}

// Guards against recorders that write without a pause while many streams begin, and see no restoration meanwhile.
TEST_CASE("A recorder writes its records once an interval, also if streams begin all the time", "[stream-versions]")
{
    std::int64_t era = 1;
    StreamOriginRecorder::Hooks hooks;
    hooks.era = [&] { return era; };
    Recording test(std::move(hooks));
    auto const begun = monotonic_now();
    int streams = 0;
    constexpr int STREAMS = 400;
    while (streams < STREAMS) {
        test.recorder.add("s" + std::to_string(++streams), origin_at("v1"));
        test.loop.run_for(std::chrono::milliseconds(2));
    }
    auto const intervals = (monotonic_now() - begun) / StreamOriginRecorder::Options {}.write_interval;
    CHECK(test.port.writes <= intervals + 1);
    REQUIRE(run_loop_until(test.loop, [&] { return test.port.has("s400"); }));
    test.port.rows.clear();
    ++era;
    CHECK(run_loop_until(test.loop, [&] { return test.port.has("s1") && test.port.has("s400"); }));
}

// Guards against callers that are refused for long after one call to the registry was lost.
TEST_CASE("A stream is found soon after the registry failed to answer", "[stream-versions]")
{
    asio::io_context loop { 1 };
    Metrics metrics;
    MemoryPort port(loop);
    StreamOriginArchive archive({}, loop, port, metrics);
    std::optional<std::optional<StreamOrigin>> found;
    auto const find = [&](std::string const& request) {
        found.reset();
        asio::co_spawn(loop, archive.find(request), [&](std::exception_ptr const&, std::optional<StreamOrigin> origin) { found = std::move(origin); });
        REQUIRE(run_loop_until(loop, [&] { return found.has_value(); }));
        return *found;
    };
    port.rows.insert_or_assign("a", StreamOriginRecord { { { "engines", "v1", { stream_key("s1") } }, { "engines", "v2", { stream_key("s2") } } } });
    port.error = PlatformError::InDoubt;
    port.answer_time = milliseconds(600);
    CHECK_FALSE(find("s1"));
    port.error.reset();
    port.answer_time = milliseconds(2);
    int tries = 1;
    while (!find("s1"))
        ++tries;
    CHECK(tries <= 3);
    CHECK(find("s2") == origin_at("v2"));
    CHECK_FALSE(find("s3"));
    // Two streams by one name count as none.
    port.rows.insert_or_assign("b", StreamOriginRecord { { { "engines", "v2", { stream_key("s1"), stream_key("s3") } } } });
    CHECK(find("s3") == origin_at("v2"));
    CHECK_FALSE(find("s1"));
    CHECK(archive.is_conflicting("s1"));
}

// Guards against streams that continue at the one of two versions that the registry knows by their name.
TEST_CASE("A name that VMs know two streams by is not looked up in the registry", "[stream-versions]")
{
    bool const is_known_here = GENERATE(true, false);
    asio::io_context loop { 1 };
    Metrics metrics;
    MemoryPort port(loop);
    port.rows.insert_or_assign("a", StreamOriginRecord { { { "engines", "v1", { stream_key("s1") } } } });
    StreamOriginRecorder recorder({}, loop, port, metrics, "vm-1/1", {});
    StreamOriginArchive archive({}, loop, port, metrics);
    auto const data_centre_of = [](MemberRecord const&) { return std::string("dc"); };
    auto const kernel = make_loop_kernel(loop, "vm-1");
    auto const peer = make_loop_kernel(loop, "vm-2");
    StreamOriginDirectory directory({}, *kernel, metrics, "dc", data_centre_of);
    StreamOriginDirectory peer_directory({}, *peer, metrics, "dc", data_centre_of);
    directory.set_registry(recorder, archive);
    directory.host();
    peer_directory.host();
    kernel->start();
    peer->start();
    kernel->directory().replace(2, 0, { member_of(*kernel), member_of(*peer) }, {});
    auto& knowing = is_known_here ? directory : peer_directory;
    auto const first = knowing.add("s1", origin_at("v1"));
    auto const second = knowing.add("s1", origin_at("v2"));
    std::optional<std::optional<StreamOrigin>> found;
    asio::co_spawn(loop, directory.find("s1"), [&](std::exception_ptr const&, std::optional<StreamOrigin> origin) { found = std::move(origin); });
    REQUIRE(run_loop_until(loop, [&] { return found.has_value(); }));
    CHECK_FALSE(*found);
    CHECK(directory.is_conflicting("s1"));
    peer->stop();
    kernel->stop();
}
