// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/LogLine.h>
#include <LibDecision/CellMap.h>
#include <Tests/Platform/PeerVirtualMachine.h>
#include <Tests/Platform/UpstreamPath.h>
#include <Tests/Platform/VersionedDeployment.h>
#include <catch2/catch.hpp>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

constexpr int STREAMS = 12;

enum class Peers {
    None,
    Known,
};

enum class Named {
    No,
    Yes,
};

/// The name of a VM that is asked for placements after the test's own, or before it.
std::string virtual_machine_name(bool is_keeper, int number)
{
    auto const name = [&] { return "vm-" + std::to_string(number); };
    while ((rendezvous_score("engines", name()) > rendezvous_score("engines", "vm-1")) != is_keeper)
        ++number;
    return name();
}

/// The caller does not name what it takes up.
void forget_stream(HttpRequest& request)
{
    std::erase_if(request.head.headers.all(), [](auto const& field) { return equal_names(field.name, "Resumes"); });
}

/// Streams that began at VMs which are gone, and what their callers got.
struct BegunStreams {
    std::vector<std::string> names;
    std::vector<CallerAnswer> answers;

    bool have(std::string const& version) const
    {
        return std::any_of(this->answers.begin(), this->answers.end(), [&](auto const& answer) { return VersionedDeployment::versions_in(answer.body).contains(version); });
    }
};

/// A VM that can stand still and lose the store, before engines of a version that others come to have beside it.
class OutOfStepDeployment : public VersionedDeployment {
public:
    explicit OutOfStepDeployment(Peers peers)
        : peers(peers)
        , store_path(this->store.address())
    {
        this->configure(1);
        this->add_version("v1", 2);
        this->make_slow();
        this->change_engine("decode-1-v1", "v1");
        auto const name = virtual_machine_name(false, 2);
        this->store_path.begin_turn(name);
        this->beside = [this] { this->store_path.poll(); };
        auto const change = [this](NodeSettings& settings) {
            settings.longest_absence = LONGEST_ABSENCE;
            settings.registry_address = this->store_path.address();
        };
        this->others.emplace_back(std::make_unique<OtherVirtualMachine>(*this, this->seeds(), change, name));
        this->beside = [this, run = this->beside] {
            if (this->is_standing)
                this->store_path.poll();
            else
                run();
        };
        this->out_of_step_name = name;
    }

    OtherVirtualMachine& out_of_step() { return *this->others.front(); }
    std::vector<std::string> seeds() const { return this->peers == Peers::Known ? std::vector<std::string> { this->node->wire_address() } : std::vector<std::string> {}; }

    /// Waits until the VM takes up streams of which nobody knows anything, as one version only can have begun them.
    void wait_until_derived()
    {
        int calls = 0;
        REQUIRE(this->run_until([&] {
            return this->call(this->out_of_step().caller_address(), this->take_up_request("p" + std::to_string(++calls), "nobody", Named::No)).head.status == 200;
        }));
    }

    HttpRequest take_up_request(std::string const& identifier, std::string const& resumed, Named named)
    {
        auto request = this->resumption(identifier, resumed, 2);
        if (named == Named::No)
            forget_stream(request);
        return request;
    }

    /// What it waits for from the store has then been answered, so that later changes come together.
    void stand_still()
    {
        this->is_standing = true;
        this->list(this->engine("decode-2-v1"), "engines", "draining");
    }
    void set_store_condition(UpstreamPath::Condition condition) { this->store_path.set_condition(this->out_of_step_name, condition); }

    /// Restarts an engine under its identity, and waits until the test's own VM has heard of a new version.
    void change_engine(std::string const& identity, std::string const& version)
    {
        auto& restarted = this->engine(identity);
        restarted.started += 1000;
        bool is_known = restarted.software_version == version;
        restarted.software_version = restarted.event_text = version;
        LogLine::set_observer([&](std::string_view line) { is_known |= line.find("upstream=" + identity) != std::string_view::npos && line.find("software=" + version) != std::string_view::npos; });
        this->store.put("servers", identity, restarted.entry("engines"));
        REQUIRE(this->run_until([&] { return is_known; }));
        LogLine::set_observer({});
    }

    void join(std::string const& version)
    {
        this->add_version(version, 2);
        this->make_slow();
    }

    void make_slow()
    {
        for (auto const& engine : this->engines)
            engine->event_pause = milliseconds(15);
    }

