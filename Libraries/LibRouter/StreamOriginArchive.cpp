// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibAsync/Spawn.h>
#include <LibCore/Clock.h>
#include <LibCore/LogLine.h>
#include <LibCore/MonotonicTimer.h>
#include <LibRouter/StreamOriginArchive.h>
#include <algorithm>
#include <utility>

namespace Spurtide {

StreamOriginArchive::StreamOriginArchive(Options options, asio::io_context& loop, StreamOriginPort& port, Metrics& metrics)
    : options(options)
    , loop(loop)
    , port(port)
    , metrics(metrics)
{
}

std::optional<StreamOrigin> StreamOriginArchive::find_known(std::string_view request) const
{
    auto const found = this->streams.find(stream_key(request));
    if (found == this->streams.end() || found->second == CONFLICTING)
        return {};
    return this->origins.at(found->second);
}

bool StreamOriginArchive::is_conflicting(std::string_view request) const
{
    auto const found = this->streams.find(stream_key(request));
    return found != this->streams.end() && found->second == CONFLICTING;
}

void StreamOriginArchive::forget_old(MonotonicTime now)
{
    if (this->streams.empty() || now - this->read_at < this->options.retention)
        return;
    this->streams = {};
    this->origins.clear();
}

StreamOriginArchive::OriginIndex StreamOriginArchive::index_of(StreamOriginRecord::Group const& group)
{
    auto const is_origin = [&](auto const& origin) { return origin.service == group.service && origin.software_version == group.software_version; };
    auto const found = std::find_if(this->origins.begin(), this->origins.end(), is_origin);
    if (found != this->origins.end())
        return static_cast<OriginIndex>(found - this->origins.begin());
    StreamOrigin origin;
    origin.service = group.service;
    origin.software_version = group.software_version;
    this->origins.push_back(std::move(origin));
    return static_cast<OriginIndex>(this->origins.size() - 1);
}

asio::awaitable<std::optional<StreamOrigin>> StreamOriginArchive::find(std::string request)
{
    if (auto known = this->find_known(request))
        co_return known;
    auto const until = monotonic_now() + this->options.timeout;
    if (!this->next_read)
        this->next_read = std::make_shared<Read>();
    auto const read = this->next_read;
    if (!std::exchange(this->is_reading, true))
        spawn_lasting(this->loop.get_executor(), "read_stream_origins", [this] { return this->run_reads(); });
    Signal signal(this->loop.get_executor());
    auto const place = read->waiting.insert(read->waiting.end(), &signal);
    auto end = WaitEnd::Notified;
    while (!read->is_done && end != WaitEnd::TimedOut)
        end = co_await signal.wait_until(until);
    read->waiting.erase(place);
    co_return this->find_known(request);
}

asio::awaitable<void> StreamOriginArchive::run_reads()
{
    MonotonicTimer timer(this->loop);
    while (this->next_read) {
        auto const current = std::exchange(this->next_read, nullptr);
        auto const began = monotonic_now();
        co_await this->read();
        current->is_done = true;
        for (auto* signal : current->waiting)
            signal->notify();
        auto const took = std::chrono::duration_cast<Duration>(monotonic_now() - began);
        timer.expires_after(std::clamp(Duration(took * this->options.pause_per_read_time), this->options.minimum_pause, this->options.maximum_pause));
        asio::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    this->is_reading = false;
}

asio::awaitable<void> StreamOriginArchive::read()
{
    auto const stored = co_await this->port.read_stream_origins();
    this->metrics.increment("spurtide_stream_origin_reads_total", "Reads of stream origins from the registry, by how they ended", { { "result", stored.is_error() ? std::string(to_string(stored.error())) : "read" } });
    if (stored.is_error()) {
        LogLine("stream_origins_not_read").with("error", to_string(stored.error()));
        co_return;
    }
    this->streams.clear();
    this->origins.clear();
    this->read_at = monotonic_now();
    for (auto const& row : stored.value()) {
        for (auto const& group : row.record.groups) {
            auto const index = this->index_of(group);
            for (auto const stream : group.streams) {
                auto const [known, is_new] = this->streams.try_emplace(stream, index);
                if (!is_new && known->second != index)
                    known->second = CONFLICTING;
            }
        }
    }
    LogLine("stream_origins_read").with("rows", static_cast<std::int64_t>(stored.value().size())).with("streams", static_cast<std::int64_t>(this->streams.size()));
}

}
