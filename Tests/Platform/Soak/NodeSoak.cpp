// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

// Real node processes between stand-ins and callers, under faults that a seed chooses; what they meet depends on the machine's speed as
// well. Exits with 1 where a request, stream or process did not end as it has to.

#include <LibAsync/HttpConnection.h>
#include <LibCore/Clock.h>
#include <Tests/Platform/Soak/SoakDeployment.h>
#include <algorithm>
#include <array>
#include <csignal>
#include <fstream>
#include <getopt.h>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <tuple>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

constexpr int CALLERS = 8;
constexpr int STREAM_CALLERS = 10;
constexpr int UPLOAD_CALLERS = 3;
/// Of a stream that never ends.
constexpr std::size_t MOST_UNREAD_BYTES = 1'000'000;
constexpr std::size_t SHOWN_VIOLATIONS = 20;
/// Longer than any request may take, with the times for which processes stand still.
constexpr Duration ANSWER_LIMIT = seconds(30);
/// For all that follows the last fault.
constexpr Duration END_LIMIT = seconds(60);
constexpr Duration RECOVERY_LIMIT = seconds(10);
/// A request that was sent so long before a signal to stop had been read when that came.
constexpr Duration READING_TIME = seconds(1);
constexpr Duration TAKE_UP_TIME = seconds(12);
/// A node may end what runs so long before the end of its grace time.
constexpr Duration STOP_MARGIN = milliseconds(500);
/// The slowest streams end within their time-out.
constexpr int MOST_SLOWDOWN = 7;
/// Share of the streams taken up whose version is still there that have to go on.
constexpr double MOST = 0.5;

/// What a caller does with a connection on which it was refused.
enum class KeepConnection {
    Never,
    UntilItEnds,
};

struct CallerConnection {
    KeepConnection keep = KeepConnection::Never;
    std::shared_ptr<NodeProcess> process;
    std::shared_ptr<HttpConnection> connection;
};

/// A stream that was cut off. The VM that relayed it may have been killed.
struct CutRequest {
    std::string node;
    std::string violation;
};

/// What the log of the VM that accepted a cut request says about it.
struct CutRequestLog {
    /// The VM through which the lost response came; empty if it came directly.
    std::string relay;
    /// Unix time in milliseconds.
    std::int64_t relayed_at = 0;
    std::int64_t lost_at = 0;
    /// Of the last send that was asked of the budget.
    bool is_budget_spent = false;
    /// Why the VM ended it, and how long it had it.
    std::string end_reason;
    Duration ran {};
    std::int64_t arrived_at = 0;
    std::int64_t ended_at = 0;
    /// When the VM had last been told to stop.
    std::int64_t told_to_stop_at = 0;
};

/// Whether the response's head had come.
enum class ResponseStage {
    Awaited,
    Begun,
};

struct Stream {
    /// The attempt that brought its first event.
    std::string first;
    std::string version;
    int last = 0;
};

enum class StreamEnd {
    Whole,
    Left,
    Refused,
    Broken,
    Unanswered,
};

/// In the order of the ends.
constexpr std::array STREAM_END_NAMES { "whole", "left", "refused", "broken", "unanswered" };

std::string field_of(std::string const& line, std::string const& name)
{
    auto const field = line.find(" " + name + "=");
    if (field == std::string::npos)
        return {};
    auto const from = field + name.size() + 2;
    return line.substr(from, line.find(' ', from) - from);
}

/// Unix time in milliseconds.
std::int64_t time_of(std::string const& line)
{
    std::istringstream text(field_of(" " + line, "time"));
    tm date {};
    char point = 0;
    std::int64_t fraction = 0;
    text >> std::get_time(&date, "%Y-%m-%dT%H:%M:%S") >> point >> fraction;
    return static_cast<std::int64_t>(timegm(&date)) * 1000 + fraction;
}

CutRequestLog read_log_of_cut(std::string const& path, std::string const& identifier)
{
    CutRequestLog log;
    std::map<std::string, std::pair<std::string, std::int64_t>> relays;
    std::ifstream file(path);
    for (std::string line; log.end_reason.empty() && std::getline(file, line);) {
        auto const event = field_of(line, "event");
        if (event == "stopping")
            log.told_to_stop_at = time_of(line);
        if (field_of(line, "request") != identifier)
            continue;
        if (event == "request_end") {
            auto const ran = parse_whole_number(field_of(line, "ms")).value_or(0);
            log.end_reason = field_of(line, "reason");
            log.ran = milliseconds(ran);
            log.ended_at = time_of(line);
            log.arrived_at = log.ended_at - ran;
        } else if (event == "request_relayed")
            relays[field_of(line, "upstream")] = { field_of(line, "relay"), time_of(line) };
        else if (event == "send_end" && field_of(line, "end") == "lost") {
            std::tie(log.relay, log.relayed_at) = relays[field_of(line, "upstream")];
            log.lost_at = time_of(line);
        } else if (event == "extra_send")
            log.is_budget_spent = field_of(line, "outcome") == "spent";
    }
    return log;
}

class Soak : public SoakDeployment {
public:
    using SoakDeployment::SoakDeployment;
    int run();

private:
    using Task = asio::awaitable<void>;

    void spawn(Task task);
    void violate(std::string const& what);
    bool run_until(std::function<bool()> const& condition, Duration limit);
    void watch();

    // The callers.
    asio::awaitable<bool> connect(CallerConnection& caller);
    asio::awaitable<bool> connect(CallerConnection& caller, NodeSlot const& node);
    Task probe(NodeSlot& node);
    HttpRequestHead head(std::string method, std::string target, std::string const& identifier);
    Task send_plain(int caller);
    asio::awaitable<bool> exchange_plain(CallerConnection& caller);
    Task send_streams();
    Task take_up(Stream& stream);
    asio::awaitable<StreamEnd> carry(CallerConnection& caller, Stream& stream, int leave_after);
    void read_events(Stream& stream, std::string const& identifier, std::string& unread);
    Task send_uploads();
    asio::awaitable<void> upload(NodeProcess& process);
    void note_refusal(int status, std::string const& identifier);
    void judge_failure(NodeProcess const& process, std::string const& identifier, HttpError error, MonotonicTime sent_at, ResponseStage stage);
    bool was_killed_between(Address const& callers, std::int64_t from, std::int64_t until) const;
    NodeSlot const* find_node(std::function<bool(NodeSlot const&)> const& is_sought) const;

