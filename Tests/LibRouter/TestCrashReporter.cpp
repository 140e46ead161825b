// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibRouter/CrashReporter.h>
#include <Tests/Support/LoopKernel.h>
#include <Tests/Support/PromptParts.h>
#include <catch2/catch.hpp>
#include <limits>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

constexpr auto SERVICE = "engines";

RequestFingerprint request_named(std::string_view body) { return RequestFingerprint::of({ "POST", "h.example", "/x", "", body }); }

/// An in-memory platform store.
class StoredQuarantine final : public QuarantinePort {
public:
    asio::awaitable<Result<std::vector<QuarantineEntry>, PlatformError>> read_quarantine() override
    {
        ++this->reads;
        if (this->is_away)
            co_return Failure { PlatformError::Unavailable };
        co_return this->rows;
    }
    asio::awaitable<Result<Done, PlatformError>> write_quarantine(QuarantineEntry entry, std::vector<RequestFingerprint> outdated) override
    {
        if (this->is_away)
            co_return Failure { PlatformError::Unavailable };
        std::erase_if(this->rows, [&](auto const& row) { return row.request == entry.request || std::find(outdated.begin(), outdated.end(), row.request) != outdated.end(); });
        this->rows.push_back(entry);
        co_return Done {};
    }

    std::vector<QuarantineEntry> rows;
    int reads = 0;
    bool is_away = false;
};

enum class TimeLimits {
    Default,
    /// For tests of what is found, not of when. On a busy machine, a pause of 20 ms lets the default limit of a verdict pass while the
    /// question about served parts is open, and the verdict is then that the request may be retried.
    /// Where the kernel's I/O threads pause, reports and the answers about served parts are lost as well.
    Long,
};

/// One of several VMs that report and analyze crashes.
struct AnalyzingVirtualMachine {
    AnalyzingVirtualMachine(asio::io_context& loop, std::string const& name, QuarantinePort& store, TimeLimits limits)
        : kernel(make_loop_kernel(loop, name))
        , ranking(*this->kernel, milliseconds(200))
        , quarantine(quarantine_options(), *this->kernel, this->ranking, store, loop)
        , analyzer(analyzer_options(limits), this->quarantine, loop)
        , reporter(reporter_options(limits), *this->kernel, this->ranking, this->quarantine, this->analyzer)
    {
        this->reporter.host();
        // The ranking considers only VMs that host this service.
        this->kernel->host(std::string(PLACEMENT_SERVICE), [](wire::Envelope const&, Kernel::Responder const&) {});
        this->kernel->start();
    }
    // The kernel fails the requests that wait for a reply when it stops, and their callbacks use the members declared after it.
    ~AnalyzingVirtualMachine() { this->kernel->stop(); }
    AnalyzingVirtualMachine(AnalyzingVirtualMachine const&) = delete;
    AnalyzingVirtualMachine& operator=(AnalyzingVirtualMachine const&) = delete;

    static CrashAnalyzer::Options analyzer_options(TimeLimits limits)
    {
        CrashAnalyzer::Options options;
        if (limits == TimeLimits::Long)
            options.verdict_timeout = seconds(5);
        // The crashes of these tests follow each other at once.
        options.parts.separate_after = Duration::zero();
        return options;
    }
    static CrashReporter::Options reporter_options(TimeLimits limits)
    {
        CrashReporter::Options options;
        if (limits == TimeLimits::Long) {
            options.answer_timeout = seconds(6);
            options.served_timeout = seconds(4);
        }
        return options;
    }
    static ReplicatedQuarantine::Options quarantine_options()
    {
        ReplicatedQuarantine::Options options;
        options.initial_write_retry_delay = milliseconds(20);
        return options;
    }

    std::unique_ptr<Kernel> kernel;
    VirtualMachineRanking ranking;
    ReplicatedQuarantine quarantine;
    CrashAnalyzer analyzer;
    CrashReporter reporter;
};

class ReporterTest {
public:
    explicit ReporterTest(int count, TimeLimits limits = TimeLimits::Default)
    {
        for (int i = 0; i < count; ++i)
            this->machines.push_back(std::make_unique<AnalyzingVirtualMachine>(this->loop, "vm-" + std::to_string(i), this->store, limits));
        this->meet();
    }
    ~ReporterTest() { this->loop.stop(); }

