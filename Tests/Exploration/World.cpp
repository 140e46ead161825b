// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <Tests/Exploration/World.h>
#include <algorithm>

namespace Spurtide::Tests {

namespace {

constexpr int REQUESTS = 60;
constexpr int ENTRIES = 3;
constexpr Duration BUSY_TIME = seconds(6);
constexpr Duration WHOLE_TIME = seconds(60);
constexpr Duration LOOK = milliseconds(10);
constexpr Duration POLL = milliseconds(250);
constexpr Duration TARGET = milliseconds(950);
/// The promise: no engine memory is held longer than this after its caller or process is gone.
constexpr Duration ORPHAN_BOUND = seconds(10);
/// What membership takes to find a dead VM, at the most.
constexpr Duration DETECTION = seconds(5);
constexpr Duration OWN_GRACE = seconds(1);
constexpr int MOST_ATTEMPTS = 3;

}

World::World(WorldFaults faults, std::uint64_t seed)
    : faults(faults)
    , random(seed)
{
    EngineModel::Options options;
    options.decode_slots = 4;
    options.prefill_tokens_per_second = 20'000;
    for (int i = 0; i < 2; ++i) {
        options.seed = seed + static_cast<std::uint64_t>(i);
        this->engines.emplace("prefill-" + std::to_string(i), Engine { EngineModel(options), EngineRole::Prefill });
        this->engines.emplace("decode-" + std::to_string(i), Engine { EngineModel(options), EngineRole::Decode });
    }
    for (int i = 0; i < ENTRIES; ++i)
        this->entries.push_back({ "entry-" + std::to_string(i) + ".1", true, {}, {}, {} });
    this->new_keeper();
    this->plan();
}

bool World::chance(double share) { return std::uniform_real_distribution<double>(0, 1)(this->random) < share; }

MonotonicTime World::some_time(Duration from, Duration to)
{
    return this->now + Duration(std::uniform_int_distribution<std::int64_t>(from.count(), to.count())(this->random));
}

void World::at(MonotonicTime when, std::function<void()> run)
{
    this->events.push({ when, this->event_count++, std::move(run) });
}

void World::send(std::function<void()> deliver)
{
    if (this->chance(this->faults.drop))
        return;
    this->at(this->some_time(Duration(50), this->faults.longest_delay), deliver);
    if (this->chance(this->faults.duplicate))
        this->at(this->some_time(Duration(50), this->faults.longest_delay), std::move(deliver));
}

void World::call(std::function<void()> deliver)
{
    this->at(this->some_time(Duration(50), milliseconds(2)), std::move(deliver));
}

void World::break_promise(std::string text)
{
    if (this->verdict.broken.size() < 5)
        this->verdict.broken.push_back(std::to_string(to_milliseconds(this->now.time_since_epoch()) - 1'000'000) + " ms: " + std::move(text));
}

void World::plan()
{
    for (int i = 0; i < REQUESTS; ++i)
        this->at(this->some_time(milliseconds(600), BUSY_TIME), [this, i] { this->arrive(i); });
    for (std::size_t i = 0; i < this->entries.size(); ++i)
        this->look_at_entry(i);
    for (int i = 0; i < this->faults.entry_crashes; ++i) {
        this->at(this->some_time(seconds(1), BUSY_TIME), [this, i] {
            auto& entry = this->entries[static_cast<std::size_t>(i)];
            entry.is_alive = false;
            entry.died_at = this->now;
        });
    }
    for (int i = 0; i < this->faults.entry_pauses; ++i) {
        auto const length = this->some_time(milliseconds(200), milliseconds(4000)) - this->now;
        this->at(this->some_time(seconds(1), BUSY_TIME), [this, i, length] { this->entries[static_cast<std::size_t>(ENTRIES - 1 - i)].paused_until = this->now + length; });
    }
    for (int i = 0; i < this->faults.keeper_changes; ++i) {
        this->at(this->some_time(seconds(1), BUSY_TIME), [this] {
            auto const old = this->keepers.size() - 1;
            this->new_keeper();
            this->at(this->now + this->faults.keeper_overlap, [this, old] { this->keepers[old].is_alive = false; });
        });
    }
    for (int i = 0; i < this->faults.engine_crashes; ++i) {
        this->at(this->some_time(seconds(1), BUSY_TIME), [this, i] {
            this->engines.at((i % 2 == 0 ? "decode-" : "prefill-") + std::to_string(i / 2)).is_alive = false;
        });
    }
}

void World::new_keeper()
{
    Keeper keeper;
    CellScheduler::Options options;
    if (this->faults.without_vanishing)
        options.stale_grant_timeout = seconds(3600);
    keeper.scheduler = std::make_unique<CellScheduler>(options);
    OrphanReaper::Options reaper;
    reaper.dead_origin_grace = seconds(2);
    keeper.reaper = std::make_unique<OrphanReaper>(reaper);
    keeper.since = this->now;
    std::vector<EngineDescription> descriptions;
    for (auto const& [name, engine] : this->engines)
        descriptions.push_back({ name, "llm", engine.role, 4, 20'000, 100'000, 10e9 });
    keeper.scheduler->set_engines(descriptions);
    keeper.scheduler->set_accounts(std::vector<AccountDescription> { { "a", 1, 1000, 1000 } }, this->now);
    this->keepers.push_back(std::move(keeper));
    auto const number = this->keepers.size() - 1;
    this->at(this->now, [this, number] { this->poll(number); });
    // Entries tell it what they were granted before.
    for (std::size_t i = 0; i < this->entries.size(); ++i) {
        this->send([this, i, number] {
            auto const& entry = this->entries[i];
            for (auto const& [name, work] : entry.works) {
                if (this->is_away(entry) || work.is_over || work.decode.empty())
                    continue;
                PlacementAsk ask;
                ask.request = name;
                ask.account = "a";
                ask.model = "llm";
                ask.origin = entry.incarnation;
                auto const progress = work.state.phase() == RequestPhase::Decoding ? GrantProgress::Decoding : GrantProgress::Prefilling;
                this->keepers[number].scheduler->restore(ask, work.prefill, work.decode, progress, Duration::zero(), this->now);
            }
        });
    }
}

void World::arrive(int number)
{
    auto const request = "r" + std::to_string(number);
    auto& caller = this->callers[request];
    caller.leaves = this->chance(this->faults.callers_leave) ? this->some_time(milliseconds(10), seconds(2)) : MonotonicTime::max();
    auto const entry = static_cast<std::size_t>(this->random() % this->entries.size());
    this->home[request] = entry;
    // A caller whose entry does not answer goes elsewhere; that is a request of its own.
    if (this->is_away(this->entries[entry]))
        return;
    Work work;
    work.request = request;
    this->apply(work, RequestEvent::Admit);
    work.name = request + ".0";
    this->entries[entry].works.emplace(work.name, work);
    this->ask(entry, work.name);
}

bool World::apply(Work& work, RequestEvent event)
{
    return !work.state.apply(event).is_error();
}

void World::ask(std::size_t entry_number, std::string const& old_name)
{
    auto& entry = this->entries[entry_number];
    auto node = entry.works.extract(old_name);
    auto& work = node.mapped();
    ++work.attempt;
    work.name = work.request + "." + std::to_string(work.attempt);
    work.asked = this->now;
    work.decode.clear();
    node.key() = work.name;
    auto const name = work.name;
    entry.works.insert(std::move(node));
    PlacementAsk ask;
    ask.request = name;
    ask.account = "a";
    ask.model = "llm";
    ask.origin = entry.incarnation;
    ask.prompt_tokens = 200 + static_cast<std::int64_t>(this->random() % 6000);
    ask.maximum_output_tokens = 60;
    ask.first_token_deadline = this->now + TARGET;
    auto const keeper = this->keepers.size() - 1;
    this->send([this, keeper, ask] {
        if (!this->keepers[keeper].is_alive)
            return;
        this->keepers[keeper].scheduler->ask(ask, this->now);
        this->take_decisions(keeper);
    });
}

void World::take_decisions(std::size_t keeper)
{
    for (auto const& decision : this->keepers[keeper].scheduler->take_decisions()) {
        std::string const work = std::visit([](auto const& taken) { return taken.request; }, decision);
        auto const entry = this->home.at(work.substr(0, work.rfind('.')));
        if (auto const* grant = std::get_if<PlacementGrant>(&decision))
            this->send([this, entry, grant = *grant] { this->take_grant(entry, grant); });
        else
            this->send([this, entry, work] { this->take_refusal(entry, work); });
    }
}

void World::take_grant(std::size_t entry_number, PlacementGrant const& grant)
{
    auto& entry = this->entries[entry_number];
    auto const found = entry.works.find(grant.request);
    if (this->is_away(entry))
        return;
    // A grant that comes late, twice, or after its entry gave up is not used.
    if (found == entry.works.end() || found->second.is_over || !found->second.decode.empty() || this->now - found->second.asked > TARGET)
        return;
    auto& work = found->second;
    if (!this->apply(work, RequestEvent::PromiseSlot))
        return;
    work.prefill = grant.prefill_engine;
    work.decode = grant.decode_engine;
    this->apply(work, RequestEvent::DispatchPrefill);
    this->dispatched.insert(work.request);
    this->tell_progress(work, GrantProgress::Prefilling);
    this->call([this, name = work.name, incarnation = entry.incarnation, prefill = work.prefill] {
        auto& engine = this->engines.at(prefill);
        EngineModel::Prefill order { { name, incarnation, "a" }, 200 + static_cast<std::int64_t>(name.size() * 300), {}, 1, 0 };
        if (engine.is_alive)
            static_cast<void>(engine.model.start_prefill(std::move(order), this->now));
    });
}

void World::take_refusal(std::size_t entry_number, std::string const& name)
{
    auto& entry = this->entries[entry_number];
    auto const found = entry.works.find(name);
    if (this->is_away(entry) || found == entry.works.end() || found->second.is_over || !found->second.decode.empty())
        return;
    auto& work = found->second;
    if (!this->apply(work, RequestEvent::Refuse))
        this->apply(work, RequestEvent::GiveUp);
    this->answer(work);
}

void World::answer(Work& work)
{
    if (work.is_over)
        return;
    work.is_over = true;
    auto& caller = this->callers.at(work.request);
    ++caller.final_answers;
    if (caller.final_answers > 1)
        this->break_promise("answered twice: " + work.request);
    switch (work.state.outcome()) {
    case RequestOutcome::Answered:
        ++this->verdict.finished;
        break;
    case RequestOutcome::RefusedNotRun:
        ++this->verdict.refused;
        if (this->dispatched.contains(work.request))
            this->break_promise("not run, and it was dispatched: " + work.request);
        break;
    case RequestOutcome::FailedMayHaveRun:
        ++this->verdict.failed;
        break;
    case RequestOutcome::Cancelled:
        ++this->verdict.cancelled;
        break;
    case RequestOutcome::Pending:
        this->break_promise("a final answer without an outcome: " + work.request);
        break;
    }
}

void World::look_at_entry(std::size_t number)
{
    auto& entry = this->entries[number];
    if (!this->is_away(entry)) {
        std::vector<std::string> names;
        for (auto const& [name, work] : entry.works) {
            if (!work.is_over)
                names.push_back(name);
        }
        for (auto const& name : names)
            this->step(entry, entry.works.at(name));
    }
    this->at(this->now + LOOK, [this, number] { this->look_at_entry(number); });
}

void World::step(Entry& entry, Work& work)
{
    auto& caller = this->callers.at(work.request);
    if (caller.leaves <= this->now) {
        if (!std::exchange(caller.is_gone, true))
            caller.gone_at = caller.leaves;
        this->cancel_everywhere(work);
        this->apply(work, RequestEvent::CallerLeft);
        return this->answer(work);
    }
    switch (work.state.phase()) {
    case RequestPhase::Admitted:
        // Neither a grant nor a refusal came in time.
        if (this->now - work.asked <= TARGET)
            return;
        if (!this->apply(work, RequestEvent::Refuse))
            this->apply(work, RequestEvent::GiveUp);
        this->release(work);
        return this->answer(work);
    case RequestPhase::Prefilling:
        return this->step_prefilling(entry, work);
    case RequestPhase::Transferring:
        return this->step_transferring(work);
    case RequestPhase::Decoding:
        return this->step_decoding(work);
    default:
        return;
    }
}

void World::step_prefilling(Entry& entry, Work& work)
{
    auto& prefill = this->engines.at(work.prefill);
    auto& decode = this->engines.at(work.decode);
    if (!prefill.is_alive || prefill.model.prefill_phase(work.name) == EngineModel::PrefillPhase::Expired)
        return this->lose_upstream(entry, work);
    auto const exported = prefill.model.find_export(work.name);
    if (!exported)
        return;
    this->apply(work, RequestEvent::HoldCache);
    this->tell_progress(work, GrantProgress::CacheHeld);
    if (!decode.is_alive)
        return this->lose_upstream(entry, work);
    static_cast<void>(decode.model.start_decode({ { work.name, entry.incarnation, "a" }, exported->bytes, 1, 0, this->draw_output() }, this->now));
    this->apply(work, RequestEvent::StartTransfer);
    if (this->faults.stalled_transfers > 0) {
        --this->faults.stalled_transfers;
        decode.model.stall_transfer(work.name, this->now);
    }
}

// Most answers are short; a few run on for longer than the promise allows work of nobody to.
std::int64_t World::draw_output()
{
    return this->chance(0.1) ? 1200 : 8 + static_cast<std::int64_t>(this->random() % 50);
}

void World::step_transferring(Work& work)
{
    auto& prefill = this->engines.at(work.prefill);
    auto& decode = this->engines.at(work.decode);
    auto& entry = this->entries[this->home.at(work.request)];
    auto const stream = decode.model.find_stream(work.name);
    bool const is_held = prefill.is_alive && prefill.model.find_export(work.name).has_value();
    if (!decode.is_alive || !is_held || !stream)
        return this->lose_upstream(entry, work);
    if (stream->phase == EngineModel::DecodePhase::WaitingForSlot || stream->phase == EngineModel::DecodePhase::Importing)
        return;
    prefill.model.drop_export(work.name);
    this->apply(work, RequestEvent::StartDecode);
    this->tell_progress(work, GrantProgress::Decoding);
}

void World::step_decoding(Work& work)
{
    auto& decode = this->engines.at(work.decode);
    auto const stream = decode.model.find_stream(work.name);
    if (!decode.is_alive || !stream)
        return this->lose_upstream(this->entries[this->home.at(work.request)], work);
    if (stream->tokens_ready < work.seen)
        this->break_promise("tokens went back: " + work.name);
    work.seen = stream->tokens_ready;
    if (stream->phase != EngineModel::DecodePhase::Finished)
        return;
    if (stream->tokens_ready != stream->output_tokens)
        this->break_promise("finished and not whole: " + work.name);
    this->apply(work, RequestEvent::Finish);
    this->release(work);
    this->answer(work);
}

void World::lose_upstream(Entry& entry, Work& work)
{
    this->cancel_everywhere(work);
    if (work.attempt >= MOST_ATTEMPTS) {
        this->apply(work, RequestEvent::GiveUp);
        return this->answer(work);
    }
    this->apply(work, RequestEvent::LoseUpstream);
    work.seen = 0;
    auto const number = static_cast<std::size_t>(&entry - this->entries.data());
    this->ask(number, work.name);
}

void World::tell_progress(Work const& work, GrantProgress progress)
{
    auto const keeper = this->keepers.size() - 1;
    this->send([this, keeper, name = work.name, progress] {
        this->keepers[keeper].scheduler->progress(name, progress, this->now);
        this->take_decisions(keeper);
    });
}

void World::release(Work const& work)
{
    auto const keeper = this->keepers.size() - 1;
    this->send([this, keeper, name = work.name, tokens = work.seen] {
        this->keepers[keeper].scheduler->release(name, tokens, this->now);
        this->take_decisions(keeper);
    });
}

void World::cancel_everywhere(Work const& work)
{
    for (auto const& name : { work.prefill, work.decode }) {
        if (name.empty())
            continue;
        // A cancel is a call; one that fails is the reaper's matter here, so it may be lost.
        this->send([this, name, held = work.name] {
            auto& engine = this->engines.at(name);
            if (engine.is_alive)
                engine.model.cancel(held, this->now);
        });
    }
    this->release(work);
}

bool World::is_owned(std::string const& incarnation, std::string const& name) const
{
    for (auto const& entry : this->entries) {
        if (entry.incarnation != incarnation)
            continue;
        auto const found = entry.works.find(name);
        return found != entry.works.end() && !found->second.is_over;
    }
    return false;
}

void World::poll(std::size_t number)
{
    auto& keeper = this->keepers[number];
    if (!keeper.is_alive)
        return;
    for (auto& [name, engine] : this->engines) {
        if (!engine.is_alive)
            continue;
        EngineReport report;
        report.step_time = engine.model.step_time();
        for (auto const& held : engine.model.held())
            report.held.push_back({ held.owner.request, held.owner.origin, held.owner.account, HeldWork::Reader::None });
        this->send([this, number, name = name, report] {
            auto& told = this->keepers[number];
            if (!told.is_alive)
                return;
            if (this->now - told.since >= milliseconds(500))
                told.scheduler->report(name, report, this->now);
            if (!this->faults.without_reaper)
                this->reap(number, name, report);
        });
    }
    for (auto const& entry : this->entries) {
        if (!entry.is_alive && this->now - entry.died_at >= DETECTION + seconds(2))
            keeper.scheduler->remove_origin(entry.incarnation, this->now);
    }
    keeper.scheduler->advance(this->now);
    this->take_decisions(number);
    this->at(this->now + POLL, [this, number] { this->poll(number); });
}

void World::reap(std::size_t number, std::string const& engine, EngineReport const& report)
{
    auto const is_alive = [this](std::string_view origin) {
        for (auto const& entry : this->entries) {
            if (entry.incarnation == origin)
                return entry.is_alive || this->now - entry.died_at < DETECTION;
        }
        return false;
    };
    auto& keeper = this->keepers[number];
    auto const findings = keeper.reaper->observe(engine, report.held, is_alive, this->now);
    for (auto const& question : findings.questions) {
        this->send([this, number, question] {
            for (auto const& entry : this->entries) {
                bool const answers = entry.incarnation == question.origin && !this->is_away(entry);
                if (answers && !this->is_owned(question.origin, question.request))
                    this->send([this, number, question] { this->keepers[number].reaper->note_disowned(question.engine, question.request); });
            }
        });
    }
    for (auto const& cancellation : findings.cancellations) {
        this->send([this, cancellation] {
            auto& model = this->engines.at(cancellation.engine);
            for (auto const& entry : this->entries) {
                auto const found = entry.works.find(cancellation.request);
                if (entry.is_alive && found != entry.works.end() && !found->second.is_over)
                    this->break_promise("live work was cancelled: " + cancellation.request);
            }
            if (model.is_alive)
                model.model.cancel(cancellation.request, this->now);
        });
    }
}

void World::check_held()
{
    std::map<std::string, MonotonicTime> still;
    for (auto& [name, engine] : this->engines) {
        if (!engine.is_alive)
            continue;
        for (auto const& held : engine.model.held()) {
            bool is_wanted = false;
            for (auto const& entry : this->entries)
                is_wanted = is_wanted || (entry.is_alive && this->is_owned(entry.incarnation, held.owner.request));
            if (is_wanted)
                continue;
            auto const key = name + "/" + held.owner.request;
            auto const since = this->orphan_since.contains(key) ? this->orphan_since.at(key) : this->now;
            still.emplace(key, since);
            this->verdict.longest_orphan = std::max(this->verdict.longest_orphan, this->now - since);
            if (this->now - since > ORPHAN_BOUND)
                this->break_promise("held for nobody over the bound: " + key);
        }
    }
    this->orphan_since = std::move(still);
}

WorldVerdict World::run()
{
    auto const end = this->now + WHOLE_TIME;
    MonotonicTime next_check = this->now;
    while (!this->events.empty() && this->events.top().at <= end) {
        auto const event = this->events.top();
        this->events.pop();
        this->now = event.at;
        for (auto& [name, engine] : this->engines) {
            if (engine.is_alive)
                engine.model.advance(this->now);
        }
        event.run();
        if (this->now >= next_check) {
            this->check_held();
            next_check = this->now + milliseconds(50);
        }
    }
    for (auto const& entry : this->entries) {
        for (auto const& [name, work] : entry.works) {
            if (entry.is_alive && !work.is_over)
                this->break_promise("no final answer: " + name);
        }
    }
    for (auto const& [name, engine] : this->engines) {
        if (engine.is_alive && !engine.model.held().empty())
            this->break_promise("still held at the end: " + engine.model.held().front().owner.request);
    }
    for (auto const& keeper : this->keepers) {
        if (keeper.is_alive && keeper.scheduler->summary(this->now).granted > 0)
            this->break_promise("the keeper still counts a slot at the end");
    }
    return this->verdict;
}

}
