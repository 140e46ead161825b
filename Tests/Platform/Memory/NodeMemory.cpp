// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

// Guards against a node that holds more memory than its VM has: callers send long bodies but for their ends, beside usual requests.
// Checks that the node process stays within its limit, refuses what it cannot hold with a whole response, and serves all others.

#include <LibAsync/BufferMemory.h>
#include <LibAsync/HttpConnection.h>
#include <LibCore/Clock.h>
#include <Tests/Platform/Soak/NodeProcess.h>
#include <Tests/Platform/StoreStandIn.h>
#include <Tests/Platform/UpstreamStandIn.h>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <getopt.h>
#include <iostream>
#include <map>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

constexpr std::size_t LARGE_BODY_BYTES = 4'000'000;
constexpr std::size_t SMALL_BODY_BYTES = 2'000;
constexpr int SMALL_CALLERS = 8;
constexpr Duration START_LIMIT = seconds(30);
/// For one exchange, on a busy machine.
constexpr Duration ANSWER_LIMIT = seconds(20);

struct Options {
    std::string binary;
    int memory_megabytes = 88;
    int uploads = 120;
    int seconds = 8;
};

class MemoryTest {
public:
    explicit MemoryTest(Options options)
        : options(std::move(options))
        , large_body(LARGE_BODY_BYTES, 'x')
    {
    }

    int run();

private:
    void start();
    bool run_until(std::function<bool()> const& condition, Duration limit);
    std::uint64_t peak_kilobytes() const;
    HttpRequestHead request_head(std::size_t length);
    asio::awaitable<std::string> call(std::size_t body_size);
    asio::awaitable<void> send_small();
    asio::awaitable<void> send_large(bool is_chunked);
    asio::awaitable<void> pause(Duration duration);
    void spawn(asio::awaitable<void> coroutine);
    void expect(bool is_met, std::string const& what);

    Options options;
    std::string const large_body;
    std::filesystem::path folder;
    asio::io_context loop { 1 };
    StoreStandIn store { this->loop };
    UpstreamStandIn upstream { this->loop, "i-1" };
    std::unique_ptr<NodeProcess> node;
    Address callers;
    bool is_over = false;
    int running = 0;
    int last_identifier = 0;
    std::map<std::string, int> small;
    std::map<std::string, int> large;
    int failures = 0;
};

void MemoryTest::expect(bool is_met, std::string const& what)
{
    if (is_met)
        return;
    std::cout << "FAILED: " << what << std::endl;
    ++this->failures;
}

bool MemoryTest::run_until(std::function<bool()> const& condition, Duration limit)
{
    auto const until = monotonic_now() + limit;
    while (!condition()) {
        if (monotonic_now() >= until)
            return false;
        this->loop.run_for(std::chrono::milliseconds(5));
    }
    return true;
}

void MemoryTest::spawn(asio::awaitable<void> coroutine)
{
    ++this->running;
    asio::co_spawn(this->loop, std::move(coroutine), [this](std::exception_ptr) { --this->running; });
}

asio::awaitable<void> MemoryTest::pause(Duration duration)
{
    asio::steady_timer timer(this->loop, duration);
    asio::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

std::uint64_t MemoryTest::peak_kilobytes() const
{
    std::ifstream file("/proc/" + std::to_string(this->node->id) + "/status");
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with("VmHWM:"))
            return std::stoull(line.substr(line.find(':') + 1));
    }
    return 0;
}

HttpRequestHead MemoryTest::request_head(std::size_t length)
{
    HttpRequestHead head { "POST", "/once/x", {} };
    head.headers.add("Host", "h.example");
    head.headers.add("X-Spurtide-Attempt-Id", "request-" + std::to_string(++this->last_identifier));
    head.headers.add("X-Spurtide-Deadline-Ms", "15000");
    if (length > 0)
        head.headers.add("Content-Length", std::to_string(length));
    else
        head.headers.add("Transfer-Encoding", "chunked");
    return head;
}

