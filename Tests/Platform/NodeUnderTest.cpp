// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <LibCore/LogLine.h>
#include <Tests/Platform/NodeUnderTest.h>
#include <catch2/catch.hpp>

namespace Spurtide::Tests {

namespace {

nlohmann::json route(std::string const& name, std::string const& prefix, std::string const& kind, std::string const& service)
{
    return { { "name", name }, { "hostname", "h.example" }, { "path_prefix", prefix }, { "route_kind", kind }, { "timeout_ms", 5000 }, { "slo_ms", 900 }, { "priority", 1 }, { "service", service }, { "max_attempts", 2 } };
}

nlohmann::json base_configuration(std::int64_t version)
{
    auto stream = route("stream", "/stream/", "streaming", "engines");
    stream["max_attempts"] = 1;
    auto resumable = route("resumable", "/resumable/", "streaming", "engines");
    resumable["resumable"] = true;
    nlohmann::json const engine { { "slots", 8 }, { "kv_capacity", 20000 }, { "token_kv_bytes", 1 }, { "link_mbps", 1000.0 }, { "stride", 1 }, { "kv_hold_s", 0.5 } };
    return { { "version", version }, { "routes", { route("safe", "/safe/", "idempotent", "plain"), route("once", "/once/", "non_idempotent", "plain"), stream, resumable } },
        { "services", { { { "name", "plain" }, { "max_conns", 100 } }, { { "name", "engines" }, { "max_conns", 100 }, { "engine", engine } } } },
        { "limits", { { "max_header_bytes", 4096 }, { "max_body_bytes", 100000 }, { "header_timeout_ms", 300 }, { "idle_timeout_ms", 500 } } } };
}

}

NodeUnderTest::NodeUnderTest(std::function<void(NodeSettings&)> const& change)
{
    NodeSettings settings;
    settings.virtual_machine = "vm-1";
    settings.start = NodeSettings::Start::First;
    settings.data_centre = "dc";
    settings.caller_address = { "127.0.0.1", 0 };
    settings.operations_address = { "127.0.0.1", 0 };
    settings.wire_address = { "127.0.0.1", 0 };
    settings.relay_address = { "127.0.0.1", 0 };
    settings.registry_address = this->store.address();
    if (change)
        change(settings);
    PlatformRegistry::Options options;
    options.address = settings.registry_address;
    this->registry = std::make_unique<PlatformRegistry>(options);
    auto created = Node::create(this->loop, settings, { this->dialect, *this->registry, *this->registry, *this->registry, *this->registry, "/v1/readyz" });
    REQUIRE_FALSE(created.is_error());
    this->node = created.release_value();
}

NodeUnderTest::~NodeUnderTest()
{
    LogLine::set_observer({});
    this->loop.stop();
}

bool NodeUnderTest::run_until(std::function<bool()> const& condition, Duration limit)
{
    auto const until = monotonic_now() + limit;
    while (!condition()) {
        if (monotonic_now() >= until)
            return false;
        this->loop.run_for(std::chrono::milliseconds(2));
        this->beside();
    }
    return true;
}

void NodeUnderTest::configure(std::int64_t version, std::function<void(nlohmann::json&)> const& change)
{
    auto json = base_configuration(version);
    if (change)
        change(json);
    this->store.put("op", "config", json);
    REQUIRE(this->run_until([&] { return this->node->configuration_version() == version; }));
}

void NodeUnderTest::list(UpstreamStandIn const& upstream, std::string const& service, std::string const& state)
{
    this->store.put("servers", upstream.identity, upstream.entry(service, state));
    REQUIRE(this->run_until([&] { return this->node->knows_upstream(upstream.identity, state == "ready" ? UpstreamRecord::Life::Serving : UpstreamRecord::Life::Leaving); }));
}

HttpRequest NodeUnderTest::request(std::string method, std::string target, std::string identifier)
{
    HttpRequest made;
    made.head.method = std::move(method);
    made.head.target = std::move(target);
    made.head.headers.add("Host", "h.example");
    made.head.headers.add("X-Spurtide-Attempt-Id", identifier);
    made.head.headers.add("X-Spurtide-Deadline-Ms", "3000");
    return made;
}

HttpRequest NodeUnderTest::model_request(std::string target, std::string identifier, std::string session)
{
    if (session.empty())
        session = identifier;
    auto made = this->request("POST", std::move(target), std::move(identifier));
    made.head.headers.add("X-Spurtide-Model", "m");
    made.head.headers.add("X-Spurtide-Token-Count", "1000,50");
    made.head.headers.add("X-Spurtide-Prompt-Prefix", "aa:200,own-" + session + ":800");
    made.body = "the prompt";
    made.head.headers.add("Content-Length", std::to_string(made.body.size()));
    return made;
}

CallerAnswer NodeUnderTest::call(HttpRequest made) { return this->call(this->node->caller_address(), std::move(made)); }

CallerAnswer NodeUnderTest::call(Address address, HttpRequest made) { return this->call_all(address, { std::move(made) }).front(); }

asio::awaitable<CallerAnswer> NodeUnderTest::read_answer(std::shared_ptr<HttpConnection> connection)
{
    CallerAnswer answer;
    auto head = co_await connection->read_head();
    if (head.is_error()) {
        answer.error = head.error();
        co_return answer;
    }
    answer.head = head.release_value();
    auto body = co_await connection->read_body(1'000'000);
    if (body.is_error())
        answer.error = body.error();
    else
        answer.body = body.release_value();
    co_return answer;
}

asio::awaitable<CallerAnswer> NodeUnderTest::exchange(Address address, HttpRequest made)
{
    CallerAnswer answer;
    auto connected = co_await HttpConnection::connect(address, seconds(1), {});
    if (connected.is_error()) {
        answer.error = connected.error();
        co_return answer;
    }
    auto const connection = connected.release_value();
    connection->set_deadline(monotonic_now() + seconds(10));
    connection->send(format_request_head(made.head), std::make_shared<std::string const>(made.body));
    answer = co_await read_answer(connection);
    connection->abort();
    co_return answer;
}

std::vector<CallerAnswer> NodeUnderTest::call_all(Address address, std::vector<HttpRequest> requests)
{
    std::vector<CallerAnswer> answers(requests.size());
    std::size_t done = 0;
    auto const carry = [&](HttpRequest const& made, CallerAnswer& answer) -> asio::awaitable<void> {
        answer = co_await exchange(address, made);
        ++done;
    };
    for (std::size_t i = 0; i < requests.size(); ++i)
        asio::co_spawn(this->loop, carry(requests[i], answers[i]), asio::detached);
    REQUIRE(this->run_until([&] { return done == requests.size(); }));
    return answers;
}

void NodeUnderTest::send_and_leave(std::string const& bytes)
{
    asio::io_context other;
    asio::ip::tcp::socket socket(other);
    auto const& address = this->node->caller_address();
    socket.connect({ asio::ip::make_address(address.host), static_cast<std::uint16_t>(address.port) });
    asio::write(socket, asio::buffer(bytes));
    socket.close();
}

std::shared_ptr<HttpConnection> NodeUnderTest::begin(HttpRequest made) { return this->begin(this->node->caller_address(), std::move(made)); }

std::shared_ptr<HttpConnection> NodeUnderTest::begin(Address address, HttpRequest made)
{
    std::shared_ptr<HttpConnection> connection;
    auto const carry = [&]() -> asio::awaitable<void> {
        auto connected = co_await HttpConnection::connect(address, seconds(1), {});
        connection = connected.release_value();
        connection->send(format_request_head(made.head), std::make_shared<std::string const>(made.body));
    };
    asio::co_spawn(this->loop, carry(), asio::detached);
    REQUIRE(this->run_until([&] { return connection != nullptr; }));
    return connection;
}

std::string NodeUnderTest::exchange_bytes(std::string bytes)
{
    std::string received;
    bool is_done = false;
    auto const carry = [&]() -> asio::awaitable<void> {
        asio::ip::tcp::socket socket(this->loop);
        auto const& address = this->node->caller_address();
        asio::error_code error;
        co_await socket.async_connect({ asio::ip::make_address(address.host), static_cast<std::uint16_t>(address.port) }, asio::redirect_error(asio::use_awaitable, error));
        co_await asio::async_write(socket, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
        std::array<char, 4096> buffer {};
        while (!error) {
            auto const size = co_await socket.async_read_some(asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
            received.append(buffer.data(), size);
        }
        is_done = true;
    };
    asio::co_spawn(this->loop, carry(), asio::detached);
    REQUIRE(this->run_until([&] { return is_done; }));
    return received;
}

}