    /// Makes all VMs known to each other.
    void meet()
    {
        std::vector<MemberRecord> members;
        for (auto const& machine : this->machines)
            members.push_back(member_of(*machine->kernel));
        ++this->version;
        for (auto const& machine : this->machines)
            machine->kernel->directory().replace(this->version, 0, members, {});
    }

    CrashVerdict report(std::size_t machine, std::string const& body, std::string const& upstream, Duration ran_for = milliseconds(70), PromptParts const& parts = {})
    {
        std::optional<CrashVerdict> verdict;
        auto const carry = [&]() -> asio::awaitable<void> {
            UpstreamIncarnation const incarnation { upstream, 0 };
            verdict = co_await this->machines.at(machine)->reporter.report(SERVICE, request_named(body), parts, incarnation, ran_for);
        };
        asio::co_spawn(this->loop, carry(), asio::detached);
        REQUIRE(run_loop_until(this->loop, [&] { return verdict.has_value(); }));
        return *verdict;
    }

    bool all_hold(std::string const& body)
    {
        return run_loop_until(this->loop, [&] {
            return std::all_of(this->machines.begin(), this->machines.end(), [&](auto const& machine) { return machine->quarantine.held_for(request_named(body)).has_value(); });
        });
    }

    /// Crashes engines under different requests with these parts, reported by the VMs in turn.
    CrashVerdict crash_engines(PromptParts const& parts, int count)
    {
        auto verdict = CrashVerdict::MayRetry;
        for (int i = 0; i < count; ++i)
            verdict = this->report(static_cast<std::size_t>(i) % this->machines.size(), "request " + std::to_string(i), "i-" + std::to_string(i), milliseconds(70), parts);
        return verdict;
    }

    bool all_hold(PromptParts const& parts)
    {
        return run_loop_until(this->loop, [&] {
            return std::all_of(this->machines.begin(), this->machines.end(), [&](auto const& machine) { return machine->quarantine.held_for(parts).has_value(); });
        });
    }

    std::size_t index_of(std::string const& name) const
    {
        for (std::size_t i = 0; i < this->machines.size(); ++i) {
            if (this->machines[i]->kernel->virtual_machine() == name)
                return i;
        }
        return this->machines.size();
    }

    asio::io_context loop { 1 };
    StoredQuarantine store;
    std::vector<std::unique_ptr<AnalyzingVirtualMachine>> machines;
    std::int64_t version = 0;
};

}

TEST_CASE("Crashes that different VMs report are counted together, and all VMs quarantine the cause", "[crashes]")
{
    ReporterTest test(4);
    CHECK(test.report(0, "cause", "i-1") == CrashVerdict::MayRetry);
    CHECK(test.report(1, "cause", "i-2") == CrashVerdict::MayRetry);
    CHECK(test.report(2, "cause", "i-3") == CrashVerdict::Quarantined);
    CHECK(test.all_hold("cause"));
    CHECK(run_loop_until(test.loop, [&] { return test.store.rows.size() == 1; }));
}

TEST_CASE("A request that ran beside the cause may be retried, whichever VM reports the crash first", "[crashes]")
{
    ReporterTest test(3);
    for (auto const* upstream : { "i-1", "i-2" }) {
        test.report(0, "victim", upstream, milliseconds(400));
        test.report(1, "cause", upstream);
    }
    std::optional<CrashVerdict> of_victim;
    std::optional<CrashVerdict> of_cause;
    auto const carry = [&](std::size_t machine, std::string body, Duration ran_for, std::optional<CrashVerdict>& verdict) -> asio::awaitable<void> {
        UpstreamIncarnation const incarnation { "i-3", 0 };
        verdict = co_await test.machines.at(machine)->reporter.report(SERVICE, request_named(body), {}, incarnation, ran_for);
    };
    asio::co_spawn(test.loop, carry(0, "victim", milliseconds(400), of_victim), asio::detached);
    asio::co_spawn(test.loop, carry(1, "cause", milliseconds(70), of_cause), asio::detached);
    REQUIRE(run_loop_until(test.loop, [&] { return of_victim && of_cause; }));
    CHECK(of_victim == CrashVerdict::MayRetry);
    CHECK(of_cause == CrashVerdict::Quarantined);
    CHECK_FALSE(test.machines[0]->quarantine.held_for(request_named("victim")));
}

