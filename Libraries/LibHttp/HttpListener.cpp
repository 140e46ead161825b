// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibHttp/HttpListener.h>
#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <optional>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>

namespace Spurtide {

namespace {

// The library listens with a backlog of 5, which a burst of callers overflows.
constexpr int LISTEN_BACKLOG = 1024;
constexpr std::size_t KEEP_ALIVE_REQUESTS = 1000;
constexpr time_t KEEP_ALIVE_SECONDS = 5;
constexpr int HIGHEST_DESCRIPTOR = 65536;

struct Endpoint {
    std::string host;
    int port = 0;
};

std::optional<Endpoint> peer_of(int descriptor)
{
    sockaddr_in address {};
    socklen_t length = sizeof(address);
    if (getpeername(descriptor, reinterpret_cast<sockaddr*>(&address), &length) != 0 || address.sin_family != AF_INET)
        return {};
    std::array<char, INET_ADDRSTRLEN> text {};
    if (!inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size()))
        return {};
    return Endpoint { text.data(), ntohs(address.sin_port) };
}

std::optional<int> local_port_of(int descriptor)
{
    sockaddr_in address {};
    socklen_t length = sizeof(address);
    if (getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &length) != 0 || address.sin_family != AF_INET)
        return {};
    return ntohs(address.sin_port);
}

int highest_descriptor()
{
    rlimit limit {};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
        return HIGHEST_DESCRIPTOR;
    return static_cast<int>(std::min<rlim_t>(limit.rlim_cur, HIGHEST_DESCRIPTOR));
}

}

Result<std::unique_ptr<HttpListener>, HttpListenError> HttpListener::create(Options const& options)
{
    std::unique_ptr<HttpListener> listener(new HttpListener);
    auto& server = listener->http;
    auto const threads = options.threads;
    server.new_task_queue = [threads] { return new httplib::ThreadPool(threads); };
    server.set_tcp_nodelay(true);
    server.set_keep_alive_max_count(KEEP_ALIVE_REQUESTS);
    server.set_keep_alive_timeout(KEEP_ALIVE_SECONDS);
    server.set_payload_max_length(options.maximum_body_bytes);
    server.set_socket_options([raw = listener.get()](socket_t descriptor) {
        int const on = 1;
        setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        raw->descriptor = descriptor;
    });
    listener->bound = options.address;
    if (options.address.port == 0) {
        listener->bound.port = server.bind_to_any_port(options.address.host);
        if (listener->bound.port <= 0)
            return Failure { HttpListenError::CannotBind };
    } else if (!server.bind_to_port(options.address.host, options.address.port)) {
        return Failure { HttpListenError::CannotBind };
    }
    ::listen(listener->descriptor, LISTEN_BACKLOG);
    return listener;
}

HttpListener::~HttpListener() { this->stop(); }

void HttpListener::serve_operations(Metrics& metrics, std::function<bool()> is_ready)
{
    this->http.Get("/healthz", [](httplib::Request const&, httplib::Response& response) {
        response.set_content("ok\n", "text/plain");
    });
    this->http.Get("/readyz", [is_ready = std::move(is_ready)](httplib::Request const&, httplib::Response& response) {
        bool const ready = is_ready();
        response.status = ready ? 200 : 503;
        response.set_content(ready ? "ready\n" : "not ready\n", "text/plain");
    });
    this->http.Get("/metrics", [&metrics](httplib::Request const&, httplib::Response& response) {
        response.set_content(metrics.render(), "text/plain; version=0.0.4");
    });
}

void HttpListener::start()
{
    this->thread = std::thread([this] { this->http.listen_after_bind(); });
    // The library ignores a stop that comes before its loop runs.
    while (!this->http.is_running())
        std::this_thread::yield();
}

void HttpListener::stop()
{
    this->http.stop();
    if (this->thread.joinable())
        this->thread.join();
}

// The library does not hand its handlers the socket, so it is looked up once by its two ends.
PeerConnection::PeerConnection(httplib::Request const& request)
{
    int misses = 0;
    constexpr int MISSES_IN_A_ROW = 4096;
    int const highest = highest_descriptor();
    for (int candidate = 3; candidate < highest && misses < MISSES_IN_A_ROW; ++candidate) {
        auto const peer = peer_of(candidate);
        if (!peer) {
            ++misses;
            continue;
        }
        misses = 0;
        if (peer->port == request.remote_port && peer->host == request.remote_addr && local_port_of(candidate) == request.local_port) {
            this->descriptor = candidate;
            return;
        }
    }
}

bool PeerConnection::is_gone() const
{
    if (this->descriptor < 0)
        return false;
    pollfd entry { this->descriptor, POLLIN | POLLRDHUP, 0 };
    if (::poll(&entry, 1, 0) <= 0)
        return false;
    if ((entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0)
        return true;
    char byte = 0;
    return ::recv(this->descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

}
