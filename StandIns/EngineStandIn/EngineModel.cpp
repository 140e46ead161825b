// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <StandIns/EngineStandIn/EngineModel.h>
#include <algorithm>
#include <array>
#include <xxhash.h>

namespace Spurtide {

namespace {

constexpr std::size_t CACHE_EVENTS_KEPT = 1024;
constexpr Duration EXPIRED_NAMES_KEPT = seconds(30);
constexpr std::int64_t BYTES_PER_TOKEN = 4;
constexpr std::int64_t SHORTEST_PREFIX_TOKENS = 64;
constexpr std::int64_t SHORTEST_ANSWER = 8;
constexpr std::int64_t ANSWER_SPREAD = 56;

constexpr std::array<std::string_view, 24> WORDS = {
    "the", "order", "of", "stock", "price", "table", "for", "guest", "roof", "tile", "lime", "mortar",
    "confirm", "substitute", "delivered", "by", "noon", "seating", "note", "window", "at", "eight", "with", "total"
};

}

EngineModel::EngineModel(Options options)
    : options(options)
    , link(options.link_bytes_per_second)
    , random(options.seed)
{
}

Result<Done, EngineModel::AdmitError> EngineModel::start_prefill(Prefill prefill, MonotonicTime now)
{
    this->advance(now);
    if (this->leaving)
        return Failure { AdmitError::Leaving };
    auto const phase = this->prefill_phase(prefill.owner.request);
    if (phase == PrefillPhase::Queued || phase == PrefillPhase::Held)
        return Failure { AdmitError::Duplicate };
    auto const expired_before = this->expired.find(prefill.owner.request);
    if (expired_before != this->expired.end())
        this->expired.erase(expired_before);
    this->queued.insert(prefill.owner.request);
    this->prefill_queue.push_back(std::move(prefill));
    this->start_next_prefill(now);
    return Done {};
}

void EngineModel::start_next_prefill(MonotonicTime now)
{
    if (this->running || this->prefill_queue.empty())
        return;
    Running next;
    next.prefill = std::move(this->prefill_queue.front());
    this->prefill_queue.pop_front();
    this->queued.erase(next.prefill.owner.request);
    next.cached_tokens = this->match_prefix(next.prefill);
    auto const tokens = next.prefill.tokens - next.cached_tokens;
    next.ends = now + this->options.prefill_base + from_seconds(static_cast<double>(tokens) / this->options.prefill_tokens_per_second);
    this->running = std::move(next);
}

void EngineModel::finish_prefill()
{
    auto done = std::move(*this->running);
    this->running.reset();
    this->running_totals.prefilled_tokens += done.prefill.tokens - done.cached_tokens;
    this->remember_prefixes(done.prefill, done.ends);
    Export result;
    result.owner = done.prefill.owner;
    result.tokens = done.prefill.tokens;
    result.cached_tokens = done.cached_tokens;
    result.bytes = static_cast<std::int64_t>(static_cast<double>(done.prefill.tokens) * this->options.cache_bytes_per_token);
    result.content = done.prefill.content;
    result.continuation_tokens = done.prefill.continuation_tokens;
    result.expires = done.ends + this->options.cache_hold;
    this->exports.insert_or_assign(result.owner.request, result);
    this->start_next_prefill(done.ends);
}

void EngineModel::expire_exports(MonotonicTime now)
{
    for (auto position = this->exports.begin(); position != this->exports.end();) {
        if (position->second.expires > now) {
            ++position;
            continue;
        }
        this->running_totals.wasted_tokens += position->second.tokens - position->second.cached_tokens;
        this->expired.insert_or_assign(position->first, now);
        position = this->exports.erase(position);
    }
    std::erase_if(this->expired, [&](auto const& entry) { return now - entry.second > EXPIRED_NAMES_KEPT; });
}

void EngineModel::let_exports_lapse(MonotonicTime now)
{
    for (auto& [request, held] : this->exports)
        held.expires = std::min(held.expires, now);
    this->expire_exports(now);
}

Result<Done, EngineModel::AdmitError> EngineModel::start_decode(Decode decode, MonotonicTime now)
{
    this->advance(now);
    if (this->leaving)
        return Failure { AdmitError::Leaving };
    auto const known = this->streams.find(decode.owner.request);
    if (known != this->streams.end() && known->second.phase != DecodePhase::Finished)
        return Failure { AdmitError::Duplicate };
    Stream stream;
    stream.owner = decode.owner;
    stream.phase = DecodePhase::WaitingForSlot;
    stream.content = decode.content;
    stream.first_offset = decode.first_offset;
    stream.tokens_ready = decode.first_offset;
    stream.output_tokens = std::max(decode.output_tokens, decode.first_offset);
    auto const request = decode.owner.request;
    this->streams.insert_or_assign(request, stream);
    this->imports.insert_or_assign(request, std::move(decode));
    this->slot_queue.push_back(request);
    this->start_imports(now);
    return Done {};
}

void EngineModel::start_imports(MonotonicTime now)
{
    while (!this->slot_queue.empty() && this->slots_in_use() < this->options.decode_slots) {
        auto const request = this->slot_queue.front();
        this->slot_queue.pop_front();
        this->streams.at(request).phase = DecodePhase::Importing;
        this->link.start(request, static_cast<double>(this->imports.at(request).bytes), now);
    }
}

bool EngineModel::cancel(std::string_view request, MonotonicTime now)
{
    this->advance(now);
    bool found = false;
    auto const is_named = [&](Prefill const& prefill) { return prefill.owner.request == request; };
    if (auto const position = this->queued.find(request); position != this->queued.end()) {
        this->queued.erase(position);
        std::erase_if(this->prefill_queue, is_named);
        found = true;
    }
    if (this->running && is_named(this->running->prefill)) {
        auto const unspent = to_seconds(this->running->ends - now) * this->options.prefill_tokens_per_second;
        auto const spent = std::max<std::int64_t>(0, this->running->prefill.tokens - this->running->cached_tokens - static_cast<std::int64_t>(unspent));
        this->running_totals.prefilled_tokens += spent;
        this->running_totals.wasted_tokens += spent;
        this->running.reset();
        this->start_next_prefill(now);
        found = true;
    }
    auto const held = this->exports.find(request);
    if (held != this->exports.end()) {
        this->running_totals.wasted_tokens += held->second.tokens - held->second.cached_tokens;
        this->exports.erase(held);
        found = true;
    }
    auto const stream = this->streams.find(request);
    if (stream != this->streams.end()) {
        std::erase_if(this->slot_queue, [&](auto const& name) { return name == request; });
        this->link.cancel(request, now);
        auto const import = this->imports.find(request);
        if (import != this->imports.end())
            this->imports.erase(import);
        this->streams.erase(stream);
        this->start_imports(now);
        found = true;
    }
    return found;
}

bool EngineModel::drop_export(std::string_view request)
{
    auto const found = this->exports.find(request);
    if (found == this->exports.end())
        return false;
    this->exports.erase(found);
    return true;
}

void EngineModel::set_origin(std::string_view request, std::string origin)
{
    auto const found = this->streams.find(request);
    if (found != this->streams.end())
        found->second.owner.origin = std::move(origin);
}

std::int64_t EngineModel::decoding() const
{
    return std::count_if(this->streams.begin(), this->streams.end(), [](auto const& entry) { return entry.second.phase == DecodePhase::Decoding; });
}

std::int64_t EngineModel::slots_in_use() const
{
    return std::count_if(this->streams.begin(), this->streams.end(), [](auto const& entry) {
        return entry.second.phase == DecodePhase::Decoding || entry.second.phase == DecodePhase::Importing;
    });
}

Duration EngineModel::step_time() const
{
    return this->options.step_base + this->options.step_per_sequence * std::max<std::int64_t>(1, this->decoding());
}

void EngineModel::begin_steps(MonotonicTime now)
{
    if (!this->step_ends && this->decoding() > 0)
        this->step_ends = now + this->step_time();
}

void EngineModel::step(MonotonicTime now)
{
    this->step_ends.reset();
    for (auto& [request, stream] : this->streams) {
        if (stream.phase != DecodePhase::Decoding)
            continue;
        ++stream.tokens_ready;
        ++this->running_totals.decoded_tokens;
        if (stream.tokens_ready >= stream.output_tokens) {
            stream.phase = DecodePhase::Finished;
            stream.finished_at = now;
        }
    }
    this->start_imports(now);
    this->begin_steps(now);
}

void EngineModel::forget_finished(MonotonicTime now)
{
    std::erase_if(this->streams, [&](auto const& entry) {
        return entry.second.phase == DecodePhase::Finished && now - entry.second.finished_at > this->options.finished_text_kept;
    });
}

void EngineModel::advance(MonotonicTime now)
{
    while (true) {
        auto const next = this->next_event();
        auto const moment = next ? std::min(*next, now) : now;
        for (auto const& request : this->link.advance(moment)) {
            this->imports.erase(request);
            auto& stream = this->streams.at(request);
            bool const nothing_left = stream.tokens_ready >= stream.output_tokens;
            stream.phase = nothing_left ? DecodePhase::Finished : DecodePhase::Decoding;
            stream.finished_at = moment;
        }
        this->begin_steps(moment);
        if (this->running && this->running->ends <= moment)
            this->finish_prefill();
        if (this->step_ends && *this->step_ends <= moment)
            this->step(*this->step_ends);
        this->expire_exports(moment);
        if (!next || *next > now)
            break;
    }
    this->forget_finished(now);
}

std::optional<MonotonicTime> EngineModel::next_event() const
{
    std::optional<MonotonicTime> next;
    auto const consider = [&](std::optional<MonotonicTime> const& time) {
        if (time)
            next = next ? std::min(*next, *time) : *time;
    };
    if (this->running)
        consider(this->running->ends);
    consider(this->step_ends);
    consider(this->link.next_completion());
    for (auto const& [request, held] : this->exports)
        consider(held.expires);
    return next;
}

EngineModel::PrefillPhase EngineModel::prefill_phase(std::string_view request) const
{
    if (this->exports.find(request) != this->exports.end())
        return PrefillPhase::Held;
    if (this->running && this->running->prefill.owner.request == request)
        return PrefillPhase::Queued;
    if (this->queued.contains(request))
        return PrefillPhase::Queued;
    return this->expired.find(request) != this->expired.end() ? PrefillPhase::Expired : PrefillPhase::Unknown;
}

std::optional<EngineModel::Export> EngineModel::find_export(std::string_view request) const
{
    auto const found = this->exports.find(request);
    if (found == this->exports.end())
        return {};
    return found->second;
}

std::optional<EngineModel::Stream> EngineModel::find_stream(std::string_view request) const
{
    auto const found = this->streams.find(request);
    if (found == this->streams.end())
        return {};
    return found->second;
}

std::vector<EngineModel::Held> EngineModel::held() const
{
    std::vector<Held> all;
    all.reserve(this->prefill_queue.size());
    for (auto const& prefill : this->prefill_queue)
        all.push_back({ prefill.owner, HeldKind::PrefillQueue });
    if (this->running)
        all.push_back({ this->running->prefill.owner, HeldKind::PrefillQueue });
    for (auto const& [request, held] : this->exports)
        all.push_back({ held.owner, HeldKind::Export });
    for (auto const& [request, stream] : this->streams) {
        if (stream.phase != DecodePhase::Finished)
            all.push_back({ stream.owner, HeldKind::Slot });
    }
    return all;
}

// The longest known prefix counts; the cache is exact, only its events are late and gappy.
std::int64_t EngineModel::match_prefix(Prefill const& prefill)
{
    std::int64_t matched = 0;
    for (auto const& prefix : prefill.prefixes) {
        if (this->prefix_tokens.contains(prefix.hash))
            matched = std::max(matched, prefix.tokens);
    }
    return std::min(matched, prefill.tokens);
}

void EngineModel::remember_prefixes(Prefill const& prefill, MonotonicTime now)
{
    // Each prefix holds only what it adds to the one before.
    std::int64_t before = 0;
    for (auto const& prefix : prefill.prefixes) {
        auto const added = prefix.tokens - std::exchange(before, prefix.tokens);
        if (!this->prefix_tokens.try_emplace(prefix.hash, added).second)
            continue;
        this->prefix_order.push_back(prefix.hash);
        this->prefix_total += added;
        this->tell_cache_event(CacheEvent::Change::Stored, prefix, now);
    }
    while (this->prefix_total > this->options.prefix_cache_tokens && !this->prefix_order.empty()) {
        auto const oldest = this->prefix_order.front();
        this->prefix_order.pop_front();
        auto const tokens = this->prefix_tokens.at(oldest);
        this->prefix_tokens.erase(oldest);
        this->prefix_total -= tokens;
        this->tell_cache_event(CacheEvent::Change::Evicted, { oldest, tokens }, now);
    }
}

void EngineModel::tell_cache_event(CacheEvent::Change change, Prefix prefix, MonotonicTime now)
{
    CacheEvent const event { ++this->last_event_number, change, prefix, now + this->options.cache_event_delay };
    if (std::uniform_real_distribution<double>(0, 1)(this->random) < this->options.cache_event_loss)
        return;
    this->events.push_back(event);
    if (this->events.size() > CACHE_EVENTS_KEPT)
        this->events.pop_front();
}

std::vector<EngineModel::CacheEvent> EngineModel::cache_events(std::int64_t after_number, MonotonicTime now) const
{
    std::vector<CacheEvent> told;
    for (auto const& event : this->events) {
        if (event.number > after_number && event.told_at <= now)
            told.push_back(event);
    }
    return told;
}

std::string answer_token(std::uint64_t content, std::int64_t offset)
{
    auto const hash = XXH3_64bits_withSeed(&offset, sizeof(offset), content);
    auto const word = WORDS.at(hash % WORDS.size());
    return offset == 0 ? std::string(word) : " " + std::string(word);
}

std::int64_t answer_length(std::uint64_t content, std::int64_t limit)
{
    auto const spread = static_cast<std::int64_t>(XXH3_64bits(&content, sizeof(content)) % ANSWER_SPREAD);
    return std::min(limit, SHORTEST_ANSWER + spread);
}

std::int64_t count_tokens(std::string_view text)
{
    return (static_cast<std::int64_t>(text.size()) + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN;
}

std::vector<EngineModel::Prefix> prompt_prefixes(std::string_view prompt)
{
    std::vector<EngineModel::Prefix> prefixes;
    for (std::int64_t tokens = SHORTEST_PREFIX_TOKENS; tokens <= count_tokens(prompt); tokens *= 2) {
        auto const bytes = std::min(prompt.size(), static_cast<std::size_t>(tokens * BYTES_PER_TOKEN));
        prefixes.push_back({ XXH3_64bits(prompt.data(), bytes), tokens });
    }
    return prefixes;
}

}
