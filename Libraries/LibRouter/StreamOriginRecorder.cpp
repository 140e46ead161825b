// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibAsync/Spawn.h>
#include <LibCore/Clock.h>
#include <LibCore/LogLine.h>
#include <LibCore/MonotonicTimer.h>
#include <LibRouter/StreamOriginRecorder.h>
#include <algorithm>

namespace Spurtide {

namespace {

constexpr int MAXIMUM_DOUBLINGS = 5;

}

StreamOriginRecorder::StreamOriginRecorder(Options options, asio::io_context& loop, StreamOriginPort& port, Metrics& metrics, std::string incarnation, Hooks hooks)
    : options(options)
    , loop(loop)
    , port(port)
    , metrics(metrics)
    , hooks(std::move(hooks))
    , journal(options.journal, std::move(incarnation) + "/")
{
}

void StreamOriginRecorder::start()
{
    spawn_lasting(this->loop.get_executor(), "record_stream_origins", [this] { return this->run(); });
    spawn_lasting(this->loop.get_executor(), "clean_up_stream_origins", [this] { return this->run_cleanup(); });
}

void StreamOriginRecorder::add(std::string_view request, StreamOrigin const& origin)
{
    if (this->journal.add(request, origin, monotonic_now()) != StreamOriginJournal::AddResult::NotAdded)
        return;
    this->metrics.increment("spurtide_stream_origins_dropped_total", "Origins of streams that were not recorded for want of room", {});
    if (this->dropped++ == 0)
        LogLine("stream_origin_dropped").with("request", request).with("known", static_cast<std::int64_t>(this->journal.size()));
}

Duration StreamOriginRecorder::pause() const
{
    auto const data_centres = static_cast<std::int64_t>(this->hooks.data_centre_count());
    auto const usual = std::max(this->options.write_interval, this->options.write_interval * data_centres / this->options.data_centres_at_full_rate);
    if (this->failures == 0)
        return usual;
    return std::min(std::max(usual, this->options.maximum_retry_interval), usual * (1 << std::min(this->failures, MAXIMUM_DOUBLINGS)));
}

asio::awaitable<void> StreamOriginRecorder::run()
{
    MonotonicTimer timer(this->loop);
    while (true) {
        timer.expires_after(this->pause());
        asio::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        auto const known_era = this->hooks.era();
        if (this->era && *this->era != known_era)
            this->journal.rewrite_all();
        this->era = known_era;
        co_await this->write_pending();
    }
}

asio::awaitable<void> StreamOriginRecorder::run_cleanup()
{
    MonotonicTimer timer(this->loop);
    while (true) {
        timer.expires_after(this->options.cleanup_interval);
        asio::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        if (this->journal.size() > 0 && this->failures == 0)
            co_await this->find_abandoned_rows();
    }
}

asio::awaitable<void> StreamOriginRecorder::write_pending()
{
    // A record that grows while it is written waits for the next turn.
    for (auto due = this->journal.unstored_records(); due > 0; --due) {
        auto const write = this->journal.next_write(monotonic_now());
        if (!write)
            co_return;
        auto const written = co_await this->port.write_stream_origins(write->key, write->record, write->removed_keys);
        if (!written.is_error()) {
            this->journal.note_written(*write);
            this->note_result({});
            continue;
        }
        if (written.error() == PlatformError::InDoubt)
            this->journal.note_write_in_doubt(*write, monotonic_now());
        this->note_result(written.error());
        co_return;
    }
}

void StreamOriginRecorder::note_result(std::optional<PlatformError> error)
{
    this->metrics.increment("spurtide_stream_origin_writes_total", "Writes of stream origins to the registry, by how they ended", { { "result", error ? std::string(to_string(*error)) : "written" } });
    if (!error) {
        if (this->failures == 0)
            this->dropped = 0;
        if (this->failures > 0)
            LogLine("stream_origins_recorded_again").with("failures", std::exchange(this->failures, 0)).with("dropped", std::exchange(this->dropped, 0));
        return;
    }
    // Log the first failure and every tenth, so that a long outage does not flood the log.
    if (++this->failures == 1 || this->failures % 10 == 0)
        LogLine("stream_origins_not_recorded").with("error", to_string(*error)).with("failures", this->failures).with("waiting", static_cast<std::int64_t>(this->journal.size())).with("dropped", this->dropped);
}

asio::awaitable<void> StreamOriginRecorder::find_abandoned_rows()
{
    auto const stored = co_await this->port.read_stream_origins();
    if (stored.is_error()) {
        LogLine("stream_origins_not_read").with("error", to_string(stored.error()));
        co_return;
    }
    std::vector<StreamOriginJournal::StoredRow> rows;
    for (auto const& row : stored.value())
        rows.push_back({ row.key, row.version });
    this->journal.note_stored(rows, monotonic_now());
}

}
