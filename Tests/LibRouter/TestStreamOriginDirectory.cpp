// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibRouter/StreamOriginDirectory.h>
#include <Tests/Support/LoopKernel.h>
#include <catch2/catch.hpp>
#include <set>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

/// A VM with its directory of origins, and a kernel that speaks to it as other VMs do.
struct Exchange {
    Exchange()
        : kernel(make_loop_kernel(this->loop, "vm-1"))
        , peer(make_loop_kernel(this->loop, "vm-2"))
        , directory({}, *this->kernel, this->metrics, "dc", [](MemberRecord const&) { return std::string("dc"); })
    {
        this->directory.host();
        this->kernel->start();
        this->peer->start();
    }
    ~Exchange()
    {
        this->peer->stop();
        this->kernel->stop();
    }
    Exchange(Exchange const&) = delete;
    Exchange& operator=(Exchange const&) = delete;

    wire::Envelope note(std::string request, std::string service, std::string version)
    {
        auto message = message_to(STREAM_ORIGIN_SERVICE);
        message.mutable_stream_origin()->set_request(std::move(request));
        message.mutable_stream_origin()->set_service(std::move(service));
        message.mutable_stream_origin()->set_software_version(std::move(version));
        return message;
    }

    /// What the VM answers another one that asks.
    WireReply ask(wire::Envelope message)
    {
        std::optional<WireReply> answer;
        this->peer->request(this->kernel->endpoint(), std::move(message), seconds(5), [&](WireReply reply) { answer = std::move(reply); });
        REQUIRE(run_loop_until(this->loop, [&] { return answer.has_value(); }));
        return std::move(*answer);
    }
    std::string version_of(std::string request)
    {
        auto message = message_to(STREAM_ORIGIN_SERVICE);
        message.mutable_get_stream_origin()->set_request(std::move(request));
        return this->ask(std::move(message)).value().stream_origin().software_version();
    }
    std::optional<StreamOrigin> find(std::string request)
    {
        std::optional<std::optional<StreamOrigin>> found;
        asio::co_spawn(this->loop, this->directory.find(std::move(request)), [&](std::exception_ptr const&, std::optional<StreamOrigin> origin) { found = std::move(origin); });
        REQUIRE(run_loop_until(this->loop, [&] { return found.has_value(); }));
        return *found;
    }

    asio::io_context loop { 1 };
    Metrics metrics;
    std::unique_ptr<Kernel> kernel;
    std::unique_ptr<Kernel> peer;
    StreamOriginDirectory directory;
};

}

// Guards against damaged messages of other VMs that make a stream continue anywhere.
TEST_CASE("Origins that other VMs state are kept, but for damaged and conflicting ones", "[stream-versions]")
{
    Exchange exchange;
    exchange.peer->notify(exchange.kernel->endpoint(), exchange.note("s1", "engines", "v1"));
    exchange.peer->notify(exchange.kernel->endpoint(), exchange.note("s2", "engines", ""));
    exchange.peer->notify(exchange.kernel->endpoint(), exchange.note("", "engines", "v1"));
    exchange.peer->notify(exchange.kernel->endpoint(), exchange.note(std::string(100'000, 's'), "engines", "v1"));
    exchange.peer->notify(exchange.kernel->endpoint(), message_to(STREAM_ORIGIN_SERVICE));
    CHECK(exchange.version_of("s1") == "v1");
    CHECK(exchange.version_of("s2").empty());
    CHECK(exchange.version_of("").empty());
    CHECK(exchange.directory.size() == 1);
    exchange.peer->notify(exchange.kernel->endpoint(), exchange.note("s1", "engines", "v2"));
    CHECK(exchange.version_of("s1").empty());
    CHECK_FALSE(exchange.find("s1"));
    auto other = message_to(STREAM_ORIGIN_SERVICE);
    other.mutable_release();
    CHECK(exchange.ask(std::move(other)).is_error());
}

// Guards against registrations that outlive their VM's directory, or end with the first of two.
TEST_CASE("A registration keeps a stream's origin until it ends", "[stream-versions]")
{
    Exchange exchange;
    StreamOrigin const origin { "engines", "v1", { "i-1", 0 } };
    auto registration = exchange.directory.add("s1", origin);
    CHECK(exchange.find("s1") == origin);
    registration = exchange.directory.add("s1", origin);
    CHECK(exchange.find("s1") == origin);
    {
        asio::io_context loop { 1 };
        auto const kernel = make_loop_kernel(loop, "vm-3");
        StreamOriginDirectory directory({}, *kernel, exchange.metrics, "dc", [](MemberRecord const&) { return std::string(); });
        registration = directory.add("s2", origin);
    }
    registration = {};
    CHECK(exchange.find("s1") == origin);
}

// Guards against streams whose origin is copied to no VM that joined since, because another stream began meanwhile.
TEST_CASE("Origins are copied to a VM that joins, also if another stream begins before they are", "[stream-versions]")
{
    Exchange exchange;
    std::set<std::string> copied;
    auto const joining = make_loop_kernel(exchange.loop, "vm-3");
    joining->host(std::string(STREAM_ORIGIN_SERVICE), [&](wire::Envelope const& message, Kernel::Responder const&) { copied.insert(message.stream_origin().request()); });
    joining->start();
    exchange.directory.start();
    StreamOrigin const origin { "engines", "v1", { "i-1", 0 } };
    auto const first = exchange.directory.add("s1", origin);
    exchange.kernel->directory().replace(2, 0, { member_of(*exchange.kernel), member_of(*joining) }, {});
    auto const second = exchange.directory.add("s2", origin);
    CHECK(run_loop_until(exchange.loop, [&] { return copied.contains("s1") && copied.contains("s2"); }));
    joining->stop();
}

// Guards against callers that wait for VMs that are not there.
TEST_CASE("A stream that nobody knows is unknown at once", "[stream-versions]")
{
    Exchange exchange;
    CHECK_FALSE(exchange.find("s1"));
}