TEST_CASE("Crash reports survive the loss of the first analyzer", "[crashes][kill]")
{
    ReporterTest test(4);
    auto const analyzers = test.machines[0]->ranking.ranked_names(std::string(QUARANTINE_SERVICE) + "/" + SERVICE);
    auto const first = test.index_of(analyzers.front());
    auto const reporter = (first + 1) % 4;
    test.report(reporter, "cause", "i-1");
    test.report(reporter, "cause", "i-2");
    // The other VMs do not know yet that it is gone.
    test.machines[first]->kernel->stop();
    CHECK(test.report(reporter, "cause", "i-3") == CrashVerdict::Quarantined);
}

TEST_CASE("A VM that restarted or missed the broadcast learns of the cause from the digest in a heartbeat", "[crashes]")
{
    ReporterTest test(2);
    for (auto const* upstream : { "i-1", "i-2", "i-3" })
        test.report(0, "cause", upstream);
    REQUIRE(test.all_hold("cause"));
    test.machines.push_back(std::make_unique<AnalyzingVirtualMachine>(test.loop, "vm-new", test.store, TimeLimits::Default));
    test.meet();
    auto& fresh = *test.machines.back();
    fresh.quarantine.handle_digest(test.machines[0]->kernel->endpoint(), test.machines[0]->quarantine.digest());
    CHECK(test.all_hold("cause"));
    CHECK(fresh.quarantine.digest() == test.machines[0]->quarantine.digest());
}

TEST_CASE("After a restart of all processes one further crash quarantines a request that the store lists", "[crashes][kill]")
{
    ReporterTest before(2);
    for (auto const* upstream : { "i-1", "i-2", "i-3" })
        before.report(0, "cause", upstream);
    REQUIRE(run_loop_until(before.loop, [&] { return !before.store.rows.empty(); }));
    ReporterTest after(2);
    after.store.rows = before.store.rows;
    CHECK(after.report(0, "cause", "i-4") == CrashVerdict::Quarantined);
    CHECK(after.report(0, "another", "i-4") == CrashVerdict::MayRetry);
}

TEST_CASE("A request whose quarantine has expired may be sent, and one further crash quarantines it for longer", "[crashes]")
{
    ReporterTest test(2);
    auto const ended = unix_milliseconds() - 1000;
    test.store.rows = { { request_named("cause"), 1, ended } };
    CHECK_FALSE(test.machines[0]->quarantine.held_for(request_named("cause")));
    CHECK(test.report(0, "cause", "i-1") == CrashVerdict::Quarantined);
    CHECK(test.machines[0]->quarantine.held_for(request_named("cause")) > seconds(3600));
}

TEST_CASE("While the store is unavailable causes are still found, and are written once it is available again", "[crashes][store]")
{
    ReporterTest test(2);
    test.store.is_away = true;
    for (auto const* upstream : { "i-1", "i-2" })
        CHECK(test.report(0, "cause", upstream) == CrashVerdict::MayRetry);
    CHECK(test.report(0, "cause", "i-3") == CrashVerdict::Quarantined);
    CHECK(test.all_hold("cause"));
    CHECK(test.store.rows.empty());
    test.store.is_away = false;
    CHECK(run_loop_until(test.loop, [&] { return test.store.rows.size() == 1; }));
    // One read of the store serves a series of crashes.
    CHECK(test.store.reads <= 4);
}

TEST_CASE("A request that many callers send identically and that completes is not taken for a cause", "[crashes]")
{
    ReporterTest test(2);
    test.machines[0]->reporter.note_completed(SERVICE, request_named("shared"));
    for (auto const* upstream : { "i-1", "i-2", "i-3", "i-4" })
        CHECK(test.report(0, "shared", upstream) == CrashVerdict::MayRetry);
}

