// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Result.h>
#include <LibCore/Time.h>
#include <LibWire/ServiceDirectory.h>
#include <LibWire/Spurtide.pb.h>
#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace Spurtide {

/// Why a message got no proper reply.
enum class WireErrorKind {
    /// No process is known that hosts the service.
    NoEndpoint,
    Timeout,
    /// The process is stopping.
    Stopped,
    /// The other side answered with an error code.
    Remote,
    /// The listening address cannot be used.
    CannotListen,
};

std::string_view to_string(WireErrorKind kind);

struct WireError {
    WireErrorKind kind;
    /// Set for Remote.
    wire::ErrorCode code = wire::ERROR_CODE_UNSPECIFIED;
};

using WireReply = Result<wire::Envelope, WireError>;

/// Bytes of one kind of message, payload only.
struct TrafficCount {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};

/// Hosts services by name in this process and reaches those of other processes. All handlers and
/// callbacks run on the kernel's one thread, so a service needs no locks of its own.
class Kernel {
public:
    struct Options {
        std::string virtual_machine;
        /// Such as tcp://127.0.0.1:0; port 0 takes a free one.
        std::string listen_endpoint;
        /// Where this VM's directory (its ConfigServer) listens; empty in the ConfigServer itself.
        std::string directory_endpoint;
        Duration announce_interval = milliseconds(300);
        /// The event loop of a process that runs all of its services on one. Without one the kernel runs
        /// a loop and a thread of its own.
        asio::io_context* loop = nullptr;
        /// Connections to other processes that are kept though nothing was sent on them lately; more are closed once they
        /// were idle for so long. Each costs some 50 KB and three descriptors at both ends together, and probes go to all VMs
        /// in turn.
        std::size_t idle_links_kept = 32;
        Duration idle_link_time = seconds(3);
    };

    /// How long a request waits.
    struct Patience {
        Duration timeout {};
        /// After this much silence of the other process it is asked whether it is there at all; where it does
        /// not say so in as much time again, the request fails. Zero never asks.
        Duration silence {};
    };

    /// Sends the reply of one request; may be called later, from any thread, and at most once.
    using Responder = std::function<void(wire::Envelope reply)>;
    using Handler = std::function<void(wire::Envelope const& request, Responder respond)>;
    using ReplyCallback = std::function<void(WireReply reply)>;

    static Result<std::unique_ptr<Kernel>, WireError> create(Options options);
    ~Kernel();
    Kernel(Kernel const&) = delete;
    Kernel& operator=(Kernel const&) = delete;

    /// Makes a service known by name. Call before start().
    void host(std::string service, Handler handler);
    void start();
    void stop();
    /// Announces a service no more; its handler still answers those who did not hear of it yet.
    void withdraw(std::string const& service);

    std::string const& endpoint() const;
    /// Names this start of this process; no other start has the same.
    std::string const& incarnation() const;
    std::string const& virtual_machine() const;
    ServiceDirectory& directory();
    std::vector<ServiceEndpoint> hosted_services() const;

    /// Runs a function on the kernel's thread.
    void post(std::function<void()> function);
    /// Runs a function on the kernel's thread once in each interval.
    void every(Duration interval, std::function<void()> function);

    void request(std::string const& endpoint, wire::Envelope envelope, Duration timeout, ReplyCallback callback)
    {
        this->request(endpoint, std::move(envelope), Patience { timeout, {} }, std::move(callback));
    }
    WireReply call(std::string const& endpoint, wire::Envelope envelope, Duration timeout)
    {
        return this->call(endpoint, std::move(envelope), Patience { timeout, {} });
    }

    /// Sends a request; the callback runs on the kernel's thread.
    void request(std::string const& endpoint, wire::Envelope envelope, Patience patience, ReplyCallback callback);
    /// Sends a request and waits. Not from the kernel's thread.
    WireReply call(std::string const& endpoint, wire::Envelope envelope, Patience patience);
    /// Sends a message that gets no reply.
    void notify(std::string const& endpoint, wire::Envelope envelope);

    /// Connections to other processes that are open now.
    std::size_t open_links() const;

    /// Traffic so far by message kind, sent and received. Safe from any thread.
    std::map<std::string, TrafficCount> sent_traffic() const;
    std::map<std::string, TrafficCount> received_traffic() const;

private:
    class Core;
    explicit Kernel(std::unique_ptr<Core> core);

    std::unique_ptr<Core> core;
};

/// An empty message to a service.
wire::Envelope message_to(std::string_view service);
/// An error reply with a code.
wire::Envelope error_reply(wire::ErrorCode code);

}
