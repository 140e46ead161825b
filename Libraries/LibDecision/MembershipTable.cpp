// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/MembershipTable.h>
#include <algorithm>
#include <array>
#include <set>
#include <tuple>
#include <unordered_set>
#include <utility>
#include <xxhash.h>

namespace Spurtide {

namespace {

MemberDigest digest_of(MemberRecord const& record)
{
    return { record.virtual_machine, record.incarnation, record.version, record.liveness, record.configuration_generation };
}

/// Between two reports on the same version of a VM, the more severe one wins.
int severity(MemberLiveness liveness)
{
    switch (liveness) {
    case MemberLiveness::Alive:
    case MemberLiveness::Leaving:
        return 0;
    case MemberLiveness::Suspect:
        return 1;
    case MemberLiveness::Dead:
        return 2;
    }
    return 0;
}

bool needs_refutation(MemberLiveness liveness) { return severity(liveness) > 0; }

std::uint64_t hash_with_seed(std::string_view name, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(name.data(), name.size(), seed);
}

}

std::string_view to_string(MemberLiveness liveness)
{
    constexpr std::array<std::string_view, 4> NAMES = { "alive", "suspect", "dead", "leaving" };
    return NAMES.at(static_cast<std::size_t>(liveness));
}

std::uint64_t member_key(MemberRecord const& record)
{
    return XXH3_64bits_withSeed(record.virtual_machine.data(), record.virtual_machine.size(), static_cast<std::uint64_t>(record.incarnation));
}

MembershipTable::MembershipTable(Options options, MemberRecord self)
    : options(options)
    , self_name(self.virtual_machine)
{
    this->members.emplace(this->self_name, Member { std::move(self), {}, options.transmissions_per_update });
}

void MembershipTable::note_change(Member& member, MonotonicTime now)
{
    member.since = now;
    member.remaining_transmissions = this->options.transmissions_per_update;
    ++this->current_version;
}

void MembershipTable::update_self(std::span<ServiceEndpoint const> services, std::int64_t configuration_generation)
{
    auto& self = this->members.at(this->self_name);
    self.record.configuration_generation = std::max(self.record.configuration_generation, configuration_generation);
    if (std::equal(services.begin(), services.end(), self.record.services.begin(), self.record.services.end()))
        return;
    self.record.services.assign(services.begin(), services.end());
    ++self.record.version;
    this->note_change(self, self.since);
}

void MembershipTable::leave()
{
    auto& self = this->members.at(this->self_name);
    self.record.liveness = MemberLiveness::Leaving;
    ++self.record.version;
    this->note_change(self, self.since);
}

std::vector<std::string> MembershipTable::neighbours(std::size_t most) const
{
    auto const own_seed = hash_with_seed(this->self_name, 0);
    std::vector<std::pair<std::uint64_t, std::string_view>> ranked;
    ranked.reserve(this->members.size());
    for (auto const& [name, member] : this->members) {
        if (name != this->self_name && member.record.liveness != MemberLiveness::Dead)
            ranked.emplace_back(hash_with_seed(name, own_seed), name);
    }
    auto const count = std::min(most, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end());
    std::vector<std::string> names;
    names.reserve(count);
    for (std::size_t i = 0; i < count; ++i)
        names.emplace_back(ranked[i].second);
    return names;
}

std::vector<std::string> MembershipTable::next_targets(std::size_t count)
{
    std::vector<std::string> targets;
    // A neighbour may have died since the round began.
    auto const is_target = [&](std::string const& name) {
        auto const found = this->members.find(name);
        return found != this->members.end() && found->second.record.liveness != MemberLiveness::Dead;
    };
    bool has_new_round = false;
    while (targets.size() < count) {
        if (this->round.empty()) {
            if (std::exchange(has_new_round, true))
                break;
            auto const seed = hash_with_seed(this->self_name, ++this->round_number);
            this->round = this->neighbours(this->options.neighbours);
            if (this->round.empty())
                break;
            std::sort(this->round.begin(), this->round.end(), [&](auto const& a, auto const& b) { return hash_with_seed(a, seed) < hash_with_seed(b, seed); });
        }
        if (is_target(this->round.back()))
            targets.push_back(this->round.back());
        this->round.pop_back();
    }
    this->add_suspects(targets);
    return targets;
}

// A suspect is probed in each period until it refutes the suspicion or is dead: waiting for its turn in the round, or
// for the suspicion to spread by gossip, takes longer than the suspicion timeout.
void MembershipTable::add_suspects(std::vector<std::string>& targets) const
{
    std::size_t added = 0;
    for (auto const& [name, member] : this->members) {
        if (added >= this->options.suspects_per_period)
            return;
        if (member.record.liveness != MemberLiveness::Suspect || !this->is_prober_of(name) || std::find(targets.begin(), targets.end(), name) != targets.end())
            continue;
        targets.push_back(name);
        ++added;
    }
}

bool MembershipTable::is_prober_of(std::string const& suspect) const
{
    return hash_with_seed(suspect, hash_with_seed(this->self_name, 0)) % this->members.size() < this->options.probers_per_suspect;
}

std::vector<MemberDigest> MembershipTable::digests_for(std::string_view target)
{
    std::vector<MemberDigest> digests = { digest_of(this->self()) };
    auto const target_member = this->members.find(target);
    if (target_member != this->members.end() && needs_refutation(target_member->second.record.liveness))
        digests.push_back(digest_of(target_member->second.record));
    std::vector<Member*> updates;
    for (auto& [name, member] : this->members) {
        if (member.remaining_transmissions > 0 && name != this->self_name && name != target)
            updates.push_back(&member);
    }
    // The updates transmitted least often go first.
    std::sort(updates.begin(), updates.end(), [](auto const* a, auto const* b) { return a->remaining_transmissions > b->remaining_transmissions; });
    updates.resize(std::min(updates.size(), this->options.updates_per_message));
    for (auto* member : updates) {
        --member->remaining_transmissions;
        digests.push_back(digest_of(member->record));
    }
    return digests;
}

// Called when a peer suspects this VM or has a newer record of it than the VM itself, which happens if an earlier start
// had its clock ahead.
void MembershipTable::refute(std::int64_t incarnation, std::int64_t version)
{
    auto& self = this->members.at(this->self_name);
    self.record.incarnation = std::max(self.record.incarnation, incarnation);
    self.record.version = std::max(self.record.version, version) + 1;
    this->note_change(self, self.since);
}

// Returns true if the full record has to be fetched.
bool MembershipTable::merge_digest(Member& member, MemberDigest const& digest, MonotonicTime now)
{
    auto& record = member.record;
    record.configuration_generation = std::max(record.configuration_generation, digest.configuration_generation);
    auto const received = std::make_pair(digest.incarnation, digest.version);
    auto const known = std::make_pair(record.incarnation, record.version);
    if (received < known)
        return false;
    if (received > known)
        return true;
    if (severity(digest.liveness) <= severity(record.liveness))
        return false;
    this->set_liveness(member, digest.liveness, now);
    return false;
}

std::vector<std::string> MembershipTable::merge_digests(std::span<MemberDigest const> digests, MonotonicTime now)
{
    std::vector<std::string> wanted;
    for (auto const& digest : digests) {
        auto const found = this->members.find(digest.virtual_machine);
        if (digest.virtual_machine == this->self_name) {
            auto const& self = found->second.record;
            bool const is_suspected = needs_refutation(digest.liveness) && digest.incarnation == self.incarnation && digest.version == self.version;
            if (is_suspected || std::tie(digest.incarnation, digest.version) > std::tie(self.incarnation, self.version))
                this->refute(digest.incarnation, digest.version);
            continue;
        }
        if (found == this->members.end()) {
            // An outdated digest must not revive a record that was forgotten as dead.
            if (digest.liveness != MemberLiveness::Dead)
                wanted.push_back(digest.virtual_machine);
            continue;
        }
        if (this->merge_digest(found->second, digest, now))
            wanted.push_back(digest.virtual_machine);
    }
    return wanted;
}

void MembershipTable::merge_records(std::span<MemberRecord const> records, MonotonicTime now)
{
    for (auto const& record : records) {
        if (record.virtual_machine == this->self_name)
            continue;
        auto const found = this->members.find(record.virtual_machine);
        if (found == this->members.end()) {
            if (record.liveness == MemberLiveness::Dead)
                continue;
            auto& member = this->members.emplace(record.virtual_machine, Member { record, now, 0 }).first->second;
            this->note_change(member, now);
            this->last_join = now;
            continue;
        }
        auto& known = found->second.record;
        if (std::tie(record.incarnation, record.version) <= std::tie(known.incarnation, known.version))
            continue;
        auto const generation = std::max(known.configuration_generation, record.configuration_generation);
        known = record;
        known.configuration_generation = generation;
        found->second.has_left = false;
        this->note_change(found->second, now);
    }
}

std::vector<std::uint64_t> MembershipTable::keys() const
{
    std::vector<std::uint64_t> keys;
    keys.reserve(this->members.size());
    for (auto const& [name, member] : this->members) {
        if (member.record.liveness != MemberLiveness::Dead)
            keys.push_back(member_key(member.record));
    }
    return keys;
}

MembershipTable::Difference MembershipTable::compare_keys(std::string_view virtual_machine, std::span<std::uint64_t const> keys, std::size_t most) const
{
    std::unordered_set<std::uint64_t> peer_keys(keys.begin(), keys.end());
    std::vector<MemberRecord const*> missing_members;
    for (auto const& [name, member] : this->members) {
        bool const is_known_to_peer = peer_keys.erase(member_key(member.record)) > 0;
        if (!is_known_to_peer && member.record.liveness != MemberLiveness::Dead && name != virtual_machine)
            missing_members.push_back(&member.record);
    }
    if (missing_members.size() > most) {
        auto const seed = hash_with_seed(virtual_machine, 0);
        auto const score = [&](MemberRecord const* record) { return hash_with_seed(record->virtual_machine, seed); };
        std::nth_element(missing_members.begin(), missing_members.begin() + static_cast<std::ptrdiff_t>(most), missing_members.end(), [&](auto const* one, auto const* other) { return score(one) < score(other); });
        missing_members.resize(most);
    }
    Difference difference;
    for (auto const* record : missing_members)
        difference.missing_records.push_back(*record);
    difference.unknown_keys.assign(peer_keys.begin(), peer_keys.end());
    return difference;
}

std::vector<MemberRecord> MembershipTable::records_of(std::span<std::uint64_t const> keys) const
{
    std::unordered_set<std::uint64_t> const asked(keys.begin(), keys.end());
    std::vector<MemberRecord> records;
    for (auto const& [name, member] : this->members) {
        if (asked.contains(member_key(member.record)))
            records.push_back(member.record);
    }
    return records;
}

MembershipTable::Suspicion MembershipTable::mark_suspect(std::string_view virtual_machine, MonotonicTime now)
{
    auto const found = this->members.find(virtual_machine);
    if (found == this->members.end() || needs_refutation(found->second.record.liveness))
        return Suspicion::Known;
    this->set_liveness(found->second, MemberLiveness::Suspect, now);
    return Suspicion::New;
}

// A suspicion of a VM that announced its departure means that it is gone.
void MembershipTable::set_liveness(Member& member, MemberLiveness liveness, MonotonicTime now)
{
    member.has_left = member.has_left || member.record.liveness == MemberLiveness::Leaving;
    member.record.liveness = liveness;
    this->note_change(member, now);
}

void MembershipTable::advance(MonotonicTime now, DataCentreOf const& data_centre_of)
{
    std::set<std::string> answering;
    for (auto& [name, member] : this->members) {
        if (member.record.liveness == MemberLiveness::Suspect && now - member.since >= this->options.suspicion_timeout)
            this->set_liveness(member, MemberLiveness::Dead, now);
        if (member.record.liveness == MemberLiveness::Alive)
            answering.insert(data_centre_of(member.record));
    }
    auto const is_forgotten = [&](auto const& entry) {
        auto const& member = entry.second;
        if (member.record.liveness != MemberLiveness::Dead || now - member.since < this->options.forget_after)
            return false;
        return member.has_left || answering.contains(data_centre_of(member.record));
    };
    if (std::erase_if(this->members, is_forgotten) > 0)
        ++this->current_version;
}

VirtualMachineCount MembershipTable::count_in_partition(std::string_view data_centre, DataCentreOf const& data_centre_of) const
{
    auto count = this->count();
    for (auto const& [name, member] : this->members) {
        if (member.record.liveness != MemberLiveness::Alive || data_centre_of(member.record) == data_centre)
            continue;
        --count.live;
        ++count.missing;
    }
    return count;
}

VirtualMachineCount MembershipTable::count() const
{
    VirtualMachineCount count;
    for (auto const& [name, member] : this->members) {
        bool const is_silent = member.record.liveness == MemberLiveness::Suspect || member.record.liveness == MemberLiveness::Dead;
        count.live += member.record.liveness == MemberLiveness::Alive ? 1 : 0;
        count.missing += is_silent && !member.has_left ? 1 : 0;
    }
    return count;
}

SendingMachines MembershipTable::sending_machines() const
{
    SendingMachines machines { 0, 0 };
    for (auto const& [name, member] : this->members) {
        if (member.record.liveness == MemberLiveness::Leaving)
            continue;
        ++machines.count;
        machines.rank += name < this->self_name ? 1 : 0;
    }
    return machines;
}

std::size_t MembershipTable::count_started_after(std::int64_t incarnation) const
{
    return static_cast<std::size_t>(std::count_if(this->members.begin(), this->members.end(), [&](auto const& member) {
        auto const& record = member.second.record;
        return record.liveness == MemberLiveness::Alive && record.incarnation > incarnation;
    }));
}

std::optional<MemberRecord> MembershipTable::find(std::string_view virtual_machine) const
{
    auto const found = this->members.find(virtual_machine);
    if (found == this->members.end())
        return {};
    return found->second.record;
}

std::vector<MemberRecord> MembershipTable::live_members() const
{
    std::vector<MemberRecord> live;
    for (auto const& [name, member] : this->members) {
        if (member.record.liveness != MemberLiveness::Dead)
            live.push_back(member.record);
    }
    return live;
}

bool MembershipTable::has_endpoint(std::string_view endpoint) const
{
    return std::any_of(this->members.begin(), this->members.end(), [&](auto const& entry) {
        auto const& record = entry.second.record;
        auto const listens = [&](ServiceEndpoint const& service) { return service.endpoint == endpoint; };
        return record.liveness != MemberLiveness::Dead && std::any_of(record.services.begin(), record.services.end(), listens);
    });
}

std::vector<MemberRecord> MembershipTable::all_members() const
{
    std::vector<MemberRecord> all;
    all.reserve(this->members.size());
    for (auto const& [name, member] : this->members)
        all.push_back(member.record);
    return all;
}

}
