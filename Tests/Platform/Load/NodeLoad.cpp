// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

// Stand-ins and callers for Meta/node-slopes.sh: a store with one prefill and one decode engine, and so many
// streams at once through a node that runs beside. Prints the store's address, reads the node's from standard
// input, and prints how many events came and how many streams ended whole.

#include <LibAsync/HttpConnection.h>
#include <LibCore/Clock.h>
#include <Tests/Platform/StoreStandIn.h>
#include <Tests/Platform/UpstreamStandIn.h>
#include <cstdlib>
#include <iostream>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

struct Load {
    asio::io_context& loop;
    Address node;
    int running = 0;
    std::int64_t events = 0;
    int whole = 0;
    int failed = 0;
};

asio::awaitable<void> carry(Load& load, int number)
{
    ++load.running;
    HttpRequestHead head { "POST", "/stream/x", {} };
    head.headers.add("Host", "h.example");
    head.headers.add("X-Spurtide-Attempt-Id", "load-" + std::to_string(number));
    head.headers.add("X-Spurtide-Deadline-Ms", "60000");
    head.headers.add("X-Spurtide-Model", "m");
    head.headers.add("X-Spurtide-Token-Count", "10,10");
    head.headers.add("Content-Length", "6");
    auto connected = co_await HttpConnection::connect(load.node, seconds(5), {});
    bool is_whole = false;
    if (!connected.is_error()) {
        auto const connection = connected.release_value();
        connection->send(format_request_head(head), std::make_shared<std::string const>("prompt"));
        auto const answer = co_await connection->read_head();
        while (!answer.is_error() && answer.value().status == 200) {
            auto const piece = co_await connection->read_piece();
            if (piece.is_error())
                break;
            is_whole = piece.value().empty();
            if (is_whole)
                break;
            ++load.events;
        }
        connection->abort();
    }
    ++(is_whole ? load.whole : load.failed);
    --load.running;
}

nlohmann::json configuration(int streams)
{
    nlohmann::json const engine { { "slots", streams + 10 }, { "kv_capacity", 100'000'000 }, { "token_kv_bytes", 1 }, { "link_mbps", 100000.0 }, { "stride", 1 }, { "kv_hold_s", 0.5 } };
    nlohmann::json const route { { "name", "stream" }, { "hostname", "h.example" }, { "path_prefix", "/stream/" }, { "route_kind", "streaming" }, { "timeout_ms", 60000 }, { "slo_ms", 30000 }, { "service", "engines" } };
    return { { "version", 1 }, { "routes", { route } }, { "services", { { { "name", "engines" }, { "engine", engine } } } } };
}

}

int main(int argument_count, char** arguments)
{
    if (argument_count != 4) {
        std::cerr << "Usage: NodeLoad STREAMS EVENTS PAUSE_MS\n";
        return 2;
    }
    int const streams = std::atoi(arguments[1]);
    asio::io_context loop(1);
    StoreStandIn store(loop);
    UpstreamStandIn prefill(loop, "i-p", "prefill");
    UpstreamStandIn decode(loop, "i-d", "decode");
    decode.events = std::atoi(arguments[2]);
    decode.event_pause = milliseconds(std::atoi(arguments[3]));
    store.put("op", "config", configuration(streams));
    store.put("servers", prefill.identity, prefill.entry("engines"));
    store.put("servers", decode.identity, decode.entry("engines"));
    std::cout << store.address().to_string() << std::endl;

    Load load { loop, {} };
    asio::posix::stream_descriptor input(loop, 0);
    asio::streambuf line;
    bool is_over = false;
    asio::async_read_until(input, line, '\n', [&](asio::error_code error, std::size_t) {
        std::istream text(&line);
        std::string address;
        std::getline(text, address);
        auto const node = parse_address(address);
        is_over = error || !node;
        if (is_over)
            return;
        load.node = *node;
        for (int i = 0; i < streams; ++i)
            asio::co_spawn(loop, carry(load, i), asio::detached);
    });
    while (!is_over && load.whole + load.failed < streams)
        loop.run_for(std::chrono::milliseconds(20));
    std::cout << "events=" << load.events << " whole=" << load.whole << " failed=" << load.failed << std::endl;
    return load.failed == 0 ? 0 : 1;
}
