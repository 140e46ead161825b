// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Metrics.h>
#include <LibCore/Time.h>
#include <LibHttp/HttpListener.h>
#include <LibPlatform/TablePort.h>
#include <LibPlatform/VirtualMachineListPort.h>
#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace Spurtide {

/// Ways in which the stand-in platform misbehaves when told to.
struct PlatformFaults {
    bool outage = false;
    /// Added to every answer.
    Duration slowness {};
    /// The next so many writes take effect and their answers are lost.
    int lose_answers_after_write = 0;
};

/// A table with conditional writes, an object store and a machine list that lags, all in memory.
class PlatformStandIn {
public:
    struct Options {
        Address address;
        std::size_t threads = 32;
        Duration list_lag = milliseconds(2000);
    };

    static Result<std::unique_ptr<PlatformStandIn>, HttpListenError> create(Options options);
    ~PlatformStandIn();
    PlatformStandIn(PlatformStandIn const&) = delete;
    PlatformStandIn& operator=(PlatformStandIn const&) = delete;

    void stop();
    Address const& address() const { return this->listener->address(); }
    void set_faults(PlatformFaults faults);
    void set_machines(std::vector<ListedMachine> machines);

    struct Usage {
        std::int64_t reads = 0;
        std::int64_t writes = 0;
    };
    Usage usage();

private:
    enum class AnswerFate {
        Sent,
        Lost,
    };

    struct ListVersion {
        MonotonicTime since;
        std::vector<ListedMachine> machines;
    };

    explicit PlatformStandIn(Options options);
    void add_routes();
    bool begin(httplib::Response& response);
    AnswerFate fate_of_write();
    void read_row(httplib::Request const& request, httplib::Response& response);
    void write_row(httplib::Request const& request, httplib::Response& response);
    void read_object(httplib::Request const& request, httplib::Response& response);
    void write_object(httplib::Request const& request, httplib::Response& response);
    void read_machines(httplib::Response& response);
    void write_machines(httplib::Request const& request, httplib::Response& response);

    Options options;
    Metrics metrics;
    std::unique_ptr<HttpListener> listener;
    std::mutex mutex;
    std::condition_variable changed;
    bool stopping = false;
    PlatformFaults faults;
    Usage counts;
    std::map<std::string, TableRow> rows;
    std::map<std::string, std::string> objects;
    std::deque<ListVersion> lists;
};

}
