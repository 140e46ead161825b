// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Metrics.h>
#include <LibCore/SettingsReader.h>
#include <LibHttp/HttpListener.h>
#include <LibService/ConfigurationFollower.h>
#include <LibService/ServerSettings.h>
#include <LibService/ServerStartError.h>
#include <LibWire/Kernel.h>
#include <Services/EntryServer/CompletionRequest.h>
#include <Services/EntryServer/EntryContext.h>
#include <Services/EntryServer/ModelCall.h>
#include <Services/EntryServer/RequestIdentifier.h>
#include <atomic>
#include <memory>

namespace Spurtide {

/// The process that callers speak to: HTTP with JSON and server-sent events.
class EntryServer {
public:
    struct Options {
        ServerSettings server;
        /// Where this VM's ConfigServer listens.
        std::string directory_endpoint;
        EntryLimits limits {};
        std::size_t maximum_body_bytes = 4UL * 1024 * 1024;
        /// Longest time that a planned stop waits for the requests in flight.
        Duration drain_limit = seconds(60);
    };

    static Result<Options, SettingsError> read_options(nlohmann::json const& settings, std::string_view source);
    static Result<std::unique_ptr<EntryServer>, ServerStartError> create(Options options);
    ~EntryServer();
    EntryServer(EntryServer const&) = delete;
    EntryServer& operator=(EntryServer const&) = delete;

    /// Takes nothing new, lets the requests in flight end, then stops.
    void stop();
    std::string const& wire_endpoint() const { return this->kernel->endpoint(); }
    Address const& http_address() const { return this->listener->address(); }

private:
    /// One caller's request, with the account that its key names.
    struct Call {
        std::string request;
        std::string account;
        std::int64_t maximum_priority = 0;
        std::shared_ptr<Configuration const> configuration;
        std::shared_ptr<PeerConnection const> connection;
        MonotonicTime received;
        MonotonicTime deadline;
    };

    using Handler = std::function<void(Call const& call, httplib::Request const& request, httplib::Response& response)>;

    explicit EntryServer(Options options);
    void host_services();
    void add_routes();
    httplib::Server::Handler guard(Handler handler);
    Result<Call, Problem> open_call(httplib::Request const& request);
    void answer_problem(httplib::Response& response, Problem const& problem, std::string const& request);
    void handle_completion(Call const& call, httplib::Request const& request, httplib::Response& response, AnswerFormat format);
    void handle_resume(Call const& call, httplib::Request const& request, httplib::Response& response, AnswerFormat format);
    void handle_service(Call const& call, httplib::Request const& request, httplib::Response& response);
    void handle_models(Call const& call, httplib::Response& response);
    void answer_whole(Call const& call, CompletionRequest const& completion, ModelCall& model_call, httplib::Response& response);
    void answer_stream(Call const& call, CompletionRequest const& completion, std::shared_ptr<ModelCall> model_call, httplib::Response& response);
    void handle_ownership(wire::OwnershipQuestion const& question, Kernel::Responder const& respond);
    Result<ModelOrder, Problem> make_order(Call const& call, CompletionRequest const& completion, httplib::Request const& request) const;
    void count_outcome(std::string_view outcome, std::string_view reason);

    Options options;
    Metrics metrics;
    std::unique_ptr<Kernel> kernel;
    std::unique_ptr<HttpListener> listener;
    std::unique_ptr<ConfigurationFollower> follower;
    std::unique_ptr<PlacementClient> placement;
    OwnedWork owned;
    std::unique_ptr<EntryContext> context;
    std::atomic<bool> draining = false;
    std::atomic<int> active = 0;
};

}
