// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibHttp/Address.h>
#include <Utilities/spurtide-load/LoadReport.h>
#include <Utilities/spurtide-load/PromptFile.h>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace Spurtide {

/// An open-loop run against real entries: requests come at their times whether or not the earlier
/// ones were answered.
class LoadRunner {
public:
    struct Options {
        std::vector<Address> targets;
        std::string key;
        std::vector<PromptItem> items;
        std::int64_t requests = 20;
        /// Mean arrivals a second, with exponential gaps.
        double rate = 5;
        std::uint64_t seed = 1;
        std::size_t concurrency = 64;
        /// Shares of the streams that are cancelled, or broken off and read on elsewhere.
        double cancel_share = 0;
        double resume_share = 0;
        /// Engines whose held work is counted at the end.
        std::vector<Address> engines;
        std::function<void(RequestResult const&)> on_result;
    };

    explicit LoadRunner(Options options)
        : options(std::move(options))
    {
    }

    /// Runs to the end. Gives the seconds that it took.
    double run(LoadReport& report);

    /// Slots, queued prefills and exports held at the engines, once they are none or the time is over.
    std::int64_t held_at_end() const;

private:
    enum class Plan {
        Read,
        Cancel,
        Resume,
    };

    struct Job {
        std::size_t item = 0;
        std::size_t target = 0;
        Plan plan = Plan::Read;
        double at_seconds = 0;
        std::uint64_t number = 0;
    };

    std::vector<Job> plan_jobs() const;
    RequestResult run_job(Job const& job) const;
    RequestResult run_stream(Job const& job, PromptItem const& item) const;
    RequestResult run_service(Job const& job, PromptItem const& item) const;

    Options options;
};

}
