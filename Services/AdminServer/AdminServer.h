// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Metrics.h>
#include <LibCore/SettingsReader.h>
#include <LibDecision/CellScheduler.h>
#include <LibDecision/TokenBucket.h>
#include <LibHttp/HttpListener.h>
#include <LibService/ServerSettings.h>
#include <LibService/ServerStartError.h>
#include <LibWire/Kernel.h>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace Spurtide {

/// What an operator's key allows.
enum class AdminRole {
    Reader,
    Operator,
};

/// The administration API, version 1: HTTP with JSON, authenticated and audited.
class AdminServer {
public:
    struct Key {
        std::string name;
        AdminRole role = AdminRole::Reader;
        std::string key_hash;
    };

    struct Options {
        ServerSettings server;
        std::string directory_endpoint;
        std::vector<Key> keys;
        /// Calls a second that all keys together may make.
        double calls_per_second = 20;
    };

    static Result<Options, SettingsError> read_options(nlohmann::json const& settings, std::string_view source);
    static Result<std::unique_ptr<AdminServer>, ServerStartError> create(Options options);
    ~AdminServer();
    AdminServer(AdminServer const&) = delete;
    AdminServer& operator=(AdminServer const&) = delete;

    void stop();
    std::string const& wire_endpoint() const { return this->kernel->endpoint(); }
    Address const& http_address() const { return this->listener->address(); }

private:
    using Handler = std::function<void(Key const& key, httplib::Request const& request, httplib::Response& response)>;

    explicit AdminServer(Options options);
    void add_routes();
    httplib::Server::Handler guard(AdminRole needed, Handler handler);
    Key const* find_key(httplib::Request const& request) const;
    bool try_take_call();
    std::optional<wire::Envelope> ask_config(wire::Envelope envelope, httplib::Response& response);
    void handle_get_configuration(httplib::Response& response);
    void handle_apply(Key const& key, httplib::Request const& request, httplib::Response& response);
    void handle_history(httplib::Response& response);
    void handle_status(httplib::Response& response);
    void handle_drain(httplib::Request const& request, httplib::Response& response, EngineReport::Life life);
    nlohmann::json cell_statuses();

    Options options;
    Metrics metrics;
    std::mutex bucket_mutex;
    TokenBucket bucket;
    std::unique_ptr<Kernel> kernel;
    std::unique_ptr<HttpListener> listener;
};

}
