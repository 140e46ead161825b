// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibAsync/Signal.h>
#include <LibCore/Clock.h>
#include <LibCore/LogLine.h>
#include <LibRouter/CrashReporter.h>
#include <algorithm>

namespace Spurtide {

namespace {

/// Two, so that the reports survive the loss of one analyzer.
constexpr std::size_t ANALYZER_COUNT = 2;
/// Of one question. Parts at enough crashes to be suspects are few.
constexpr std::size_t MAXIMUM_ASKED_PARTS = 1024;

wire::Envelope served_question(PoisonPartDetector::Suspects const& suspects, MonotonicTime now)
{
    auto envelope = message_to(QUARANTINE_SERVICE);
    auto* message = envelope.mutable_get_served_parts();
    for (std::size_t i = 0; i < std::min(suspects.parts.size(), MAXIMUM_ASKED_PARTS); ++i)
        message->add_parts(suspects.parts[i].hash);
    message->set_age_microseconds(std::chrono::duration_cast<Duration>(now - suspects.since).count());
    return envelope;
}

wire::Envelope report_message(CrashReport const& report)
{
    auto envelope = message_to(QUARANTINE_SERVICE);
    auto* message = envelope.mutable_crash_report();
    message->set_fingerprint(report.request.to_bytes());
    message->set_upstream(report.upstream.identity);
    message->set_started(report.upstream.started);
    message->set_ran_microseconds(report.ran_for.count());
    for (auto const& part : report.parts)
        message->add_parts(part.hash);
    message->set_was_completed_before(report.prior_result == CrashReport::PriorResult::Completed);
    return envelope;
}

CrashReport read_report(wire::CrashReport const& message, RequestFingerprint const& request)
{
    CrashReport report;
    report.request = request;
    // Bounds what a damaged message can make the analyzer keep.
    auto const count = std::min(message.parts_size(), static_cast<int>(MAXIMUM_PROMPT_PARTS));
    for (int i = 0; i < count; ++i)
        report.parts.push_back({ message.parts(i) });
    report.parts = make_prompt_parts(std::move(report.parts));
    report.upstream = { message.upstream(), message.started() };
    report.ran_for = Duration(message.ran_microseconds());
    report.prior_result = message.was_completed_before() ? CrashReport::PriorResult::Completed : CrashReport::PriorResult::Unknown;
    return report;
}

}

/// Collects the analyzers' answers for the coroutine that waits for the verdict.
struct CrashReporter::PendingVerdict {
    PendingVerdict(asio::any_io_executor const& executor, std::size_t analyzers)
        : signal(executor)
        , answers(analyzers)
    {
    }

    struct AnalyzerAnswer {
        bool is_complete = false;
        /// Empty if the analyzer did not answer.
        std::optional<CrashVerdict> verdict;
    };

    void set_answer(std::size_t analyzer, std::optional<CrashVerdict> verdict)
    {
        this->answers.at(analyzer) = { true, verdict };
        this->signal.notify();
    }

    /// The verdict of the first analyzer that answers, in ranking order. Any analyzer that found a cause overrides the others,
    /// since one that has just become an analyzer has fewer reports.
    std::optional<CrashVerdict> verdict() const
    {
        if (std::any_of(this->answers.begin(), this->answers.end(), [](auto const& answer) { return answer.verdict == CrashVerdict::Quarantined; }))
            return CrashVerdict::Quarantined;
        for (auto const& answer : this->answers) {
            if (!answer.is_complete)
                return {};
            if (answer.verdict)
                return answer.verdict;
        }
        // No analyzer answered. A retry crashes at most one more upstream.
        return CrashVerdict::MayRetry;
    }

    Signal signal;
    std::vector<AnalyzerAnswer> answers;
};

/// Collects what the VMs served.
struct CrashReporter::PendingServed {
    void add(wire::ServedParts const& message, MonotonicTime now)
    {
        for (auto const& part : message.parts()) {
            auto const served_at = now - Duration(std::max<std::int64_t>(0, part.age_microseconds()));
            auto const [place, is_new] = this->total.last_served.try_emplace(PromptPart { part.part() }, served_at);
            place->second = std::max(place->second, served_at);
        }
        this->total.answers += static_cast<std::size_t>(std::max<std::int64_t>(0, message.answers()));
        this->total.recent_answers += static_cast<std::size_t>(std::max<std::int64_t>(0, message.recent_answers()));
    }

