// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/StreamOriginReplicas.h>
#include <LibDecision/StreamOriginTable.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>

// A simulation of VMs that are killed, restarted and cut off from each other
// while software versions of the engines replace each other and callers take up
// broken streams at any VM. The VMs decide with the router's own classes; the
// network, the membership and the engines are models in virtual time.

using namespace Spurtide;

namespace {

constexpr int DATA_CENTRES = 3;
constexpr int ENGINES = 9;
constexpr Duration HOP = milliseconds(2);
constexpr Duration ANSWER_TIMEOUT = milliseconds(200);
/// Until other VMs have heard that one died, or started.
constexpr Duration MEMBERSHIP_DELAY = milliseconds(1500);
/// Until a VM has read that an engine started or ended.
constexpr Duration LISTING_DELAY = milliseconds(300);
constexpr Duration LENGTH = seconds(90);
/// A VM counts as undisturbed if nothing happened to it for so long.
constexpr Duration SETTLED_TIME = seconds(3);

struct Engine {
    std::string identity;
    std::string version;
    MonotonicTime listed_at;
    MonotonicTime ended_at = MonotonicTime::max();
};

struct Machine {
    std::string name;
    std::string data_centre;
    bool is_alive = true;
    std::int64_t incarnation = 1;
    MonotonicTime changed_at;
    std::unique_ptr<StreamOriginTable> table;
    std::unique_ptr<StreamOriginReplicas> replicas;
    /// What it has heard of the others.
    std::map<std::string, StreamOriginReplicas::Member> members;
};

struct Stream {
    std::string name;
    int home = 0;
    int machine = 0;
    int tries = 0;
    std::string engine;
    std::set<std::string> versions;
    StreamOrigin origin;
    bool is_broken = true;
    bool has_lost_machine = false;
};

struct Share {
    int all = 0;
    int served = 0;
    double value() const
    {
        return this->all == 0 ? 1.0 : static_cast<double>(this->served) / this->all;
    }
};

struct Verdict {
    int mixed = 0;
    Share resumed;
    /// Those of the resumed whose VM was killed.
    Share resumed_after_death;
    Share begun;
};

/// Mechanisms that can be switched off, to see the promise break.
struct Mechanisms {
    bool copies_origins = true;
    bool refuses_unknown_streams = true;
};

class Simulation {
public:
    Simulation(std::uint64_t seed, int machine_count, Mechanisms mechanisms)
        : random(seed)
        , mechanisms(mechanisms)
    {
        for (int i = 0; i < machine_count; ++i) {
            Machine machine;
            machine.name = "vm-" + std::to_string(i);
            machine.data_centre = "dc-" + std::to_string(i % DATA_CENTRES);
            this->start(machine);
            this->machines.push_back(std::move(machine));
        }
        for (auto& machine : this->machines) {
            for (auto const& other : this->machines)
                machine.members[other.name] = { other.name, other.incarnation,
                    other.data_centre };
            this->update_members(machine);
        }
        for (int i = 0; i < ENGINES; ++i)
            this->add_engine("v1", MonotonicTime {});
    }

    Verdict run()
    {
        for (Duration at {}; at < LENGTH; at += milliseconds(100))
            this->schedule(MonotonicTime {} + at, [this] { this->begin_stream(); });
        for (Duration at = seconds(4); at < LENGTH;
             at += milliseconds(400 + this->draw(1200)))
            this->schedule(MonotonicTime {} + at, [this] { this->disturb(); });
        while (!this->events.empty()) {
            auto const event = this->events.top();
            this->events.pop();
            this->now = event.at;
            event.action();
        }
        return this->verdict;
    }

private:
    struct Event {
        MonotonicTime at;
        std::uint64_t number = 0;
        std::function<void()> action;
        bool operator>(Event const& other) const
        {
            return std::pair(this->at, this->number) > std::pair(other.at, other.number);
        }
    };

    void schedule(MonotonicTime at, std::function<void()> action)
    {
        this->events.push({ at, ++this->last_event, std::move(action) });
    }
    int draw(int below)
    {
        return static_cast<int>(this->random() % static_cast<std::uint64_t>(below));
    }

    void start(Machine& machine) const
    {
        machine.table = std::make_unique<StreamOriginTable>(StreamOriginTable::Options {});
        machine.replicas = std::make_unique<StreamOriginReplicas>(
            machine.name, machine.data_centre);
        machine.is_alive = true;
        machine.changed_at = this->now;
    }

