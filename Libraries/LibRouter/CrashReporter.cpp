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

wire::Envelope report_message(CrashReport const& report)
{
    auto envelope = message_to(QUARANTINE_SERVICE);
    auto* message = envelope.mutable_crash_report();
    message->set_fingerprint(report.request.to_bytes());
    message->set_upstream(report.upstream.identity);
    message->set_started(report.upstream.started);
    message->set_ran_microseconds(report.ran_for.count());
    message->set_was_completed_before(report.prior_result == CrashReport::PriorResult::Completed);
    return envelope;
}

CrashReport read_report(wire::CrashReport const& message, RequestFingerprint const& request)
{
    CrashReport report;
    report.request = request;
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

CrashReporter::CrashReporter(Options options, Kernel& kernel, VirtualMachineRanking& ranking, ReplicatedQuarantine& quarantine, CrashAnalyzer& own_analyzer)
    : options(options)
    , kernel(kernel)
    , ranking(ranking)
    , quarantine(quarantine)
    , own_analyzer(own_analyzer)
    , completed(options.completed)
    , reported(options.reported)
{
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

asio::awaitable<CrashVerdict> CrashReporter::report(std::string service, RequestFingerprint request, UpstreamIncarnation upstream, Duration ran_for)
{
    CrashReport report;
    report.request = request;
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

void CrashReporter::handle_request(wire::Envelope const& request, Kernel::Responder const& respond)
{
    if (this->quarantine.handle(request, respond))
        return;
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
