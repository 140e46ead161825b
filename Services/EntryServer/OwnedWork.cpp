// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <LibCore/LogLine.h>
#include <Services/EntryServer/OwnedWork.h>
#include <algorithm>

namespace Spurtide {

namespace {

constexpr Duration CHECK_INTERVAL = milliseconds(100);
constexpr Duration CANCEL_AGAIN_AFTER = milliseconds(500);

}

OwnedWork::OwnedWork()
    : thread([this] { this->run(); })
{
}

OwnedWork::~OwnedWork() { this->stop(); }

void OwnedWork::add(std::string const& work)
{
    std::scoped_lock const lock(this->mutex);
    this->works.insert(work);
}

void OwnedWork::remove(std::string const& work)
{
    std::scoped_lock const lock(this->mutex);
    this->works.erase(work);
}

bool OwnedWork::owns(std::string_view work) const
{
    std::scoped_lock const lock(this->mutex);
    return this->works.find(work) != this->works.end();
}

std::size_t OwnedWork::size() const
{
    std::scoped_lock const lock(this->mutex);
    return this->works.size();
}

void OwnedWork::abandon(Abandoned abandoned, Duration grace)
{
    {
        std::scoped_lock const lock(this->mutex);
        this->waiting.push_back({ monotonic_now() + grace, std::move(abandoned) });
    }
    this->wake.notify_all();
}

void OwnedWork::stop()
{
    {
        std::scoped_lock const lock(this->mutex);
        this->stopping = true;
    }
    this->wake.notify_all();
    if (this->thread.joinable())
        this->thread.join();
}

void OwnedWork::run()
{
    std::unique_lock lock(this->mutex);
    while (!this->stopping || !this->waiting.empty()) {
        auto const now = monotonic_now();
        auto const is_due = [&](Waiting const& entry) { return this->stopping || entry.due <= now; };
        auto const found = std::find_if(this->waiting.begin(), this->waiting.end(), is_due);
        if (found == this->waiting.end()) {
            this->wake.wait_for(lock, CHECK_INTERVAL);
            continue;
        }
        auto const abandoned = std::move(found->abandoned);
        this->waiting.erase(found);
        lock.unlock();
        this->cancel(abandoned);
        lock.lock();
    }
}

void OwnedWork::cancel(Abandoned const& abandoned)
{
    auto const cancelled = abandoned.engine->cancel(abandoned.work, abandoned.reader);
    bool const was_taken_over = cancelled.is_error() && cancelled.error().kind == EngineErrorKind::Fenced;
    LogLine("abandoned_work").with("work", abandoned.work).with("result", cancelled.is_error() ? to_string(cancelled.error().kind) : "cancelled");
    if (cancelled.is_error() && !was_taken_over) {
        std::scoped_lock const lock(this->mutex);
        // An engine that cannot be reached now may still hold the work. While stopping it is left to the reaper.
        if (!this->stopping)
            this->waiting.push_back({ monotonic_now() + CANCEL_AGAIN_AFTER, abandoned });
        return;
    }
    this->remove(abandoned.work);
    if (!was_taken_over && abandoned.when_cancelled)
        abandoned.when_cancelled();
}

}
