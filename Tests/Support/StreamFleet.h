// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibDecision/CellScheduler.h>
#include <Tests/Support/VirtualClock.h>
#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace Spurtide::Tests {

/// A model of prefill and decode engines in virtual time, driven by a CellScheduler. Time advances in steps of 10 ms. A decode
/// engine produces a token of each running answer per step; the steps get longer with the number of answers.
class StreamFleet {
public:
    struct Options {
        /// Factors on the engines' times; engine i has the i-th, in turn.
        std::vector<double> factors { 0.7, 0.7, 1.7 };
        int prefill_engines = 8;
        int decode_engines = 36;
        std::int64_t slots = 12;
        std::int64_t memory_tokens = 69'843;
        double step_milliseconds = 0.654;
        /// Relative growth of the step time per further answer.
        double batch_slope = 0.03;
        double prefill_tokens_per_millisecond = 55.6;
        double prompt_tokens = 5000;
        double prompt_spread = 0.5;
        double maximum_prompt_tokens = 11'000;
        double events = 70;
        double maximum_events = 130;
        double event_tokens = 70;
        double length_spread = 0.5;
        double hint_spread = 0.5;
        std::int64_t deadline_milliseconds = 14'000;
        std::int64_t first_token_milliseconds = 900;
        std::uint64_t seed = 1;
    };

    struct Tally {
        int asked = 0;
        /// First token and end in time.
        int on_time = 0;
        /// Complete, but with a late first token.
        int late = 0;
        /// Cut at the deadline.
        int cut = 0;
        int refused = 0;

        double share(int count) const { return this->asked > 0 ? static_cast<double>(count) / this->asked : 0; }
    };

    StreamFleet(Options fleet_options, CellScheduler::Options scheduler_options)
        : options(std::move(fleet_options))
        , scheduler(std::move(scheduler_options))
        , random(this->options.seed)
    {
        for (int i = 0; i < this->options.prefill_engines + this->options.decode_engines; ++i) {
            EngineDescription engine;
            bool const is_prefill = i < this->options.prefill_engines;
            engine.name = (is_prefill ? "p" : "d") + std::to_string(100 + i);
            engine.model = "llm";
            engine.role = is_prefill ? EngineRole::Prefill : EngineRole::Decode;
            engine.decode_slots = this->options.slots;
            engine.memory_tokens = this->options.memory_tokens;
            engine.prefill_rate = 50'000;
            engine.link_rate = 1e9;
            engine.tokens_per_event = static_cast<std::int64_t>(this->options.event_tokens);
            this->descriptions.push_back(engine);
            this->engines[engine.name].factor = this->options.factors[static_cast<std::size_t>(i) % this->options.factors.size()];
        }
        this->scheduler.set_engines(this->descriptions);
    }

    static CellScheduler::Options scheduler_options()
    {
        CellScheduler::Options made;
        made.memory_headroom = 0.03;
        made.forecast = { 0.6, 1, 0.1 };
        made.return_spread = milliseconds(1500);
        made.policy.decode_prefill = SchedulerPolicy::DecodePrefill::Overflow;
        made.policy.last_resort = SchedulerPolicy::LastResort::On;
        made.policy.backfill = SchedulerPolicy::Backfill::On;
        made.report_need = CellScheduler::Options::ReportNeed::None;
        made.cache_hold = milliseconds(500);
        made.initial_step_time = milliseconds(1);
        made.token_target = milliseconds(250);
        made.stale_grant_timeout = seconds(600);
        made.grant_lease = seconds(600);
        return made;
    }

    void set_accounts(std::vector<std::string> const& names)
    {
        std::vector<AccountDescription> accounts;
        for (auto const& name : names)
            accounts.push_back({ name, 1, 1e9, 1e9 });
        this->scheduler.set_accounts(accounts, at_milliseconds(0));
    }

    /// Runs until the given time. The rate of requests per second by account is asked for at each step; requests that arrive before
    /// the given time are not counted.
    void run(std::int64_t until, std::int64_t count_from, std::map<std::string, std::function<double(std::int64_t)>> const& rates)
    {
        for (; this->now < until; this->now += TICK) {
            for (auto const& [account, rate] : rates) {
                std::poisson_distribution<int> arrivals(rate(this->now) * static_cast<double>(TICK) / 1000);
                for (int i = arrivals(this->random); i > 0; --i)
                    this->ask(account, this->now >= count_from);
            }
            this->advance_engines();
            this->scheduler.advance(this->time());
            this->take_decisions();
        }
    }

    Tally const& tally(std::string const& account = "a") { return this->tallies[account]; }

    CellScheduler& cell() { return this->scheduler; }

private:
    static constexpr std::int64_t TICK = 10;

    struct Request {
        std::string account;
        bool is_counted = false;
        double prompt = 0;
        double length = 0;
        std::int64_t asked_at = 0;
        std::int64_t first_token_at = -1;
        double done = 0;
        std::string prefill;
        std::string decode;
        bool is_decoding = false;
    };

    struct Engine {
        double factor = 1;
        std::vector<std::string> prefills;
        double prefilled = 0;
        std::vector<std::string> running;
    };

    MonotonicTime time() const { return at_milliseconds(this->now); }

    double log_normal(double median, double spread) { return median * std::exp(spread * std::normal_distribution<double>()(this->random)); }