    void update_members(Machine& machine) const
    {
        std::vector<StreamOriginReplicas::Member> members;
        for (auto const& [name, member] : machine.members)
            members.push_back(member);
        machine.replicas->set_members(std::move(members));
        if (this->mechanisms.copies_origins)
            this->copy_again(machine);
    }

    Machine* find(std::string_view name)
    {
        auto const found = std::find_if(this->machines.begin(), this->machines.end(),
            [&](auto const& machine) { return machine.name == name; });
        return &*found;
    }

    bool is_path_open(Machine const& a, Machine const& b) const
    {
        bool const is_cut = a.data_centre != b.data_centre && (this->cut_data_centre == a.data_centre || this->cut_data_centre == b.data_centre);
        return a.is_alive && b.is_alive && !is_cut;
    }

    void add_engine(std::string const& version, MonotonicTime at)
    {
        this->engines.push_back(
            { "i-" + std::to_string(this->engines.size()), version, at });
    }

    std::vector<Engine*>
    serving(std::function<bool(Engine const&)> const& is_wanted)
    {
        std::vector<Engine*> found;
        for (auto& engine : this->engines) {
            if (this->now >= engine.listed_at && this->now < engine.ended_at && is_wanted(engine))
                found.push_back(&engine);
        }
        return found;
    }

    // Renews what is served here at the VMs that hold the copies now.
    void copy_again(Machine const& machine) const
    {
        for (auto const& stream : this->streams) {
            if (!stream->is_broken && this->machines[static_cast<std::size_t>(stream->machine)].name == machine.name)
                this->send_copies(machine, *stream);
        }
    }

    void send_copies(Machine const& from, Stream const& stream) const
    {
        for (auto const& holder : from.replicas->holders(stream.name)) {
            auto* self = const_cast<Simulation*>(this);
            self->schedule(this->now + HOP,
                [self, &from, name = stream.name, origin = stream.origin,
                    holder = holder.virtual_machine] {
                    auto* to = self->find(holder);
                    if (self->is_path_open(from, *to))
                        to->table->note(name, origin, self->now);
                });
        }
    }

    /// A VM that is alive and that callers of the data centre meet, usually one
    /// of their own.
    std::optional<int> choose_machine(int home)
    {
        std::vector<int> near;
        std::vector<int> all;
        for (std::size_t i = 0; i < this->machines.size(); ++i) {
            if (!this->machines[i].is_alive)
                continue;
            all.push_back(static_cast<int>(i));
            if (this->machines[i].data_centre == "dc-" + std::to_string(home))
                near.push_back(static_cast<int>(i));
        }
        auto const& choice = near.empty() || this->draw(20) == 0 ? all : near;
        if (choice.empty())
            return {};
        return choice[static_cast<std::size_t>(
            this->draw(static_cast<int>(choice.size())))];
    }

    void begin_stream()
    {
        auto const stream = std::make_shared<Stream>();
        stream->name = "s" + std::to_string(this->streams.size());
        stream->home = this->draw(DATA_CENTRES);
        auto const machine = this->choose_machine(stream->home);
        if (!machine)
            return;
        this->streams.push_back(stream);
        stream->machine = *machine;
        auto const engines = this->serving([](auto const&) { return true; });
        bool const is_counted = this->is_undisturbed(*machine);
        this->verdict.begun.all += is_counted ? 1 : 0;
        if (engines.empty())
            return;
        this->verdict.begun.served += is_counted ? 1 : 0;
        auto const& engine = *engines[static_cast<std::size_t>(
            this->draw(static_cast<int>(engines.size())))];
        stream->origin = { "engines", engine.version, { engine.identity, 0 } };
        this->bring_events(stream, engine);
    }

    bool is_undisturbed(int machine) const
    {
        return this->now - this->machines[static_cast<std::size_t>(machine)].changed_at >= SETTLED_TIME;
    }

    void bring_events(std::shared_ptr<Stream> const& stream,
        Engine const& engine)
    {
        auto& machine = this->machines[static_cast<std::size_t>(stream->machine)];
        stream->engine = engine.identity;
        stream->versions.insert(engine.version);
        stream->is_broken = false;
        machine.table->note(stream->name, stream->origin, this->now);
        if (this->mechanisms.copies_origins)
            this->send_copies(machine, *stream);
        this->schedule(this->now + milliseconds(500 + this->draw(12000)),
            [stream] { stream->is_broken = true; });
    }

