// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <LibCore/LogLine.h>
#include <LibRouter/PlacementClient.h>
#include <LibWire/WirePlacement.h>
#include <algorithm>
#include <utility>

namespace Spurtide {

namespace {

/// Current deployments are small enough for all engines to form a single cell.
constexpr std::string_view CELL = "engines";
/// The keeper and its successor in the ranking; after them, this VM decides for itself.
constexpr std::size_t MAXIMUM_REMOTE_KEEPERS = 2;
/// Longer than a keeper holds a grant that is not renewed.
constexpr Duration UNRENEWED_GRANT_RETENTION = seconds(5);
/// Named in the next ask of a request.
constexpr std::size_t MAXIMUM_RELEASED_ASKS = 16;

CallerAttempt visit_from_message(bool is_return) { return is_return ? CallerAttempt::Retry : CallerAttempt::First; }

/// If the caller turns out to be returning, the decision may take until the deadline for a late first token.
Duration longest_decision_time(PlacementClient::AskTimes const& times) { return std::max(times.decide_within, times.late_within); }

wire::Envelope release_message(std::string const& request, AskIdentity const& identity, std::int64_t output_tokens, PlacementClient::EngineFaults const& faults)
{
    auto envelope = message_to(PLACEMENT_SERVICE);
    envelope.mutable_release()->set_request(request);
    envelope.mutable_release()->set_origin(identity.origin);
    envelope.mutable_release()->set_number(identity.number);
    envelope.mutable_release()->set_output_tokens(output_tokens);
    envelope.mutable_release()->set_failed_engine(faults.failed_engine);
    for (auto const& engine : faults.refusing_engines)
        envelope.mutable_release()->add_refusing_engines(engine);
    return envelope;
}

wire::Envelope progress_message(std::string const& request, AskIdentity const& identity, GrantProgress progress)
{
    auto envelope = message_to(PLACEMENT_SERVICE);
    envelope.mutable_progress()->set_request(request);
    envelope.mutable_progress()->set_origin(identity.origin);
    envelope.mutable_progress()->set_number(identity.number);
    envelope.mutable_progress()->set_progress(wire_progress(progress));
    return envelope;
}

wire::Envelope move_end_message(std::string const& request, AskIdentity const& identity, MoveEnd end, std::string const& target)
{
    auto envelope = progress_message(request, identity, GrantProgress::Decoding);
    envelope.mutable_progress()->set_move_end(wire_move_end(end));
    envelope.mutable_progress()->set_moved_to(target);
    return envelope;
}

/// 0 if there is no limit.
std::int64_t microseconds_until(std::optional<MonotonicTime> time, MonotonicTime now)
{
    return time ? std::max<std::int64_t>(1, std::chrono::duration_cast<Duration>(*time - now).count()) : 0;
}

}

PlacementClient::PlacementClient(Options options, Kernel& kernel)
    : options(options)
    , kernel(kernel)
    , keepers(kernel, this->options.suspicion_time)
{
}

void PlacementClient::start()
{
    this->kernel.every(this->options.renewal_interval, [this] {
        this->renew_grants();
        this->forget_old_releases(monotonic_now());
    });
    this->kernel.every(this->options.keeper_check_interval, [this] { this->check_for_keeper_change(); });
}

std::string PlacementClient::current_keeper() const { return this->keepers.first_endpoint(CELL); }

wire::Envelope PlacementClient::ask_message(PlacementAsk const& ask, AskTimes const& times, Duration elapsed) const
{
    auto envelope = message_to(PLACEMENT_SERVICE);
    auto* message = envelope.mutable_placement_ask();
    message->set_request(ask.request);
    message->set_account(ask.account);
    message->set_model(ask.model);
    message->set_origin(this->kernel.incarnation());
    message->set_prompt_tokens(ask.prompt_tokens);
    message->set_maximum_output_tokens(ask.maximum_output_tokens);
    message->set_relayed_tokens(ask.relayed_tokens);
    message->set_expected_output_tokens(ask.expected_output_tokens);
    message->set_first_token_within_microseconds((times.first_token_within - elapsed).count());
    message->set_decide_within_microseconds(std::max(Duration { 1 }, times.decide_within - elapsed).count());
    message->set_late_within_microseconds(std::max(Duration::zero(), times.late_within - elapsed).count());
    message->set_priority(static_cast<std::int32_t>(ask.priority));
    message->set_data_centre(ask.data_centre);
    message->set_longest_pause_microseconds(ask.longest_pause.count());
    message->set_own_part(ask.own_part);
    message->set_software_version(ask.software_version);
    message->set_finish_within_microseconds(microseconds_until(ask.finish_by, monotonic_now()));
    message->set_migrates_from(ask.migrates_from);
    message->set_number(ask.number);
    for (auto const number : ask.released_numbers)
        message->add_released_numbers(number);
    for (auto const& engine : ask.excluded_engines)
        message->add_excluded_engines(engine);
    for (auto const& data_centre : ask.excluded_data_centres)
        message->add_excluded_data_centres(data_centre);
    return envelope;
}

asio::awaitable<std::optional<PlacementDecision>> PlacementClient::ask(PlacementAsk ask, std::shared_ptr<PendingAsk> pending, AskTimes const& times)
{
    auto const started = monotonic_now();
    bool const is_move = !ask.migrates_from.empty();
    if (auto const released = this->released_asks.find(ask.request); released != this->released_asks.end()) {
        for (auto const& earlier : released->second)
            ask.released_numbers.push_back(earlier.number);
    }
    this->check_for_keeper_change();
    auto names = this->keepers.ranked_names(CELL);
    names.resize(std::min(names.size(), MAXIMUM_REMOTE_KEEPERS));
    std::erase(names, this->kernel.virtual_machine());
    bool const is_own_first = this->current_keeper() == this->kernel.endpoint();
    if (is_own_first)
        names.clear();
    names.push_back(this->kernel.virtual_machine());
    for (auto const& name : names) {
        auto const endpoint = this->keepers.endpoint_of(name);
        auto const elapsed = std::chrono::duration_cast<Duration>(monotonic_now() - started);
        auto const held_before = this->held_grants.find(ask.request);
        // A move extends the grant that the request holds. A VM that did not reply may grant its ask later, beside that of the next one.
        ask.number = is_move && held_before != this->held_grants.end() ? held_before->second.ask.number : ++this->last_number;
        auto const identity = this->identity_of(ask);
        auto const message = this->ask_message(ask, times, elapsed);
        pending->reply.reset();
        // Whatever it decides, a VM that is asked to move a request learns of the grant that the request holds.
        if (held_before != this->held_grants.end())
            held_before->second.keepers.insert(endpoint);
        this->kernel.request(endpoint, message, { longest_decision_time(times) + this->options.reply_slack, this->options.silence }, [pending](WireReply reply) {
            pending->reply = std::move(reply);
            pending->signal.notify();
        });
        while (!pending->reply && !pending->is_given_up)
            co_await pending->signal.wait();
        if (pending->is_given_up || pending->reply->is_error()) {
            // Release a grant that is still to come, or whose reply was lost. A request that runs keeps its first one.
            this->kernel.notify(endpoint, is_move ? move_end_message(ask.request, identity, MoveEnd::Abandoned, {}) : release_message(ask.request, identity, 0, {}));
            if (!is_move)
                this->note_released(ask.request, ask.number);
        }
        if (pending->is_given_up)
            co_return std::nullopt;
        if (pending->reply->is_error()) {
            this->keepers.note_unresponsive(name);
            LogLine("keeper_silent").with("keeper", name).with("request", ask.request).with("error", to_string(pending->reply->error().kind));
            continue;
        }
        auto const& reply = pending->reply->value();
        if (reply.has_placement_grant()) {
            PlacementGrant grant;
            grant.request = ask.request;
            grant.prefill_engine = reply.placement_grant().prefill_engine();
            grant.decode_engine = reply.placement_grant().decode_engine();
            grant.caller_attempt = visit_from_message(reply.placement_grant().is_return());
            if (is_move) {
                auto const held = this->held_grants.find(ask.request);
                if (held != this->held_grants.end())
                    held->second.moves_to = grant.decode_engine;
                co_return PlacementDecision { grant };
            }
            this->held_grants.insert_or_assign(ask.request, HeldGrant { ask, grant, { endpoint }, GrantProgress::Prefilling, monotonic_now(), {} });
            co_return PlacementDecision { grant };
        }
        PlacementRefusal refusal;
        refusal.request = ask.request;
        refusal.reason = read_reason(reply.placement_refusal().reason());
        refusal.retry_after = milliseconds(reply.placement_refusal().retry_after_milliseconds());
        refusal.caller_attempt = visit_from_message(reply.placement_refusal().is_return());
        co_return PlacementDecision { refusal };
    }
    co_return PlacementDecision { PlacementRefusal { ask.request, RefusalReason::NoUpstream, milliseconds(500), CallerAttempt::First } };
}

void PlacementClient::send(wire::Envelope envelope)
{
    this->kernel.notify(this->current_keeper(), std::move(envelope));
}

void PlacementClient::progress(std::string const& request, GrantProgress progress)
{
    auto const found = this->held_grants.find(request);
    if (found == this->held_grants.end())
        return;
    found->second.phase = progress;
    found->second.since = monotonic_now();
    this->send(progress_message(request, this->identity_of(found->second.ask), progress));
}

void PlacementClient::end_move(std::string const& request, MoveEnd end)
{
    auto const found = this->held_grants.find(request);
    if (found == this->held_grants.end() || found->second.moves_to.empty())
        return;
    auto const target = std::exchange(found->second.moves_to, {});
    if (end == MoveEnd::Moved) {
        found->second.grant.decode_engine = target;
        found->second.grant.prefill_engine.clear();
    }
    this->send(move_end_message(request, this->identity_of(found->second.ask), end, target));
}

void PlacementClient::release(std::string const& request, std::int64_t output_tokens, EngineFaults const& faults)
{
    auto const found = this->held_grants.find(request);
    if (found == this->held_grants.end())
        return;
    auto keepers = std::move(found->second.keepers);
    auto const message = release_message(request, this->identity_of(found->second.ask), output_tokens, faults);
    this->note_released(request, found->second.ask.number);
    this->held_grants.erase(found);
    keepers.insert(this->current_keeper());
    // A VM that still held the grant would refuse a later ask of the same request as a duplicate.
    for (auto const& keeper : keepers)
        this->kernel.notify(keeper, message);
}

void PlacementClient::note_released(std::string const& request, std::uint64_t number)
{
    auto& released = this->released_asks[request];
    // Callers choose the names of requests, and may use one again and again.
    if (released.size() >= MAXIMUM_RELEASED_ASKS)
        released.erase(released.begin());
    released.push_back({ number, monotonic_now() });
}

void PlacementClient::forget_old_releases(MonotonicTime now)
{
    for (auto& [request, asks] : this->released_asks)
        std::erase_if(asks, [&](auto const& ask) { return now - ask.when > UNRENEWED_GRANT_RETENTION; });
    std::erase_if(this->released_asks, [](auto const& entry) { return entry.second.empty(); });
}

// A new keeper has no record of the grants. Until it learns of them, it would assign the same memory twice.
void PlacementClient::check_for_keeper_change()
{
    auto const keeper = this->current_keeper();
    if (keeper == this->last_keeper)
        return;
    LogLine("keeper_changed").with("keeper", keeper).with("held", static_cast<std::int64_t>(this->held_grants.size()));
    this->last_keeper = keeper;
    this->renew_grants();
}

void PlacementClient::renew_grants()
{
    auto const keeper = this->current_keeper();
    if (this->held_grants.empty())
        return;
    auto envelope = message_to(PLACEMENT_SERVICE);
    auto* records = envelope.mutable_grant_records();
    records->set_origin(this->kernel.incarnation());
    auto const now = monotonic_now();
    for (auto& [request, held_grant] : this->held_grants) {
        held_grant.keepers.insert(keeper);
        auto* record = records->add_records();
        record->set_request(request);
        record->set_account(held_grant.ask.account);
        record->set_model(held_grant.ask.model);
        record->set_prefill_engine(held_grant.grant.prefill_engine);
        record->set_decode_engine(held_grant.grant.decode_engine);
        record->set_prompt_tokens(held_grant.ask.prompt_tokens + held_grant.ask.relayed_tokens);
        record->set_maximum_output_tokens(held_grant.ask.maximum_output_tokens);
        record->set_expected_output_tokens(held_grant.ask.expected_output_tokens);
        record->set_own_part(held_grant.ask.own_part);
        record->set_finish_within_microseconds(microseconds_until(held_grant.ask.finish_by, now));
        record->set_moves_to(held_grant.moves_to);
        record->set_number(held_grant.ask.number);
        record->set_progress(wire_progress(held_grant.phase));
        record->set_age_microseconds(std::chrono::duration_cast<Duration>(now - held_grant.since).count());
    }
    this->kernel.notify(keeper, std::move(envelope));
}

}
