// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibHttp/HttpClient.h>
#include <Services/ConfigServer/ConfigServer.h>
#include <Services/EntryServer/EntryServer.h>
#include <Services/PlacementServer/PlacementServer.h>
#include <StandIns/EngineStandIn/EngineStandIn.h>
#include <StandIns/PlatformStandIn/PlatformStandIn.h>
#include <StandIns/ServiceStandIn/ServiceStandIn.h>
#include <memory>
#include <string>
#include <vector>

namespace Spurtide::Tests {

/// One entry VM's servers.
struct EntryMachine {
    std::unique_ptr<ConfigServer> config;
    std::unique_ptr<PlacementServer> placement;
    std::unique_ptr<EntryServer> entry;
};

/// A whole deployment in this process: real servers and stand-ins on free ports of loopback.
class Deployment {
public:
    struct Options {
        int machines = 1;
        int prefill_engines = 1;
        int decode_engines = 1;
        int services = 1;
        EngineModel::Options engine {};
        Duration engine_delay {};
        EntryLimits limits {};
        OrphanReaper::Options reaper {};
        Duration report_interval = milliseconds(50);
        MembershipTable::Options membership {};
        Duration heartbeat_interval = milliseconds(200);
        std::string maximum_prompt_tokens = "40000";
    };

    Deployment()
        : Deployment(Options {})
    {
    }
    explicit Deployment(Options options);
    ~Deployment();

    /// Sends a request to an entry; streams are read to their end.
    struct Answer {
        int status = 0;
        std::string body;
        httplib::Headers headers;

        std::string header(std::string const& name) const;
        nlohmann::json json() const { return nlohmann::json::parse(this->body, nullptr, false); }
        /// The text of a streamed or whole answer.
        std::string text() const;
        /// The id of the last event that has one.
        std::string last_event() const;
        std::size_t tokens() const;
        bool is_done() const { return this->body.ends_with("data: [DONE]\n\n"); }
    };
    Answer post(std::string const& path, std::string const& body, httplib::Headers headers = {}, std::size_t machine = 0);
    /// Sends a stream request and goes away after that many events.
    Answer post_and_leave(std::string const& path, std::string const& body, std::size_t events, std::size_t machine = 0);

    /// Starts the PlacementServer of a VM anew and waits until it hosts its service.
    void restart_placement(std::size_t machine);

    /// Slots, prefills and exports that all engines hold.
    std::size_t held();
    bool nothing_held();
    httplib::Client client(std::size_t machine = 0);

    Options options;
    std::unique_ptr<PlatformStandIn> platform;
    std::vector<std::unique_ptr<EngineStandIn>> prefill;
    std::vector<std::unique_ptr<EngineStandIn>> decode;
    std::vector<std::unique_ptr<ServiceStandIn>> services;
    std::vector<EntryMachine> machines;

    static constexpr char const* KEY = "test-key";
    static constexpr char const* OTHER_KEY = "other-key";

private:
    void start_engines();
    void start_machine(int number);
    std::unique_ptr<PlacementServer> start_placement(int number, std::string const& directory);
    std::string configuration() const;
    void put_in_force();
};

/// Completion bodies for a prompt.
std::string stream_completion(std::string const& prompt, std::int64_t maximum_tokens);
std::string whole_completion(std::string const& prompt, std::int64_t maximum_tokens);

}
