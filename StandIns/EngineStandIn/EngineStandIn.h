// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Metrics.h>
#include <LibHttp/HttpListener.h>
#include <StandIns/EngineStandIn/EngineModel.h>
#include <condition_variable>
#include <deque>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

namespace Spurtide {

/// Ways in which a stand-in engine misbehaves when told to.
struct EngineFaults {
    /// Takes connections and never answers.
    bool mute = false;
    /// New transfers stop half way.
    bool stall_transfers = false;
    bool leaving = false;
};

/// A thin process shell round the engine model: HTTP and server-sent events in real time.
class EngineStandIn {
public:
    struct Options {
        std::string name;
        Address address;
        std::size_t threads = 64;
        EngineModel::Options model;
        /// How old the load report is at the least.
        Duration report_lag = milliseconds(200);
        /// Round trip that is added to each call.
        Duration added_delay {};
        enum class FenceCheck {
            On,
            Off,
        } fence_check
            = FenceCheck::On;
    };

    static Result<std::unique_ptr<EngineStandIn>, HttpListenError> create(Options options);
    ~EngineStandIn();
    EngineStandIn(EngineStandIn const&) = delete;
    EngineStandIn& operator=(EngineStandIn const&) = delete;

    void stop();
    Address const& address() const { return this->listener->address(); }
    std::string const& name() const { return this->options.name; }

    void set_faults(EngineFaults faults);
    std::vector<EngineModel::Held> held();
    /// Ends the hold time of every export that is there.
    void let_exports_lapse();
    EngineModel::Totals totals();

private:
    struct Reader {
        std::int64_t number = 0;
        int attached = 0;
    };

    struct Snapshot {
        MonotonicTime taken;
        nlohmann::json report;
    };

    /// What one connection has read of a stream.
    struct ReadState {
        std::string request;
        std::int64_t reader = 0;
        std::int64_t next_offset = 0;
        std::string preamble;
    };

    explicit EngineStandIn(Options options);
    void add_routes();
    void tick();
    bool pause_for_faults();
    void handle_prefill(httplib::Request const& request, httplib::Response& response);
    void handle_decode(httplib::Request const& request, httplib::Response& response);
    void handle_attach(httplib::Request const& request, httplib::Response& response);
    void handle_cancel(httplib::Request const& request, httplib::Response& response);
    void handle_report(httplib::Response& response);
    void handle_export(httplib::Request const& request, httplib::Response& response);
    void handle_order(httplib::Request const& request, httplib::Response& response);
    void handle_cache_events(httplib::Request const& request, httplib::Response& response);
    void handle_faults(httplib::Request const& request, httplib::Response& response);
    bool write_prefill(std::string const& request, httplib::DataSink& sink);
    bool wait_for_import(std::string const& request, Address const& exporter);
    void serve_stream(httplib::Response& response, ReadState state);
    bool write_tokens(ReadState& state, httplib::DataSink& sink);
    nlohmann::json take_report(MonotonicTime now);

    Options options;
    Metrics metrics;
    std::unique_ptr<HttpListener> listener;
    std::mutex mutex;
    std::condition_variable changed;
    bool stopping = false;
    EngineModel model;
    EngineFaults faults;
    std::map<std::string, Reader> readers;
    std::deque<Snapshot> snapshots;
    std::string loaded_model;
    std::int64_t highest_epoch = 0;
    std::thread ticker;
};

}