    /// Streams of a VM that joined after all changes so far and is killed when its callers have two events of each.
    BegunStreams begin_elsewhere()
    {
        auto const& serving = this->add_virtual_machine(virtual_machine_name(false, 50), this->seeds());
        BegunStreams begun;
        for (int i = 0; i < STREAMS; ++i)
            begun.names.push_back("s" + std::to_string(i));
        begun.answers = this->begin_streams(serving.caller_address(), begun.names);
        this->kill_last();
        return begun;
    }

    /// The requests have arrived before the VM goes on. Returns how many streams went on.
    int take_up(BegunStreams const& begun, Named named)
    {
        auto const& other = this->engine("decode-2-v1");
        this->store.put("servers", other.identity, other.entry("engines"));
        std::vector<std::shared_ptr<HttpConnection>> connections;
        for (auto const& name : begun.names)
            connections.push_back(this->begin(this->out_of_step().caller_address(), this->take_up_request(name + "-2", name, named)));
        this->is_standing = false;
        std::vector<CallerAnswer> answers(connections.size());
        std::size_t done = 0;
        auto const read = [&](std::size_t i) -> asio::awaitable<void> {
            answers[i] = co_await read_answer(connections[i]);
            ++done;
        };
        for (std::size_t i = 0; i < connections.size(); ++i)
            asio::co_spawn(this->loop, read(i), asio::detached);
        REQUIRE(this->run_until([&] { return done == connections.size(); }, seconds(30)));
        int went_on = 0;
        for (std::size_t i = 0; i < answers.size(); ++i) {
            CAPTURE(i, begun.answers[i].body, answers[i].body, answers[i].head.status);
            CHECK(versions_in(begun.answers[i].body + answers[i].body).size() == 1);
            if (answers[i].head.status == 200) {
                ++went_on;
                continue;
            }
            CHECK(answers[i].head.status == 503);
            CHECK(this->runs_of(begun.names[i] + "-2") == 0);
        }
        return went_on;
    }

private:
    Peers peers;
    UpstreamPath store_path;
    std::string out_of_step_name;
    bool is_standing = false;
};

}

// Guards against streams of a new version that go on at the old one where a VM stood still while the new one came.
TEST_CASE("A VM that stood still while a software version joined lets no stream of it go on at another", "[out-of-step]")
{
    OutOfStepDeployment test(GENERATE(Peers::Known, Peers::None));
    auto const named = GENERATE(Named::Yes, Named::No);
    test.wait_until_derived();
    test.stand_still();
    test.join("v2");
    auto const begun = test.begin_elsewhere();
    REQUIRE(begun.have("v2"));
    auto const went_on = test.take_up(begun, named);
    // Of what nobody names, two versions can have begun each.
    CHECK((named == Named::Yes || went_on == 0));
}

// Guards against lists that a VM takes for current although it cannot read the store.
TEST_CASE("A VM that lost the store while a software version joined lets no stream of it go on at another", "[out-of-step]")
{
    OutOfStepDeployment test(GENERATE(Peers::Known, Peers::None));
    auto const named = GENERATE(Named::Yes, Named::No);
    auto const condition = GENERATE(UpstreamPath::Condition::Reset, UpstreamPath::Condition::Silent);
    test.wait_until_derived();
    test.set_store_condition(condition);
    test.join("v2");
    auto const begun = test.begin_elsewhere();
    REQUIRE(begun.have("v2"));
    auto const went_on = test.take_up(begun, named);
    CHECK((named == Named::Yes || went_on == 0));
}

// Guards against streams that go on at the version that is left after theirs came and went unseen.
TEST_CASE("A VM that stood still while a software version came and went lets no stream of it go on at another", "[out-of-step]")
{
    OutOfStepDeployment test(GENERATE(Peers::Known, Peers::None));
    auto const named = GENERATE(Named::Yes, Named::No);
    test.wait_until_derived();
    test.stand_still();
    test.join("v2");
    auto const begun = test.begin_elsewhere();
    REQUIRE(begun.have("v2"));
    for (auto const* identity : { "prefill-v2", "decode-1-v2", "decode-2-v2" })
        test.store.remove("servers", identity);
    auto const went_on = test.take_up(begun, named);
    CHECK((named == Named::Yes || went_on == 0));
}

// Guards against a version that an engine of a known identity had between two entries of which a VM saw the last only.
TEST_CASE("A VM that stood still while a listed engine had another software version for a time lets no stream of it go on elsewhere", "[out-of-step]")
{
    OutOfStepDeployment test(GENERATE(Peers::Known, Peers::None));
    auto const named = GENERATE(Named::Yes, Named::No);
    test.wait_until_derived();
    test.stand_still();
    test.change_engine("decode-1-v1", "v2");
    auto const begun = test.begin_elsewhere();
    REQUIRE(begun.have("v2"));
    test.change_engine("decode-1-v1", "v1");
    auto const went_on = test.take_up(begun, named);
    CHECK((named == Named::Yes || went_on == 0));
}