    void break_stream(std::shared_ptr<Stream> const& stream)
    {
        if (stream->is_broken)
            return;
        stream->is_broken = true;
        // Callers come back at once, or after a wait that they were told.
        this->schedule(this->now + milliseconds(5 + this->draw(4) * this->draw(500)),
            [this, stream] { this->take_up(stream); });
    }

    void take_up(std::shared_ptr<Stream> const& stream)
    {
        auto const machine = this->choose_machine(stream->home);
        if (!machine || ++stream->tries > 3)
            return;
        stream->machine = *machine;
        auto& at = this->machines[static_cast<std::size_t>(*machine)];
        std::optional<StreamOrigin> origin;
        if (auto const own = at.table->find(stream->name, this->now))
            origin = own->origin;
        for (auto const& candidate : at.replicas->candidates(stream->name)) {
            auto const* holder = this->find(candidate.virtual_machine);
            auto const found = holder->is_alive && this->is_path_open(at, *holder)
                ? holder->table->find(stream->name, this->now)
                : std::nullopt;
            if (!origin && found)
                origin = found->origin;
        }
        this->schedule(
            this->now + (origin ? HOP : ANSWER_TIMEOUT),
            [this, stream, origin] { this->continue_at(stream, origin); });
    }

    void continue_at(std::shared_ptr<Stream> const& stream,
        std::optional<StreamOrigin> const& origin)
    {
        if (!this->machines[static_cast<std::size_t>(stream->machine)].is_alive)
            return;
        auto const engines = this->serving([&](auto const& engine) {
            return origin ? engine.version == origin->software_version
                          : !this->mechanisms.refuses_unknown_streams;
        });
        auto const own = this->serving([&](auto const& engine) {
            return engine.version == stream->origin.software_version;
        });
        bool const is_counted = own.size() >= 2 && this->is_undisturbed(stream->machine);
        bool const has_lost_machine = is_counted && std::exchange(stream->has_lost_machine, false);
        this->verdict.resumed.all += is_counted ? 1 : 0;
        this->verdict.resumed_after_death.all += has_lost_machine ? 1 : 0;
        if (engines.empty())
            return;
        this->verdict.resumed.served += is_counted ? 1 : 0;
        this->verdict.resumed_after_death.served += has_lost_machine ? 1 : 0;
        auto const& engine = *engines[static_cast<std::size_t>(
            this->draw(static_cast<int>(engines.size())))];
        this->bring_events(stream, engine);
        this->verdict.mixed += stream->versions.size() > 1 ? 1 : 0;
    }

    void disturb()
    {
        switch (this->draw(6)) {
        case 0:
            for (int i = 0; i < 1 + this->draw(3); ++i)
                this->kill(this->draw(static_cast<int>(this->machines.size())));
            break;
        case 1:
            this->cut();
            break;
        case 2:
            this->replace_engine();
            break;
        case 3:
            this->crash_engine();
            break;
        case 4:
            this->break_some();
            break;
        default:
            this->replace_engine();
        }
    }

    void kill(int index)
    {
        auto& machine = this->machines[static_cast<std::size_t>(index)];
        if (!machine.is_alive)
            return;
        machine.is_alive = false;
        machine.changed_at = this->now;
        for (auto const& stream : this->streams) {
            if (stream->machine != index || stream->is_broken)
                continue;
            stream->has_lost_machine = true;
            this->break_stream(stream);
        }
        auto const died = machine.incarnation;
        this->schedule(this->now + MEMBERSHIP_DELAY,
            [this, index, died] { this->spread(index, died); });
        this->schedule(
            this->now + milliseconds(200 + this->draw(3000)), [this, index] {
                auto& again = this->machines[static_cast<std::size_t>(index)];
                ++again.incarnation;
                auto members = std::move(again.members);
                this->start(again);
                again.members = std::move(members);
                this->update_members(again);
                this->schedule(this->now + MEMBERSHIP_DELAY,
                    [this, index, incarnation = again.incarnation] {
                        this->spread(index, incarnation);
                    });
            });
    }

