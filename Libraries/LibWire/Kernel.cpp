// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <LibCore/LogLine.h>
#include <LibCore/MonotonicTimer.h>
#include <LibWire/Kernel.h>
#include <LibWire/WatchedSocket.h>
#include <LibWire/WireMembers.h>
#include <algorithm>
#include <array>
#include <asio.hpp>
#include <atomic>
#include <future>
#include <mutex>
#include <random>
#include <set>
#include <thread>
#include <zmq.hpp>

namespace Spurtide {

namespace {

constexpr int HIGH_WATER_MARK = 20000;
constexpr int FIRST_RECONNECT_MILLISECONDS = 20;
constexpr int LONGEST_RECONNECT_MILLISECONDS = 1000;
/// A connection may fall silent for good without a reset. TCP's own probes find that out within 4 s at no cost to the
/// process; requests find it out sooner, by their time-outs.
constexpr int KEEPALIVE_IDLE_SECONDS = 2;
constexpr int KEEPALIVE_INTERVAL_SECONDS = 1;
constexpr int KEEPALIVE_PROBES = 2;
constexpr int UNACKNOWLEDGED_MILLISECONDS = 3000;
/// Every process answers under this name that it is there.
constexpr std::string_view KERNEL_SERVICE = "kernel";
constexpr Duration STOP_GRACE = seconds(1);
constexpr std::size_t MAXIMUM_MESSAGE_BYTES = 64UL * 1024 * 1024;

std::string message_kind(wire::Envelope const& envelope)
{
    auto const* descriptor = wire::Envelope::descriptor();
    auto const* field = descriptor->FindFieldByNumber(envelope.body_case());
    return field ? field->name() : "none";
}

std::string new_incarnation(std::string const& virtual_machine)
{
    std::random_device device;
    std::array<char, 64> buffer {};
    std::snprintf(buffer.data(), buffer.size(), ".%llx-%08x", static_cast<unsigned long long>(unix_milliseconds()), device());
    return virtual_machine + buffer.data();
}

void set_common_options(zmq::socket_t& socket)
{
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::sndhwm, HIGH_WATER_MARK);
    socket.set(zmq::sockopt::rcvhwm, HIGH_WATER_MARK);
    socket.set(zmq::sockopt::maxmsgsize, static_cast<std::int64_t>(MAXIMUM_MESSAGE_BYTES));
    socket.set(zmq::sockopt::reconnect_ivl, FIRST_RECONNECT_MILLISECONDS);
    socket.set(zmq::sockopt::reconnect_ivl_max, LONGEST_RECONNECT_MILLISECONDS);
    socket.set(zmq::sockopt::tcp_keepalive, 1);
    socket.set(zmq::sockopt::tcp_keepalive_idle, KEEPALIVE_IDLE_SECONDS);
    socket.set(zmq::sockopt::tcp_keepalive_intvl, KEEPALIVE_INTERVAL_SECONDS);
    socket.set(zmq::sockopt::tcp_keepalive_cnt, KEEPALIVE_PROBES);
    socket.set(zmq::sockopt::tcp_maxrt, UNACKNOWLEDGED_MILLISECONDS);
}

}

std::string_view to_string(WireErrorKind kind)
{
    constexpr std::array<std::string_view, 5> NAMES = { "no_endpoint", "timeout", "stopped", "remote", "cannot_listen" };
    return NAMES.at(static_cast<std::size_t>(kind));
}

wire::Envelope message_to(std::string_view service)
{
    wire::Envelope envelope;
    envelope.set_service(std::string(service));
    return envelope;
}

wire::Envelope error_reply(wire::ErrorCode code)
{
    wire::Envelope reply;
    reply.mutable_error()->set_code(code);
    return reply;
}

class Kernel::Core {
public:
    explicit Core(Options options)
        : options(std::move(options))
        , incarnation(new_incarnation(this->options.virtual_machine))
        , directory(this->options.virtual_machine)
        , own_loop(this->options.loop ? nullptr : std::make_unique<asio::io_context>())
        , loop(this->options.loop ? *this->options.loop : *this->own_loop)
        , work(asio::make_work_guard(this->loop))
    {
    }

