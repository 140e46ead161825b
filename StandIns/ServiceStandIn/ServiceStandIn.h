// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Metrics.h>
#include <LibCore/Time.h>
#include <LibHttp/HttpListener.h>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace Spurtide {

/// Ways in which the stand-in service misbehaves when told to.
struct ServiceFaults {
    /// The next so many calls run and their answers are lost.
    int lose_answers = 0;
    /// The next so many calls are refused with 503 and a time to come back; they do not run.
    int refuse_calls = 0;
};

/// A plain service that confirms what it is sent and counts how often each request ran.
class ServiceStandIn {
public:
    struct Options {
        std::string name;
        Address address;
        std::size_t threads = 32;
        Duration added_delay {};
    };

    static Result<std::unique_ptr<ServiceStandIn>, HttpListenError> create(Options options);
    ~ServiceStandIn();
    ServiceStandIn(ServiceStandIn const&) = delete;
    ServiceStandIn& operator=(ServiceStandIn const&) = delete;

    void stop();
    Address const& address() const { return this->listener->address(); }
    std::string const& name() const { return this->options.name; }
    void set_faults(ServiceFaults faults);
    /// How often a request ran here.
    int runs(std::string const& request);
    /// All runs of all requests.
    int total_runs();

private:
    explicit ServiceStandIn(Options options);
    void answer(httplib::Request const& request, httplib::Response& response);

    Options options;
    Metrics metrics;
    std::unique_ptr<HttpListener> listener;
    std::mutex mutex;
    std::condition_variable changed;
    bool stopping = false;
    ServiceFaults faults;
    std::map<std::string, int> run_counts;
};

}
