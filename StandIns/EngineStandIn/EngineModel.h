// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Result.h>
#include <LibCore/Time.h>
#include <StandIns/EngineStandIn/LinkModel.h>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Spurtide {

/// A model engine's behaviour in virtual time: prefill queue, exports kept for a moment, imports over
/// a shared link, continuous batching over a limited number of slots, a prefix cache and its events.
class EngineModel {
public:
    struct Options {
        std::int64_t decode_slots = 20;
        double prefill_tokens_per_second = 8000;
        Duration prefill_base = milliseconds(5);
        /// Time of one decode step, and what each sequence of the batch adds.
        Duration step_base = milliseconds(12);
        Duration step_per_sequence = Duration(900);
        Duration cache_hold = milliseconds(900);
        double cache_bytes_per_token = 100'000;
        double link_bytes_per_second = 10e9;
        std::int64_t prefix_cache_tokens = 200'000;
        /// Cache events are told this much later, and this share of them never.
        Duration cache_event_delay = milliseconds(200);
        double cache_event_loss = 0.02;
        std::uint64_t seed = 1;
        /// Finished text is kept this long for a reader that comes back.
        Duration finished_text_kept = seconds(10);
    };

    struct Owner {
        std::string request;
        std::string origin;
        std::string account;
    };

    /// A prefix of a prompt, by hash, and its tokens.
    struct Prefix {
        std::uint64_t hash = 0;
        std::int64_t tokens = 0;
    };

    struct Prefill {
        Owner owner;
        std::int64_t tokens = 0;
        /// Shortest first.
        std::vector<Prefix> prefixes;
        /// Names the answer: what is decoded depends on it alone.
        std::uint64_t content = 0;
        /// Tokens of the answer that stand in the prompt already.
        std::int64_t continuation_tokens = 0;
    };

    /// A finished prefill's result, kept until it is picked up or too old.
    struct Export {
        Owner owner;
        std::int64_t tokens = 0;
        std::int64_t cached_tokens = 0;
        std::int64_t bytes = 0;
        std::uint64_t content = 0;
        std::int64_t continuation_tokens = 0;
        MonotonicTime expires;
    };

    enum class PrefillPhase {
        Unknown,
        Queued,
        Held,
        Expired,
    };

    struct Decode {
        Owner owner;
        std::int64_t bytes = 0;
        std::uint64_t content = 0;
        /// The answer's first token that is decoded here, and its whole length.
        std::int64_t first_offset = 0;
        std::int64_t output_tokens = 0;
    };

    enum class DecodePhase {
        Unknown,
        WaitingForSlot,
        Importing,
        Decoding,
        Finished,
    };

    struct Stream {
        Owner owner;
        DecodePhase phase = DecodePhase::Unknown;
        std::uint64_t content = 0;
        std::int64_t first_offset = 0;
        /// Tokens of the answer there are so far, those before the first offset among them.
        std::int64_t tokens_ready = 0;
        std::int64_t output_tokens = 0;
        MonotonicTime finished_at;
    };

    enum class AdmitError {
        Duplicate,
        Leaving,
    };

    enum class HeldKind {
        PrefillQueue,
        Export,
        Slot,
    };

    struct Held {
        Owner owner;
        HeldKind kind;
    };

    /// One change of the prefix cache. Numbers that are missing were lost.
    struct CacheEvent {
        std::int64_t number = 0;
        enum class Change {
            Stored,
            Evicted,
        } change
            = Change::Stored;
        Prefix prefix;
        MonotonicTime told_at;
    };

    explicit EngineModel(Options options);

    Result<Done, AdmitError> start_prefill(Prefill prefill, MonotonicTime now);
    Result<Done, AdmitError> start_decode(Decode decode, MonotonicTime now);
    /// Frees everything held under the name. True if there was any.
    bool cancel(std::string_view request, MonotonicTime now);
    /// The other engine has the whole cache now.
    bool drop_export(std::string_view request);
    /// Ends the hold time of every export there is.
    void let_exports_lapse(MonotonicTime now);
    void stall_transfer(std::string_view request, MonotonicTime now) { this->link.stall(request, now); }
    /// An engine that is leaving takes no new work.
    void set_leaving(bool is_leaving) { this->leaving = is_leaving; }
    bool is_leaving() const { return this->leaving; }
    void set_origin(std::string_view request, std::string origin);

    void advance(MonotonicTime now);
    /// When something happens next without a call.
    std::optional<MonotonicTime> next_event() const;

    PrefillPhase prefill_phase(std::string_view request) const;
    std::optional<Export> find_export(std::string_view request) const;
    std::optional<Stream> find_stream(std::string_view request) const;
    std::vector<Held> held() const;
    std::int64_t slots_in_use() const;
    Duration step_time() const;
    std::vector<CacheEvent> cache_events(std::int64_t after_number, MonotonicTime now) const;

    struct Totals {
        std::int64_t prefilled_tokens = 0;
        /// Prefilled tokens whose result was dropped before it was picked up.
        std::int64_t wasted_tokens = 0;
        std::int64_t decoded_tokens = 0;
    };
    Totals const& totals() const { return this->running_totals; }

private:
    struct Running {
        Prefill prefill;
        std::int64_t cached_tokens = 0;
        MonotonicTime ends;
    };

    void start_next_prefill(MonotonicTime now);
    void finish_prefill();
    void expire_exports(MonotonicTime now);
    void start_imports(MonotonicTime now);
    void step(MonotonicTime now);
    void begin_steps(MonotonicTime now);
    void forget_finished(MonotonicTime now);
    std::int64_t match_prefix(Prefill const& prefill);
    void remember_prefixes(Prefill const& prefill, MonotonicTime now);
    void tell_cache_event(CacheEvent::Change change, Prefix prefix, MonotonicTime now);
    std::int64_t decoding() const;

    Options options;
    bool leaving = false;
    std::deque<Prefill> prefill_queue;
    /// Names in the queue, so that a long queue is not searched.
    std::set<std::string, std::less<>> queued;
    std::optional<Running> running;
    std::map<std::string, Export, std::less<>> exports;
    std::map<std::string, MonotonicTime, std::less<>> expired;
    std::map<std::string, Stream, std::less<>> streams;
    std::map<std::string, Decode, std::less<>> imports;
    std::deque<std::string> slot_queue;
    std::optional<MonotonicTime> step_ends;
    LinkModel link;
    std::map<std::uint64_t, std::int64_t> prefix_tokens;
    std::deque<std::uint64_t> prefix_order;
    std::int64_t prefix_total = 0;
    std::deque<CacheEvent> events;
    std::int64_t last_event_number = 0;
    std::mt19937_64 random;
    Totals running_totals;
};

/// The text of one token of an answer; the same content and offset always give the same text.
std::string answer_token(std::uint64_t content, std::int64_t offset);

/// How long the answer to a content is, at most the limit.
std::int64_t answer_length(std::uint64_t content, std::int64_t limit);

/// Tokens of a text, at four bytes a token.
std::int64_t count_tokens(std::string_view text);

/// Log-spaced prefixes of a prompt.
std::vector<EngineModel::Prefix> prompt_prefixes(std::string_view prompt);

}