    Result<Done, WireError> listen()
    {
        zmq::socket_t socket(this->context, zmq::socket_type::router);
        set_common_options(socket);
        try {
            socket.bind(this->options.listen_endpoint);
        } catch (zmq::error_t const&) {
            return Failure { WireError { WireErrorKind::CannotListen } };
        }
        this->listener = std::make_unique<WatchedSocket>(this->loop, std::move(socket), [this](auto frames) { this->receive_request(std::move(frames)); });
        this->listen_endpoint = this->listener->last_endpoint();
        return Done {};
    }

    void start()
    {
        this->listener->watch();
        if (!this->options.directory_endpoint.empty()) {
            this->announce();
            this->every(this->options.announce_interval, [this] { this->announce(); });
        }
        this->every(this->options.idle_link_time / 2, [this] { this->close_idle_links(); });
        if (this->own_loop)
            this->thread = std::thread([this] { this->loop.run(); });
    }

    void stop()
    {
        if (this->stopped.exchange(true))
            return;
        if (this->thread.joinable()) {
            asio::post(this->loop, [this] { this->loop.stop(); });
            this->thread.join();
        }
        // Callers that still wait must not wait for ever.
        auto left = std::move(this->pending);
        this->pending.clear();
        for (auto& [correlation, request] : left)
            request.callback(Failure { WireError { WireErrorKind::Stopped } });
        this->links.clear();
        this->listener.reset();
    }

    void every(Duration interval, std::function<void()> function)
    {
        auto timer = std::make_shared<MonotonicTimer>(this->loop);
        asio::post(this->loop, [this, interval, function = std::move(function), timer] { this->arm(timer, interval, function); });
    }

    void request(std::string const& endpoint, wire::Envelope envelope, Patience patience, ReplyCallback callback)
    {
        if (this->stopped) {
            callback(Failure { WireError { WireErrorKind::Stopped } });
            return;
        }
        asio::dispatch(this->loop, [this, endpoint, envelope = std::move(envelope), patience, callback = std::move(callback)]() mutable {
            this->send_request(endpoint, std::move(envelope), patience, std::move(callback));
        });
    }

    void notify(std::string const& endpoint, wire::Envelope envelope)
    {
        asio::dispatch(this->loop, [this, endpoint, envelope = std::move(envelope)] {
            if (endpoint == this->listen_endpoint)
                this->serve_locally(envelope, [](WireReply const&) {});
            else
                this->send_on_link(endpoint, envelope);
        });
    }

    void withdraw(std::string const& service)
    {
        asio::dispatch(this->loop, [this, service] {
            this->withdrawn.insert(service);
            if (!this->options.directory_endpoint.empty())
                this->announce();
        });
    }

    std::vector<ServiceEndpoint> announced_services() const
    {
        std::vector<ServiceEndpoint> services;
        for (auto const& [service, handler] : this->handlers) {
            if (!this->withdrawn.contains(service))
                services.push_back({ service, this->listen_endpoint, this->incarnation });
        }
        return services;
    }

    std::map<std::string, TrafficCount> traffic(std::map<std::string, TrafficCount> const& counts) const
    {
        std::scoped_lock const lock(this->traffic_mutex);
        return counts;
    }

    Options options;
    std::string incarnation;
    std::string listen_endpoint;
    ServiceDirectory directory;
    std::map<std::string, Handler, std::less<>> handlers;
    std::set<std::string> withdrawn;
    std::unique_ptr<asio::io_context> own_loop;
    asio::io_context& loop;
    std::map<std::string, TrafficCount> sent;
    std::map<std::string, TrafficCount> received;
    std::atomic<std::size_t> link_count = 0;

private:
    struct Pending {
        std::string endpoint;
        ReplyCallback callback;
        std::shared_ptr<MonotonicTimer> timer;
        std::shared_ptr<MonotonicTimer> silence_timer;
        MonotonicTime sent;
    };

    struct Link {
        std::unique_ptr<WatchedSocket> socket;
        MonotonicTime heard;
        MonotonicTime used;
    };

    // Left open, a thousand VMs would have a million connections between them, of which probes use a few at a time.
    void close_idle_links()
    {
        if (this->links.size() <= this->options.idle_links_kept)
            return;
        std::set<std::string_view> waited_for;
        for (auto const& [correlation, request] : this->pending)
            waited_for.insert(request.endpoint);
        std::vector<std::pair<MonotonicTime, std::string>> idle;
        auto const now = monotonic_now();
        for (auto const& [endpoint, link] : this->links) {
            if (now - link.used >= this->options.idle_link_time && !waited_for.contains(endpoint))
                idle.emplace_back(link.used, endpoint);
        }
        std::sort(idle.begin(), idle.end());
        idle.resize(std::min(idle.size(), this->links.size() - this->options.idle_links_kept));
        for (auto const& [used, endpoint] : idle)
            this->links.erase(endpoint);
        this->link_count = this->links.size();
    }

