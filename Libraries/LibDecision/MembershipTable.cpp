// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Verify.h>
#include <LibDecision/MembershipTable.h>
#include <algorithm>
#include <array>
#include <tuple>

namespace Spurtide {

namespace {

    MemberDigest digest_of(MemberRecord const& record)
    {
        return { record.virtual_machine, record.incarnation, record.heartbeat, record.changed_at, record.life, record.configuration_generation };
    }

    template<typename Left, typename Right>
    bool is_newer(Left const& left, Right const& right)
    {
        return std::tie(left.incarnation, left.heartbeat) > std::tie(right.incarnation, right.heartbeat);
    }

}

std::string_view to_string(MemberLife life)
{
    constexpr std::array<std::string_view, 4> NAMES = { "alive", "suspect", "dead", "leaving" };
    return NAMES.at(static_cast<std::size_t>(life));
}

MembershipTable::MembershipTable(Options options, MemberRecord self)
    : options(options)
    , self_name(self.virtual_machine)
{
    this->members.emplace(this->self_name, Member { std::move(self), {} });
}

void MembershipTable::beat(std::span<ServiceEndpoint const> services, std::int64_t configuration_generation, MonotonicTime now)
{
    auto& self = this->members.at(this->self_name);
    self.heard = now;
    ++self.record.heartbeat;
    bool const same_services = std::equal(services.begin(), services.end(), self.record.services.begin(), self.record.services.end());
    if (!same_services || self.record.changed_at == 0) {
        self.record.services.assign(services.begin(), services.end());
        self.record.changed_at = self.record.heartbeat;
        ++this->current_version;
    }
    self.record.configuration_generation = configuration_generation;
}

void MembershipTable::leave(MonotonicTime now)
{
    auto& self = this->members.at(this->self_name);
    self.heard = now;
    self.record.life = MemberLife::Leaving;
    ++self.record.heartbeat;
    self.record.changed_at = self.record.heartbeat;
    ++this->current_version;
}

std::vector<MemberDigest> MembershipTable::next_digests()
{
    std::vector<MemberDigest> digests = { digest_of(this->self()) };
    auto const others = std::min(this->members.size() - 1, this->options.digests_per_heartbeat - 1);
    auto position = this->members.upper_bound(this->digest_cursor);
    while (digests.size() < others + 1) {
        if (position == this->members.end())
            position = this->members.begin();
        if (position->first != this->self_name)
            digests.push_back(digest_of(position->second.record));
        this->digest_cursor = position->first;
        ++position;
    }
    return digests;
}

std::vector<std::string> MembershipTable::merge_digests(std::span<MemberDigest const> digests, MonotonicTime now)
{
    std::vector<std::string> wanted;
    for (auto const& digest : digests) {
        if (digest.virtual_machine == this->self_name)
            continue;
        auto const found = this->members.find(digest.virtual_machine);
        if (found == this->members.end()) {
            // A record that was forgotten as dead must not come back by an old digest.
            if (digest.life != MemberLife::Dead)
                wanted.push_back(digest.virtual_machine);
            continue;
        }
        auto& member = found->second;
        if (!is_newer(digest, member.record))
            continue;
        bool const needs_record = digest.incarnation != member.record.incarnation || digest.changed_at != member.record.changed_at;
        if (needs_record) {
            wanted.push_back(digest.virtual_machine);
            continue;
        }
        member.record.heartbeat = digest.heartbeat;
        member.record.configuration_generation = digest.configuration_generation;
        member.heard = now;
    }
    this->advance(now);
    return wanted;
}

void MembershipTable::merge_records(std::span<MemberRecord const> records, MonotonicTime now)
{
    for (auto const& record : records) {
        if (record.virtual_machine == this->self_name) {
            if (is_newer(record, this->self()))
                this->defend(now);
            continue;
        }
        auto const found = this->members.find(record.virtual_machine);
        if (found != this->members.end() && !is_newer(record, found->second.record))
            continue;
        if (found == this->members.end() && record.life == MemberLife::Dead)
            continue;
        auto copy = record;
        // Suspicion is each VM's own; only leaving is said by the VM itself.
        if (copy.life != MemberLife::Leaving)
            copy.life = MemberLife::Alive;
        this->members.insert_or_assign(record.virtual_machine, Member { std::move(copy), now });
        ++this->current_version;
    }
}

// Somebody knows a newer record of this VM than itself: an earlier start with a clock ahead.
void MembershipTable::defend(MonotonicTime now)
{
    auto& self = this->members.at(this->self_name);
    ++self.record.incarnation;
    self.heard = now;
    ++this->current_version;
}

std::optional<MemberRecord> MembershipTable::find(std::string_view virtual_machine) const
{
    auto const found = this->members.find(virtual_machine);
    if (found == this->members.end())
        return {};
    return found->second.record;
}

MemberLife MembershipTable::life_of(Member const& member, MonotonicTime now) const
{
    if (member.record.virtual_machine == this->self_name)
        return member.record.life;
    auto const silence = now - member.heard;
    if (silence >= this->options.dead_after)
        return MemberLife::Dead;
    if (member.record.life == MemberLife::Leaving)
        return MemberLife::Leaving;
    return silence >= this->options.suspect_after ? MemberLife::Suspect : MemberLife::Alive;
}

void MembershipTable::advance(MonotonicTime now)
{
    for (auto position = this->members.begin(); position != this->members.end();) {
        auto& member = position->second;
        auto const life = this->life_of(member, now);
        if (life != member.record.life) {
            member.record.life = life;
            ++this->current_version;
        }
        if (life == MemberLife::Dead && now - member.heard >= this->options.forget_after)
            position = this->members.erase(position);
        else
            ++position;
    }
}

std::vector<MemberRecord> MembershipTable::live_members() const
{
    std::vector<MemberRecord> live;
    for (auto const& [name, member] : this->members) {
        if (member.record.life != MemberLife::Dead)
            live.push_back(member.record);
    }
    return live;
}

std::vector<MemberRecord> MembershipTable::all_members() const
{
    std::vector<MemberRecord> all;
    for (auto const& [name, member] : this->members)
        all.push_back(member.record);
    return all;
}

}
