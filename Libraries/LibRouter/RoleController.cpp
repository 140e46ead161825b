// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibAsync/Spawn.h>
#include <LibCore/Clock.h>
#include <LibCore/LogLine.h>
#include <LibCore/MonotonicTimer.h>
#include <LibRouter/RoleController.h>
#include <LibRouter/UpstreamCall.h>
#include <array>

namespace Spurtide {

namespace {

constexpr std::string_view LEASE_NAME = "roles";
/// An engine that accepted an order but does not report its new role within this time is used in the role that it reports.
constexpr Duration ROLE_CHANGE_TIMEOUT = seconds(20);

std::string_view role_name(EngineRole role) { return role == EngineRole::Prefill ? "prefill" : "decode"; }

}

RoleController::RoleController(Options options, RouterState& state, LeasePort& port, std::string holder, Hooks hooks)
    : options(options)
    , state(state)
    , port(port)
    , hooks(std::move(hooks))
    , lease(options.lease, std::move(holder))
{
}

void RoleController::start()
{
    spawn_lasting(this->state.loop.get_executor(), "control_roles", [this] { return this->run(); });
}

RoleBalancer& RoleController::balancer_of(std::string const& model)
{
    return this->balancers.try_emplace(model, this->options.balancer).first->second;
}

void RoleController::note_request(std::string const& model, std::int64_t prompt_tokens, std::int64_t output_tokens)
{
    this->balancer_of(model).note_request(prompt_tokens, output_tokens, monotonic_now());
}

asio::awaitable<void> RoleController::pause(Duration duration)
{
    MonotonicTimer timer(this->state.loop, duration);
    asio::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> RoleController::run()
{
    while (true) {
        co_await this->pause(this->options.evaluation_interval);
        auto const now = monotonic_now();
        this->remove_finished_changes(now);
        if (auto const known = this->state.upstreams.version(); known != StorePosition())
            this->lease.note_era(known.era, now);
        if (!this->hooks.is_keeper()) {
            this->keeper_since.reset();
            continue;
        }
        if (!this->keeper_since)
            this->keeper_since = now;
        if (now - *this->keeper_since < this->options.minimum_keeper_time)
            continue;
        auto due = this->find_due(now);
        if (!due)
            continue;
        bool const is_held = co_await this->acquire_lease();
        if (is_held)
            co_await this->order(std::move(*due));
    }
}

std::optional<RoleController::DueChange> RoleController::find_due(MonotonicTime now)
{
    for (auto const& [model, engines] : this->hooks.engine_states()) {
        std::vector<RoleCandidate> candidates;
        EngineCapacity capacity { 0, 0, 0, Duration::zero(), EngineCapacity::Source::Assumed };
        for (auto const& engine : engines) {
            // Engines that change their role are reported as leaving by this process itself.
            if (engine.is_leaving && !this->is_changing(engine.name))
                continue;
            candidates.push_back({ engine.name, engine.role, engine.work, engine.data_centre, engine.is_failing, engine.relative_time, engine.is_speed_measured });
            capacity.prefill_rate = std::max(capacity.prefill_rate, engine.prefill_rate);
            capacity.memory_tokens = std::max(capacity.memory_tokens, engine.memory_tokens);
            capacity.decode_slots = std::max(capacity.decode_slots, engine.decode_slots);
            capacity.step_time = std::max(capacity.step_time, engine.step_time);
            if (engine.is_rate_measured)
                capacity.source = EngineCapacity::Source::Measured;
        }
        auto const change = this->balancer_of(model).next_change(candidates, capacity, now);
        if (change) {
            std::array<char, 96> text {};
            std::snprintf(text.data(), text.size(), "engines:%zu,pace:%s,prefill_rate:%.0f,step_us:%lld", candidates.size(), capacity.source == EngineCapacity::Source::Measured ? "measured" : "assumed", capacity.prefill_rate, static_cast<long long>(capacity.step_time.count()));
            return DueChange { model, *change, text.data() };
        }
    }
    return {};
}

asio::awaitable<bool> RoleController::acquire_lease()
{
    auto const step = this->lease.next_step(monotonic_now(), this->options.order_timeout);
    if (step == LeaseTerm::Step::Use)
        co_return true;
    if (step == LeaseTerm::Step::Wait) {
        // The row may be released or renewed during the pause.
        co_await this->pause(this->options.failure_delay);
        this->lease.note_write_failed();
        co_return false;
    }
    std::string const name(LEASE_NAME);
    if (step == LeaseTerm::Step::Read) {
        auto const reading = co_await this->port.read_lease(name);
        if (reading.is_error()) {
            LogLine("lease_read_failed").with("error", to_string(reading.error()));
            co_await this->pause(this->options.failure_delay);
            co_return false;
        }
        this->lease.note_read(reading.value(), monotonic_now());
        co_return this->lease.is_held(monotonic_now() + this->options.order_timeout);
    }
    this->lease.note_write_sent(monotonic_now());
    auto const written = co_await this->port.write_lease(name, this->lease.holder(), this->lease.expected_version());
    if (written.is_error()) {
        LogLine("lease_write_failed").with("error", to_string(written.error())).with("expected_version", this->lease.expected_version().version).with("era", this->lease.expected_version().era);
        this->lease.note_write_failed();
        co_await this->pause(this->options.failure_delay);
        co_return false;
    }
    this->lease.note_written(written.value(), monotonic_now());
    bool const is_held = this->lease.is_held(monotonic_now() + this->options.order_timeout);
    LogLine(is_held ? "lease_acquired" : "lease_written_in_new_era").with("holder", this->lease.holder()).with("fence", this->lease.fence()).with("version", written.value().version).with("era", written.value().era);
    co_return is_held;
}

asio::awaitable<void> RoleController::order(DueChange due)
{
    auto& balancer = this->balancer_of(due.model);
    auto const* record = this->state.upstreams.find(due.change.engine);
    if (!record) {
        balancer.note_refused(due.change.engine, monotonic_now());
        co_return;
    }
    UpstreamRecord const engine = *record;
    auto const status = co_await this->fetch_status(engine);
    bool const may_order = status && !status->is_under_order && status->role != due.change.role;
    if (!may_order) {
        LogLine("role_order_skipped").with("engine", due.change.engine).with("role", role_name(due.change.role)).with("reason", !status ? "no_status" : status->is_under_order ? "under_order"
                                                                                                                                                                               : "has_it");
        balancer.note_refused(due.change.engine, monotonic_now());
        co_return;
    }
    // The lease may be about to expire after the status request.
    if (!this->lease.is_held(monotonic_now() + this->options.order_timeout) || !this->hooks.is_keeper())
        co_return;
    RoleOrder order;
    order.role = due.change.role;
    order.holder = this->lease.holder();
    order.fence = this->lease.fence();
    order.expected_orders_taken = status->orders_taken;
    order.expected_identity = due.change.engine;
    balancer.note_ordered(due.change, monotonic_now());
    auto const answer = co_await this->send_order(engine, order);
    LogLine("role_ordered").with("engine", due.change.engine).with("role", role_name(due.change.role)).with("fence", order.fence).with("orders_taken", status->orders_taken).with("status", answer).with("because", due.inputs);
    auto const now = monotonic_now();
    constexpr int HTTP_ACCEPTED = 202;
    if (answer == HTTP_ACCEPTED) {
        this->accepted_orders.insert_or_assign(due.change.engine, AcceptedOrder { due.change.role, now });
        this->hooks.on_change();
    }
    // NOTE: An order without an answer may still be executed, so the balancer keeps counting it.
}

asio::awaitable<std::optional<EngineStatus>> RoleController::fetch_status(UpstreamRecord engine)
{
    HttpRequest request { this->state.dialect.engine_status_request_head(engine.address), {} };
    ConnectionPool::Call options;
    options.freshness = ConnectionPool::Freshness::New;
    options.timeout = this->options.order_timeout;
    auto const answer = co_await call_upstream(this->state, engine, std::move(request), CallPurpose::NewWork, std::move(options));
    if (answer.is_error() || answer.value().head.status != 200 || !answer.value().body)
        co_return std::nullopt;
    auto const status = this->state.dialect.read_engine_status(*answer.value().body);
    if (status.is_error())
        co_return std::nullopt;
    co_return status.value();
}

// Returns the status of the answer; 0 if there was none.
asio::awaitable<int> RoleController::send_order(UpstreamRecord engine, RoleOrder order)
{
    ConnectionPool::Call options;
    options.freshness = ConnectionPool::Freshness::New;
    options.timeout = this->options.order_timeout;
    options.may_send = [this] { return this->lease.is_held(monotonic_now()); };
    auto request = this->state.dialect.role_order_request(engine.address, order);
    auto const answer = co_await call_upstream(this->state, engine, std::move(request), CallPurpose::NewWork, std::move(options));
    co_return answer.is_error() ? 0 : answer.value().head.status;
}

void RoleController::remove_finished_changes(MonotonicTime now)
{
    auto const removed = std::erase_if(this->accepted_orders, [&](auto const& entry) {
        auto const* record = this->state.upstreams.find(entry.first);
        bool const is_over = !record || record->role == entry.second.role || now - entry.second.since >= ROLE_CHANGE_TIMEOUT;
        if (is_over)
            LogLine("role_changed").with("engine", entry.first).with("role", role_name(entry.second.role)).with("outcome", !record ? "gone" : record->role == entry.second.role ? "done"
                                                                                                                                                                                : "not_seen");
        return is_over;
    });
    if (removed > 0)
        this->hooks.on_change();
}

}
