// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <LibCore/LogLine.h>
#include <LibWire/WireMembers.h>
#include <Services/ConfigServer/MembershipService.h>
#include <algorithm>

namespace Spurtide {

namespace {

    constexpr Duration LOCAL_PROCESS_SILENCE = seconds(3);
    constexpr Duration HEARTBEAT_TIMEOUT = milliseconds(900);

    MemberRecord first_record(std::string const& virtual_machine)
    {
        MemberRecord record;
        record.virtual_machine = virtual_machine;
        record.incarnation = unix_milliseconds();
        return record;
    }

}

MembershipService::MembershipService(Options options, Kernel& kernel, std::function<std::int64_t()> generation, std::function<void(std::string const& endpoint)> on_newer_generation)
    : options(std::move(options))
    , kernel(kernel)
    , generation(std::move(generation))
    , on_newer_generation(std::move(on_newer_generation))
    , table(this->options.table, first_record(this->options.virtual_machine))
    , random(std::random_device {}())
{
}

void MembershipService::start()
{
    this->kernel.post([this] { this->beat(); });
    this->kernel.every(this->options.heartbeat_interval, [this] { this->beat(); });
}

void MembershipService::leave(std::function<void()> when_told)
{
    this->table.leave(monotonic_now());
    // Everybody is told at once; gossip alone would take a few intervals.
    auto const peers = this->peer_endpoints();
    for (auto const& endpoint : peers)
        this->send_heartbeat(endpoint, when_told);
    if (peers.empty())
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
    return services;
}

void MembershipService::beat()
{
    auto const now = monotonic_now();
    this->table.beat(this->local_services(), this->generation(), now);
    this->table.advance(now);
    this->refresh_directory();
    auto peers = this->peer_endpoints();
    std::shuffle(peers.begin(), peers.end(), this->random);
    peers.resize(std::min(peers.size(), this->options.fan_out));
    for (auto const& endpoint : peers)
        this->send_heartbeat(endpoint);
}

std::vector<std::string> MembershipService::peer_endpoints() const
{
    std::vector<std::string> endpoints;
    for (auto const& member : this->table.live_members()) {
        if (member.virtual_machine == this->options.virtual_machine)
            continue;
        for (auto const& service : member.services) {
            if (service.service == "directory")
                endpoints.push_back(service.endpoint);
        }
    }
    // A seed that is not among the members yet is met through its address alone.
    for (auto const& seed : this->options.seeds) {
        if (std::find(endpoints.begin(), endpoints.end(), seed) == endpoints.end() && seed != this->kernel.endpoint())
            endpoints.push_back(seed);
    }
    return endpoints;
}

void MembershipService::send_heartbeat(std::string const& endpoint, std::function<void()> when_answered)
{
    wire::Envelope envelope;
    envelope.set_service("directory");
    for (auto const& digest : this->table.next_digests())
        write_digest(digest, *envelope.mutable_heartbeat()->add_digests());
    this->kernel.request(endpoint, std::move(envelope), HEARTBEAT_TIMEOUT, [this, endpoint, when_answered = std::move(when_answered)](WireReply const& reply) {
        if (when_answered)
            when_answered();
        if (reply.is_error() || !reply.value().has_heartbeat_reply())
            return;
        auto const& body = reply.value().heartbeat_reply();
        std::vector<MemberRecord> records;
        for (auto const& record : body.records())
            records.push_back(read_record(record));
        this->table.merge_records(records, monotonic_now());
        std::vector<std::string> not_used;
        this->take_digests(body.digests(), endpoint, not_used);
        if (body.wanted().empty())
            return;
        wire::Envelope answer;
        answer.set_service("directory");
        for (auto const& wanted : body.wanted()) {
            if (auto const record = this->table.find(wanted))
                write_record(*record, *answer.mutable_member_records()->add_records());
        }
        this->kernel.notify(endpoint, std::move(answer));
    });
}

void MembershipService::take_digests(google::protobuf::RepeatedPtrField<wire::MemberDigest> const& digests, std::string const& endpoint, std::vector<std::string>& wanted)
{
    std::vector<MemberDigest> read;
    std::int64_t newest = 0;
    for (auto const& digest : digests) {
        read.push_back(read_digest(digest));
        newest = std::max(newest, read.back().configuration_generation);
    }
    wanted = this->table.merge_digests(read, monotonic_now());
    if (newest > this->generation() && !endpoint.empty())
        this->on_newer_generation(endpoint);
}

void MembershipService::handle_heartbeat(wire::Heartbeat const& heartbeat, Kernel::Responder const& respond)
{
    std::vector<std::string> wanted;
    this->take_digests(heartbeat.digests(), "", wanted);
    wire::Envelope reply;
    auto* body = reply.mutable_heartbeat_reply();
    for (auto const& name : wanted)
        body->add_wanted(name);
    for (auto const& digest : this->table.next_digests())
        write_digest(digest, *body->add_digests());
    // What the sender knew in an older state, or not at all as its own list shows, it is sent whole.
    for (auto const& digest : heartbeat.digests()) {
        auto const known = this->table.find(digest.vm());
        if (known && (known->incarnation > digest.incarnation() || (known->incarnation == digest.incarnation() && known->changed_at > digest.changed_at())))
            write_record(*known, *body->add_records());
    }
    // A sender that is new here knows nobody yet: it gets this VM's own record.
    if (!wanted.empty())
        write_record(this->table.self(), *body->add_records());
    respond(std::move(reply));
}

void MembershipService::handle_records(wire::MemberRecords const& records)
{
    std::vector<MemberRecord> read;
    for (auto const& record : records.records())
        read.push_back(read_record(record));
    this->table.merge_records(read, monotonic_now());
    this->refresh_directory();
}

void MembershipService::refresh_directory()
{
    this->kernel.directory().replace(this->table.version(), this->generation(), this->table.all_members());
}

void MembershipService::handle_announce(wire::Announce const& announce, Kernel::Responder const& respond)
{
    if (announce.vm() == this->options.virtual_machine && !announce.services().empty()) {
        LocalProcess process;
        process.heard = monotonic_now();
        for (auto const& service : announce.services())
            process.services.push_back({ service.service(), service.endpoint(), service.incarnation() });
        bool const is_new = this->processes.insert_or_assign(announce.services(0).endpoint(), process).second;
        if (is_new) {
            this->table.beat(this->local_services(), this->generation(), monotonic_now());
            this->refresh_directory();
        }
    }
    wire::Envelope reply;
    auto* view = reply.mutable_directory_view();
    view->set_version(this->table.version());
    view->set_generation(this->generation());
    if (announce.known_version() != this->table.version()) {
        for (auto const& member : this->table.all_members())
            write_record(member, *view->add_members());
    }
    respond(std::move(reply));
}

}
