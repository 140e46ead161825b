// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <LibCore/LogLine.h>
#include <LibWire/WireMembers.h>
#include <LibWire/WireUpstreams.h>
#include <Services/ConfigServer/MembershipService.h>
#include <algorithm>

namespace Spurtide {

namespace {

/// Three announcements that did not come; they cross the VM's loopback alone.
constexpr Duration LOCAL_PROCESS_SILENCE = milliseconds(1000);
/// Probes of two intervals that all stayed without an answer.
/// VMs that one that stops tells of it.
constexpr std::size_t LEAVE_TOLD = 128;
constexpr int INTERVALS_ALONE = 2;
constexpr Duration RECORDS_TIMEOUT = milliseconds(900);
/// Of the heartbeat interval, so that all tries of a probe fit into about one.
constexpr int PROBE_TIMEOUT_PERCENT = 30;
constexpr std::string_view DIRECTORY = "directory";

MemberRecord first_record(std::string const& virtual_machine)
{
    MemberRecord record;
    record.virtual_machine = virtual_machine;
    record.incarnation = unix_milliseconds();
    return record;
}

}

MembershipService::MembershipService(Options options, Kernel& kernel, std::function<std::int64_t()> generation, std::function<void(std::string const& endpoint, std::int64_t generation)> on_newer_generation)
    : options(std::move(options))
    , kernel(kernel)
    , generation(std::move(generation))
    , on_newer_generation(std::move(on_newer_generation))
    , table(this->options.table, first_record(this->options.virtual_machine))
{
}

void MembershipService::start()
{
    this->started_at = monotonic_now();
    this->joining_until = this->started_at + this->options.joining;
    this->kernel.post([this] { this->beat(); });
    this->kernel.every(this->options.heartbeat_interval, [this] { this->beat(); });
    this->kernel.every(this->options.joining_interval, [this] { this->join(); });
}

bool MembershipService::is_joining() const { return monotonic_now() < this->joining_until; }

bool MembershipService::is_settled() const
{
    // A VM that is told of no other has nobody to wait for.
    auto const now = monotonic_now();
    if (this->options.seeds.empty() || now - this->started_at >= this->options.joining)
        return true;
    auto const joined = this->table.last_joined();
    return joined && now - *joined >= this->options.settling;
}

void MembershipService::join()
{
    if (!this->is_joining())
        return;
    for (auto const& target : this->table.next_targets(1))
        this->probe(target, this->endpoint_of(target), 1);
}

bool MembershipService::is_cut_off() const { return this->partition_detector.is_cut_off(monotonic_now()); }

VirtualMachineCount MembershipService::count() const
{
    if (this->is_cut_off())
        return this->table.count_in_partition(this->data_centre_of(this->table.self()), this->data_centre_of);
    return this->table.count();
}

void MembershipService::note_probe_failure(std::string const& virtual_machine)
{
    auto const member = this->table.find(virtual_machine);
    if (!member || !this->is_elsewhere(*member))
        return;
    auto const live = this->table.live_members();
    this->partition_detector.note_probe_failure(virtual_machine, static_cast<std::size_t>(std::count_if(live.begin(), live.end(), [this](auto const& other) { return this->is_elsewhere(other); })));
}

void MembershipService::note_heard(std::string const& virtual_machine)
{
    auto const member = this->table.find(virtual_machine);
    if (member && this->is_elsewhere(*member))
        this->partition_detector.note_message(monotonic_now());
    auto const now = monotonic_now();
    // What it knows of the others may be as old as its solitude.
    if (this->last_heard && !this->has_company())
        this->joining_until = now + this->options.joining;
    this->last_heard = now;
}

void MembershipService::leave(std::function<void()> when_told)
{
    this->table.leave();
    // Many are told at once, and the others by these: the news alone would take a few intervals, and a connection to each of
    // a thousand more time than a VM has that stops.
    auto const targets = this->table.neighbours(LEAVE_TOLD);
    for (auto const& target : targets)
        this->probe(target, this->endpoint_of(target), 1, when_told);
    if (targets.empty())
        when_told();
}

// The services of this process, and of those of the VM that announced themselves lately.
std::vector<ServiceEndpoint> MembershipService::local_services()
{
    auto const now = monotonic_now();
    std::erase_if(this->processes, [&](auto const& entry) { return now - entry.second.heard > LOCAL_PROCESS_SILENCE; });
    auto services = this->kernel.hosted_services();
    for (auto const& [endpoint, process] : this->processes)
        services.insert(services.end(), process.services.begin(), process.services.end());
    auto further = this->further_endpoints();
    services.insert(services.end(), std::make_move_iterator(further.begin()), std::make_move_iterator(further.end()));
    return services;
}

void MembershipService::beat()
{
    this->table.update_self(this->local_services(), this->generation());
    this->table.advance(monotonic_now(), this->data_centre_of);
    this->refresh_directory();
    for (auto const& target : this->table.next_targets(this->options.probes))
        this->probe(target, this->endpoint_of(target), this->options.probe_tries);
    this->meet_seeds();
}

void MembershipService::set_leaving_machines(std::vector<std::string> machines)
{
    this->leaving_machines = std::move(machines);
    this->kernel.directory().set_leaving_machines(this->leaving_machines);
}

void MembershipService::spread_news()
{
    this->table.update_self(this->local_services(), this->generation());
    for (auto const& target : this->table.next_targets(this->options.probes))
        this->probe(target, this->endpoint_of(target), 1);
}

// A seed that is not among the members is met through its address alone.
void MembershipService::meet_seeds()
{
    for (auto const& seed : this->options.seeds) {
        if (seed != this->kernel.endpoint() && !this->table.has_endpoint(seed))
            this->probe("", seed, 1);
    }
}

std::string MembershipService::endpoint_of(std::string const& virtual_machine) const
{
    auto const member = this->table.find(virtual_machine);
    if (!member)
        return {};
    auto const found = std::find_if(member->services.begin(), member->services.end(), [](auto const& service) { return service.service == DIRECTORY; });
    return found == member->services.end() ? std::string() : found->endpoint;
}

void MembershipService::probe(std::string const& virtual_machine, std::string const& endpoint, int tries_left, std::function<void()> const& when_answered)
{
    if (endpoint.empty())
        return;
    auto envelope = message_to(DIRECTORY);
    auto* heartbeat = envelope.mutable_heartbeat();
    heartbeat->set_vm(this->options.virtual_machine);
    for (auto const& digest : this->table.digests_for(virtual_machine))
        write_digest(digest, *heartbeat->add_digests());
    if (virtual_machine.empty())
        write_record(this->table.self(), *heartbeat->add_records());
    if (this->upstreams_version) {
        auto const version = this->upstreams_version();
        heartbeat->set_upstreams_version(version.version);
        heartbeat->set_upstreams_era(version.era);
    }
    heartbeat->set_quarantine_digest(this->quarantine_digest());
    heartbeat->set_upstream_limits_digest(this->upstream_limits_digest());
    this->tell_evacuations(*heartbeat->mutable_evacuations());
    auto const now = monotonic_now();
    if (this->is_joining() || now - this->last_compared >= this->options.comparing_interval) {
        this->last_compared = now;
        for (auto const key : this->table.keys())
            heartbeat->add_keys(key);
    }
    auto const timeout = this->options.heartbeat_interval * PROBE_TIMEOUT_PERCENT / 100;
    this->kernel.request(endpoint, std::move(envelope), timeout, [this, virtual_machine, endpoint, tries_left, when_answered](WireReply const& reply) {
        if (when_answered)
            when_answered();
        if (!reply.is_error() && reply.value().has_heartbeat_reply())
            return this->take_answer(reply.value().heartbeat_reply(), endpoint);
        this->note_probe_failure(virtual_machine);
        if (tries_left > 1)
            return this->probe(virtual_machine, endpoint, tries_left - 1);
        if (virtual_machine.empty() || reply.error().kind == WireErrorKind::Stopped)
            return;
        if (this->table.mark_suspect(virtual_machine, monotonic_now()) == MembershipTable::Suspicion::Known)
            return;
        LogLine("member_unanswered").with("member", virtual_machine);
        this->refresh_directory();
    });
}

bool MembershipService::has_company() const
{
    return this->last_heard && monotonic_now() - *this->last_heard < this->options.heartbeat_interval * INTERVALS_ALONE;
}

void MembershipService::take_answer(wire::HeartbeatReply const& answer, std::string const& endpoint)
{
    this->note_heard(answer.digests().empty() ? std::string() : answer.digests(0).vm());
    this->take_records(answer.records());
    auto const wanted = this->take_digests(answer.digests());
    this->refresh_directory();
    if (!answer.digests().empty() && answer.digests(0).generation() > this->generation())
        this->on_newer_generation(endpoint, answer.digests(0).generation());
    StorePosition const upstreams(answer.upstreams_era(), answer.upstreams_version());
    if (this->upstreams_version && upstreams > this->upstreams_version())
        this->on_newer_upstreams(endpoint, upstreams);
    this->on_quarantine_digest(endpoint, answer.quarantine_digest());
    this->on_upstream_limits_digest(endpoint, answer.upstream_limits_digest());
    this->hear_evacuations(answer.evacuations());
    if (wanted.empty() && answer.wanted().empty() && answer.wanted_keys().empty())
        return;
    auto envelope = message_to(DIRECTORY);
    this->add_records({ answer.wanted().begin(), answer.wanted().end() }, *envelope.mutable_member_records()->mutable_records());
    for (auto const& record : this->table.records_of({ answer.wanted_keys().data(), static_cast<std::size_t>(answer.wanted_keys_size()) }))
        write_record(record, *envelope.mutable_member_records()->add_records());
    for (auto const& name : wanted)
        envelope.mutable_member_records()->add_wanted(name);
    this->kernel.request(endpoint, std::move(envelope), RECORDS_TIMEOUT, [this](WireReply const& reply) {
        if (reply.is_error() || !reply.value().has_member_records())
            return;
        this->take_records(reply.value().member_records().records());
        this->refresh_directory();
    });
}

void MembershipService::tell_evacuations(google::protobuf::RepeatedPtrField<wire::Evacuation>& messages) const
{
    if (this->evacuations)
        write_evacuations(this->evacuations(), messages);
}

void MembershipService::hear_evacuations(google::protobuf::RepeatedPtrField<wire::Evacuation> const& messages)
{
    if (this->on_evacuations && !messages.empty())
        this->on_evacuations(read_evacuations(messages));
}

std::vector<std::string> MembershipService::take_digests(google::protobuf::RepeatedPtrField<wire::MemberDigest> const& digests)
{
    std::vector<MemberDigest> read;
    for (auto const& digest : digests)
        read.push_back(read_digest(digest));
    return this->table.merge_digests(read, monotonic_now());
}

void MembershipService::take_records(google::protobuf::RepeatedPtrField<wire::MemberRecord> const& records)
{
    std::vector<MemberRecord> read;
    for (auto const& record : records)
        read.push_back(read_record(record));
    this->table.merge_records(read, monotonic_now());
}

void MembershipService::add_records(std::vector<std::string> const& names, google::protobuf::RepeatedPtrField<wire::MemberRecord>& records) const
{
    for (auto const& name : names) {
        if (auto const record = this->table.find(name))
            write_record(*record, *records.Add());
    }
}

void MembershipService::handle_heartbeat(wire::Heartbeat const& heartbeat, Kernel::Responder const& respond)
{
    this->note_heard(heartbeat.vm());
    bool const is_new = !this->table.find(heartbeat.vm()).has_value();
    this->take_records(heartbeat.records());
    auto const wanted = this->take_digests(heartbeat.digests());
    this->refresh_directory();
    wire::Envelope reply;
    auto* body = reply.mutable_heartbeat_reply();
    for (auto const& name : wanted)
        body->add_wanted(name);
    for (auto const& digest : this->table.digests_for(heartbeat.vm()))
        write_digest(digest, *body->add_digests());
    if (this->upstreams_version) {
        auto const version = this->upstreams_version();
        body->set_upstreams_version(version.version);
        body->set_upstreams_era(version.era);
        auto const endpoint = this->endpoint_of(heartbeat.vm());
        StorePosition const senders(heartbeat.upstreams_era(), heartbeat.upstreams_version());
        if (senders > version && !endpoint.empty())
            this->on_newer_upstreams(endpoint, senders);
    }
    this->hear_evacuations(heartbeat.evacuations());
    this->tell_evacuations(*body->mutable_evacuations());
    body->set_quarantine_digest(this->quarantine_digest());
    body->set_upstream_limits_digest(this->upstream_limits_digest());
    this->on_quarantine_digest(this->endpoint_of(heartbeat.vm()), heartbeat.quarantine_digest());
    this->on_upstream_limits_digest(this->endpoint_of(heartbeat.vm()), heartbeat.upstream_limits_digest());
    if (!heartbeat.keys().empty())
        this->answer_keys(heartbeat, is_new ? this->options.records_for_new : this->options.records_for_known, *body);
    respond(std::move(reply));
}

void MembershipService::answer_keys(wire::Heartbeat const& heartbeat, std::size_t most, wire::HeartbeatReply& reply) const
{
    auto const difference = this->table.compare_keys(heartbeat.vm(), { heartbeat.keys().data(), static_cast<std::size_t>(heartbeat.keys_size()) }, most);
    for (auto const& record : difference.missing_records)
        write_record(record, *reply.add_records());
    for (auto const key : difference.unknown_keys)
        reply.add_wanted_keys(key);
}

void MembershipService::handle_records(wire::MemberRecords const& records, Kernel::Responder const& respond)
{
    this->take_records(records.records());
    this->refresh_directory();
    wire::Envelope reply;
    this->add_records({ records.wanted().begin(), records.wanted().end() }, *reply.mutable_member_records()->mutable_records());
    respond(std::move(reply));
}

void MembershipService::refresh_directory()
{
    // All members are copied: not for each heartbeat, of which most bring nothing new.
    if (this->kernel.directory().version() == this->table.version())
        return this->kernel.directory().note_generation(this->generation());
    this->kernel.directory().replace(this->table.version(), this->generation(), this->table.all_members(), this->leaving_machines);
}

void MembershipService::handle_announce(wire::Announce const& announce, Kernel::Responder const& respond)
{
    if (announce.vm() == this->options.virtual_machine && !announce.endpoint().empty()) {
        LocalProcess process;
        process.heard = monotonic_now();
        for (auto const& service : announce.services())
            process.services.push_back({ service.service(), service.endpoint(), service.incarnation() });
        auto& known = this->processes[announce.endpoint()];
        bool const has_changed = known.services != process.services;
        known = std::move(process);
        if (has_changed) {
            this->spread_news();
            this->refresh_directory();
        }
    }
    wire::Envelope reply;
    auto* view = reply.mutable_directory_view();
    view->set_version(this->table.version());
    view->set_generation(this->generation());
    for (auto const& machine : this->leaving_machines)
        view->add_leaving_machines(machine);
    if (announce.known_version() != this->table.version()) {
        for (auto const& member : this->table.all_members())
            write_record(member, *view->add_members());
    }
    respond(std::move(reply));
}

}
