// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <Tests/Platform/Soak/SoakDeployment.h>
#include <array>
#include <fstream>
#include <iostream>

namespace Spurtide::Tests {

namespace {

// Below the ports that the system gives to outgoing connections.
Address free_address()
{
    static std::random_device device;
    static std::set<int> given;
    asio::io_context loop;
    while (true) {
        auto const port = std::uniform_int_distribution<int>(15000, 31000)(device);
        asio::ip::tcp::acceptor acceptor(loop);
        asio::error_code error;
        acceptor.open(asio::ip::tcp::v4());
        acceptor.bind({ asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port) }, error);
        if (!error && given.insert(port).second)
            return { "127.0.0.1", port };
    }
}

}

SoakDeployment::SoakDeployment(SoakOptions const& options)
    : options(options)
    , random(options.seed)
{
    std::string name = (std::filesystem::temp_directory_path() / "node-soak-XXXXXX").string();
    if (!mkdtemp(name.data())) {
        std::cerr << "Cannot create a folder\n";
        std::exit(2);
    }
    this->folder = name;
}

asio::awaitable<void> SoakDeployment::pause(Duration duration)
{
    asio::steady_timer timer(this->loop, duration);
    asio::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> SoakDeployment::forward()
{
    while (true) {
        for (auto const& [service, path] : this->paths)
            path->poll();
        co_await this->pause(milliseconds(1));
    }
}

std::vector<UpstreamPath*> SoakDeployment::pick_paths()
{
    constexpr std::array SERVICES { "", "plain", "engines" };
    std::string const service = SERVICES[static_cast<std::size_t>(this->number(0, SERVICES.size() - 1))];
    auto const share = this->chance(0.5) ? 1.0 : 0.6;
    std::vector<UpstreamPath*> picked;
    for (auto const& path : this->paths) {
        if ((service.empty() || path.service == service) && this->chance(share))
            picked.push_back(path.path.get());
    }
    return picked;
}

void SoakDeployment::add_path(UpstreamStandIn& upstream, std::string const& service)
{
    auto& path = *this->paths.emplace_back(Path { service, std::make_unique<UpstreamPath>(upstream.address()) }).path;
    path.begin_turn(ANY_NODE);
    upstream.listed_address = path.address();
}

void SoakDeployment::create_nodes()
{
    std::vector<std::string> wires;
    auto data_centres = nlohmann::json::array();
    for (int i = 0; i < this->options.data_centres; ++i)
        data_centres.push_back({ { "name", this->data_centre_name(i) }, { "region", "region" } });
    for (int i = 0; i < this->options.nodes; ++i)
        wires.push_back(free_address().to_string());
    for (int i = 0; i < this->options.nodes; ++i) {
        NodeSlot node;
        node.name = "vm-" + std::to_string(i + 1);
        node.callers = free_address();
        node.settings_path = this->folder / (node.name + ".json");
        node.log_path = this->folder / (node.name + ".log");
        auto seeds = wires;
        seeds.erase(seeds.begin() + i);
        auto const wire = parse_address(wires[static_cast<std::size_t>(i)]).value();
        node.addresses = { node.callers, free_address(), wire, free_address(), free_address() };
        nlohmann::json const settings { { "vm", node.name }, { "data_centre", this->data_centre_name(i) }, { "data_centres", data_centres }, { "caller_address", node.callers.to_string() }, { "operations_address", node.addresses[1].to_string() }, { "wire_address", wire.to_string() }, { "metrics_address", node.addresses[3].to_string() }, { "relay_address", node.addresses[4].to_string() }, { "registry_address", this->store.address().to_string() }, { "seeds", seeds }, { "retry_allowance", 1000 }, { "stop_grace_seconds", to_seconds(this->options.stop_grace) } };
        std::ofstream(node.settings_path) << settings.dump();
        this->nodes.push_back(std::move(node));
    }
    for (auto& node : this->nodes)
        this->start(node);
}

void SoakDeployment::start(NodeSlot& node)
{
    node.process = std::make_shared<NodeProcess>(this->options.binary, node.settings_path, node.log_path, node.callers);
    this->processes.push_back(node.process);
}

void SoakDeployment::add_plain(std::string const& identity)
{
    auto& upstream = *this->plain.emplace_back(std::make_unique<UpstreamStandIn>(this->loop, identity));
    upstream.script = [this](HttpExchange& exchange) -> asio::awaitable<bool> {
        this->arrived.emplace(exchange.request().head.headers.find("X-Spurtide-Attempt-Id").value_or(""));
        co_await this->pause(this->duration(0, 200));
        co_return false;
    };
    upstream.data_centre = this->data_centre_name(static_cast<int>(this->plain.size()));
    this->add_path(upstream, "plain");
    this->store.put("servers", identity, upstream.entry("plain"));
}

UpstreamStandIn& SoakDeployment::add_engine(std::string const& identity, std::string const& phase, std::string const& version, int data_centre)
{
    auto& engine = *this->engines.emplace_back(std::make_unique<UpstreamStandIn>(this->loop, identity, phase));
    engine.data_centre = this->data_centre_name(data_centre);
    engine.software_version = version;
    engine.event_text = version;
    engine.slots = 64;
    engine.events = EVENTS;
    engine.event_pause = EVENT_PAUSE;
    engine.script = [this, &engine](HttpExchange& exchange) -> asio::awaitable<bool> {
        auto const& head = exchange.request().head;
        std::string const identifier(head.headers.find("X-Spurtide-Attempt-Id").value_or(""));
        bool const is_stream = head.method == "POST" && engine.phase == "decode" && (head.target.starts_with("/stream/") || head.target.starts_with("/resumable/"));
        if (is_stream)
            this->arrived.insert(identifier);
        if (!is_stream || head.headers.find("X-Spurtide-Expect-Instance") != engine.identity || !this->chance(this->break_share))
            co_return false;
        this->broken_off.insert(identifier);
        ++this->unlisted_runs[identifier];
        auto const after = static_cast<int>(parse_whole_number(head.headers.find("Last-Event-Id").value_or("0")).value_or(0));
        auto const until = std::min(EVENTS - 1, after + this->number(0, 12));
        static_cast<void>(co_await exchange.begin(engine.answer_head(exchange, 200), BodyFraming::Chunked));
        for (int i = after + 1; i <= until && !exchange.is_caller_gone(); ++i) {
            co_await this->pause(EVENT_PAUSE);
            std::string const event = "id: " + std::to_string(i) + "\ndata: " + engine.event_text + " " + std::to_string(i) + "\n\n";
            static_cast<void>(co_await exchange.write(event));
        }
        exchange.abort();
        co_return true;
    };
    this->add_path(engine, "engines");
    this->store.put("servers", identity, engine.entry("engines"));
    return engine;
}

void SoakDeployment::add_version()
{
    auto const version = "v" + std::to_string(++this->last_version);
    for (int i = 0; i < this->options.data_centres; ++i)
        this->add_engine("prefill-" + std::to_string(i + 1) + "-" + version, "prefill", version, i);
    for (int i = 0; i < std::max(2, this->options.data_centres); ++i)
        this->add_engine("decode-" + std::to_string(i + 1) + "-" + version, "decode", version, i);
    this->versions.push_back(version);
}

UpstreamStandIn& SoakDeployment::add_decode_engine()
{
    auto const number = ++this->added_engines;
    return this->add_engine("added-" + std::to_string(number), "decode", this->versions.back(), number);
}

std::string SoakDeployment::add_endless()
{
    constexpr std::string_view PLAIN = "HTTP/1.1 200 OK\r\nX-Spurtide-Attempt-Id: {id}\r\nX-Spurtide-Server-Stamp: s\r\n";
    constexpr std::array<std::string_view, 3> TYPES { "", "Content-Type: text/plain\r\n", "Content-Type: text/event-stream\r\n" };
    auto const head = std::string(PLAIN) + std::string(TYPES[static_cast<std::size_t>(this->number(0, TYPES.size() - 1))]);
    std::vector<std::pair<std::string, std::string>> const responses {
        { "", "x" },
        { "", "\r\n" },
        { "HTTP/1.1 200 ", "x" },
        { head + "X-More: ", "x" },
        { head, "X-More: x\r\n" },
        { "", "HTTP/1.1 100 Continue\r\n\r\n" },
        { head + "\r\n", "x" },
        { head + "Content-Length: 1000000000000\r\n\r\n", "x" },
        { head + "Transfer-Encoding: chunked\r\n\r\n", "1000\r\n" + std::string(0x1000, 'x') + "\r\n" },
        { head + "Transfer-Encoding: chunked\r\n\r\n1;", "x" },
        { head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: x\r\n" },
    };
    auto const& response = responses[static_cast<std::size_t>(this->number(0, static_cast<int>(responses.size()) - 1))];
    constexpr std::array PHASES { "", "prefill", "decode" };
    std::string const phase = PHASES[static_cast<std::size_t>(this->number(0, PHASES.size() - 1))];
    auto& upstream = this->endless.emplace_back();
    upstream.server = std::make_unique<RawUpstream>(this->loop, [this, begin = response.first, repeated = response.second](auto& socket) { return this->respond_without_end(socket, begin, repeated); });
    upstream.listed = std::make_unique<UpstreamStandIn>(this->loop, "endless-" + std::to_string(this->endless.size()), phase);
    upstream.listed->listed_address = upstream.server->address();
    upstream.listed->software_version = this->versions.back();
    upstream.listed->slots = 64;
    upstream.listed->data_centre = this->data_centre_name(this->number(0, this->options.data_centres - 1));
    this->store.put("servers", upstream.listed->identity, upstream.listed->entry(phase.empty() ? "plain" : "engines"));
    return upstream.listed->identity;
}

asio::awaitable<void> SoakDeployment::respond_without_end(asio::ip::tcp::socket& socket, std::string begin, std::string repeated)
{
    constexpr std::string_view IDENTIFIER = "{id}";
    constexpr std::size_t PIECE_BYTES = 64UL * 1024;
    std::string buffer;
    auto const head = co_await RawUpstream::read_request(socket, buffer);
    if (head.empty())
        co_return;
    auto const identifier = RawUpstream::identifier_of(head);
    bool const is_run = !identifier.empty() && RawUpstream::field(head, "X-Spurtide-Serving-Phase") != "prefill";
    if (is_run) {
        this->arrived.insert(identifier);
        this->broken_off.insert(identifier);
        ++this->unlisted_runs[identifier];
    }
    if (auto const at = begin.find(IDENTIFIER); at != std::string::npos)
        begin.replace(at, IDENTIFIER.size(), identifier);
    std::string piece;
    while (piece.size() < PIECE_BYTES)
        piece += repeated;
    asio::error_code error;
    co_await asio::async_write(socket, asio::buffer(begin), asio::redirect_error(asio::use_awaitable, error));
    while (!error) {
        co_await asio::async_write(socket, asio::buffer(piece), asio::redirect_error(asio::use_awaitable, error));
        // Leaves the processor to the other stand-ins.
        co_await this->pause(milliseconds(1));
    }
}

void SoakDeployment::configure()
{
    auto const timeout = [&] { return this->number(static_cast<int>(to_milliseconds(SHORTEST_TIMEOUT)), static_cast<int>(to_milliseconds(LONGEST_REQUEST))); };
    auto const route = [&](std::string const& name, std::string const& kind, std::string const& service, int attempts) {
        return nlohmann::json { { "name", name }, { "hostname", "h.example" }, { "path_prefix", "/" + name + "/" }, { "route_kind", kind }, { "timeout_ms", timeout() }, { "slo_ms", 5000 }, { "priority", 1 }, { "service", service }, { "max_attempts", attempts } };
    };
    auto resumable = route("resumable", "streaming", "engines", 2);
    resumable["resumable"] = true;
    nlohmann::json const engine { { "slots", 64 }, { "kv_capacity", 1'000'000 }, { "token_kv_bytes", 1 }, { "link_mbps", 1000.0 }, { "stride", 1 }, { "kv_hold_s", 0.5 } };
    nlohmann::json routes { route("safe", "idempotent", "plain", 2), route("once", "non_idempotent", "plain", 2), route("stream", "streaming", "engines", 1), resumable };
    if (this->chance(0.5))
        routes.push_back(route("other", "idempotent", "plain", 2));
    nlohmann::json const services { { { "name", "plain" }, { "max_conns", this->number(50, 200) } }, { { "name", "engines" }, { "max_conns", this->number(50, 200) }, { "engine", engine } } };
    nlohmann::json const limits { { "max_header_bytes", 4096 }, { "max_body_bytes", this->number(1, 40) * 100000 }, { "header_timeout_ms", 60000 }, { "idle_timeout_ms", 60000 } };
    this->store.put("op", "config", { { "version", ++this->configuration }, { "routes", routes }, { "services", services }, { "limits", limits } });
}

NodeSlot* SoakDeployment::pick()
{
    std::vector<NodeSlot*> found;
    for (auto& node : this->nodes) {
        if (node.process->is_running() && !node.is_being_replaced)
            found.push_back(&node);
    }
    return found.empty() ? nullptr : found[static_cast<std::size_t>(this->number(0, static_cast<int>(found.size()) - 1))];
}

}