    /// The others learn how a VM stands.
    void spread(int index, std::int64_t incarnation)
    {
        auto const& changed = this->machines[static_cast<std::size_t>(index)];
        if (changed.incarnation != incarnation)
            return;
        for (auto& machine : this->machines) {
            if (!this->is_path_open(machine, changed) && changed.is_alive)
                continue;
            if (changed.is_alive)
                machine.members[changed.name] = { changed.name, incarnation,
                    changed.data_centre };
            else
                machine.members.erase(changed.name);
            this->update_members(machine);
        }
    }

    void cut()
    {
        if (!this->cut_data_centre.empty())
            return;
        this->cut_data_centre = "dc-" + std::to_string(this->draw(DATA_CENTRES));
        for (auto& machine : this->machines) {
            if (machine.data_centre == this->cut_data_centre)
                machine.changed_at = this->now + seconds(5);
        }
        this->schedule(this->now + seconds(5),
            [this] { this->cut_data_centre.clear(); });
    }

    /// One engine of the oldest version after the other is replaced; each fifth
    /// one begins a new version.
    void replace_engine()
    {
        auto const running = this->serving([](auto const&) { return true; });
        if (running.empty())
            return;
        ++this->replacements;
        auto const version = "v" + std::to_string(2 + this->replacements / 5);
        auto* const oldest = *std::min_element(
            running.begin(), running.end(),
            [](auto const* a, auto const* b) { return a->version < b->version; });
        // The old one takes nothing new, and ends its streams.
        oldest->ended_at = this->now + LISTING_DELAY;
        this->add_engine(version, this->now + LISTING_DELAY);
    }

    void crash_engine()
    {
        auto const running = this->serving([](auto const&) { return true; });
        if (running.size() < 2)
            return;
        auto* const crashed = running[static_cast<std::size_t>(
            this->draw(static_cast<int>(running.size())))];
        crashed->ended_at = this->now;
        auto const identity = crashed->identity;
        auto const version = crashed->version;
        this->add_engine(version, this->now + seconds(2));
        for (auto const& stream : this->streams) {
            if (!stream->is_broken && stream->engine == identity)
                this->continue_at(stream, stream->origin);
        }
    }

    /// Connections of callers break while their VM lives on.
    void break_some()
    {
        for (auto const& stream : this->streams) {
            if (this->draw(4) == 0)
                this->break_stream(stream);
        }
    }

    std::mt19937_64 random;
    Mechanisms mechanisms;
    MonotonicTime now;
    std::uint64_t last_event = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
    std::vector<Machine> machines;
    std::vector<Engine> engines;
    std::vector<std::shared_ptr<Stream>> streams;
    std::string cut_data_centre;
    int replacements = 0;
    Verdict verdict;
};

} // namespace

// Guards against streams that continue at another software version when VMs
// die, restart and are cut off from each other.
TEST_CASE("No stream holds events of two software versions, and most resumed "
          "ones go on",
    "[stream-versions][simulation]")
{
    constexpr int COUNTED = 12;
    for (auto const machine_count : { 7, 12, 40 }) {
        for (std::uint64_t seed = 1; seed <= 100; ++seed) {
            auto const verdict = Simulation(seed, machine_count, {}).run();
            for (auto const& share : { verdict.resumed, verdict.resumed_after_death }) {
                CAPTURE(machine_count, seed, share.all, share.served,
                    verdict.begun.value());
                CHECK((share.all < COUNTED || share.value() >= verdict.begun.value() / 2));
            }
            CAPTURE(machine_count, seed);
            CHECK(verdict.mixed == 0);
        }
    }
}

// Guards against a simulation that would not notice a broken promise.
TEST_CASE("The simulation shows lost and mixed streams where a mechanism is missing", "[stream-versions][simulation]")
{
    Verdict without_copies;
    Verdict with_unknown_streams;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        auto const verdict = Simulation(seed, 12, { false, true }).run();
        without_copies.resumed_after_death.all += verdict.resumed_after_death.all;
        without_copies.resumed_after_death.served += verdict.resumed_after_death.served;
        with_unknown_streams.mixed += Simulation(seed, 12, { false, false }).run().mixed;
    }
    // Those go on that a VM which is still alive served before.
    CHECK(without_copies.resumed_after_death.value() < 0.5);
    CHECK(with_unknown_streams.mixed > 0);
}