// Guards against a version that a listed engine had right before its entry was removed.
TEST_CASE("A VM that stood still while a listed engine got another software version and left lets no stream of it go on elsewhere", "[out-of-step]")
{
    OutOfStepDeployment test(GENERATE(Peers::Known, Peers::None));
    auto const named = GENERATE(Named::Yes, Named::No);
    test.wait_until_derived();
    test.stand_still();
    test.change_engine("decode-1-v1", "v2");
    auto const begun = test.begin_elsewhere();
    REQUIRE(begun.have("v2"));
    test.store.remove("servers", "decode-1-v1");
    auto const went_on = test.take_up(begun, named);
    CHECK((named == Named::Yes || went_on == 0));
}

// Guards against a version that came and went under the identity of an engine whose removal the VM had seen before.
TEST_CASE("A VM that stood still while a removed engine came back with another software version and left lets no stream of it go on elsewhere", "[out-of-step]")
{
    OutOfStepDeployment test(GENERATE(Peers::Known, Peers::None));
    auto const named = GENERATE(Named::Yes, Named::No);
    test.store.remove("servers", "decode-1-v1");
    test.wait_until_derived();
    test.stand_still();
    test.change_engine("decode-1-v1", "v2");
    auto const begun = test.begin_elsewhere();
    REQUIRE(begun.have("v2"));
    test.store.remove("servers", "decode-1-v1");
    auto const went_on = test.take_up(begun, named);
    CHECK((named == Named::Yes || went_on == 0));
}

// Guards against a version that came and went unseen since another writer's entry stands in the place of its own.
TEST_CASE("A VM that stood still while odd entries took the place of a software version's lets no stream of it go on at another", "[out-of-step][odd-entries]")
{
    OutOfStepDeployment test(GENERATE(Peers::Known, Peers::None));
    auto const named = GENERATE(Named::Yes, Named::No);
    test.wait_until_derived();
    test.stand_still();
    test.join("v2");
    auto const begun = test.begin_elsewhere();
    REQUIRE(begun.have("v2"));
    for (auto const* identity : { "prefill-v2", "decode-1-v2", "decode-2-v2" })
        test.store.put_bytes("servers", identity, "odd");
    auto const went_on = test.take_up(begun, named);
    CHECK((named == Named::Yes || went_on == 0));
}

// Guards against keepers out of step, whose old list has no engine of the version that a stream needs, or no versions at all.
TEST_CASE("A stream that is taken up does not go on at another software version that a keeper with an old list grants", "[out-of-step]")
{
    VersionedDeployment test;
    test.configure(1);
    test.add_version("v1", 2);
    test.add_version("v2", 1);
    for (auto const& engine : test.engines)
        engine->event_pause = milliseconds(15);
    std::vector<std::string> const granted { "decode-1-v2", "decode-1-v1", "decode-1-v1", "decode-1-v2" };
    std::size_t asks = 0;
    PeerVirtualMachine keeper(test, virtual_machine_name(true, 2), [&](wire::Envelope const& message, Kernel::Responder const& respond) {
        if (!message.has_placement_ask())
            return;
        wire::Envelope reply;
        reply.mutable_placement_grant()->set_decode_engine(granted.at(std::min(asks++, granted.size() - 1)));
        respond(std::move(reply));
    });
    REQUIRE(keeper.is_seen_by(test));
    test.beside = [&] { keeper.run(); };
    auto const begun = test.call_and_leave(test.node->caller_address(), test.model_request("/resumable/x", "s1"), 2);
    REQUIRE(VersionedDeployment::versions_in(begun.body) == std::set<std::string> { "v2" });
    auto const next = test.call_and_leave(test.node->caller_address(), test.resumption("s2", "s1", 2), 3);
    CAPTURE(next.body);
    CHECK(next.head.status == 200);
    CHECK(VersionedDeployment::versions_in(next.body) == std::set<std::string> { "v2" });
    CHECK(asks == 4);
    for (auto const* identity : { "decode-1-v1", "decode-2-v1" })
        CHECK(test.engine(identity).run.empty());
    auto unnamed = test.resumption("s3", "s1", 3);
    forget_stream(unnamed);
    CHECK(test.call(unnamed).head.status == 503);
    CHECK(test.runs_of("s3") == 0);
}
