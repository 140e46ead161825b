// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <Services/NodeServer/Node.h>
#include <Tests/Platform/StoreStandIn.h>
#include <Tests/Platform/UpstreamStandIn.h>
#include <platform/PlatformDialect.h>
#include <platform/PlatformRegistry.h>

namespace Spurtide::Tests {

/// What a caller got.
struct CallerAnswer {
    std::optional<HttpError> error;
    HttpResponseHead head;
    std::string body;
};

/// A refusal that takes longer was held back, also on a busy machine.
constexpr Duration AT_ONCE = seconds(1);

/// Lets streams wait for their engines, and requests for their turns, for seconds.
inline void set_long_latency_target(nlohmann::json& configuration)
{
    for (auto& route : configuration["routes"])
        route["slo_ms"] = 20000;
}

/// A node between stand-ins, all on the test's own loop and on loopback addresses with free ports.
class NodeUnderTest {
public:
    /// The settings may be changed before the start.
    explicit NodeUnderTest(std::function<void(NodeSettings&)> const& change = {});
    ~NodeUnderTest();

    /// Runs the loop until the condition holds; the time only bounds a failure.
    bool run_until(std::function<bool()> const& condition, Duration limit = seconds(15));
    /// Run with each turn of the loop, for what has a loop of its own.
    std::function<void()> beside = [] {};
    /// Lists the upstream and waits until the node knows it.
    void list(UpstreamStandIn const& upstream, std::string const& service, std::string const& state = "ready");
    /// Puts the configuration of these tests, with changes, and waits until it is in force.
    void configure(std::int64_t version, std::function<void(nlohmann::json&)> const& change = {});

    HttpRequest request(std::string method, std::string target, std::string identifier);
    /// A request to the engines, with the fields that a model request has.
    /// The session is one of the request's own unless it is named.
    HttpRequest model_request(std::string target, std::string identifier, std::string session = {});
    CallerAnswer call(HttpRequest request);
    CallerAnswer call(Address address, HttpRequest request);
    /// Calls at the same time; gives the answers in the order of the requests.
    std::vector<CallerAnswer> call_all(Address address, std::vector<HttpRequest> requests);
    /// Makes one call; to be run on the test's loop.
    static asio::awaitable<CallerAnswer> exchange(Address address, HttpRequest request);
    /// Reads the response to what was sent on the connection.
    static asio::awaitable<CallerAnswer> read_answer(std::shared_ptr<HttpConnection> connection);
    /// Sends bytes as they are and gives all that comes back until the other side closes.
    std::string exchange_bytes(std::string bytes);
    /// Sends bytes and closes the connection while the loop does not run.
    void send_and_leave(std::string const& bytes);
    /// Begins a call that may be left before its end.
    std::shared_ptr<HttpConnection> begin(HttpRequest request);
    std::shared_ptr<HttpConnection> begin(Address address, HttpRequest request);

    asio::io_context loop { 1 };
    StoreStandIn store { loop };
    std::unique_ptr<Node> node;

private:
    PlatformDialect dialect;
    std::unique_ptr<PlatformRegistry> registry;
};

}