TEST_CASE("A request that completed elsewhere is not blamed for earlier crashes beside it", "[crashes]")
{
    ReporterTest test(2);
    test.report(0, "victim", "i-1");
    test.report(0, "victim", "i-2");
    test.machines[0]->reporter.note_completed(SERVICE, request_named("victim"));
    CHECK(test.report(0, "victim", "i-3") == CrashVerdict::MayRetry);
}

// Guards against requests that a restored store no longer keeps from upstreams after a restart of all VMs.
TEST_CASE("Quarantined requests that a restored store lacks are written again, once", "[quarantine][platform-down]")
{
    ReporterTest test(2);
    auto const crashing = request_named("crashing");
    auto const kept = request_named("kept");
    auto& keeper = test.machines[0]->quarantine;
    keeper.add(kept);
    REQUIRE(run_loop_until(test.loop, [&] { return test.store.rows.size() == 1; }));
    keeper.verify_store(1);
    REQUIRE(run_loop_until(test.loop, [&] { return test.store.reads == 1; }));
    auto const copy = test.store.rows;
    keeper.add(crashing);
    REQUIRE(run_loop_until(test.loop, [&] { return test.store.rows.size() == 2; }));
    auto const rows = test.store.rows;
    test.store.rows = copy;
    test.store.is_away = true;
    keeper.verify_store(2);
    REQUIRE(run_loop_until(test.loop, [&] { return test.store.reads == 2; }));
    test.store.is_away = false;
    for (int i = 0; i < 3; ++i) {
        keeper.verify_store(2);
        REQUIRE(run_loop_until(test.loop, [&] { return test.store.rows.size() == 2; }));
    }
    CHECK(test.store.reads == 3);
    CHECK(std::is_permutation(test.store.rows.begin(), test.store.rows.end(), rows.begin(), rows.end()));
}

TEST_CASE("Without quarantined requests a restored store is not read for them", "[quarantine][platform-down]")
{
    ReporterTest test(1);
    test.machines[0]->quarantine.verify_store(2);
    test.loop.run_for(std::chrono::milliseconds(50));
    CHECK(test.store.reads == 0);
}

// Guards against a part that crashes engines in requests of which no two are alike, reported by different VMs.
TEST_CASE("A part at the crashes that different VMs report is held by all, and what else its prompts share is not", "[crashes][crashing-part]")
{
    ReporterTest test(4, TimeLimits::Long);
    for (int i = 0; i < 3; ++i)
        test.machines[3]->reporter.note_served(parts_named({ "system" }));
    auto const verdict = test.crash_engines(parts_named({ "system", "bad" }), 3);
    CHECK(verdict == CrashVerdict::Quarantined);
    CHECK(test.all_hold(parts_named({ "other", "bad" })));
    for (auto const& machine : test.machines)
        CHECK_FALSE(machine->quarantine.held_for(parts_named({ "system", "other" })));
}

// Guards against default limits under which no verdict can name a part: the crash must be fully reported and all VMs asked before it.
TEST_CASE("The default limit of a verdict leaves time to ask the VMs for served parts after a crash is fully reported", "[crashes][crashing-part]")
{
    CrashAnalyzer::Options const options;
    CHECK(options.verdict_timeout >= options.parts.report_delay + options.check_interval + milliseconds(10));
    CHECK(CrashReporter::Options {}.answer_timeout > options.verdict_timeout);
}

// Guards against an analyzer that is called back after its destruction, by the question that its kernel fails when it stops.
TEST_CASE("VMs may stop while their questions about served parts are unanswered", "[crashes][crashing-part][kill]")
{
    ReporterTest test(2);
    auto const parts = parts_named({ "system", "bad" });
    CHECK(test.crash_engines(parts, 2) == CrashVerdict::MayRetry);
    auto const carry = [&]() -> asio::awaitable<void> {
        UpstreamIncarnation const incarnation { "i-2", 0 };
        static_cast<void>(co_await test.machines[0]->reporter.report(SERVICE, request_named("request 2"), parts, incarnation, milliseconds(70)));
    };
    asio::co_spawn(test.loop, carry(), asio::detached);
    auto const has_asked = [&] {
        return std::any_of(test.machines.begin(), test.machines.end(), [](auto const& machine) { return machine->kernel->sent_traffic().contains("get_served_parts"); });
    };
    auto const until = monotonic_now() + seconds(20);
    while (!has_asked() && monotonic_now() < until)
        test.loop.run_one_for(std::chrono::milliseconds(2));
    REQUIRE(has_asked());
}

