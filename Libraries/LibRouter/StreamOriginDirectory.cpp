// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibAsync/Signal.h>
#include <LibCore/Clock.h>
#include <LibCore/LogLine.h>
#include <LibRouter/StreamOriginDirectory.h>
#include <utility>

namespace Spurtide {

namespace {

/// Callers choose the names of their requests.
constexpr std::size_t MAXIMUM_CONFLICTS = 1024;

wire::Envelope origin_message(std::string_view request, StreamOrigin const& origin)
{
    auto envelope = message_to(STREAM_ORIGIN_SERVICE);
    auto* message = envelope.mutable_stream_origin();
    message->set_request(std::string(request));
    message->set_service(origin.service);
    message->set_software_version(origin.software_version);
    message->set_upstream(origin.upstream.identity);
    message->set_started(origin.upstream.started);
    return envelope;
}

StreamOrigin read_origin(wire::StreamOrigin const& message)
{
    return { message.service(), message.software_version(), { message.upstream(), message.started() } };
}

}

/// Collects the answers of other VMs for the coroutine that waits for them.
struct StreamOriginDirectory::Query {
    Query(asio::any_io_executor const& executor, std::size_t asked)
        : signal(executor)
        , pending(asked)
    {
    }

    Signal signal;
    std::size_t pending;
    std::size_t silent = 0;
    std::optional<StreamOrigin> found;
    bool is_conflicting = false;
    std::string found_at;
    Duration age {};
};

StreamOriginDirectory::StreamOriginDirectory(Options options, Kernel& kernel, Metrics& metrics, std::string data_centre, DataCentreOf data_centre_of)
    : options(options)
    , kernel(kernel)
    , metrics(metrics)
    , data_centre_of(std::move(data_centre_of))
    , table(options.table)
    , replicas(kernel.virtual_machine(), std::move(data_centre))
{
}

void StreamOriginDirectory::host()
{
    this->kernel.host(std::string(STREAM_ORIGIN_SERVICE), [this](wire::Envelope const& request, Kernel::Responder const& respond) { this->answer(request, respond); });
}

void StreamOriginDirectory::start()
{
    this->kernel.every(this->options.check_interval, [this] { this->refresh(); });
    this->kernel.every(seconds(1), [this] { this->table.remove_expired(monotonic_now()); });
}

// Copying and ranking all members for each stream is expensive in a large deployment.
void StreamOriginDirectory::refresh_members()
{
    auto const version = this->kernel.directory().version();
    if (version == this->members_version)
        return;
    this->members_version = version;
    std::vector<StreamOriginReplicas::Member> members;
    for (auto const& record : this->kernel.directory().members()) {
        bool const is_leaving = record.liveness == MemberLiveness::Leaving;
        if (record.liveness != MemberLiveness::Alive && !is_leaving)
            continue;
        auto const life = is_leaving ? StreamOriginReplicas::Member::Life::Leaving : StreamOriginReplicas::Member::Life::Serving;
        members.push_back({ record.virtual_machine, record.incarnation, this->data_centre_of(record), life });
    }
    this->replicas.set_members(std::move(members));
}

std::string StreamOriginDirectory::endpoint_of(std::string const& virtual_machine) const
{
    return this->kernel.directory().resolve_on(virtual_machine, STREAM_ORIGIN_SERVICE).value_or("");
}

StreamOriginDirectory::Registration StreamOriginDirectory::add(std::string const& request, StreamOrigin const& origin)
{
    this->refresh_members();
    auto const identifier = ++this->last_served;
    auto& stream = this->served->emplace(identifier, ServedStream { request, origin, {}, {}, {} }).first->second;
    this->copy(stream, this->replicas.holders(request));
    return Registration([weak = std::weak_ptr<ServedStreams>(this->served), identifier] {
        if (auto const streams = weak.lock())
            streams->erase(identifier);
    });
}

void StreamOriginDirectory::copy(ServedStream& stream, std::vector<StreamOriginReplicas::Member> holders)
{
    auto const now = monotonic_now();
    stream.renewed_at = now;
    stream.holders = std::move(holders);
    auto const result = this->table.note(stream.request, stream.origin, now);
    if (result != StreamOriginTable::NoteResult::Noted)
        LogLine("stream_origin_not_noted").with("request", stream.request).with("reason", result == StreamOriginTable::NoteResult::Conflicting ? "conflicting" : "no_room").with("known", static_cast<std::int64_t>(this->table.size()));
    // A name that does not fit here does not fit elsewhere.
    if (result == StreamOriginTable::NoteResult::NotNoted)
        return;
    auto const message = origin_message(stream.request, stream.origin);
    for (auto const& holder : stream.holders)
        this->kernel.notify(this->endpoint_of(holder.virtual_machine), message);
    this->record(stream, message);
}

void StreamOriginDirectory::record(ServedStream& stream, wire::Envelope message)
{
    if (!this->recorder)
        return;
    stream.recorder = this->replicas.recorder();
    if (!stream.recorder) {
        this->recorder->add(stream.request, stream.origin);
        return;
    }
    message.mutable_stream_origin()->set_record(true);
    this->kernel.notify(this->endpoint_of(stream.recorder->virtual_machine), std::move(message));
}

// VMs that died or were restarted have lost their copies, and callers look for them at VMs that joined.
void StreamOriginDirectory::refresh()
{
    this->refresh_members();
    bool const are_members_new = std::exchange(this->holders_version, this->members_version) != this->members_version;
    auto const now = monotonic_now();
    for (auto& [identifier, stream] : *this->served) {
        bool const is_due = now - stream.renewed_at >= this->options.renewal_interval;
        if (!are_members_new && !is_due)
            continue;
        auto holders = this->replicas.holders(stream.request);
        bool const has_new_recorder = this->recorder && this->replicas.recorder() != stream.recorder;
        if (is_due || holders != stream.holders || has_new_recorder)
            this->copy(stream, std::move(holders));
    }
}

asio::awaitable<std::optional<StreamOrigin>> StreamOriginDirectory::find(std::string request)
{
    if (auto const own = this->table.find(request, monotonic_now())) {
        this->count_lookup("own");
        LogLine("stream_origin_found").with("resumes", request).with("at", this->kernel.virtual_machine()).with("service", own->origin.service).with("software", own->origin.software_version).with("age_ms", to_milliseconds(own->age));
        co_return own->origin;
    }
    if (this->is_conflicting(request)) {
        this->count_lookup("conflicting");
        co_return std::nullopt;
    }
    if (this->lookups >= this->options.maximum_lookups) {
        this->count_lookup("not_asked");
        LogLine("stream_origin_unknown").with("resumes", request).with("asked", 0).with("lookups", this->lookups);
        co_return std::nullopt;
    }
    ++this->lookups;
    try {
        auto found = co_await this->find_elsewhere(std::move(request));
        --this->lookups;
        co_return found;
    } catch (...) {
        --this->lookups;
        throw;
    }
}

// The registry is asked last: it is needed only for streams all of whose VMs have died.
asio::awaitable<std::optional<StreamOrigin>> StreamOriginDirectory::find_elsewhere(std::string request)
{
    auto found = co_await this->find_at_peers(request);
    if (found)
        co_return found;
    if (this->archive && !this->is_conflicting(request))
        found = co_await this->archive->find(request);
    this->count_lookup(found ? "registry" : "unknown");
    if (found)
        LogLine("stream_origin_found").with("resumes", request).with("at", "registry").with("service", found->service).with("software", found->software_version);
    co_return found;
}

asio::awaitable<std::optional<StreamOrigin>> StreamOriginDirectory::find_at_peers(std::string request)
{
    this->refresh_members();
    auto const candidates = this->replicas.candidates(request);
    auto const executor = co_await asio::this_coro::executor;
    auto const query = std::make_shared<Query>(executor, candidates.size());
    for (auto const& candidate : candidates)
        this->ask(candidate, request, query);
    while (!query->found && !query->is_conflicting && query->pending > 0)
        co_await query->signal.wait();
    if (query->is_conflicting) {
        this->note_conflict(request);
        co_return std::nullopt;
    }
    if (!query->found) {
        LogLine("stream_origin_unknown").with("resumes", request).with("asked", static_cast<std::int64_t>(candidates.size())).with("silent", static_cast<std::int64_t>(query->silent));
        co_return std::nullopt;
    }
    this->count_lookup("peer");
    LogLine("stream_origin_found").with("resumes", request).with("at", query->found_at).with("service", query->found->service).with("software", query->found->software_version).with("age_ms", to_milliseconds(query->age));
    // The caller may come back again after that VM died.
    if (this->table.note(request, *query->found, monotonic_now()) == StreamOriginTable::NoteResult::Conflicting)
        co_return std::nullopt;
    co_return query->found;
}

bool StreamOriginDirectory::is_conflicting(std::string_view request) const
{
    auto const now = monotonic_now();
    auto const told = this->conflicts.find(request);
    bool const is_told = told != this->conflicts.end() && now - told->second < this->options.table.retention;
    return is_told || this->table.is_conflicting(request, now) || (this->archive && this->archive->is_conflicting(request));
}

void StreamOriginDirectory::note_conflict(std::string_view request)
{
    auto const now = monotonic_now();
    std::erase_if(this->conflicts, [&](auto const& told) { return now - told.second >= this->options.table.retention; });
    if (this->conflicts.size() < MAXIMUM_CONFLICTS)
        this->conflicts.insert_or_assign(std::string(request), now);
}

void StreamOriginDirectory::ask(StreamOriginReplicas::Member const& member, std::string const& request, std::shared_ptr<Query> const& query)
{
    auto envelope = message_to(STREAM_ORIGIN_SERVICE);
    envelope.mutable_get_stream_origin()->set_request(request);
    this->kernel.request(this->endpoint_of(member.virtual_machine), std::move(envelope), this->options.answer_timeout, [query, name = member.virtual_machine](WireReply const& reply) {
        --query->pending;
        query->silent += reply.is_error() ? 1 : 0;
        if (!reply.is_error() && reply.value().has_stream_origin() && !query->found) {
            auto const& message = reply.value().stream_origin();
            auto const origin = read_origin(message);
            if (origin.is_certain())
                query->found = origin;
            query->is_conflicting |= !origin.is_certain() && !message.request().empty();
            query->found_at = name;
            query->age = Duration(message.age_microseconds());
        }
        query->signal.notify();
    });
}

void StreamOriginDirectory::answer(wire::Envelope const& request, Kernel::Responder const& respond)
{
    auto const now = monotonic_now();
    if (request.has_stream_origin()) {
        auto const& message = request.stream_origin();
        auto const origin = read_origin(message);
        if (this->table.note(message.request(), origin, now) == StreamOriginTable::NoteResult::Conflicting)
            LogLine("stream_origin_not_noted").with("request", message.request()).with("reason", "conflicting");
        if (message.record() && this->recorder)
            this->recorder->add(message.request(), origin);
        return;
    }
    if (!request.has_get_stream_origin()) {
        respond(error_reply(wire::ERROR_CODE_UNKNOWN_MESSAGE));
        return;
    }
    wire::Envelope reply;
    auto const& name = request.get_stream_origin().request();
    if (auto const found = this->table.find(name, now)) {
        reply = origin_message(name, found->origin);
        reply.mutable_stream_origin()->set_age_microseconds(found->age.count());
    } else if (this->is_conflicting(name)) {
        // A name without a version.
        reply.mutable_stream_origin()->set_request(name);
    } else {
        reply.mutable_stream_origin();
    }
    respond(std::move(reply));
}

void StreamOriginDirectory::count_lookup(std::string_view outcome)
{
    this->metrics.increment("spurtide_stream_origin_lookups_total", "Lookups of where a stream began, by where its origin was found", { { "outcome", std::string(outcome) } });
}

}
