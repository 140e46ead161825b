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
        nlohmann::json const settings { { "vm", node.name }, { "data_centre", "dc" }, { "caller_address", node.callers.to_string() }, { "operations_address", node.addresses[1].to_string() }, { "wire_address", wire.to_string() }, { "metrics_address", node.addresses[3].to_string() }, { "relay_address", node.addresses[4].to_string() }, { "registry_address", this->store.address().to_string() }, { "seeds", seeds }, { "retry_allowance", 1000 }, { "stop_grace_seconds", to_seconds(STOP_GRACE) } };
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
    this->add_path(upstream, "plain");
    this->store.put("servers", identity, upstream.entry("plain"));
}

UpstreamStandIn& SoakDeployment::add_engine(std::string const& identity, std::string const& phase, std::string const& version)
{
    auto& engine = *this->engines.emplace_back(std::make_unique<UpstreamStandIn>(this->loop, identity, phase));
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
    this->add_engine("prefill-" + version, "prefill", version);
    this->add_engine("decode-1-" + version, "decode", version);
    this->add_engine("decode-2-" + version, "decode", version);
    this->versions.push_back(version);
}

void SoakDeployment::configure()
{
    auto const route = [](std::string const& name, std::string const& kind, std::string const& service, int attempts) {
        return nlohmann::json { { "name", name }, { "hostname", "h.example" }, { "path_prefix", "/" + name + "/" }, { "route_kind", kind }, { "timeout_ms", to_milliseconds(LONGEST_REQUEST) }, { "slo_ms", 5000 }, { "priority", 1 }, { "service", service }, { "max_attempts", attempts } };
    };
    auto resumable = route("resumable", "streaming", "engines", 2);
    resumable["resumable"] = true;
    nlohmann::json const engine { { "slots", 64 }, { "kv_capacity", 1'000'000 }, { "token_kv_bytes", 1 }, { "link_mbps", 1000.0 }, { "stride", 1 }, { "kv_hold_s", 0.5 } };
    nlohmann::json const routes { route("safe", "idempotent", "plain", 2), route("once", "non_idempotent", "plain", 2), route("stream", "streaming", "engines", 1), resumable };
    nlohmann::json const services { { { "name", "plain" }, { "max_conns", this->number(50, 200) } }, { { "name", "engines" }, { "max_conns", this->number(50, 200) }, { "engine", engine } } };
    nlohmann::json const limits { { "max_header_bytes", 4096 }, { "max_body_bytes", 100000 }, { "header_timeout_ms", 60000 }, { "idle_timeout_ms", 60000 } };
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