    void ask(std::string const& account, bool is_counted)
    {
        auto const name = "r" + std::to_string(this->next_request++);
        Request request;
        request.account = account;
        request.is_counted = is_counted;
        request.prompt = std::min(this->options.maximum_prompt_tokens, this->log_normal(this->options.prompt_tokens, this->options.prompt_spread));
        auto const events = std::min(this->options.maximum_events, std::max(1.0, this->log_normal(this->options.events, this->options.length_spread)));
        request.length = std::round(events) * this->options.event_tokens;
        request.asked_at = this->now;
        if (is_counted)
            ++this->tallies[account].asked;
        PlacementAsk ask;
        ask.request = name;
        ask.account = account;
        ask.model = "llm";
        ask.origin = "entry";
        ask.prompt_tokens = static_cast<std::int64_t>(request.prompt);
        ask.maximum_output_tokens = static_cast<std::int64_t>(this->options.maximum_events * this->options.event_tokens);
        ask.expected_output_tokens = std::min(ask.maximum_output_tokens, static_cast<std::int64_t>(this->log_normal(request.length, this->options.hint_spread)));
        ask.first_token_deadline = at_milliseconds(this->now + this->options.first_token_milliseconds);
        ask.decide_by = at_milliseconds(this->now + this->options.first_token_milliseconds / 2);
        ask.finish_by = at_milliseconds(this->now + this->options.deadline_milliseconds);
        this->requests.emplace(name, request);
        this->scheduler.ask(ask, this->time());
        this->take_decisions();
    }

    void take_decisions()
    {
        for (auto const& decision : this->scheduler.take_decisions()) {
            if (auto const* grant = std::get_if<PlacementGrant>(&decision)) {
                auto& request = this->requests.at(grant->request);
                request.prefill = grant->prefill_engine;
                request.decode = grant->decode_engine;
                this->engines.at(request.prefill.empty() ? request.decode : request.prefill).prefills.push_back(grant->request);
                this->scheduler.progress(grant->request, GrantProgress::Prefilling, this->time());
                continue;
            }
            auto const name = std::get<PlacementRefusal>(decision).request;
            this->count(this->requests.at(name), &Tally::refused);
            this->requests.erase(name);
        }
    }

    void count(Request const& request, int Tally::*field)
    {
        if (request.is_counted)
            ++(this->tallies[request.account].*field);
    }

    void advance_engines()
    {
        for (auto& [name, engine] : this->engines) {
            this->advance_prefills(name, engine);
            this->advance_answers(engine);
        }
        std::vector<std::string> ended;
        for (auto const& [name, request] : this->requests) {
            bool const is_complete = request.is_decoding && request.done >= request.length;
            if (is_complete || this->now - request.asked_at >= this->options.deadline_milliseconds)
                ended.push_back(name);
        }
        for (auto const& name : ended)
            this->end(name);
    }

    void advance_prefills(std::string const& name, Engine& engine)
    {
        if (engine.prefills.empty())
            return;
        // A decode engine runs prefills at half the rate.
        auto const rate = this->options.prefill_tokens_per_millisecond / engine.factor * (name.starts_with("p") ? 1 : 0.5);
        engine.prefilled += rate * static_cast<double>(TICK);
        while (!engine.prefills.empty()) {
            auto const request = engine.prefills.front();
            if (engine.prefilled < this->requests.at(request).prompt)
                return;
            engine.prefilled -= this->requests.at(request).prompt;
            engine.prefills.erase(engine.prefills.begin());
            if (!this->requests.at(request).prefill.empty())
                this->scheduler.progress(request, GrantProgress::CacheHeld, this->time());
            this->engines.at(this->requests.at(request).decode).running.push_back(request);
        }
        engine.prefilled = 0;
    }

    // Answers that find no slot or memory wait in the order of their start.
    void advance_answers(Engine& engine)
    {
        double memory = 0;
        std::vector<std::string> active;
        for (auto const& name : engine.running) {
            auto const& request = this->requests.at(name);
            memory += request.prompt + request.done;
            if (memory > static_cast<double>(this->options.memory_tokens) || active.size() >= static_cast<std::size_t>(this->options.slots))
                break;
            active.push_back(name);
        }
        auto const step = this->options.step_milliseconds * engine.factor * (1 + this->options.batch_slope * static_cast<double>(std::max<std::size_t>(1, active.size()) - 1));
        for (auto const& name : active) {
            auto& request = this->requests.at(name);
            request.done += static_cast<double>(TICK) / step;
            if (request.is_decoding)
                continue;
            request.is_decoding = true;
            request.first_token_at = this->now;
            this->scheduler.progress(name, GrantProgress::Decoding, this->time());
        }
    }

    void end(std::string const& name)
    {
        auto const request = this->requests.at(name);
        bool const is_complete = request.is_decoding && request.done >= request.length;
        bool const is_first_in_time = request.first_token_at >= 0 && request.first_token_at - request.asked_at <= this->options.first_token_milliseconds;
        this->count(request, !is_complete ? &Tally::cut : is_first_in_time ? &Tally::on_time
                                                                           : &Tally::late);
        for (auto& [engine_name, engine] : this->engines) {
            std::erase(engine.prefills, name);
            std::erase(engine.running, name);
        }
        this->requests.erase(name);
        this->scheduler.release(name, static_cast<std::int64_t>(std::min(request.done, request.length)), this->time());
        this->take_decisions();
    }

    Options options;
    CellScheduler scheduler;
    std::mt19937_64 random;
    std::vector<EngineDescription> descriptions;
    std::map<std::string, Engine> engines;
    std::map<std::string, Request> requests;
    std::map<std::string, Tally> tallies;
    std::int64_t now = 0;
    std::int64_t next_request = 0;
};

}
