// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <LibCore/LogLine.h>
#include <LibRouter/PlacementClient.h>
#include <LibWire/WirePlacement.h>
#include <algorithm>

namespace Spurtide {

namespace {

/// The engines of a deployment of today's size are one cell.
constexpr std::string_view CELL = "engines";
/// A keeper and the one that follows it; after them this VM decides for itself.
constexpr std::size_t REMOTE_TRIES = 2;

CallerVisit read_visit(bool is_return) { return is_return ? CallerVisit::Return : CallerVisit::First; }

/// A caller that turns out to come back is decided about later.
Duration longest_wait(PlacementClient::AskTimes const& times) { return std::max(times.decide_within, times.late_within); }

wire::Envelope release_message(std::string const& request, std::int64_t output_tokens, PlacementClient::EngineFaults const& faults)
{
    auto envelope = message_to(PLACEMENT_SERVICE);
    envelope.mutable_release()->set_request(request);
    envelope.mutable_release()->set_output_tokens(output_tokens);
    envelope.mutable_release()->set_failed_engine(faults.failed);
    for (auto const& engine : faults.refusing)
        envelope.mutable_release()->add_refusing_engines(engine);
    return envelope;
}

}

PlacementClient::PlacementClient(Options options, Kernel& kernel)
    : options(options)
    , kernel(kernel)
    , keepers(kernel, this->options.suspicion)
{
}

void PlacementClient::start()
{
    this->kernel.every(this->options.renewal, [this] { this->renew(); });
    this->kernel.every(this->options.keeper_check, [this] { this->follow_keeper(); });
}

std::string PlacementClient::present_keeper() const { return this->keepers.first_endpoint(CELL); }

wire::Envelope PlacementClient::ask_message(PlacementAsk const& ask, AskTimes const& times, Duration spent) const
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
    message->set_first_token_within_microseconds((times.first_token_within - spent).count());
    message->set_decide_within_microseconds(std::max(Duration { 1 }, times.decide_within - spent).count());
    message->set_late_within_microseconds(std::max(Duration::zero(), times.late_within - spent).count());
    message->set_priority(static_cast<std::int32_t>(ask.priority));
    message->set_data_centre(ask.data_centre);
    message->set_longest_pause_microseconds(ask.longest_pause.count());
    message->set_own_part(ask.own_part);
    for (auto const& engine : ask.excluded_engines)
        message->add_excluded_engines(engine);
    for (auto const& data_centre : ask.excluded_data_centres)
        message->add_excluded_data_centres(data_centre);
    return envelope;
}

asio::awaitable<std::optional<PlacementDecision>> PlacementClient::ask(PlacementAsk ask, std::shared_ptr<Ask> wait, AskTimes const& times)
{
    auto const begun = monotonic_now();
    this->follow_keeper();
    auto names = this->keepers.ranked_names(CELL);
    names.resize(std::min(names.size(), REMOTE_TRIES));
    std::erase(names, this->kernel.virtual_machine());
    bool const is_own_first = this->present_keeper() == this->kernel.endpoint();
    if (is_own_first)
        names.clear();
    names.push_back(this->kernel.virtual_machine());
    for (auto const& name : names) {
        auto const endpoint = this->keepers.endpoint_of(name);
        auto const spent = std::chrono::duration_cast<Duration>(monotonic_now() - begun);
        auto const message = this->ask_message(ask, times, spent);
        wait->reply.reset();
        this->kernel.request(endpoint, message, { longest_wait(times) + this->options.answer_slack, this->options.silence }, [wait](WireReply reply) {
            wait->reply = std::move(reply);
            wait->signal.notify();
        });
        while (!wait->reply && !wait->is_given_up)
            co_await wait->signal.wait();
        if (wait->is_given_up || wait->reply->is_error()) {
            // Whatever it grants, or did grant without the answer coming through, is not taken up.
            this->kernel.notify(endpoint, release_message(ask.request, 0, {}));
        }
        if (wait->is_given_up)
            co_return std::nullopt;
        if (wait->reply->is_error()) {
            this->keepers.note_unresponsive(name);
            LogLine("keeper_silent").with("keeper", name).with("request", ask.request).with("error", to_string(wait->reply->error().kind));
            continue;
        }
        auto const& reply = wait->reply->value();
        if (reply.has_placement_grant()) {
            PlacementGrant grant;
            grant.request = ask.request;
            grant.prefill_engine = reply.placement_grant().prefill_engine();
            grant.decode_engine = reply.placement_grant().decode_engine();
            grant.visit = read_visit(reply.placement_grant().is_return());
            this->held.insert_or_assign(ask.request, Held { ask, grant, endpoint, GrantProgress::Prefilling, monotonic_now() });
            co_return PlacementDecision { grant };
        }
        PlacementRefusal refusal;
        refusal.request = ask.request;
        refusal.reason = read_reason(reply.placement_refusal().reason());
        refusal.retry_after = milliseconds(reply.placement_refusal().retry_after_milliseconds());
        refusal.visit = read_visit(reply.placement_refusal().is_return());
        co_return PlacementDecision { refusal };
    }
    co_return PlacementDecision { PlacementRefusal { ask.request, RefusalReason::NoUpstream, milliseconds(500), CallerVisit::First } };
}

