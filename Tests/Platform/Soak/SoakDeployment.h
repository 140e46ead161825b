// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <Tests/Platform/RawUpstream.h>
#include <Tests/Platform/Soak/NodeProcess.h>
#include <Tests/Platform/StoreStandIn.h>
#include <Tests/Platform/UpstreamPath.h>
#include <Tests/Platform/UpstreamStandIn.h>
#include <algorithm>
#include <filesystem>
#include <random>

namespace Spurtide::Tests {

constexpr int EVENTS = 30;
constexpr Duration EVENT_PAUSE = milliseconds(20);
constexpr Duration LONGEST_REQUEST = seconds(7);
/// The time-outs of the routes lie between this and the longest request.
constexpr Duration SHORTEST_TIMEOUT = seconds(5);
/// The paths to the upstreams do not tell the nodes apart.
constexpr auto ANY_NODE = "any";

struct SoakOptions {
    unsigned seed = 1;
    int seconds = 20;
    int nodes = 3;
    int data_centres = 1;
    /// Most memory that a node may have resident; 0 for no limit.
    std::size_t memory_bytes = 0;
    enum class Hangups {
        OnceHandled,
        /// Also before the program has taken over what the signal does.
        FromTheStart,
    } hangups
        = Hangups::OnceHandled;
    /// Requests can end within this grace time, also of a process that stands still in between.
    Duration stop_grace = milliseconds(12'000);
    enum class Engines {
        Alike,
        /// Some slow down for a while, and slow ones are added.
        Uneven,
    } engines
        = Engines::Alike;
    std::string binary;
};

struct NodeSlot {
    std::string name;
    Address callers;
    std::string settings_path;
    std::string log_path;
    /// Where it listens, the callers' address among them.
    std::vector<Address> addresses;
    std::shared_ptr<NodeProcess> process;
    bool is_being_replaced = false;
};

/// Node processes before plain upstreams and engines of several software versions. Each event names the version of its engine.
class SoakDeployment {
public:
    explicit SoakDeployment(SoakOptions const& options);

    int number(int from, int to) { return std::uniform_int_distribution<int>(from, to)(this->random); }
    bool chance(double share) { return std::uniform_real_distribution<double>(0, 1)(this->random) < share; }
    Duration duration(int from, int to) { return milliseconds(this->number(from, to)); }
    asio::awaitable<void> pause(Duration duration);
    /// Carries what the nodes and the upstreams send to each other.
    asio::awaitable<void> forward();
    /// The paths to some upstreams of all services or one: all of them, or six in ten.
    std::vector<UpstreamPath*> pick_paths();

    void create_nodes();
    void start(NodeSlot& node);
    void add_plain(std::string const& identity);
    void add_version();
    /// Lists another decode engine of the newest version.
    UpstreamStandIn& add_decode_engine();
    /// Lists a faulty upstream that never stops responding. Returns its identity.
    std::string add_endless();
    void configure();
    /// A node that runs; none if all are being replaced.
    NodeSlot* pick();
    bool is_listed(std::string const& version) const { return std::find(this->versions.begin(), this->versions.end(), version) != this->versions.end(); }

    SoakOptions options;
    std::mt19937 random;
    /// Settings and logs.
    std::filesystem::path folder;
    asio::io_context loop { 1 };
    StoreStandIn store { this->loop };
    std::vector<std::unique_ptr<UpstreamStandIn>> plain;
    std::vector<std::unique_ptr<UpstreamStandIn>> engines;
    struct Path {
        std::string service;
        std::unique_ptr<UpstreamPath> path;
    };
    std::vector<Path> paths;
    std::vector<NodeSlot> nodes;
    std::vector<std::shared_ptr<NodeProcess>> processes;
    std::vector<std::string> versions;
    /// Requests that an upstream got, and streams that an engine broke off.
    std::set<std::string> arrived;
    std::set<std::string> broken_off;
    /// Runs that the upstreams do not list themselves, by request.
    std::map<std::string, int> unlisted_runs;
    double break_share = 0;

private:
    void add_path(UpstreamStandIn& upstream, std::string const& service);
    UpstreamStandIn& add_engine(std::string const& identity, std::string const& phase, std::string const& version, int data_centre);
    std::string data_centre_name(int number) const { return "dc-" + std::to_string(number % this->options.data_centres); }
    asio::awaitable<void> respond_without_end(asio::ip::tcp::socket& socket, std::string begin, std::string repeated);

    struct EndlessUpstream {
        std::unique_ptr<RawUpstream> server;
        std::unique_ptr<UpstreamStandIn> listed;
    };
    std::vector<EndlessUpstream> endless;
    int last_version = 0;
    int added_engines = 0;
    int configuration = 0;
};

}