TEST_CASE("A part that another VM served is not blamed for crashes", "[crashes][crashing-part]")
{
    ReporterTest test(3);
    auto const parts = parts_named({ "system", "tools" });
    for (int i = 0; i < 3; ++i)
        test.machines[2]->reporter.note_served(parts);
    CHECK(test.crash_engines(parts, 8) == CrashVerdict::MayRetry);
    CHECK_FALSE(test.machines[0]->quarantine.held_for(parts));
}

TEST_CASE("A VM that joins learns of held parts from a digest, and one that starts alone from the store", "[crashes][crashing-part][kill]")
{
    ReporterTest test(2, TimeLimits::Long);
    auto const parts = parts_named({ "system", "bad" });
    for (int i = 0; i < 3; ++i)
        test.machines[0]->reporter.note_served(parts_named({ "system" }));
    test.crash_engines(parts, 4);
    REQUIRE(test.all_hold(parts));
    test.machines.push_back(std::make_unique<AnalyzingVirtualMachine>(test.loop, "vm-new", test.store, TimeLimits::Default));
    test.meet();
    test.machines.back()->quarantine.handle_digest(test.machines[0]->kernel->endpoint(), test.machines[0]->quarantine.digest());
    CHECK(test.all_hold(parts));
    CHECK(test.machines.back()->quarantine.digest() == test.machines[0]->quarantine.digest());
    REQUIRE(run_loop_until(test.loop, [&] { return !test.store.rows.empty(); }));

    ReporterTest restarted(1, TimeLimits::Long);
    restarted.store.rows = test.store.rows;
    CHECK(restarted.report(0, "another", "i-9", milliseconds(70), parts) == CrashVerdict::Quarantined);
}

TEST_CASE("An answer that is served all the same ends the hold of its parts on all VMs", "[crashes][crashing-part][lost]")
{
    ReporterTest test(2, TimeLimits::Long);
    auto const parts = parts_named({ "tools" });
    for (int i = 0; i < 3; ++i)
        test.machines[0]->reporter.note_served(parts_named({ "system" }));
    test.crash_engines(parts, 4);
    REQUIRE(test.all_hold(parts));
    test.machines[1]->reporter.note_served(parts_named({ "system", "tools" }));
    CHECK(run_loop_until(test.loop, [&] { return !test.machines[0]->quarantine.held_for(parts) && !test.machines[1]->quarantine.held_for(parts); }));
    CHECK(run_loop_until(test.loop, [&] { return !test.store.rows.empty() && test.store.rows.back().lifted == test.store.rows.back().times; }));
    CHECK(test.machines[0]->quarantine.digest() == test.machines[1]->quarantine.digest());
}

TEST_CASE("Questions and reports with very many parts and senseless ages are answered within bounds", "[crashes][crashing-part][bounds]")
{
    ReporterTest test(2);
    test.machines[1]->reporter.note_served(parts_named({ "system" }));
    auto question = message_to(QUARANTINE_SERVICE);
    for (std::uint64_t i = 0; i < 50'000; ++i)
        question.mutable_get_served_parts()->add_parts(i);
    question.mutable_get_served_parts()->set_age_microseconds(std::numeric_limits<std::int64_t>::min());
    auto report = message_to(QUARANTINE_SERVICE);
    report.mutable_crash_report()->set_fingerprint(request_named("x").to_bytes());
    report.mutable_crash_report()->set_upstream("i-1");
    for (std::uint64_t i = 0; i < 50'000; ++i)
        report.mutable_crash_report()->add_parts(i);
    int answered = 0;
    for (auto const& message : { question, report }) {
        test.machines[0]->kernel->request(test.machines[1]->kernel->endpoint(), message, seconds(5), [&](WireReply const& reply) {
            CHECK_FALSE(reply.is_error());
            ++answered;
        });
    }
    CHECK(run_loop_until(test.loop, [&] { return answered == 2; }));
}
