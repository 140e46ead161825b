// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibAsync/Spawn.h>
#include <LibCore/Clock.h>
#include <LibCore/LogLine.h>
#include <LibRouter/ReachabilityProber.h>

namespace Spurtide {

namespace {

/// Upstreams that are tried to find out whether this VM reaches any: some may have ended too.
constexpr std::size_t OTHERS_TRIED = 3;

}

ReachabilityProber::ReachabilityProber(Options options, asio::io_context& loop, std::shared_ptr<ReachabilityTracker> reachability, ConnectionPool& pool, UpstreamList const& upstreams, Metrics& metrics)
    : options(options)
    , loop(loop)
    , reachability(std::move(reachability))
    , pool(pool)
    , upstreams(upstreams)
    , metrics(metrics)
{
}

void ReachabilityProber::tick()
{
    auto const now = monotonic_now();
    std::erase_if(this->gone_processes, [this](auto const& process) { return !this->upstreams.find(process.first); });
    this->abandon_unresponsive(now);
    for (auto const& identity : this->reachability->due_probes(now))
        this->start_probe(identity, now);
    if (!this->reachability->needs_partition_probes(now))
        return;
    std::vector<UpstreamLocation> places;
    this->upstreams.for_each([&](auto const& record) { places.push_back({ record.identity, record.data_centre }); });
    for (auto const& identity : this->reachability->due_partition_probes(places, now))
        this->start_probe(identity, now);
}

void ReachabilityProber::probe(std::string const& identity)
{
    auto const now = monotonic_now();
    if (this->reachability->may_probe(identity, now))
        this->start_probe(identity, now);
}

void ReachabilityProber::start_probe(std::string const& identity, MonotonicTime now)
{
    auto const* record = this->upstreams.find(identity);
    if (!record)
        return;
    this->reachability->note_probe(identity, now);
    auto const connect = [](ReachabilityProber& prober, UpstreamRecord upstream) -> asio::awaitable<void> {
        static_cast<void>(co_await prober.connect_to(std::move(upstream)));
    };
    spawn(this->loop.get_executor(), "probe_upstream", connect(*this, *record));
}

asio::awaitable<ReachabilityProber::Connection> ReachabilityProber::connect_to(UpstreamRecord upstream)
{
    auto const address = parse_address(upstream.address);
    if (!address)
        co_return Connection::Failed;
    auto connected = co_await HttpConnection::connect(*address, this->options.connect_timeout, this->pool.patience());
    if (connected.is_error()) {
        this->note_unreachable(upstream, connected.error());
        co_return Connection::Failed;
    }
    auto const now = monotonic_now();
    this->gone_processes.erase(upstream.identity);
    if (!this->reachability->is_reachable(upstream.identity, upstream.data_centre, now))
        LogLine("upstream_reached").with("upstream", upstream.identity).with("upstream_data_centre", upstream.data_centre);
    this->reachability->note_reached(upstream.identity, upstream.data_centre, now);
    this->pool.put_back_unused(*address, connected.value());
    co_return Connection::Established;
}

ReachabilityProber::ProcessState ReachabilityProber::known_process_state(UpstreamRecord const& upstream) const
{
    auto const found = this->gone_processes.find(upstream.identity);
    return found != this->gone_processes.end() && found->second == upstream.started ? ProcessState::Gone : ProcessState::Unknown;
}

std::vector<UpstreamRecord> ReachabilityProber::reachable_upstreams(std::string_view excluded, std::size_t most) const
{
    std::vector<UpstreamRecord> found;
    auto const now = monotonic_now();
    this->upstreams.for_each([&](UpstreamRecord const& record) {
        if (found.size() < most && record.identity != excluded && this->reachability->is_reachable(record.identity, record.data_centre, now))
            found.push_back(record);
    });
    return found;
}

asio::awaitable<ReachabilityProber::Connection> ReachabilityProber::connect_to_another(std::string_view excluded)
{
    for (auto const& other : this->reachable_upstreams(excluded, OTHERS_TRIED)) {
        auto const result = co_await this->connect_to(other);
        if (result == Connection::Established)
            co_return result;
    }
    co_return Connection::Failed;
}

asio::awaitable<ReachabilityProber::ProcessState> ReachabilityProber::probe_process(UpstreamRecord upstream)
{
    if (this->known_process_state(upstream) != ProcessState::Gone)
        static_cast<void>(co_await this->connect_to(upstream));
    if (this->known_process_state(upstream) != ProcessState::Gone)
        co_return ProcessState::Unknown;
    if (this->upstreams.size() == 1)
        co_return ProcessState::Gone;
    auto const another = co_await this->connect_to_another(upstream.identity);
    co_return another == Connection::Established ? ProcessState::Gone : ProcessState::Unknown;
}

void ReachabilityProber::note_unreachable(UpstreamRecord const& upstream, HttpError error)
{
    auto const now = monotonic_now();
    if (error == HttpError::NobodyListens)
        this->gone_processes.insert_or_assign(upstream.identity, upstream.started);
    bool const was_reachable = this->reachability->is_reachable(upstream.identity, upstream.data_centre, now);
    this->reachability->note_unreachable(upstream.identity, upstream.data_centre, now);
    if (was_reachable)
        LogLine("upstream_unreachable").with("upstream", upstream.identity).with("upstream_data_centre", upstream.data_centre).with("reason", to_string(error)).with("cut_off", this->reachability->is_cut_off(upstream.data_centre, now) ? "yes" : "no").with("unreachable", static_cast<std::int64_t>(this->reachability->unreachable_count())).with("upstreams", static_cast<std::int64_t>(this->upstreams.size()));
    // Requests in flight may go on: their connections show whether they do. Resting connections show nothing; if the host
    // responds, they may work.
    auto const address = parse_address(upstream.address);
    if (address && error != HttpError::NobodyListens)
        this->pool.drop(*address);
}

void ReachabilityProber::abandon_unresponsive(MonotonicTime now)
{
    if (this->reachability->unreachable_count() == 0)
        return;
    for (auto const& [identity, watched] : *this->watched_connections) {
        if (!this->reachability->unreachable_since(identity))
            continue;
        // A process that is stopping accepts no connections and completes what it runs.
        bool const may_be_stopping = this->gone_processes.contains(identity) && !this->reachability->is_unresponsive(identity, now);
        if (!may_be_stopping)
            this->abandon_if_silent(identity, watched, now);
    }
}

void ReachabilityProber::abandon_if_silent(std::string_view identity, WatchedRequest const& watched, MonotonicTime now)
{
    auto const connection = watched.connection.lock();
    // What has arrived and is not read yet was held up on this side.
    if (!connection || !connection->is_quiet() || !watched.may_abandon(connection->last_activity()))
        return;
    auto const* const observed = this->gone_processes.contains(identity) ? "connection_refused" : "connection_failed";
    auto const unreachable_since = this->reachability->unreachable_since(identity).value_or(now);
    LogLine("request_abandoned")
        .with("request", watched.request)
        .with("upstream", identity)
        .with("observed", observed)
        .with("unreachable_ms", to_milliseconds(std::chrono::duration_cast<Duration>(now - unreachable_since)))
        .with("silent_ms", to_milliseconds(std::chrono::duration_cast<Duration>(now - connection->last_activity())));
    this->metrics.increment("spurtide_abandoned_requests_total", "Requests in flight that were given up at an unreachable upstream, by what was observed of it", { { "observed", observed } });
    connection->abort(HttpError::Unresponsive);
}

}