/// A whole request; gives the status or the error.
asio::awaitable<std::string> MemoryTest::call(std::size_t body_size)
{
    auto connected = co_await HttpConnection::connect(this->callers, seconds(5), {});
    if (connected.is_error())
        co_return std::string(to_string(connected.error()));
    auto const connection = connected.release_value();
    connection->set_deadline(monotonic_now() + ANSWER_LIMIT);
    connection->send(format_request_head(this->request_head(body_size)), std::make_shared<std::string const>(this->large_body.substr(0, body_size)));
    auto const head = co_await connection->read_head();
    if (head.is_error())
        co_return std::string(to_string(head.error()));
    auto const body = co_await connection->read_body(100'000);
    connection->abort();
    co_return body.is_error() ? std::string(to_string(body.error())) : std::to_string(head.value().status);
}

asio::awaitable<void> MemoryTest::send_small()
{
    while (!this->is_over) {
        auto const outcome = co_await this->call(SMALL_BODY_BYTES);
        ++this->small[outcome];
        co_await this->pause(milliseconds(20));
    }
}

/// Sends all of a body but its last byte, and reads what comes until the connection is closed.
asio::awaitable<void> MemoryTest::send_large(bool is_chunked)
{
    while (!this->is_over) {
        asio::ip::tcp::socket socket(this->loop);
        asio::error_code error;
        asio::ip::tcp::endpoint const endpoint(asio::ip::make_address(this->callers.host), static_cast<std::uint16_t>(this->callers.port));
        co_await socket.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
        auto head = format_request_head(this->request_head(is_chunked ? 0 : LARGE_BODY_BYTES));
        if (is_chunked)
            head += "3d0900\r\n";
        std::array<asio::const_buffer, 2> const buffers { asio::buffer(head), asio::buffer(this->large_body.data(), this->large_body.size() - 1) };
        bool is_writing = true;
        asio::async_write(socket, buffers, [&is_writing](asio::error_code, std::size_t) { is_writing = false; });
        std::string received;
        std::array<char, 1024> piece {};
        error = {};
        while (!error) {
            auto const size = co_await socket.async_read_some(asio::buffer(piece), asio::redirect_error(asio::use_awaitable, error));
            received.append(piece.data(), size);
        }
        bool const is_whole = received.ends_with("\r\n\r\n") && error == asio::error::eof;
        bool const is_refused = received.starts_with("HTTP/1.1 503 ") && received.find("\r\nRetry-After: ") != std::string::npos;
        bool const has_given_way = received.starts_with("HTTP/1.1 408 ");
        if (is_whole && (is_refused || has_given_way))
            ++this->large[is_refused ? "refused" : "gave_way"];
        else
            ++this->large["broken"];
        socket.close(error);
        while (is_writing)
            co_await this->pause(milliseconds(5));
        co_await this->pause(milliseconds(500));
    }
}

void MemoryTest::start()
{
    std::string name = (std::filesystem::temp_directory_path() / "node-memory-XXXXXX").string();
    if (!mkdtemp(name.data())) {
        std::cerr << "Cannot create a folder\n";
        std::exit(2);
    }
    this->folder = name;
    nlohmann::json const route { { "name", "once" }, { "hostname", "h.example" }, { "path_prefix", "/once/" }, { "route_kind", "non_idempotent" }, { "timeout_ms", 15000 }, { "slo_ms", 5000 }, { "service", "plain" }, { "max_attempts", 1 } };
    nlohmann::json const limits { { "max_header_bytes", 4096 }, { "max_body_bytes", LARGE_BODY_BYTES }, { "header_timeout_ms", 3000 }, { "idle_timeout_ms", 15000 } };
    this->store.put("op", "config", { { "version", 1 }, { "routes", { route } }, { "services", { { { "name", "plain" }, { "max_conns", 200 } } } }, { "limits", limits } });
    this->store.put("servers", this->upstream.identity, this->upstream.entry("plain"));
    auto const any = "127.0.0.1:0";
    nlohmann::json const settings { { "vm", "vm-1" }, { "data_centre", "dc" }, { "caller_address", any }, { "operations_address", any }, { "wire_address", any }, { "registry_address", this->store.address().to_string() }, { "memory_megabytes", this->options.memory_megabytes } };
    std::ofstream(this->folder / "node.json") << settings.dump();
    auto const log = (this->folder / "node.log").string();
    this->node = std::make_unique<NodeProcess>(this->options.binary, (this->folder / "node.json").string(), log, Address {});
    bool const has_started = this->run_until([&] {
        std::ifstream file(log);
        for (std::string line; std::getline(file, line);) {
            constexpr std::string_view FIELD = " callers=";
            auto const at = line.find(FIELD);
            if (line.find(" event=started ") == std::string::npos || at == std::string::npos)
                continue;
            auto const begin = at + FIELD.size();
            this->callers = parse_address(line.substr(begin, line.find(' ', begin) - begin)).value_or(Address {});
            return true;
        }
        return false;
    },
        START_LIMIT);
    if (!has_started) {
        std::cerr << "The node has not started; its log is " << log << "\n";
        std::exit(2);
    }
}

int MemoryTest::run()
{
    // Of this process, which is the upstream.
    BufferMemory::the().set_limit(512UL * 1024 * 1024);
    this->start();
    std::string outcome;
    auto const call_once = [this, &outcome](std::size_t size) -> asio::awaitable<void> {
        outcome = co_await this->call(size);
    };
    auto const serves = [&](std::size_t size) {
        outcome.clear();
        this->spawn(call_once(size));
        return this->run_until([&] { return this->running == 0; }, ANSWER_LIMIT * 2) && outcome == "200";
    };
    bool is_serving = false;
    for (int i = 0; i < 100 && !is_serving; ++i) {
        is_serving = serves(SMALL_BODY_BYTES);
        this->loop.run_for(std::chrono::milliseconds(100));
    }
    this->expect(is_serving, "the node does not serve: " + outcome);
    auto const peak_before = this->peak_kilobytes();
    for (int i = 0; i < SMALL_CALLERS; ++i)
        this->spawn(this->send_small());
    for (int i = 0; i < this->options.uploads; ++i)
        this->spawn(this->send_large(i % 2 == 0));
    this->run_until([] { return false; }, seconds(this->options.seconds));
    this->is_over = true;
    this->expect(this->run_until([&] { return this->running == 0; }, ANSWER_LIMIT * 2), "callers wait without an answer");
    this->node->watch();
    this->expect(this->node->is_running(), "the node has ended");
    this->expect(this->running == 0 && serves(LARGE_BODY_BYTES), "a whole long request is not served afterwards: " + outcome);
    auto const peak = this->peak_kilobytes();
    std::cout << "memory_megabytes=" << this->options.memory_megabytes << " peak_before_kilobytes=" << peak_before << " peak_kilobytes=" << peak;
    for (auto const& [name, count] : this->small)
        std::cout << " small_" << name << "=" << count;
    for (auto const& [name, count] : this->large)
        std::cout << " large_" << name << "=" << count;
    std::cout << std::endl;
    this->expect(peak > 0 && peak < static_cast<std::uint64_t>(this->options.memory_megabytes) * 1024, "the node was over its memory");
    this->expect(this->small.size() == 1 && this->small.contains("200"), "not all small requests were served");
    this->expect(this->large["refused"] > 0, "no long request was refused");
    this->expect(this->large["broken"] == 0, "long requests ended without a whole refusal");
    if (this->failures > 0)
        std::cout << "The log is in " << this->folder.string() << std::endl;
    else
        std::filesystem::remove_all(this->folder);
    this->node->send(SIGKILL);
    return this->failures > 0 ? 1 : 0;
}

}

int main(int argument_count, char** arguments)
{
    Options options;
    option const known[] = { { "memory", required_argument, nullptr, 'm' }, { "uploads", required_argument, nullptr, 'u' }, { "seconds", required_argument, nullptr, 't' }, { "binary", required_argument, nullptr, 'b' }, { nullptr, 0, nullptr, 0 } };
    for (int found = 0; (found = getopt_long(argument_count, arguments, "", known, nullptr)) != -1;) {
        if (found == 'm')
            options.memory_megabytes = std::atoi(optarg);
        else if (found == 'u')
            options.uploads = std::atoi(optarg);
        else if (found == 't')
            options.seconds = std::atoi(optarg);
        else if (found == 'b')
            options.binary = optarg;
        else
            return 2;
    }
    if (options.binary.empty() || options.memory_megabytes < 1 || options.uploads < 1 || options.seconds < 1) {
        std::cerr << "Usage: NodeMemory --binary PROGRAM [--memory MEGABYTES] [--uploads NUMBER] [--seconds NUMBER]\n";
        return 2;
    }
    auto const result = std::make_unique<MemoryTest>(options).release()->run();
    // What still waits on the loop ends with the process.
    std::_Exit(result);
}