    void arm(std::shared_ptr<MonotonicTimer> const& timer, Duration interval, std::function<void()> const& function)
    {
        timer->expires_after(interval);
        timer->async_wait([this, timer, interval, function](asio::error_code error) {
            if (error)
                return;
            // An exception must not end the series.
            try {
                function();
            } catch (...) {
                this->arm(timer, interval, function);
                throw;
            }
            this->arm(timer, interval, function);
        });
    }

    void count(std::map<std::string, TrafficCount>& counts, wire::Envelope const& envelope, std::size_t bytes)
    {
        std::scoped_lock const lock(this->traffic_mutex);
        auto& entry = counts[message_kind(envelope)];
        ++entry.messages;
        entry.bytes += bytes;
    }

    WatchedSocket& link_to(std::string const& endpoint)
    {
        auto const found = this->links.find(endpoint);
        if (found != this->links.end())
            return *found->second.socket;
        zmq::socket_t socket(this->context, zmq::socket_type::dealer);
        set_common_options(socket);
        socket.connect(endpoint);
        auto link = std::make_unique<WatchedSocket>(this->loop, std::move(socket), [this, endpoint](auto frames) { this->receive_reply(endpoint, frames); });
        link->watch();
        auto& socket_of_link = *this->links.emplace(endpoint, Link { std::move(link), {}, {} }).first->second.socket;
        this->link_count = this->links.size();
        return socket_of_link;
    }

    bool send_on_link(std::string const& endpoint, wire::Envelope const& envelope)
    {
        auto const bytes = envelope.SerializeAsString();
        std::vector<zmq::message_t> frames;
        frames.emplace_back(bytes.data(), bytes.size());
        try {
            if (!this->link_to(endpoint).send(std::move(frames)))
                return false;
        } catch (zmq::error_t const&) {
            // An endpoint that a peer announced and that is no address.
            return false;
        }
        this->links.at(endpoint).used = monotonic_now();
        this->count(this->sent, envelope, bytes.size());
        return true;
    }

    void send_request(std::string const& endpoint, wire::Envelope envelope, Patience patience, ReplyCallback callback)
    {
        if (endpoint == this->listen_endpoint)
            return this->serve_locally(envelope, std::move(callback));
        auto const correlation = ++this->last_correlation;
        envelope.set_correlation(correlation);
        if (!this->send_on_link(endpoint, envelope)) {
            callback(Failure { WireError { WireErrorKind::NoEndpoint } });
            return;
        }
        Pending request { endpoint, std::move(callback), std::make_shared<MonotonicTimer>(this->loop, patience.timeout), nullptr, monotonic_now() };
        request.timer->async_wait([this, correlation](asio::error_code error) {
            if (!error)
                this->time_out(correlation);
        });
        if (patience.silence > Duration::zero()) {
            request.silence_timer = std::make_shared<MonotonicTimer>(this->loop);
            this->watch_silence(correlation, request.silence_timer, patience.silence);
        }
        this->pending.emplace(correlation, std::move(request));
    }

    // A service of this process is reached without the wire.
    void serve_locally(wire::Envelope const& envelope, ReplyCallback callback)
    {
        auto const handler = this->handlers.find(envelope.service());
        if (handler == this->handlers.end()) {
            callback(Failure { WireError { WireErrorKind::NoEndpoint } });
            return;
        }
        handler->second(envelope, [this, callback = std::move(callback)](wire::Envelope reply) {
            asio::dispatch(this->loop, [reply = std::move(reply), callback]() mutable {
                if (reply.has_error())
                    callback(Failure { WireError { WireErrorKind::Remote, reply.error().code() } });
                else
                    callback(std::move(reply));
            });
        });
    }

