// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibAsync/Spawn.h>
#include <LibCore/Clock.h>
#include <LibCore/LogLine.h>
#include <LibCore/MonotonicTimer.h>
#include <LibRouter/ReplicatedQuarantine.h>
#include <algorithm>

namespace Spurtide {

namespace {

constexpr Duration CLEANUP_INTERVAL = seconds(10);

void write_entry(QuarantineEntry const& entry, wire::QuarantineRecord& message)
{
    message.set_fingerprint(entry.request.to_bytes());
    message.set_times(entry.times);
    message.set_until(entry.until);
    message.set_lifted(entry.lifted);
    for (auto const& part : entry.parts)
        message.add_parts(part.hash);
}

}

ReplicatedQuarantine::ReplicatedQuarantine(Options options, Kernel& kernel, VirtualMachineRanking const& ranking, QuarantinePort& store, asio::io_context& loop)
    : options(options)
    , kernel(kernel)
    , ranking(ranking)
    , store(store)
    , loop(loop)
    , quarantine(options.quarantine)
{
}

void ReplicatedQuarantine::start()
{
    this->kernel.every(CLEANUP_INTERVAL, [this] { this->quarantine.forget_old(unix_milliseconds()); });
}

std::optional<Duration> ReplicatedQuarantine::held_for(RequestFingerprint const& request) const { return this->quarantine.held_for(request, unix_milliseconds()); }

std::optional<Duration> ReplicatedQuarantine::held_for(PromptParts const& parts) const { return this->quarantine.held_for(parts, unix_milliseconds()); }

bool ReplicatedQuarantine::is_on_probation(RequestFingerprint const& request) const { return this->quarantine.is_on_probation(request, unix_milliseconds()); }

void ReplicatedQuarantine::add(RequestFingerprint const& request) { this->replicate(this->quarantine.add(request, unix_milliseconds())); }

void ReplicatedQuarantine::add(PromptParts const& parts) { this->replicate(this->quarantine.add(parts, unix_milliseconds())); }

void ReplicatedQuarantine::note_served(PromptParts const& parts)
{
    for (auto const& entry : this->quarantine.lift(parts, unix_milliseconds())) {
        LogLine("quarantine_lifted").with("fingerprint", entry.request.to_hex()).with("parts", describe(entry.parts)).with("because", "served");
        this->replicate(entry);
    }
}

void ReplicatedQuarantine::replicate(QuarantineEntry const& entry)
{
    this->broadcast(entry);
    this->pending_writes.insert_or_assign(entry.request, entry);
    this->start_writing();
}

void ReplicatedQuarantine::start_writing()
{
    if (!std::exchange(this->is_writing, true))
        spawn_lasting(this->loop.get_executor(), "write_quarantine", [this] { return this->write_store(); });
}

void ReplicatedQuarantine::broadcast(QuarantineEntry const& entry)
{
    auto envelope = message_to(QUARANTINE_SERVICE);
    write_entry(entry, *envelope.mutable_quarantine_records()->add_records());
    for (auto const& name : this->kernel.directory().virtual_machines_with(PLACEMENT_SERVICE)) {
        if (name != this->kernel.virtual_machine())
            this->kernel.notify(this->ranking.endpoint_of(name), envelope);
    }
}

bool ReplicatedQuarantine::has_recent_store_read() const { return this->store_read_at && monotonic_now() - *this->store_read_at < this->options.store_read_validity; }

void ReplicatedQuarantine::refresh_from_store()
{
    if (!this->has_recent_store_read() && !std::exchange(this->is_reading, true))
        spawn_lasting(this->loop.get_executor(), "read_quarantine", [this] { return this->read_store(); });
}

asio::awaitable<void> ReplicatedQuarantine::read_store()
{
    auto const entries = co_await this->store.read_quarantine();
    this->is_reading = false;
    this->store_read_at = monotonic_now();
    if (entries.is_error()) {
        LogLine("quarantine_read_failed").with("error", to_string(entries.error()));
        co_return;
    }
    this->outdated.clear();
    for (auto const& entry : entries.value()) {
        if (this->quarantine.is_expired(entry, unix_milliseconds()))
            this->outdated.push_back(entry.request);
        else
            this->merge(entry, "store");
    }
}

void ReplicatedQuarantine::verify_store(std::int64_t era)
{
    bool const is_due = this->quarantine.size() > 0 && this->verified_era != era;
    if (is_due && !std::exchange(this->is_verifying, true))
        spawn_lasting(this->loop.get_executor(), "verify_quarantine", [this, era] { return this->verify_rows(era); });
}

asio::awaitable<void> ReplicatedQuarantine::verify_rows(std::int64_t era)
{
    auto const stored = co_await this->store.read_quarantine();
    this->is_verifying = false;
    if (stored.is_error()) {
        LogLine("quarantine_verification_failed").with("error", to_string(stored.error())).with("era", era);
        co_return;
    }
    this->verified_era = era;
    auto const now = unix_milliseconds();
    auto const& rows = stored.value();
    for (auto const& row : rows) {
        if (!this->quarantine.is_expired(row, now))
            this->merge(row, "store");
    }
    std::int64_t lost = 0;
    for (auto const& entry : this->quarantine.entries()) {
        if (this->quarantine.is_expired(entry, now) || std::find(rows.begin(), rows.end(), entry) != rows.end())
            continue;
        this->pending_writes.insert_or_assign(entry.request, entry);
        ++lost;
    }
    LogLine("quarantine_verified").with("era", era).with("rows", static_cast<std::int64_t>(rows.size())).with("lost", lost);
    if (lost > 0)
        this->start_writing();
}

asio::awaitable<void> ReplicatedQuarantine::write_store()
{
    auto retry_delay = this->options.initial_write_retry_delay;
    MonotonicTimer timer(this->loop);
    while (!this->pending_writes.empty()) {
        auto const entry = this->pending_writes.begin()->second;
        auto const written = co_await this->store.write_quarantine(entry, this->outdated);
        if (!written.is_error()) {
            LogLine("quarantine_written").with("fingerprint", entry.request.to_hex()).with("times", entry.times);
            this->outdated.clear();
            // The entry may have been replaced during the write.
            auto const found = this->pending_writes.find(entry.request);
            if (found != this->pending_writes.end() && found->second == entry)
                this->pending_writes.erase(found);
            retry_delay = this->options.initial_write_retry_delay;
            continue;
        }
        LogLine("quarantine_write_failed").with("fingerprint", entry.request.to_hex()).with("error", to_string(written.error()));
        timer.expires_after(retry_delay);
        retry_delay = std::min(retry_delay * 2, this->options.maximum_write_retry_delay);
        asio::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        auto const now = unix_milliseconds();
        std::erase_if(this->pending_writes, [&](auto const& waiting) { return this->quarantine.is_expired(waiting.second, now); });
    }
    this->is_writing = false;
}

void ReplicatedQuarantine::merge(QuarantineEntry const& entry, std::string_view source)
{
    if (this->quarantine.merge(entry, unix_milliseconds()) == Quarantine::MergeResult::Changed)
        LogLine("quarantine_received").with("fingerprint", entry.request.to_hex()).with("parts", describe(entry.parts)).with("times", entry.times).with("until", entry.until).with("lifted", entry.lifted).with("source", source);
}

void ReplicatedQuarantine::merge(wire::QuarantineRecords const& records)
{
    for (auto const& record : records.records()) {
        auto const request = RequestFingerprint::from_bytes(record.fingerprint());
        if (!request)
            continue;
        QuarantineEntry entry { *request, record.times(), record.until() };
        entry.lifted = record.lifted();
        for (auto const hash : record.parts())
            entry.parts.push_back({ hash });
        entry.parts = make_prompt_parts(std::move(entry.parts));
        this->merge(entry, "peer");
    }
}

void ReplicatedQuarantine::handle_digest(std::string const& endpoint, std::uint64_t other)
{
    // A digest of 0 stands for an empty list.
    if (other == 0 || other == this->digest() || endpoint.empty() || std::exchange(this->is_fetching, true))
        return;
    auto envelope = message_to(QUARANTINE_SERVICE);
    envelope.mutable_get_quarantine();
    this->kernel.request(endpoint, std::move(envelope), this->options.fetch_timeout, [this](WireReply const& reply) {
        this->is_fetching = false;
        if (!reply.is_error() && reply.value().has_quarantine_records())
            this->merge(reply.value().quarantine_records());
    });
}

bool ReplicatedQuarantine::handle(wire::Envelope const& request, Kernel::Responder const& respond)
{
    if (request.has_quarantine_records()) {
        this->merge(request.quarantine_records());
        return true;
    }
    if (!request.has_get_quarantine())
        return false;
    wire::Envelope reply;
    auto* records = reply.mutable_quarantine_records();
    for (auto const& entry : this->quarantine.entries())
        write_entry(entry, *records->add_records());
    respond(std::move(reply));
    return true;
}

}
