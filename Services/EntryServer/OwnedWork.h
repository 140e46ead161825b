// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <LibUpstream/EnginePort.h>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace Spurtide {

/// The work at engines that this start of this process answers for. Work whose caller went away is
/// kept for a grace time, so that the caller can come back for it, and is then cancelled.
class OwnedWork {
public:
    struct Abandoned {
        std::string work;
        std::shared_ptr<EnginePort> engine;
        /// Only as long as no newer reader has the stream.
        std::int64_t reader = 0;
        /// Runs after the work was cancelled; not when another reader took it over.
        std::function<void()> when_cancelled;
    };

    OwnedWork();
    ~OwnedWork();
    OwnedWork(OwnedWork const&) = delete;
    OwnedWork& operator=(OwnedWork const&) = delete;

    void add(std::string const& work);
    void remove(std::string const& work);
    bool owns(std::string_view work) const;
    std::size_t size() const;

    /// Cancels after the grace time, on a thread of its own.
    void abandon(Abandoned abandoned, Duration grace);

    /// Cancels what is abandoned at once and ends the thread.
    void stop();

private:
    struct Waiting {
        MonotonicTime due;
        Abandoned abandoned;
    };

    void run();
    void cancel(Abandoned const& abandoned);

    mutable std::mutex mutex;
    std::condition_variable wake;
    bool stopping = false;
    std::set<std::string, std::less<>> works;
    std::vector<Waiting> waiting;
    std::thread thread;
};

}