void PlacementClient::send(wire::Envelope envelope)
{
    this->kernel.notify(this->present_keeper(), std::move(envelope));
}

void PlacementClient::progress(std::string const& request, GrantProgress progress)
{
    auto const found = this->held.find(request);
    if (found == this->held.end())
        return;
    found->second.phase = progress;
    found->second.since = monotonic_now();
    auto envelope = message_to(PLACEMENT_SERVICE);
    envelope.mutable_progress()->set_request(request);
    envelope.mutable_progress()->set_progress(wire_progress(progress));
    this->send(std::move(envelope));
}

void PlacementClient::release(std::string const& request, std::int64_t output_tokens, EngineFaults const& faults)
{
    auto const found = this->held.find(request);
    if (found == this->held.end())
        return;
    auto const granter = std::move(found->second.keeper);
    this->held.erase(found);
    auto const keeper = this->present_keeper();
    auto const message = release_message(request, output_tokens, faults);
    this->kernel.notify(keeper, message);
    // What it does not know to be over it would take for a duplicate when the request asks again.
    if (granter != keeper)
        this->kernel.notify(granter, message);
}

// A keeper that is new in office knows nothing; until it hears what is held it would promise memory twice.
void PlacementClient::follow_keeper()
{
    auto const keeper = this->present_keeper();
    if (keeper == this->last_keeper)
        return;
    LogLine("keeper_changed").with("keeper", keeper).with("held", static_cast<std::int64_t>(this->held.size()));
    this->last_keeper = keeper;
    this->renew();
}

void PlacementClient::renew()
{
    auto const keeper = this->present_keeper();
    if (this->held.empty())
        return;
    auto envelope = message_to(PLACEMENT_SERVICE);
    auto* records = envelope.mutable_grant_records();
    records->set_origin(this->kernel.incarnation());
    auto const now = monotonic_now();
    for (auto const& [request, held] : this->held) {
        auto* record = records->add_records();
        record->set_request(request);
        record->set_account(held.ask.account);
        record->set_model(held.ask.model);
        record->set_prefill_engine(held.grant.prefill_engine);
        record->set_decode_engine(held.grant.decode_engine);
        record->set_prompt_tokens(held.ask.prompt_tokens + held.ask.relayed_tokens);
        record->set_maximum_output_tokens(held.ask.maximum_output_tokens);
        record->set_expected_output_tokens(held.ask.expected_output_tokens);
        record->set_own_part(held.ask.own_part);
        record->set_progress(wire_progress(held.phase));
        record->set_age_microseconds(std::chrono::duration_cast<Duration>(now - held.since).count());
    }
    this->kernel.notify(keeper, std::move(envelope));
}

}
