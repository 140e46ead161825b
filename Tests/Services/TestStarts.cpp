// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibPlatform/HttpPlatform.h>
#include <Tests/Support/Deployment.h>
#include <Tests/Support/Waiting.h>
#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

Address const s_any_port { "127.0.0.1", 0 };

ServerSettings settings_of(std::string const& wire_endpoint)
{
    return { "vm-0", "dc", wire_endpoint, s_any_port, 8 };
}

/// A connection that sends some bytes and goes away without reading.
void send_and_leave(Address const& address, std::string const& bytes)
{
    int const descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in target {};
    target.sin_family = AF_INET;
    target.sin_port = htons(static_cast<std::uint16_t>(address.port));
    REQUIRE(inet_pton(AF_INET, address.host.c_str(), &target.sin_addr) == 1);
    REQUIRE(connect(descriptor, reinterpret_cast<sockaddr const*>(&target), sizeof(target)) == 0);
    REQUIRE(::send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
    close(descriptor);
}

}

TEST_CASE("Any process may be absent at start and come later")
{
    std::string directory;
    Address platform_address;
    {
        // Ports that are free a moment later.
        auto platform = PlatformStandIn::create({ s_any_port, 4, {} }).release_value();
        platform_address = platform->address();
        directory = Kernel::create({ "vm-0", "tcp://127.0.0.1:0", "" }).value()->endpoint();
    }
    EntryServer::Options entry_options;
    entry_options.server = settings_of("tcp://127.0.0.1:0");
    entry_options.directory_endpoint = directory;
    auto entry = EntryServer::create(entry_options).release_value();
    auto client = make_http_client(entry->http_address(), seconds(5));
    CHECK(client.Get("/healthz")->status == 200);
    CHECK(client.Get("/readyz")->status == 503);
    CHECK(client.Post("/v1/completions", "{}", "application/json")->status == 503);

    ConfigServer::Options config_options;
    config_options.server = settings_of(directory);
    config_options.platform_address = platform_address;
    config_options.watch_interval = milliseconds(50);
    auto config = ConfigServer::create(config_options);
    REQUIRE_FALSE(config.is_error());

    PlatformStandIn::Options late_platform { platform_address, 4, {} };
    auto platform = PlatformStandIn::create(late_platform);
    REQUIRE_FALSE(platform.is_error());
    HttpPlatform port(platform_address, seconds(2));
    ConfigurationStore store(port, port);
    std::string const content = R"({"models": [{"name": "llm"}], "pools": [], "accounts": []})";
    REQUIRE_FALSE(store.apply({ "first", 0, content, "test" }, 0).is_error());
    CHECK(eventually([&] { return client.Get("/readyz")->status == 200; }));
    CHECK(client.Post("/v1/completions", "{}", "application/json")->status == 401);
}

TEST_CASE("Callers that send half a request and go away hold nothing", "[held][caller-cancel]")
{
    Deployment deployment;
    auto const address = deployment.machines[0].entry->http_address();
    std::string const head = "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer test-key\r\nContent-Type: application/json\r\n";
    for (auto const& bytes : { std::string("POST"), head, head + "Content-Length: 500\r\n\r\n{\"model\": \"llm\"", head + "Content-Length: 99999999999\r\n\r\n", head + "Transfer-Encoding: chunked\r\n\r\nffff\r\n{" })
        send_and_leave(address, bytes);
    auto const body = stream_completion("A caller that asks for a stream and never reads it", 60);
    send_and_leave(address, head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    CHECK(deployment.post("/v1/completions", whole_completion("still served", 5)).status == 200);
    CHECK(deployment.nothing_held());
}