    // The faults.
    Task inject_in_series();
    Task inject_beside();
    Task replace(NodeSlot& node, Duration pause);
    Task stop_and_replace(NodeSlot& node);
    Task kill_all();
    Task suspend(NodeSlot& node);
    Task slow_down(std::shared_ptr<NodeProcess> process);
    Task hang_up(std::shared_ptr<NodeProcess> process);
    Task list_endless();
    Task vary_engines();
    Task slow_down_engine();
    Task list_slow_engine();
    Task replace_version();
    Task fail_store();
    Task put_odd_row();
    Task silence_upstreams();
    Task take_port(NodeSlot const& node);
    void check_memory(NodeProcess& process);
    void judge_runs();
    void find_unread_in_logs();
    void judge_cut_requests();
    void finish();

    int rows = 0;
    std::int64_t last_request = 0;
    /// Faults come until the first, requests until the second.
    bool is_quiet = false;
    bool is_over = false;
    bool is_recovering = false;
    bool is_store_faulty = false;
    bool is_version_changing = false;
    bool is_silent = false;
    int running = 0;
    /// No process outlives this program, which a test's time limit would end.
    MonotonicTime ends_at;
    /// Requests without a response that their process need not have read.
    std::set<std::string> unread;
    /// Requests that were answered as not run and may not be repeated.
    std::set<std::string> refused;
    std::map<std::string, CutRequest> cut;
    std::size_t peak_memory = 0;
    MonotonicTime memory_checked_at {};
    std::map<std::string, int> faults;
    std::map<std::string, int> counts;
    Duration longest_recovery {};
    std::vector<std::string> violations;
};

void Soak::spawn(Task task)
{
    ++this->running;
    asio::co_spawn(this->loop, std::move(task), [this](std::exception_ptr const& error) {
        --this->running;
        if (error)
            std::rethrow_exception(error);
    });
}

void Soak::violate(std::string const& what)
{
    this->violations.push_back("[" + std::to_string(unix_milliseconds()) + " ms] " + what);
}

bool Soak::run_until(std::function<bool()> const& condition, Duration limit)
{
    auto const until = monotonic_now() + limit;
    while (!condition()) {
        if (monotonic_now() >= std::min(until, this->ends_at))
            return false;
        this->loop.run_for(std::chrono::milliseconds(10));
        this->watch();
    }
    return true;
}

void Soak::watch()
{
    bool const is_memory_due = monotonic_now() > this->memory_checked_at + milliseconds(200);
    if (is_memory_due)
        this->memory_checked_at = monotonic_now();
    for (auto const& process : this->processes) {
        if (!process->is_running())
            continue;
        if (is_memory_due)
            this->check_memory(*process);
        process->watch();
        auto const end = process->unexplained_end();
        if (end)
            this->violate("process " + std::to_string(process->id) + " at " + process->callers.to_string() + " ended by itself: " + *end);
        bool const is_late = process->told_to_stop_at && !process->killed_at && monotonic_now() > *process->told_to_stop_at + this->options.stop_grace + seconds(6);
        if (process->is_running() && is_late) {
            this->violate("process " + std::to_string(process->id) + " did not end within its grace time");
            process->send(SIGKILL);
        }
    }
}

void Soak::check_memory(NodeProcess& process)
{
    auto const peak = process.peak_memory_bytes();
    auto const limit = this->options.memory_bytes;
    if (limit > 0 && peak > limit && process.peak_memory_seen <= limit)
        this->violate("process " + std::to_string(process.id) + " at " + process.callers.to_string() + " exceeded its memory: " + std::to_string(peak / 1'000'000) + " MB");
    process.peak_memory_seen = peak;
    this->peak_memory = std::max(this->peak_memory, peak);
}

asio::awaitable<bool> Soak::connect(CallerConnection& caller)
{
    if (caller.connection && caller.connection->is_reusable() && caller.connection->is_quiet() && (caller.keep == KeepConnection::UntilItEnds || !this->chance(0.05)))
        co_return true;
    if (caller.connection)
        caller.connection->abort();
    co_return co_await this->connect(caller, this->nodes[static_cast<std::size_t>(this->number(0, this->options.nodes - 1))]);
}

asio::awaitable<bool> Soak::connect(CallerConnection& caller, NodeSlot const& node)
{
    caller = { caller.keep, nullptr, nullptr };
    auto const process = node.process;
    if (process->is_running() && !process->killed_at) {
        auto connected = co_await HttpConnection::connect(process->callers, seconds(1), {});
        if (!connected.is_error())
            caller = { caller.keep, process, connected.release_value() };
    }
    if (!caller.connection)
        co_await this->pause(milliseconds(30));
    co_return caller.connection != nullptr;
}

HttpRequestHead Soak::head(std::string method, std::string target, std::string const& identifier)
{
    HttpRequestHead head { std::move(method), std::move(target), {} };
    head.headers.add("Host", "h.example");
    head.headers.add("X-Spurtide-Attempt-Id", identifier);
    head.headers.add("X-Spurtide-Deadline-Ms", std::to_string(to_milliseconds(LONGEST_REQUEST)));
    return head;
}

/// A VM whose loop is late closes new connections unread.
bool may_be_overloaded(NodeProcess const& process, MonotonicTime sent_at) { return process.suspended_at && *process.suspended_at + READING_TIME > sent_at; }

