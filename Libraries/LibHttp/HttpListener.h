// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Metrics.h>
#include <LibCore/Result.h>
#include <LibHttp/Address.h>
#include <functional>
#include <httplib.h>
#include <memory>
#include <thread>

namespace Spurtide {

enum class HttpListenError {
    CannotBind,
};

/// An HTTP server on one address. The library answers each connection on a thread of its own from
/// a pool, so the pool's size bounds the open streams.
class HttpListener {
public:
    struct Options {
        Address address;
        std::size_t threads = 32;
        std::size_t maximum_body_bytes = 4UL * 1024 * 1024;
    };

    static Result<std::unique_ptr<HttpListener>, HttpListenError> create(Options const& options);
    ~HttpListener();
    HttpListener(HttpListener const&) = delete;
    HttpListener& operator=(HttpListener const&) = delete;

    /// Add routes here before start().
    httplib::Server& server() { return this->http; }

    /// Serves /healthz, /readyz and /metrics.
    void serve_operations(Metrics& metrics, std::function<bool()> is_ready);

    void start();
    /// Takes no new connections and waits for the running handlers.
    void stop();

    Address const& address() const { return this->bound; }

private:
    HttpListener() = default;

    httplib::Server http;
    Address bound;
    int descriptor = -1;
    std::thread thread;
};

/// The connection that a handler answers on, to learn that the other side went away while nothing is
/// written.
class PeerConnection {
public:
    explicit PeerConnection(httplib::Request const& request);

    /// True once the other side closed its end.
    bool is_gone() const;

private:
    int descriptor = -1;
};

}
