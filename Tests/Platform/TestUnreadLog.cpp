// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/ProcessLog.h>
#include <Tests/Platform/NodeUnderTest.h>
#include <Tests/Support/UnreadPipe.h>
#include <catch2/catch.hpp>
#include <glog/logging.h>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

/// Sends the lines of this process to a pipe that nobody reads.
class UnreadLog {
public:
    UnreadLog()
    {
        FLAGS_minloglevel = google::GLOG_INFO;
        FLAGS_log_prefix = false;
        // The usual size: the node writes once a second as much as the pipe takes.
        VERIFY(::fcntl(this->pipe.write_end, F_SETPIPE_SZ, 65536) >= 0);
        ProcessLog::start(this->pipe.write_end);
    }
    ~UnreadLog()
    {
        ProcessLog::stop();
        FLAGS_minloglevel = this->usual_level;
    }
    UnreadLog(UnreadLog const&) = delete;
    UnreadLog& operator=(UnreadLog const&) = delete;

    UnreadPipe pipe;

private:
    google::int32 usual_level = FLAGS_minloglevel;
};

}

// Guards against a VM that answers neither callers nor the balancer since nobody reads its log.
TEST_CASE("A node whose log nobody reads answers requests and the balancer, and tells later how many lines are missing", "[log]")
{
    constexpr int MAXIMUM_REQUESTS = 2000;
    UnreadLog log;
    NodeUnderTest test;
    UpstreamStandIn const upstream(test.loop, "i-1");
    test.configure(1);
    test.list(upstream, "plain");
    int requests = 0;
    while (ProcessLog::dropped_lines() == 0 && requests < MAXIMUM_REQUESTS) {
        ++requests;
        REQUIRE(test.call(test.request("GET", "/safe/x", "r" + std::to_string(requests))).head.status == 200);
    }
    REQUIRE(ProcessLog::dropped_lines() > 0);
    REQUIRE(test.call(test.request("GET", "/safe/x", "last")).head.status == 200);
    // Whatever the answer: without peers a VM calls itself ready only some seconds after its start.
    REQUIRE_FALSE(test.call(test.node->operations_address(), test.request("GET", "/v1/readyz", "b")).error);
    auto const metrics = test.call(test.node->operations_address(), test.request("GET", "/metrics", "m")).body;
    REQUIRE(metrics.find("\nspurtide_log_lines_dropped " + std::to_string(ProcessLog::dropped_lines()) + "\n") != std::string::npos);
    REQUIRE_FALSE(log.pipe.has_blocked_writer());

    // No request comes any more: the node has to find by itself that its log is read again.
    std::string text;
    REQUIRE(test.run_until([&] {
        text += log.pipe.read_available();
        return text.find("event=log_lines_dropped count=") != std::string::npos;
    }));
}