/// No response, or no whole one: allowed only where the process was killed, or told to stop before it read the request.
void Soak::judge_failure(NodeProcess const& process, std::string const& identifier, HttpError error, MonotonicTime sent_at, ResponseStage stage)
{
    if (process.killed_at) {
        ++this->counts["killed"];
        return;
    }
    bool const is_suspended = process.suspended_at && process.told_to_stop_at && *process.suspended_at + seconds(5) > sent_at;
    bool const is_stopping = process.told_to_stop_at && (is_suspended || sent_at + READING_TIME > *process.told_to_stop_at);
    bool const may_be_unread = !this->arrived.contains(identifier) && (is_stopping || may_be_overloaded(process, sent_at));
    if (error == HttpError::Closed && may_be_unread) {
        this->unread.insert(identifier);
        return;
    }
    auto const sent_ago = to_milliseconds(monotonic_now() - sent_at);
    auto const told = process.told_to_stop_at ? ", told to stop " + std::to_string(to_milliseconds(monotonic_now() - *process.told_to_stop_at)) + " ms ago" : std::string();
    auto const what = "request " + identifier + " of process " + std::to_string(process.id) + " at " + process.callers.to_string() + " got no whole response: " + std::string(to_string(error)) + ", sent " + std::to_string(sent_ago) + " ms ago" + told + (this->arrived.contains(identifier) ? ", an upstream got it" : ", no upstream got it");
    auto const* const node = this->find_node([&](auto const& candidate) { return candidate.callers.to_string() == process.callers.to_string(); });
    bool const is_stream = identifier.starts_with("stream-") || identifier.starts_with("resumable-");
    if (node && is_stream && stage == ResponseStage::Begun && error == HttpError::Closed)
        this->cut.emplace(identifier, CutRequest { node->name, what });
    else
        this->violate(what);
}

bool Soak::was_killed_between(Address const& callers, std::int64_t from, std::int64_t until) const
{
    return std::any_of(this->processes.begin(), this->processes.end(), [&](auto const& process) {
        if (process->callers.to_string() != callers.to_string() || !process->killed_at)
            return false;
        auto const killed_at = unix_milliseconds() - to_milliseconds(monotonic_now() - *process->killed_at);
        return killed_at >= from - 1 && killed_at <= until + 1;
    });
}

NodeSlot const* Soak::find_node(std::function<bool(NodeSlot const&)> const& is_sought) const
{
    auto const found = std::find_if(this->nodes.begin(), this->nodes.end(), is_sought);
    return found == this->nodes.end() ? nullptr : &*found;
}

Soak::Task Soak::send_plain(int caller_number)
{
    CallerConnection caller;
    caller.keep = caller_number % 2 == 0 ? KeepConnection::UntilItEnds : KeepConnection::Never;
    co_await this->pause(milliseconds(caller_number * 3));
    while (!this->is_over) {
        bool const is_connected = co_await this->connect(caller);
        if (!is_connected)
            continue;
        bool const is_served = co_await this->exchange_plain(caller);
        // A process that stops answers that at once; others serve.
        if (!is_served && caller.keep == KeepConnection::Never) {
            caller.connection->abort();
            caller = {};
        }
        co_await this->pause(is_served ? this->duration(0, 30) : milliseconds(100));
    }
    if (caller.connection)
        caller.connection->abort();
}