    void watch_silence(std::uint64_t correlation, std::shared_ptr<MonotonicTimer> const& timer, Duration silence)
    {
        timer->expires_after(silence);
        timer->async_wait([this, correlation, timer, silence](asio::error_code error) {
            auto const found = this->pending.find(correlation);
            if (error || found == this->pending.end())
                return;
            auto const link = this->links.find(found->second.endpoint);
            if (link != this->links.end() && monotonic_now() - link->second.heard < silence)
                return this->watch_silence(correlation, timer, silence);
            this->ask_for_life(correlation, timer, silence);
        });
    }

    void ask_for_life(std::uint64_t correlation, std::shared_ptr<MonotonicTimer> const& timer, Duration silence)
    {
        auto ping = message_to(KERNEL_SERVICE);
        ping.mutable_acknowledgement();
        auto const endpoint = this->pending.at(correlation).endpoint;
        this->send_request(endpoint, std::move(ping), { silence, {} }, [this, correlation, timer, silence](WireReply const& reply) {
            if (!this->pending.contains(correlation))
                return;
            if (reply.is_error())
                this->time_out(correlation);
            else
                this->watch_silence(correlation, timer, silence);
        });
    }

    void time_out(std::uint64_t correlation)
    {
        auto const found = this->pending.find(correlation);
        if (found == this->pending.end())
            return;
        auto request = this->take_pending(found);
        // A link that was silent all the time may hold the request still; delivered late it would look like
        // a fresh one. Dropping the link throws it away.
        auto const link = this->links.find(request.endpoint);
        if (link != this->links.end() && link->second.heard < request.sent)
            this->links.erase(link);
        this->link_count = this->links.size();
        request.callback(Failure { WireError { WireErrorKind::Timeout } });
    }

    Pending take_pending(std::map<std::uint64_t, Pending>::iterator position)
    {
        auto request = std::move(position->second);
        this->pending.erase(position);
        request.timer->cancel();
        if (request.silence_timer)
            request.silence_timer->cancel();
        return request;
    }

    void receive_reply(std::string const& endpoint, std::vector<zmq::message_t> const& frames)
    {
        auto const link = this->links.find(endpoint);
        if (link != this->links.end())
            link->second.heard = monotonic_now();
        wire::Envelope envelope;
        auto const& body = frames.back();
        if (!envelope.ParseFromArray(body.data(), static_cast<int>(body.size()))) {
            LogLine("wire_malformed").with("side", "reply").with("bytes", static_cast<std::int64_t>(body.size()));
            return;
        }
        this->count(this->received, envelope, body.size());
        auto const found = this->pending.find(envelope.correlation());
        if (found == this->pending.end())
            return;
        auto const request = this->take_pending(found);
        if (envelope.has_error())
            request.callback(Failure { WireError { WireErrorKind::Remote, envelope.error().code() } });
        else
            request.callback(std::move(envelope));
    }

    void receive_request(std::vector<zmq::message_t> frames)
    {
        wire::Envelope envelope;
        auto const& body = frames.back();
        if (frames.size() != 2 || !envelope.ParseFromArray(body.data(), static_cast<int>(body.size()))) {
            LogLine("wire_malformed").with("side", "request").with("bytes", static_cast<std::int64_t>(body.size()));
            return;
        }
        this->count(this->received, envelope, body.size());
        auto respond = this->responder_for(frames.front().to_string(), envelope.correlation());
        if (envelope.service() == KERNEL_SERVICE) {
            wire::Envelope pong;
            pong.mutable_acknowledgement();
            return respond(std::move(pong));
        }
        auto const handler = this->handlers.find(envelope.service());
        if (handler == this->handlers.end())
            respond(error_reply(wire::ERROR_CODE_UNKNOWN_SERVICE));
        else
            handler->second(envelope, std::move(respond));
    }

    Responder responder_for(std::string identity, std::uint64_t correlation)
    {
        if (correlation == 0)
            return [](wire::Envelope const&) {};
        return [this, identity = std::move(identity), correlation](wire::Envelope reply) {
            reply.set_correlation(correlation);
            asio::dispatch(this->loop, [this, identity, reply = std::move(reply)] { this->send_reply(identity, reply); });
        };
    }

    void send_reply(std::string const& identity, wire::Envelope const& reply)
    {
        auto const bytes = reply.SerializeAsString();
        std::vector<zmq::message_t> frames;
        frames.emplace_back(identity.data(), identity.size());
        frames.emplace_back(bytes.data(), bytes.size());
        this->count(this->sent, reply, bytes.size());
        this->listener->send(std::move(frames));
    }

