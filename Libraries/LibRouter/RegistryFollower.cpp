// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibAsync/Spawn.h>
#include <LibCore/Clock.h>
#include <LibCore/LogLine.h>
#include <LibCore/MonotonicTimer.h>
#include <LibRouter/RegistryFollower.h>
#include <algorithm>
#include <memory>
#include <optional>
#include <xxhash.h>

namespace Spurtide {

namespace {

constexpr int MAXIMUM_DOUBLINGS = 4;
constexpr std::string_view ANSWERED = "answered";

void log_failure(std::string_view what, PlatformError error, int failures)
{
    // Log the first failure and every tenth, so that a long outage does not flood the log.
    if (failures == 1 || failures % 10 == 0)
        LogLine("registry_failed").with("what", what).with("error", to_string(error)).with("failures", failures);
}

/// A watch that may be given up before it ends.
template<typename News>
struct PendingWatch {
    explicit PendingWatch(asio::any_io_executor const& executor)
        : signal(executor)
    {
    }

    Signal signal;
    std::optional<Result<News, PlatformError>> result;
};

template<typename News>
asio::awaitable<void> finish_watch(std::shared_ptr<PendingWatch<News>> pending, asio::awaitable<Result<News, PlatformError>> watch)
{
    auto result = co_await std::move(watch);
    pending->result.emplace(std::move(result));
    pending->signal.notify();
}

// After a failure the watch must return at once: one that waits would show that the registry is available again only with
// the next update.
Duration wait_after(int failures, Duration watch) { return failures > 0 ? Duration::zero() : watch; }

}

RegistryFollower::RegistryFollower(Options options, asio::io_context& loop, RegistryPort& registry, Hooks hooks)
    : options(options)
    , loop(loop)
    , registry(registry)
    , hooks(std::move(hooks))
{
}

void RegistryFollower::start()
{
    spawn_lasting(this->loop.get_executor(), "follow_configuration", [this] { return this->follow_configuration(); });
    spawn_lasting(this->loop.get_executor(), "follow_upstreams", [this] { return this->follow_upstreams(); });
}

// Exponential backoff with jitter that differs by VM and attempt. The hook lengthens all pauses in proportion, so that VMs
// that watch on behalf of others spread their retries from the first one on.
asio::awaitable<void> RegistryFollower::wait_before_retry(int failures)
{
    auto const doubled = this->options.initial_retry_interval * (1 << std::min(failures, MAXIMUM_DOUBLINGS));
    auto const usual = std::min(this->options.maximum_retry_interval, Duration(doubled));
    auto const shared = to_seconds(this->hooks.maximum_retry_interval(this->options.maximum_retry_interval)) / to_seconds(this->options.maximum_retry_interval);
    auto const seed = this->options.retry_seed + static_cast<std::uint64_t>(failures);
    auto const percent = 50 + static_cast<std::int64_t>(XXH3_64bits(&seed, sizeof(seed)) % 50);
    co_await this->sleep(from_seconds(to_seconds(usual) * shared * static_cast<double>(percent) / 100));
}

// Usually one read is enough. If the watch that follows it fails as well, reading again at once would do no better.
asio::awaitable<void> RegistryFollower::wait_before_read(int reads_in_a_row)
{
    if (reads_in_a_row > 0)
        co_await this->wait_before_retry(reads_in_a_row);
}

asio::awaitable<void> RegistryFollower::sleep(Duration duration)
{
    MonotonicTimer timer(this->loop, duration);
    asio::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> RegistryFollower::wait_until_watching(std::string_view what)
{
    if (this->hooks.watches())
        co_return;
    LogLine("registry_watch_stopped").with("what", what);
    while (!this->hooks.watches())
        co_await this->sleep(this->options.idle_check_interval);
    LogLine("registry_watch_started").with("what", what);
}

asio::awaitable<void> RegistryFollower::wait_until_upstreams_followed()
{
    while (!this->upstreams_followed)
        co_await this->sleep(this->options.idle_check_interval);
}

void RegistryFollower::note_era(std::int64_t new_era)
{
    if (new_era <= this->era)
        return;
    this->era = new_era;
    for (auto* signal : this->waiting)
        signal->notify();
}

asio::awaitable<bool> RegistryFollower::confirm_upstreams(Duration timeout)
{
    auto const until = monotonic_now() + timeout;
    if (!this->next_confirmation)
        this->next_confirmation = std::make_shared<Confirmation>();
    auto const confirmation = this->next_confirmation;
    if (!this->is_confirming)
        spawn_lasting(this->loop.get_executor(), "confirm_upstreams", [this] { return this->run_confirmations(); });
    Signal signal(this->loop.get_executor());
    auto const place = confirmation->waiting.insert(confirmation->waiting.end(), &signal);
    auto end = WaitEnd::Notified;
    while (confirmation->state == Confirmation::State::Pending && end != WaitEnd::TimedOut)
        end = co_await signal.wait_until(until);
    confirmation->waiting.erase(place);
    co_return confirmation->state == Confirmation::State::Confirmed;
}

asio::awaitable<void> RegistryFollower::run_confirmations()
{
    this->is_confirming = true;
    while (this->next_confirmation) {
        auto const confirmation = std::exchange(this->next_confirmation, nullptr);
        auto const position = std::max(this->upstreams_position, this->hooks.upstreams_version());
        auto const news = co_await this->registry.watch_upstreams(position, Duration::zero());
        this->hooks.on_call("confirm_upstreams", news.is_error() ? to_string(news.error()) : ANSWERED);
        if (!news.is_error() && !news.value().changes.empty())
            this->hooks.on_upstream_news(news.value());
        if (!news.is_error())
            this->upstreams_position = std::max(this->upstreams_position, news.value().position);
        confirmation->state = news.is_error() ? Confirmation::State::Failed : Confirmation::State::Confirmed;
        for (auto* signal : confirmation->waiting)
            signal->notify();
    }
    this->is_confirming = false;
}

template<typename News>
asio::awaitable<Result<News, PlatformError>> RegistryFollower::watch_in_era(asio::awaitable<Result<News, PlatformError>> watch, StorePosition position)
{
    // A watch that is given up goes on by itself until its timeout.
    auto const pending = std::make_shared<PendingWatch<News>>(this->loop.get_executor());
    spawn(this->loop.get_executor(), "watch", finish_watch(pending, std::move(watch)));
    auto const place = this->waiting.insert(this->waiting.end(), &pending->signal);
    while (!pending->result && this->era <= position.era)
        co_await pending->signal.wait();
    this->waiting.erase(place);
    if (!pending->result)
        co_return Failure { PlatformError::HistoryGone };
    co_return std::move(*pending->result);
}

asio::awaitable<void> RegistryFollower::follow_configuration()
{
    std::optional<StorePosition> position;
    int failures = 0;
    int reads_in_a_row = 0;
    while (true) {
        Result<ConfigurationNews, PlatformError> news = Failure { PlatformError::Unavailable };
        if (position)
            co_await this->wait_until_watching("configuration");
        if (position)
            news = co_await this->watch_in_era(this->registry.watch_configuration(*position, wait_after(failures, this->options.configuration_watch_timeout)), *position);
        else
            news = co_await this->registry.read_configuration();
        this->configuration_followed = !news.is_error();
        this->hooks.on_call("configuration", news.is_error() ? to_string(news.error()) : ANSWERED);
        if (news.is_error()) {
            if (news.error() == PlatformError::HistoryGone) {
                LogLine("registry_history_gone").with("what", "configuration").with("position", position.value_or(StorePosition()).version).with("era", position.value_or(StorePosition()).era);
                position.reset();
                co_await this->wait_before_read(reads_in_a_row);
                ++reads_in_a_row;
                continue;
            }
            log_failure("configuration", news.error(), ++failures);
            co_await this->wait_before_retry(failures);
            co_await this->wait_until_upstreams_followed();
            continue;
        }
        if (failures > 0)
            LogLine("registry_recovered").with("what", "configuration").with("failures", std::exchange(failures, 0));
        if (position)
            reads_in_a_row = 0;
        bool const was_empty_read = !position && !news.value().document;
        position = news.value().position;
        this->note_era(position->era);
        if (news.value().document)
            this->hooks.on_configuration(*news.value().document);
        this->hooks.on_evacuations(news.value().evacuations);
        if (was_empty_read)
            co_await this->wait_before_retry(1);
        else if (news.value().document || !news.value().evacuations.evacuations.empty())
            co_await this->sleep(this->hooks.batching_delay());
    }
}

asio::awaitable<void> RegistryFollower::follow_upstreams()
{
    std::optional<StorePosition> position;
    int failures = 0;
    int reads_in_a_row = 0;
    while (true) {
        PlatformError error {};
        bool has_failed = false;
        bool has_news = false;
        if (position) {
            co_await this->wait_until_watching("upstreams");
            position = std::max(*position, this->hooks.upstreams_version());
            auto const news = co_await this->watch_in_era(this->registry.watch_upstreams(*position, wait_after(failures, this->options.upstreams_watch_timeout)), *position);
            has_failed = news.is_error();
            if (has_failed)
                error = news.error();
            else {
                this->hooks.on_upstreams_state(UpstreamList::RegistryState::Available);
                position = news.value().position;
                reads_in_a_row = 0;
                has_news = !news.value().changes.empty();
                if (has_news)
                    this->hooks.on_upstream_news(news.value());
                this->upstreams_position = *position;
            }
        } else {
            auto const snapshot = co_await this->registry.read_upstreams();
            has_failed = snapshot.is_error();
            if (has_failed)
                error = snapshot.error();
            else {
                this->hooks.on_upstreams_state(UpstreamList::RegistryState::Available);
                position = snapshot.value().position;
                this->note_era(position->era);
                this->upstreams_read = true;
                this->hooks.on_upstreams(snapshot.value());
                this->upstreams_position = *position;
            }
        }
        this->upstreams_followed = !has_failed;
        this->hooks.on_call("upstreams", has_failed ? to_string(error) : ANSWERED);
        if (!has_failed) {
            if (failures > 0)
                LogLine("registry_recovered").with("what", "upstreams").with("failures", std::exchange(failures, 0));
            if (has_news)
                co_await this->sleep(this->hooks.batching_delay());
            continue;
        }
        if (error == PlatformError::HistoryGone) {
            LogLine("registry_history_gone").with("what", "upstreams").with("position", position.value_or(StorePosition()).version).with("era", position.value_or(StorePosition()).era);
            position.reset();
            co_await this->wait_before_read(reads_in_a_row);
            ++reads_in_a_row;
            continue;
        }
        log_failure("upstreams", error, ++failures);
        this->hooks.on_upstreams_state(UpstreamList::RegistryState::Unreachable);
        co_await this->wait_before_retry(failures);
    }
}

}