asio::awaitable<bool> Soak::exchange_plain(CallerConnection& caller)
{
    bool const is_repeatable = this->chance(0.5);
    auto const identifier = (is_repeatable ? "safe-" : "once-") + std::to_string(++this->last_request);
    auto head = this->head(is_repeatable ? "GET" : "POST", is_repeatable ? "/safe/x" : "/once/x", identifier);
    if (!is_repeatable)
        head.headers.add("Content-Length", "4");
    ++this->counts["requests"];
    auto const sent_at = monotonic_now();
    caller.connection->set_deadline(sent_at + ANSWER_LIMIT);
    caller.connection->send(format_request_head(head), std::make_shared<std::string const>(is_repeatable ? "" : "body"));
    auto answer = co_await caller.connection->read_head();
    if (answer.is_error()) {
        this->judge_failure(*caller.process, identifier, answer.error(), sent_at, ResponseStage::Awaited);
        co_return false;
    }
    auto const body = co_await caller.connection->read_body(100'000);
    if (body.is_error()) {
        this->judge_failure(*caller.process, identifier, body.error(), sent_at, ResponseStage::Awaited);
        co_return false;
    }
    caller.connection->clear_deadline();
    auto const named = answer.value().headers.find("X-Spurtide-Attempt-Id");
    bool const is_served = answer.value().status == 200;
    this->note_refusal(answer.value().status, identifier);
    bool const is_own = (!named || *named == identifier) && (!is_served || body.value().ends_with(" to " + identifier));
    if (!is_own)
        this->violate("request " + identifier + " got another one's response: " + std::string(named.value_or("")) + ", " + body.value());
    auto const* const suffix = caller.process->told_to_stop_at ? "_stopping" : "";
    ++this->counts[is_served ? "served" : "status_" + std::to_string(answer.value().status) + suffix];
    if (is_served && !caller.process->served_at)
        caller.process->served_at = monotonic_now();
    co_return is_served;
}

/// Sends requests to a node until it serves one.
Soak::Task Soak::probe(NodeSlot& node)
{
    auto const until = monotonic_now() + RECOVERY_LIMIT;
    while (!node.process->served_at && monotonic_now() < until) {
        CallerConnection caller;
        bool const is_connected = co_await this->connect(caller, node);
        if (!is_connected)
            continue;
        static_cast<void>(co_await this->exchange_plain(caller));
        caller.connection->abort();
        co_await this->pause(milliseconds(50));
    }
}

Soak::Task Soak::send_streams()
{
    CallerConnection caller;
    caller.keep = this->chance(0.5) ? KeepConnection::UntilItEnds : KeepConnection::Never;
    co_await this->pause(this->duration(0, 500));
    while (!this->is_over) {
        bool const is_connected = co_await this->connect(caller);
        if (!is_connected)
            continue;
        bool const is_resumable = this->chance(0.7);
        Stream stream;
        ++this->counts["streams"];
        auto const leave_after = is_resumable && this->chance(0.2) ? this->number(1, EVENTS - 2) : EVENTS;
        stream.first = (is_resumable ? "resumable-" : "stream-") + std::to_string(++this->last_request);
        auto const end = co_await this->carry(caller, stream, leave_after);
        bool const is_kept = end == StreamEnd::Whole || (end == StreamEnd::Refused && caller.keep == KeepConnection::UntilItEnds);
        if (!is_kept) {
            caller.connection->abort();
            caller = { caller.keep, nullptr, nullptr };
        }
        ++this->counts["streams_" + std::string(STREAM_END_NAMES[static_cast<std::size_t>(end)])];
        bool const has_rest = stream.last > 0 && stream.last < EVENTS;
        if (is_resumable && has_rest && (end == StreamEnd::Broken || end == StreamEnd::Left))
            co_await this->take_up(stream);
        co_await this->pause(end == StreamEnd::Whole ? this->duration(0, 60) : milliseconds(100));
    }
    if (caller.connection)
        caller.connection->abort();
}

/// Tries at any node until the stream goes on, its version is gone, or the time is over.
Soak::Task Soak::take_up(Stream& stream)
{
    auto const until = monotonic_now() + TAKE_UP_TIME;
    auto const begin = stream.last;
    ++this->counts["taken_up"];
    while (stream.last < EVENTS && monotonic_now() < until) {
        bool const is_listed = this->is_listed(stream.version);
        CallerConnection caller;
        bool const is_connected = co_await this->connect(caller);
        if (!is_connected)
            continue;
        auto const end = co_await this->carry(caller, stream, EVENTS);
        caller.connection->abort();
        ++this->counts[end == StreamEnd::Refused ? "tries_refused" : "tries"];
        if (end == StreamEnd::Refused && !is_listed)
            break;
        if (end != StreamEnd::Whole)
            co_await this->pause(milliseconds(200));
    }
    ++this->counts[stream.last > begin ? "went_on" : this->is_listed(stream.version) ? "stayed_refused"
                                                                                     : "version_gone"];
}

asio::awaitable<StreamEnd> Soak::carry(CallerConnection& caller, Stream& stream, int leave_after)
{
    bool const is_first = stream.last == 0;
    bool const is_resumable = stream.first.starts_with("resumable");
    auto const identifier = is_first ? stream.first : stream.first + "-" + std::to_string(++this->last_request);
    auto head = this->head("POST", is_resumable ? "/resumable/x" : "/stream/x", identifier);
    head.headers.add("X-Spurtide-Model", "m");
    head.headers.add("X-Spurtide-Token-Count", "1000,50");
    head.headers.add("X-Spurtide-Prompt-Prefix", "aa:200,own-" + stream.first + ":800");
    head.headers.add("Content-Length", "6");
    if (!is_first) {
        head.headers.add("Resumes", stream.first);
        head.headers.add("Last-Event-Id", std::to_string(stream.last));
    }
    auto const sent_at = monotonic_now();
    caller.connection->set_deadline(sent_at + ANSWER_LIMIT);
    caller.connection->send(format_request_head(head), std::make_shared<std::string const>("prompt"));
    auto answer = co_await caller.connection->read_head();
    if (answer.is_error()) {
        this->judge_failure(*caller.process, identifier, answer.error(), sent_at, ResponseStage::Awaited);
        co_return StreamEnd::Unanswered;
    }
    if (answer.value().status != 200) {
        ++this->counts["stream_status_" + std::to_string(answer.value().status)];
        this->note_refusal(answer.value().status, identifier);
        auto const body = co_await caller.connection->read_body(100'000);
        if (body.is_error())
            this->judge_failure(*caller.process, identifier, body.error(), sent_at, ResponseStage::Awaited);
        else
            caller.connection->clear_deadline();
        co_return StreamEnd::Refused;
    }
    std::string unread;
    while (stream.last < leave_after) {
        auto const piece = co_await caller.connection->read_piece();
        if (piece.is_error()) {
            if (!this->broken_off.contains(identifier))
                this->judge_failure(*caller.process, identifier, piece.error(), sent_at, ResponseStage::Begun);
            co_return StreamEnd::Broken;
        }
        if (this->broken_off.contains(identifier) && (piece.value().empty() || unread.size() > MOST_UNREAD_BYTES))
            co_return StreamEnd::Broken;
        if (piece.value().empty()) {
            this->violate("stream " + identifier + " ended after event " + std::to_string(stream.last) + " as if it was whole");
            co_return StreamEnd::Refused;
        }
        unread += piece.value();
        this->read_events(stream, identifier, unread);
    }
    if (leave_after < EVENTS)
        co_return StreamEnd::Left;
    auto const rest = co_await caller.connection->read_body(100'000);
    if (rest.is_error() && !this->broken_off.contains(identifier))
        this->judge_failure(*caller.process, identifier, rest.error(), sent_at, ResponseStage::Begun);
    if (!rest.is_error() && !rest.value().empty())
        this->violate("stream " + identifier + " went on after its last event: " + rest.value());
    caller.connection->clear_deadline();
    co_return rest.is_error() ? StreamEnd::Unanswered : StreamEnd::Whole;
}

void Soak::read_events(Stream& stream, std::string const& identifier, std::string& unread)
{
    for (auto end = unread.find("\n\n"); end != std::string::npos; end = unread.find("\n\n")) {
        auto const event = unread.substr(0, end);
        unread.erase(0, end + 2);
        auto const begin = "id: " + std::to_string(stream.last + 1) + "\ndata: ";
        auto const version = event.starts_with(begin) ? event.substr(begin.size(), event.find(' ', begin.size()) - begin.size()) : "";
        if (version.empty())
            this->violate("stream " + identifier + " got after event " + std::to_string(stream.last) + ": " + event);
        else if (!stream.version.empty() && version != stream.version)
            this->violate("stream " + identifier + " got events of " + stream.version + " and, from event " + std::to_string(stream.last + 1) + ", of " + version);
        stream.version = version;
        ++stream.last;
    }
}

/// Statuses that say of a request that it has not run.
void Soak::note_refusal(int status, std::string const& identifier)
{
    constexpr std::array NOT_RUN { 408, 421, 429, 503 };
    bool const may_be_repeated = identifier.starts_with("safe-") || identifier.starts_with("resumable-");
    if (!may_be_repeated && std::find(NOT_RUN.begin(), NOT_RUN.end(), status) != NOT_RUN.end())
        this->refused.insert(identifier);
}

Soak::Task Soak::send_uploads()
{
    while (!this->is_over) {
        auto const& node = this->nodes[static_cast<std::size_t>(this->number(0, this->options.nodes - 1))];
        auto const process = node.process;
        if (process->is_running() && !process->killed_at)
            co_await this->upload(*process);
        co_await this->pause(this->duration(0, 300));
    }
}

/// Sends a request with a body in pieces, and reads the response.
asio::awaitable<void> Soak::upload(NodeProcess& process)
{
    constexpr int PIECES = 20;
    auto const identifier = "once-" + std::to_string(++this->last_request);
    std::string const piece(static_cast<std::size_t>(this->number(10, 20'000)), 'x');
    auto const longest_pause = this->number(0, 150);
    auto head = this->head("POST", "/once/x", identifier);
    head.headers.add("Content-Length", std::to_string(piece.size() * PIECES));
    asio::ip::tcp::socket socket(this->loop);
    asio::steady_timer limit(this->loop, ANSWER_LIMIT);
    limit.async_wait([&socket](asio::error_code error) {
        if (!error)
            socket.close();
    });
    asio::error_code error;
    asio::ip::tcp::endpoint const endpoint(asio::ip::make_address(process.callers.host), static_cast<std::uint16_t>(process.callers.port));
    co_await socket.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return;
    ++this->counts["uploads"];
    auto bytes = format_request_head(head);
    int sent = -1;
    while (sent < PIECES && !error && socket.available(error) == 0) {
        co_await asio::async_write(socket, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
        bytes = piece;
        ++sent;
        co_await this->pause(this->duration(0, longest_pause));
    }
    auto const sent_at = monotonic_now();
    std::string response;
    error = {};
    co_await asio::async_read_until(socket, asio::dynamic_buffer(response), "\r\n\r\n", asio::redirect_error(asio::use_awaitable, error));
    if (!error) {
        auto const status = static_cast<int>(parse_whole_number(response.substr(response.find(' ') + 1, 3)).value_or(0));
        ++this->counts["uploads_" + std::to_string(status)];
        this->note_refusal(status, identifier);
        co_return;
    }
    if (sent == PIECES) {
        this->judge_failure(process, identifier, socket.is_open() ? HttpError::Closed : HttpError::TimedOut, sent_at, ResponseStage::Awaited);
        co_return;
    }
    ++this->counts["uploads_cut"];
    if (process.killed_at || process.told_to_stop_at)
        co_return;
    if (may_be_overloaded(process, sent_at))
        this->unread.insert(identifier);
    else
        this->violate("upload " + identifier + " at " + process.callers.to_string() + " was cut after " + std::to_string(sent) + " pieces");
}

Soak::Task Soak::replace(NodeSlot& node, Duration pause)
{
    node.is_being_replaced = true;
    while (node.process->is_running())
        co_await this->pause(milliseconds(10));
    // A node that waits for its port serves nothing, which a start after the death of all must not do.
    if (!this->is_recovering && this->chance(0.2))
        this->spawn(this->take_port(node));
    co_await this->pause(pause);
    this->start(node);
    node.is_being_replaced = false;
    if (this->chance(0.3))
        co_await this->hang_up(node.process);
}

/// The stop signal stays pending while the process stands still.
Soak::Task Soak::stop_and_replace(NodeSlot& node)
{
    node.process->send(SIGTERM);
    co_await this->replace(node, this->duration(0, 1500));
}

Soak::Task Soak::kill_all()
{
    this->is_recovering = true;
    this->store.set_fault(StoreStandIn::Fault::None);
    for (auto& node : this->nodes) {
        node.process->send(SIGKILL);
        if (!node.is_being_replaced)
            this->spawn(this->replace(node, this->duration(0, 1500)));
    }
    co_await this->pause(milliseconds(20));
    auto const is_replaced = [&] { return std::none_of(this->nodes.begin(), this->nodes.end(), [](auto const& node) { return node.is_being_replaced; }); };
    while (!is_replaced())
        co_await this->pause(milliseconds(10));
    auto const started_at = monotonic_now();
    for (auto& node : this->nodes)
        this->spawn(this->probe(node));
    auto const is_back = [&] { return std::all_of(this->nodes.begin(), this->nodes.end(), [](auto const& node) { return node.process->served_at.has_value(); }); };
    while (!is_back() && monotonic_now() < started_at + RECOVERY_LIMIT)
        co_await this->pause(milliseconds(10));
    this->longest_recovery = std::max(this->longest_recovery, monotonic_now() - started_at);
    for (auto const& node : this->nodes) {
        if (!node.process->served_at)
            this->violate(node.name + " serves nothing " + std::to_string(to_milliseconds(RECOVERY_LIMIT)) + " ms after all were killed and started again");
    }
    this->is_recovering = false;
}

Soak::Task Soak::inject_in_series()
{
    co_await this->pause(seconds(2));
    while (!this->is_quiet) {
        auto const kind = this->number(0, 9);
        if (kind == 0) {
            ++this->faults["kill_all"];
            co_await this->kill_all();
        } else if (kind <= 5) {
            auto const several = kind == 1 ? 2 : 1;
            for (int i = 0; i < several; ++i) {
                auto* const node = this->pick();
                if (!node)
                    continue;
                ++this->faults["kill"];
                node->process->send(SIGKILL);
                this->spawn(this->replace(*node, this->duration(0, 1500)));
                co_await this->pause(milliseconds(1));
            }
        } else if (auto* const node = this->pick()) {
            ++this->faults["term"];
            this->spawn(this->stop_and_replace(*node));
        }
        co_await this->pause(this->duration(100, 1200));
    }
}

Soak::Task Soak::suspend(NodeSlot& node)
{
    auto const process = node.process;
    process->send(SIGSTOP);
    co_await this->pause(this->duration(100, 4000));
    // What came until now need not have been read before a signal to stop.
    process->suspended_at = monotonic_now();
    process->send(SIGCONT);
}

/// Runs for a small part of the time, like a VM with a small share of a processor.
Soak::Task Soak::slow_down(std::shared_ptr<NodeProcess> process)
{
    process->is_slowed = true;
    auto const until = monotonic_now() + this->duration(500, 5000);
    while (process->is_running() && !this->is_recovering && monotonic_now() < until) {
        process->send(SIGSTOP);
        co_await this->pause(this->duration(20, 90));
        process->suspended_at = monotonic_now();
        process->send(SIGCONT);
        co_await this->pause(this->duration(2, 15));
    }
    process->is_slowed = false;
}

Soak::Task Soak::list_endless()
{
    auto const identity = this->add_endless();
    co_await this->pause(this->duration(300, 2500));
    this->store.remove("servers", identity);
}

Soak::Task Soak::vary_engines()
{
    while (!this->is_quiet) {
        co_await this->pause(this->duration(100, 1000));
        if (this->chance(0.5))
            this->spawn(this->slow_down_engine());
        else
            this->spawn(this->list_slow_engine());
    }
}

Soak::Task Soak::slow_down_engine()
{
    ++this->faults["slow_engine"];
    auto& engine = *this->engines[static_cast<std::size_t>(this->number(0, static_cast<int>(this->engines.size()) - 1))];
    engine.event_pause = EVENT_PAUSE * this->number(2, MOST_SLOWDOWN);
    co_await this->pause(this->duration(500, 6000));
    engine.event_pause = EVENT_PAUSE;
}

Soak::Task Soak::list_slow_engine()
{
    ++this->faults["added_engine"];
    auto& engine = this->add_decode_engine();
    engine.event_pause = EVENT_PAUSE * this->number(2, MOST_SLOWDOWN);
    co_await this->pause(this->duration(1000, 6000));
    if (this->is_listed(engine.software_version))
        this->store.put("servers", engine.identity, engine.entry("engines", "draining"));
    co_await this->pause(seconds(3));
    this->store.remove("servers", engine.identity);
}

Soak::Task Soak::hang_up(std::shared_ptr<NodeProcess> process)
{
    bool const waits = this->options.hangups == SoakOptions::Hangups::OnceHandled;
    while (waits && process->is_running() && !process->handles_hangup())
        co_await this->pause(milliseconds(1));
    auto const series = this->chance(0.3) ? this->number(2, 6) : 1;
    for (int i = 0; i < series; ++i) {
        ++this->faults["hangup"];
        process->send(SIGHUP);
        co_await this->pause(this->duration(0, 30));
    }
}

Soak::Task Soak::replace_version()
{
    this->is_version_changing = true;
    auto const old = this->versions.front();
    this->add_version();
    co_await this->pause(this->duration(500, 3000));
    for (auto const& state : { std::string("draining"), std::string() }) {
        for (auto const& engine : this->engines) {
            if (engine->software_version != old)
                continue;
            if (state.empty())
                this->store.remove("servers", engine->identity);
            else
                this->store.put("servers", engine->identity, engine->entry("engines", state));
        }
        std::erase(this->versions, old);
        co_await this->pause(this->duration(1000, 3000));
    }
    this->is_version_changing = false;
}

Soak::Task Soak::fail_store()
{
    using Fault = StoreStandIn::Fault;
    constexpr std::array FAULTS { Fault::Busy, Fault::TooMany, Fault::Silent, Fault::HistoryGone, Fault::Garbage, Fault::LostWrites };
    this->is_store_faulty = true;
    this->store.set_fault(FAULTS[static_cast<std::size_t>(this->number(0, FAULTS.size() - 1))]);
    co_await this->pause(this->duration(200, 3000));
    this->store.set_fault(Fault::None);
    this->is_store_faulty = false;
}

Soak::Task Soak::put_odd_row()
{
    auto const deep = nlohmann::json::parse(std::string(5000, '[') + std::string(5000, ']'));
    std::vector<nlohmann::json> const odd { nlohmann::json::parse("no JSON", nullptr, false), deep, nlohmann::json::array(), nullptr, true, -1, 1e308, -1e308, 18446744073709551615ULL, "", "127.0.0.1:99999", "127.0.0.1:-1", "[::1", std::string(100'000, 'x'), std::string("\0\n\r", 3) };
    auto const value = [&] { return odd[static_cast<std::size_t>(this->number(0, static_cast<int>(odd.size()) - 1))]; };
    auto const key = "odd-" + std::to_string(++this->rows);
    auto row = this->chance(0.5) ? this->plain.front()->entry("plain") : this->engines.back()->entry("engines");
    auto field = row.begin();
    std::advance(field, this->number(0, static_cast<int>(row.size()) - 1));
    *field = value();
    if (this->chance(0.3))
        row = value();
    this->store.put("servers", key, row);
    co_await this->pause(this->duration(500, 3000));
    this->store.remove("servers", key);
}

/// Sound upstreams send nothing for about a second. New connections wait, or get no answer.
Soak::Task Soak::silence_upstreams()
{
    auto const condition = this->chance(0.5) ? UpstreamPath::Condition::Silent : UpstreamPath::Condition::Paused;
    auto const silent = this->pick_paths();
    for (auto* path : silent)
        path->set_condition(ANY_NODE, condition);
    co_await this->pause(this->duration(900, 1300));
    for (auto* path : silent)
        path->set_condition(ANY_NODE, UpstreamPath::Condition::Working);
}

/// A port of the node becomes the source port of an outgoing connection of another process.
Soak::Task Soak::take_port(NodeSlot const& node)
{
    auto const& taken = node.addresses[static_cast<std::size_t>(this->number(0, static_cast<int>(node.addresses.size()) - 1))];
    auto const to_endpoint = [](Address const& address) { return asio::ip::tcp::endpoint(asio::ip::make_address(address.host), static_cast<std::uint16_t>(address.port)); };
    asio::ip::tcp::socket socket(this->loop);
    asio::error_code error;
    socket.open(asio::ip::tcp::v4());
    socket.set_option(asio::socket_base::reuse_address(true));
    socket.bind(to_endpoint(taken), error);
    socket.set_option(asio::socket_base::reuse_address(false));
    if (!error)
        co_await socket.async_connect(to_endpoint(this->store.address()), asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return;
    ++this->faults["port_taken"];
    auto const until = monotonic_now() + this->duration(1000, 14000);
    while (monotonic_now() < until && !this->is_recovering && !this->is_quiet)
        co_await this->pause(milliseconds(20));
    // No wait for the last packets, which would hold the port. Asio lingers in the background where a socket is destroyed.
    socket.set_option(asio::socket_base::linger(true, 0));
    socket.close(error);
}

Soak::Task Soak::inject_beside()
{
    co_await this->pause(seconds(2));
    while (!this->is_quiet) {
        co_await this->pause(this->duration(100, 1000));
        auto* const node = this->pick();
        if (this->is_recovering || this->is_quiet || !node)
            continue;
        auto const kind = this->number(0, 10);
        if (kind == 0) {
            ++this->faults["suspend"];
            co_await this->suspend(*node);
        } else if (kind == 1) {
            co_await this->hang_up(node->process);
        } else if (kind == 2) {
            ++this->faults["configuration"];
            this->configure();
        } else if (kind == 3 && !this->is_version_changing) {
            ++this->faults["version"];
            co_await this->replace_version();
        } else if (kind == 4) {
            ++this->faults["break_off"];
            this->break_share = 0.3;
            co_await this->pause(this->duration(200, 2000));
            this->break_share = 0;
        } else if (kind == 5) {
            ++this->faults["odd_row"];
            co_await this->put_odd_row();
        } else if (kind == 6 && !this->is_store_faulty) {
            ++this->faults["store"];
            co_await this->fail_store();
        } else if (kind == 7 && !node->process->is_slowed) {
            ++this->faults["slow"];
            co_await this->slow_down(node->process);
        } else if (kind == 8) {
            ++this->faults["endless"];
            co_await this->list_endless();
        } else if (kind >= 9 && !this->is_silent) {
            ++this->faults["silence"];
            this->is_silent = true;
            co_await this->silence_upstreams();
            this->is_silent = false;
        }
    }
}

/// A process that names a request in its log has read it.
void Soak::find_unread_in_logs()
{
    this->counts["unread"] = static_cast<int>(this->unread.size());
    for (auto const& node : this->nodes) {
        std::ifstream file(node.log_path);
        for (std::string line; std::getline(file, line);) {
            auto const identifier = field_of(line, "request");
            if (this->unread.erase(identifier) > 0)
                this->violate("request " + identifier + " was read by " + node.name + " and got no response: " + line);
        }
    }
}

/// A response may be cut if the VM that relayed it was killed; one that can be resumed only if no retry budget was left for that.
void Soak::judge_cut_requests()
{
    for (auto const& [identifier, request] : this->cut) {
        auto const* const node = this->find_node([&](auto const& candidate) { return candidate.name == request.node; });
        auto const log = read_log_of_cut(node->log_path, identifier);
        auto const* const relay = this->find_node([&](auto const& candidate) { return candidate.name == log.relay; });
        bool const is_resumable = identifier.starts_with("resumable-");
        bool const is_out_of_time = log.end_reason == "out_of_time" && log.ran >= SHORTEST_TIMEOUT;
        // What came before the signal may outlast the grace time.
        auto const grace_end = log.told_to_stop_at + to_milliseconds(this->options.stop_grace - STOP_MARGIN);
        bool const is_interrupted = log.end_reason == "stopping" && log.arrived_at < log.told_to_stop_at && log.ended_at >= grace_end;
        if (is_out_of_time || is_interrupted)
            ++this->counts[is_interrupted ? "interrupted" : "out_of_time"];
        else if (relay && this->was_killed_between(relay->callers, log.relayed_at, log.lost_at) && (!is_resumable || log.is_budget_spent))
            ++this->counts["killed_relay"];
        else
            this->violate(request.violation);
    }
}

void Soak::judge_runs()
{
    auto runs = this->unlisted_runs;
    for (auto const* upstreams : { &this->plain, &this->engines }) {
        for (auto const& upstream : *upstreams) {
            for (auto const& request : upstream->run)
                ++runs[request];
        }
    }
    for (auto const& [request, times] : runs) {
        bool const may_be_repeated = request.starts_with("safe-") || request.starts_with("resumable-");
        if (!may_be_repeated && times > 1)
            this->violate("request " + request + ", which may not be repeated, ran " + std::to_string(times) + " times");
        if (this->refused.contains(request))
            this->violate("request " + request + " was answered as not run, and has run");
    }
}

/// After the last fault: everything that was begun ends, each node serves, and ends when it is told to.
void Soak::finish()
{
    this->is_quiet = true;
    if (!this->run_until([&] { return this->running <= CALLERS + STREAM_CALLERS + UPLOAD_CALLERS; }, RECOVERY_LIMIT + this->options.stop_grace * 2))
        this->violate("the faults did not end");
    this->is_over = true;
    if (!this->run_until([&] { return this->running == 0; }, ANSWER_LIMIT + TAKE_UP_TIME + this->options.stop_grace))
        this->violate(std::to_string(this->running) + " callers or faults did not end");
    for (auto& node : this->nodes) {
        node.process->served_at.reset();
        this->spawn(this->probe(node));
    }
    this->run_until([&] { return this->running == 0; }, RECOVERY_LIMIT + ANSWER_LIMIT);
    for (auto& node : this->nodes) {
        if (!node.process->served_at)
            this->violate(node.name + " does not serve after the last fault");
    }
    for (auto& node : this->nodes)
        node.process->send(SIGTERM);
    auto const have_ended = [&] { return std::none_of(this->processes.begin(), this->processes.end(), [](auto const& process) { return process->is_running(); }); };
    if (!this->run_until(have_ended, this->options.stop_grace + seconds(10)))
        this->violate("not all processes ended in time");
    for (auto const& process : this->processes)
        process->send(SIGKILL);
    this->judge_runs();
    this->find_unread_in_logs();
    this->judge_cut_requests();
    auto const went_on = this->counts["went_on"];
    auto const refused = this->counts["stayed_refused"];
    if (went_on + refused >= 10 && went_on < MOST * (went_on + refused))
        this->violate("of the streams taken up whose version was there, " + std::to_string(went_on) + " went on and " + std::to_string(refused) + " did not");
}

int Soak::run()
{
    this->ends_at = monotonic_now() + seconds(this->options.seconds) + END_LIMIT;
    asio::signal_set signals(this->loop, SIGINT, SIGTERM);
    signals.async_wait([this](asio::error_code, int) { this->ends_at = monotonic_now(); });
    for (int i = 1; i <= 3; ++i)
        this->add_plain("plain-" + std::to_string(i));
    this->add_version();
    this->add_version();
    this->configure();
    this->create_nodes();
    asio::co_spawn(this->loop, this->forward(), asio::detached);
    for (int i = 0; i < CALLERS; ++i)
        this->spawn(this->send_plain(i));
    for (int i = 0; i < STREAM_CALLERS; ++i)
        this->spawn(this->send_streams());
    for (int i = 0; i < UPLOAD_CALLERS; ++i)
        this->spawn(this->send_uploads());
    this->spawn(this->inject_in_series());
    if (this->options.engines == SoakOptions::Engines::Uneven)
        this->spawn(this->vary_engines());
    for (int i = 0; i < 2 + this->options.nodes / 4; ++i)
        this->spawn(this->inject_beside());
    this->run_until([] { return false; }, seconds(this->options.seconds));
    this->finish();
    std::cout << "seed=" << this->options.seed;
    for (auto const& [name, count] : this->counts)
        std::cout << " " << name << "=" << count;
    for (auto const& [name, count] : this->faults)
        std::cout << " fault_" << name << "=" << count;
    std::cout << " longest_recovery_ms=" << to_milliseconds(this->longest_recovery) << " peak_memory_mb=" << this->peak_memory / 1'000'000 << " violations=" << this->violations.size() << std::endl;
    for (std::size_t i = 0; i < std::min(this->violations.size(), SHOWN_VIOLATIONS); ++i)
        std::cout << "VIOLATION: " << this->violations[i] << std::endl;
    if (!this->violations.empty())
        std::cout << "The logs are in " << this->folder.string() << std::endl;
    else
        std::filesystem::remove_all(this->folder);
    return this->violations.empty() ? 0 : 1;
}

}

int main(int argument_count, char** arguments)
{
    SoakOptions options;
    option const known[] = { { "seed", required_argument, nullptr, 's' }, { "seconds", required_argument, nullptr, 't' }, { "nodes", required_argument, nullptr, 'n' }, { "data-centres", required_argument, nullptr, 'd' }, { "memory-megabytes", required_argument, nullptr, 'm' }, { "hangups-from-the-start", no_argument, nullptr, 'h' }, { "stop-grace-seconds", required_argument, nullptr, 'g' }, { "uneven-engines", no_argument, nullptr, 'u' }, { "binary", required_argument, nullptr, 'b' }, { nullptr, 0, nullptr, 0 } };
    for (int found = 0; (found = getopt_long(argument_count, arguments, "", known, nullptr)) != -1;) {
        if (found == 's')
            options.seed = static_cast<unsigned>(std::atoi(optarg));
        else if (found == 't')
            options.seconds = std::atoi(optarg);
        else if (found == 'n')
            options.nodes = std::atoi(optarg);
        else if (found == 'd')
            options.data_centres = std::atoi(optarg);
        else if (found == 'm')
            options.memory_bytes = static_cast<std::size_t>(std::atoi(optarg)) * 1'000'000;
        else if (found == 'h')
            options.hangups = SoakOptions::Hangups::FromTheStart;
        else if (found == 'g')
            options.stop_grace = seconds(std::atoi(optarg));
        else if (found == 'u')
            options.engines = SoakOptions::Engines::Uneven;
        else if (found == 'b')
            options.binary = optarg;
        else
            return 2;
    }
    if (options.binary.empty() || options.nodes < 1 || options.nodes > 12 || options.data_centres < 1 || options.data_centres > options.nodes || options.seconds < 1) {
        std::cerr << "Usage: NodeSoak --binary PROGRAM [--seed NUMBER] [--seconds NUMBER] [--nodes 1..12] [--data-centres NUMBER] [--memory-megabytes NUMBER] [--hangups-from-the-start] [--stop-grace-seconds NUMBER] [--uneven-engines]\n";
        return 2;
    }
    auto const result = std::make_unique<Soak>(options).release()->run();
    // What still waits on the loop ends with the process.
    std::_Exit(result);
}