    ServedAnswers total;
    std::size_t outstanding = 0;
    std::size_t unanswered = 0;
    CrashAnalyzer::ServedCallback callback;
};

CrashReporter::CrashReporter(Options options, Kernel& kernel, VirtualMachineRanking& ranking, ReplicatedQuarantine& quarantine, CrashAnalyzer& own_analyzer)
    : options(options)
    , kernel(kernel)
    , ranking(ranking)
    , quarantine(quarantine)
    , own_analyzer(own_analyzer)
    , completed(options.completed)
    , reported(options.reported)
    , served(options.served)
{
    this->own_analyzer.set_ask_served([this](auto const& suspects, auto const& callback) { this->ask_served(suspects, callback); });
}

void CrashReporter::host()
{
    this->kernel.host(std::string(QUARANTINE_SERVICE), [this](wire::Envelope const& request, Kernel::Responder const& respond) { this->handle_request(request, respond); });
}

std::vector<std::string> CrashReporter::analyzers(std::string_view service) const
{
    auto names = this->ranking.ranked_names(std::string(QUARANTINE_SERVICE) + "/" + std::string(service));
    names.resize(std::min(names.size(), ANALYZER_COUNT));
    // A VM that knows of no others analyzes its own reports.
    if (names.empty())
        names.push_back(this->kernel.virtual_machine());
    return names;
}

asio::awaitable<CrashVerdict> CrashReporter::report(std::string service, RequestFingerprint request, PromptParts parts, UpstreamIncarnation upstream, Duration ran_for)
{
    CrashReport report;
    report.request = request;
    report.parts = std::move(parts);
    report.upstream = upstream;
    report.ran_for = ran_for;
    auto const now = monotonic_now();
    report.prior_result = this->completed.contains(request, now) ? CrashReport::PriorResult::Completed : CrashReport::PriorResult::Unknown;
    this->reported.note(request, now);
    auto const executor = co_await asio::this_coro::executor;
    auto const names = this->analyzers(service);
    auto const pending = std::make_shared<PendingVerdict>(executor, names.size());
    for (std::size_t i = 0; i < names.size(); ++i)
        this->request_verdict(names[i], report, [pending, i](auto verdict) { pending->set_answer(i, verdict); });
    while (!pending->verdict())
        co_await pending->signal.wait();
    co_return *pending->verdict();
}

void CrashReporter::request_verdict(std::string const& analyzer, CrashReport const& report, std::function<void(std::optional<CrashVerdict>)> answer)
{
    if (analyzer == this->kernel.virtual_machine())
        return this->own_analyzer.handle_report(report, std::move(answer));
    this->kernel.request(this->ranking.endpoint_of(analyzer), report_message(report), this->options.answer_timeout, [this, analyzer, answer](WireReply const& reply) {
        if (!reply.is_error() && reply.value().has_crash_report_answer())
            return answer(reply.value().crash_report_answer().is_quarantined() ? CrashVerdict::Quarantined : CrashVerdict::MayRetry);
        if (reply.is_error() && reply.error().kind != WireErrorKind::Remote)
            this->ranking.note_unresponsive(analyzer);
        LogLine("crash_analyzer_unresponsive").with("vm", analyzer).with("error", reply.is_error() ? to_string(reply.error().kind) : "unknown_answer");
        answer(std::nullopt);
    });
}

void CrashReporter::note_completed(std::string const& service, RequestFingerprint const& request)
{
    auto const now = monotonic_now();
    this->completed.note(request, now);
    if (!this->reported.contains(request, now))
        return;
    auto envelope = message_to(QUARANTINE_SERVICE);
    envelope.mutable_completion_report()->set_fingerprint(request.to_bytes());
    for (auto const& analyzer : this->analyzers(service)) {
        if (analyzer == this->kernel.virtual_machine())
            this->own_analyzer.note_completed(request);
        else
            this->kernel.notify(this->ranking.endpoint_of(analyzer), envelope);
    }
}

void CrashReporter::note_served(PromptParts const& parts)
{
    this->served.note_served(parts, monotonic_now());
    this->quarantine.note_served(parts);
}

// Reporting each served part to the analyzers would be a message per request; asking for a few parts after a crash is a message per VM.
void CrashReporter::ask_served(PoisonPartDetector::Suspects const& suspects, CrashAnalyzer::ServedCallback const& callback)
{
    auto const envelope = served_question(suspects, monotonic_now());
    auto const names = this->kernel.directory().virtual_machines_with(PLACEMENT_SERVICE);
    auto const pending = std::make_shared<PendingServed>();
    pending->outstanding = names.size() + 1;
    pending->callback = callback;
    auto const finish_one = [pending, count = names.size()] {
        if (--pending->outstanding > 0)
            return;
        LogLine("served_parts_collected").with("vms", static_cast<std::int64_t>(count)).with("unanswered", static_cast<std::int64_t>(pending->unanswered)).with("parts", static_cast<std::int64_t>(pending->total.last_served.size())).with("answers", static_cast<std::int64_t>(pending->total.answers));
        pending->callback(std::move(pending->total));
    };
    for (auto const& name : names) {
        if (name == this->kernel.virtual_machine()) {
            finish_one();
            continue;
        }
        this->kernel.request(this->ranking.endpoint_of(name), envelope, this->options.served_timeout, [pending, finish_one](WireReply const& reply) {
            if (!reply.is_error() && reply.value().has_served_parts())
                pending->add(reply.value().served_parts(), monotonic_now());
            else
                ++pending->unanswered;
            finish_one();
        });
    }
    this->answer_served(envelope.get_served_parts(), [pending](wire::Envelope const& own) { pending->add(own.served_parts(), monotonic_now()); });
    finish_one();
}

void CrashReporter::answer_served(wire::GetServedParts const& asked, Kernel::Responder const& respond) const
{
    auto const now = monotonic_now();
    wire::Envelope reply;
    auto* message = reply.mutable_served_parts();
    auto const count = std::min(asked.parts_size(), static_cast<int>(MAXIMUM_ASKED_PARTS));
    for (int i = 0; i < count; ++i) {
        auto const served_at = this->served.last_served({ asked.parts(i) }, now);
        if (!served_at)
            continue;
        auto* part = message->add_parts();
        part->set_part(asked.parts(i));
        part->set_age_microseconds(std::chrono::duration_cast<Duration>(now - *served_at).count());
    }
    auto const age = std::clamp<std::int64_t>(asked.age_microseconds(), 0, this->options.served.retention.count());
    message->set_answers(static_cast<std::int64_t>(this->served.answers_since(MonotonicTime {})));
    message->set_recent_answers(static_cast<std::int64_t>(this->served.answers_since(now - Duration(age))));
    respond(std::move(reply));
}

void CrashReporter::handle_request(wire::Envelope const& request, Kernel::Responder const& respond)
{
    if (this->quarantine.handle(request, respond))
        return;
    if (request.has_get_served_parts()) {
        this->answer_served(request.get_served_parts(), respond);
        return;
    }
    if (request.has_completion_report()) {
        if (auto const fingerprint = RequestFingerprint::from_bytes(request.completion_report().fingerprint()))
            this->own_analyzer.note_completed(*fingerprint);
        return;
    }
    auto const fingerprint = RequestFingerprint::from_bytes(request.crash_report().fingerprint());
    if (!request.has_crash_report() || !fingerprint) {
        respond(error_reply(wire::ERROR_CODE_UNKNOWN_MESSAGE));
        return;
    }
    this->own_analyzer.handle_report(read_report(request.crash_report(), *fingerprint), [respond](CrashVerdict verdict) {
        wire::Envelope reply;
        reply.mutable_crash_report_answer()->set_is_quarantined(verdict == CrashVerdict::Quarantined);
        respond(std::move(reply));
    });
}

}