    void announce()
    {
        wire::Envelope envelope;
        envelope.set_service("directory");
        auto* announce = envelope.mutable_announce();
        announce->set_vm(this->options.virtual_machine);
        announce->set_known_version(this->directory.version());
        announce->set_endpoint(this->listen_endpoint);
        for (auto const& service : this->announced_services()) {
            auto* entry = announce->add_services();
            entry->set_service(service.service);
            entry->set_endpoint(service.endpoint);
            entry->set_incarnation(service.incarnation);
        }
        this->send_request(this->options.directory_endpoint, std::move(envelope), { this->options.announce_interval, {} }, [this](WireReply const& reply) { this->take_view(reply); });
    }

    // While the directory is away, the last view stays in use.
    void take_view(WireReply const& reply)
    {
        if (reply.is_error() || !reply.value().has_directory_view())
            return;
        auto const& view = reply.value().directory_view();
        this->directory.note_generation(view.generation());
        this->directory.set_leaving_machines({ view.leaving_machines().begin(), view.leaving_machines().end() });
        if (view.version() == this->directory.version())
            return;
        std::vector<MemberRecord> members;
        for (auto const& member : view.members())
            members.push_back(read_record(member));
        this->directory.replace(view.version(), view.generation(), std::move(members), { view.leaving_machines().begin(), view.leaving_machines().end() });
    }

    zmq::context_t context { 1 };
    asio::executor_work_guard<asio::io_context::executor_type> work;
    std::unique_ptr<WatchedSocket> listener;
    std::map<std::string, Link> links;
    std::map<std::uint64_t, Pending> pending;
    std::uint64_t last_correlation = 0;
    std::thread thread;
    std::atomic<bool> stopped = false;
    mutable std::mutex traffic_mutex;
};

Kernel::Kernel(std::unique_ptr<Core> core)
    : core(std::move(core))
{
}

Kernel::~Kernel() { this->stop(); }

Result<std::unique_ptr<Kernel>, WireError> Kernel::create(Options options)
{
    auto core = std::make_unique<Core>(std::move(options));
    TRY(core->listen());
    return std::unique_ptr<Kernel>(new Kernel(std::move(core)));
}

void Kernel::host(std::string service, Handler handler) { this->core->handlers.emplace(std::move(service), std::move(handler)); }
void Kernel::start() { this->core->start(); }
void Kernel::stop() { this->core->stop(); }
std::string const& Kernel::endpoint() const { return this->core->listen_endpoint; }
std::string const& Kernel::incarnation() const { return this->core->incarnation; }
std::string const& Kernel::virtual_machine() const { return this->core->options.virtual_machine; }
ServiceDirectory& Kernel::directory() { return this->core->directory; }

std::vector<ServiceEndpoint> Kernel::hosted_services() const { return this->core->announced_services(); }
void Kernel::withdraw(std::string const& service) { this->core->withdraw(service); }
void Kernel::post(std::function<void()> function) { asio::post(this->core->loop, std::move(function)); }
void Kernel::every(Duration interval, std::function<void()> function) { this->core->every(interval, std::move(function)); }

void Kernel::request(std::string const& endpoint, wire::Envelope envelope, Patience patience, ReplyCallback callback)
{
    this->core->request(endpoint, std::move(envelope), patience, std::move(callback));
}

WireReply Kernel::call(std::string const& endpoint, wire::Envelope envelope, Patience patience)
{
    auto promise = std::make_shared<std::promise<WireReply>>();
    auto future = promise->get_future();
    this->request(endpoint, std::move(envelope), patience, [promise](WireReply reply) { promise->set_value(std::move(reply)); });
    // The loop's own timer answers first; this limit only guards against a kernel that stops meanwhile.
    if (future.wait_for(patience.timeout + STOP_GRACE) != std::future_status::ready)
        return Failure { WireError { WireErrorKind::Stopped } };
    return future.get();
}

void Kernel::notify(std::string const& endpoint, wire::Envelope envelope) { this->core->notify(endpoint, std::move(envelope)); }
std::size_t Kernel::open_links() const { return this->core->link_count; }
std::map<std::string, TrafficCount> Kernel::sent_traffic() const { return this->core->traffic(this->core->sent); }
std::map<std::string, TrafficCount> Kernel::received_traffic() const { return this->core->traffic(this->core->received); }

}
