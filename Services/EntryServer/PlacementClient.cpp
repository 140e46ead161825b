// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <LibWire/WirePlacement.h>
#include <Services/EntryServer/PlacementClient.h>
#include <algorithm>
#include <thread>

namespace Spurtide {

namespace {

/// Time for the answer to come back beside the time that the keeper may take to decide.
constexpr Duration ANSWER_MARGIN = milliseconds(150);
/// A keeper that says nothing for so long is asked whether it is there.
constexpr Duration KEEPER_SILENCE = milliseconds(150);
constexpr Duration LOOK_AGAIN_AFTER = milliseconds(50);
constexpr Duration NEW_KEEPERS_INTERVAL = milliseconds(100);
constexpr Duration LOCATE_TIMEOUT = milliseconds(500);
constexpr Duration COME_BACK_SOON = milliseconds(1000);
/// A request that two cells could not take is refused: more asking is load without use.
constexpr std::size_t MOST_KEEPERS_ASKED = 2;

ProblemKind kind_of(wire::RefusalReason reason)
{
    switch (reason) {
    case wire::REFUSAL_REASON_UNKNOWN_MODEL:
        return ProblemKind::UnknownModel;
    case wire::REFUSAL_REASON_UNKNOWN_ACCOUNT:
        return ProblemKind::UnknownKey;
    case wire::REFUSAL_REASON_RATE_LIMITED:
        return ProblemKind::RateLimited;
    case wire::REFUSAL_REASON_NO_UPSTREAM:
        return ProblemKind::NoUpstream;
    case wire::REFUSAL_REASON_DUPLICATE:
        return ProblemKind::AlreadySubmitted;
    default:
        return ProblemKind::Overloaded;
    }
}

wire::Envelope ask_message(PlacementAsk const& ask, Duration first_token_within)
{
    wire::Envelope envelope;
    envelope.set_service("placement");
    auto* message = envelope.mutable_placement_ask();
    message->set_request(ask.request);
    message->set_account(ask.account);
    message->set_model(ask.model);
    message->set_origin(ask.origin);
    message->set_prompt_tokens(ask.prompt_tokens);
    message->set_maximum_output_tokens(ask.maximum_output_tokens);
    message->set_relayed_tokens(ask.relayed_tokens);
    message->set_first_token_within_microseconds(first_token_within.count());
    message->set_priority(static_cast<std::int32_t>(ask.priority));
    return envelope;
}

wire::Envelope release_message(std::string const& work, std::int64_t output_tokens)
{
    wire::Envelope envelope;
    envelope.set_service("placement");
    envelope.mutable_release()->set_request(work);
    envelope.mutable_release()->set_output_tokens(output_tokens);
    return envelope;
}

bool may_spill(ProblemKind kind)
{
    return kind == ProblemKind::Overloaded || kind == ProblemKind::NoUpstream;
}

}

PlacementClient::PlacementClient(Kernel& kernel, ConfigurationFollower& follower, std::string virtual_machine, std::string data_centre)
    : kernel(kernel)
    , follower(follower)
    , virtual_machine(std::move(virtual_machine))
    , data_centre(std::move(data_centre))
{
}

std::shared_ptr<PlacementClient::Map const> PlacementClient::current_map()
{
    auto const configuration = this->follower.current();
    auto const directory_version = this->kernel.directory().version();
    std::scoped_lock const lock(this->mutex);
    auto const generation = configuration ? configuration->generation : 0;
    if (this->map && this->map->generation == generation && this->map->directory_version == directory_version)
        return this->map;
    auto next = std::make_shared<Map>();
    next->generation = generation;
    next->directory_version = directory_version;
    if (configuration)
        next->cells = CellMap::create(cell_members(*configuration, this->data_centre), this->kernel.directory().virtual_machines_with("placement"));
    this->map = next;
    return next;
}

std::vector<std::string> PlacementClient::keepers_to_ask(std::string_view work)
{
    auto const cells = this->current_map();
    std::vector<std::string> keepers;
    for (std::size_t cell = 0; cell < cells->cells.cell_count(); ++cell)
        keepers.push_back(cells->cells.keeper_of(cell));
    std::sort(keepers.begin(), keepers.end(), [&](auto const& a, auto const& b) {
        bool const a_is_own = a == this->virtual_machine;
        bool const b_is_own = b == this->virtual_machine;
        if (a_is_own != b_is_own)
            return a_is_own;
        return rendezvous_score(a, work) > rendezvous_score(b, work);
    });
    std::vector<std::string> endpoints;
    for (auto const& keeper : keepers) {
        if (auto endpoint = this->kernel.directory().resolve_on(keeper, "placement"))
            endpoints.push_back(std::move(*endpoint));
    }
    return endpoints;
}

std::vector<std::string> PlacementClient::keepers_of(std::string_view engine)
{
    auto const cells = this->current_map();
    auto const cell = cells->cells.cell_of(engine);
    if (!cell)
        return {};
    auto endpoint = this->kernel.directory().resolve_on(cells->cells.keeper_of(*cell), "placement");
    if (!endpoint)
        return {};
    return { std::move(*endpoint) };
}

Result<GrantedPlacement, Problem> PlacementClient::ask(PlacementAsk const& ask, Duration first_token_within)
{
    auto const until = monotonic_now() + first_token_within;
    while (true) {
        auto round = this->ask_round(ask, until);
        if (round.decided)
            return std::move(*round.decided);
        if (round.was_refused)
            return Failure { round.refusal };
        // Nobody keeps the cell at the moment: a keeper is changing, which takes less than a target.
        if (monotonic_now() + LOOK_AGAIN_AFTER >= until)
            return Failure { Problem { ProblemKind::NoUpstream, "", RequestOutcome::RefusedNotRun, COME_BACK_SOON } };
        std::this_thread::sleep_for(LOOK_AGAIN_AFTER);
    }
}

PlacementClient::Round PlacementClient::ask_round(PlacementAsk const& ask, MonotonicTime until)
{
    Round round;
    std::size_t asked = 0;
    for (auto const& endpoint : this->keepers_to_ask(ask.request)) {
        auto const within = until - monotonic_now();
        if (asked++ >= MOST_KEEPERS_ASKED || within <= Duration::zero())
            break;
        auto const reply = this->kernel.call(endpoint, ask_message(ask, within), { within + ANSWER_MARGIN, KEEPER_SILENCE });
        if (reply.is_error()) {
            // The keeper may have granted and the answer was lost: it is told that nobody takes it up.
            if (reply.error().kind == WireErrorKind::Timeout)
                this->kernel.notify(endpoint, release_message(ask.request, 0));
            continue;
        }
        auto granted = this->read_reply(reply.value());
        if (granted.is_error() && may_spill(granted.error().kind)) {
            round.was_refused = true;
            round.refusal = granted.error();
            continue;
        }
        if (!granted.is_error())
            this->note_granted(ask, granted.value());
        round.decided = std::move(granted);
        return round;
    }
    return round;
}

void PlacementClient::note_granted(PlacementAsk const& ask, GrantedPlacement const& granted)
{
    std::scoped_lock const lock(this->mutex);
    this->active.insert_or_assign(ask.request, Active { ask, granted.prefill_engine, granted.decode_engine });
}

void PlacementClient::start()
{
    this->kernel.every(NEW_KEEPERS_INTERVAL, [this] { this->tell_new_keepers(); });
}

void PlacementClient::tell_new_keepers()
{
    auto const cells = this->current_map();
    for (std::size_t cell = 0; cell < cells->cells.cell_count(); ++cell) {
        auto const& keeper = cells->cells.keeper_of(cell);
        auto const endpoint = this->kernel.directory().resolve_on(keeper, "placement");
        if (!endpoint || this->told_keepers[cell] == *endpoint)
            continue;
        this->told_keepers[cell] = *endpoint;
        wire::Envelope envelope;
        envelope.set_service("placement");
        auto* records = envelope.mutable_grant_records();
        records->set_origin(this->kernel.incarnation());
        {
            std::scoped_lock const lock(this->mutex);
            for (auto const& [work, grant] : this->active) {
                if (cells->cells.cell_of(grant.decode_engine) != cell)
                    continue;
                auto* record = records->add_records();
                record->set_request(work);
                record->set_account(grant.ask.account);
                record->set_model(grant.ask.model);
                record->set_prefill_engine(grant.prefill_engine);
                record->set_decode_engine(grant.decode_engine);
                record->set_prompt_tokens(grant.ask.prompt_tokens);
                record->set_progress(wire_progress(grant.progress));
            }
        }
        if (!records->records().empty())
            this->kernel.notify(*endpoint, std::move(envelope));
    }
}

Result<GrantedPlacement, Problem> PlacementClient::read_reply(wire::Envelope const& reply) const
{
    if (reply.has_placement_refusal()) {
        auto const& refusal = reply.placement_refusal();
        return Failure { Problem { kind_of(refusal.reason()), "", RequestOutcome::RefusedNotRun, milliseconds(refusal.retry_after_milliseconds()) } };
    }
    GrantedPlacement granted;
    granted.prefill_engine = reply.placement_grant().prefill_engine();
    granted.decode_engine = reply.placement_grant().decode_engine();
    granted.prefill_address = this->engine_address(granted.prefill_engine);
    granted.decode_address = this->engine_address(granted.decode_engine);
    if (granted.prefill_address.empty() || granted.decode_address.empty())
        return Failure { Problem { ProblemKind::NoUpstream, "", RequestOutcome::RefusedNotRun, COME_BACK_SOON } };
    return granted;
}

void PlacementClient::progress(std::string const& work, std::string const& decode_engine, GrantProgress progress)
{
    {
        std::scoped_lock const lock(this->mutex);
        auto const found = this->active.find(work);
        if (found != this->active.end())
            found->second.progress = progress;
    }
    for (auto const& endpoint : this->keepers_of(decode_engine)) {
        wire::Envelope envelope;
        envelope.set_service("placement");
        envelope.mutable_progress()->set_request(work);
        envelope.mutable_progress()->set_progress(wire_progress(progress));
        this->kernel.notify(endpoint, std::move(envelope));
    }
}

void PlacementClient::release(std::string const& work, std::string const& decode_engine, std::int64_t output_tokens)
{
    {
        std::scoped_lock const lock(this->mutex);
        this->active.erase(work);
    }
    for (auto const& endpoint : this->keepers_of(decode_engine))
        this->kernel.notify(endpoint, release_message(work, output_tokens));
}

void PlacementClient::tell_failure(std::string const& work, std::string const& failed_engine)
{
    for (auto const& endpoint : this->keepers_of(failed_engine)) {
        // The work's own release follows when it was cancelled; this one names no request that is held.
        auto message = release_message(work + "/failure", 0);
        message.mutable_release()->set_failed_engine(failed_engine);
        this->kernel.notify(endpoint, std::move(message));
    }
}

std::optional<std::string> PlacementClient::locate(std::string const& work, std::string_view account)
{
    for (auto const& endpoint : this->keepers_to_ask(work)) {
        wire::Envelope envelope;
        envelope.set_service("placement");
        envelope.mutable_locate()->set_request(work);
        auto const reply = this->kernel.call(endpoint, std::move(envelope), LOCATE_TIMEOUT);
        if (reply.is_error() || !reply.value().has_located() || reply.value().located().account() != account)
            continue;
        return reply.value().located().decode_engine();
    }
    return {};
}

std::string PlacementClient::engine_address(std::string_view engine) const
{
    auto const configuration = this->follower.current();
    auto const* found = configuration ? configuration->find_engine(engine) : nullptr;
    return found ? found->address : std::string();
}

}
