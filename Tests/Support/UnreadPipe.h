// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Verify.h>
#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <fcntl.h>
#include <mutex>
#include <poll.h>
#include <string>
#include <thread>
#include <unistd.h>

namespace Spurtide::Tests {

/// A pipe of one page that nobody reads until the test does.
class UnreadPipe {
public:
    UnreadPipe()
    {
        std::array<int, 2> ends {};
        VERIFY(::pipe2(ends.data(), O_CLOEXEC) == 0);
        this->read_end = ends[0];
        this->write_end = ends[1];
        VERIFY(::fcntl(this->write_end, F_SETPIPE_SZ, 4096) >= 0);
        this->watchdog = std::thread([this] { this->release_blocked_writer(); });
    }
    ~UnreadPipe()
    {
        this->end_watch();
        ::close(this->read_end);
        ::close(this->write_end);
    }
    UnreadPipe(UnreadPipe const&) = delete;
    UnreadPipe& operator=(UnreadPipe const&) = delete;

    /// Whether a writer waited for the pipe until the watchdog read it. Ends the watch.
    bool has_blocked_writer()
    {
        this->end_watch();
        return this->is_released;
    }

    /// Reads what is in the pipe now.
    std::string read_available() const
    {
        std::string text;
        std::array<char, 4096> buffer {};
        pollfd request { this->read_end, POLLIN, 0 };
        while (::poll(&request, 1, 0) == 1) {
            auto const size = ::read(this->read_end, buffer.data(), buffer.size());
            if (size <= 0)
                break;
            text.append(buffer.data(), static_cast<std::size_t>(size));
        }
        return text;
    }

    int read_end = -1;
    int write_end = -1;

private:
    /// Ends a failing test: without this its writer would wait for ever.
    void release_blocked_writer()
    {
        std::unique_lock lock(this->mutex);
        if (this->ended.wait_for(lock, std::chrono::seconds(20), [this] { return this->is_ended; }))
            return;
        this->is_released = true;
        while (!this->ended.wait_for(lock, std::chrono::milliseconds(1), [this] { return this->is_ended; }))
            this->read_available();
    }

    void end_watch()
    {
        {
            std::scoped_lock const lock(this->mutex);
            this->is_ended = true;
        }
        this->ended.notify_all();
        if (this->watchdog.joinable())
            this->watchdog.join();
    }

    std::mutex mutex;
    std::condition_variable ended;
    bool is_ended = false;
    std::atomic<bool> is_released = false;
    std::thread watchdog;
};

}
