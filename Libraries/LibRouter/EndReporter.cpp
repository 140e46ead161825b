// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibAsync/Signal.h>
#include <LibCore/Clock.h>
#include <LibCore/LogLine.h>
#include <LibRouter/EndReporter.h>
#include <algorithm>

namespace Spurtide {

namespace {

/// So that what was reported outlasts one of them.
constexpr std::size_t JUDGES = 2;

wire::Envelope report_message(EndReport const& report)
{
    auto envelope = message_to(QUARANTINE_SERVICE);
    auto* message = envelope.mutable_end_report();
    message->set_service(report.service);
    message->set_fingerprint(report.request.to_bytes());
    message->set_upstream(report.upstream.identity);
    message->set_started(report.upstream.started);
    message->set_ran_microseconds(report.ran_for.count());
    message->set_ended_well_before(report.before == EndReport::Before::EndedWell);
    return envelope;
}

EndReport read_report(wire::EndReport const& message, RequestFingerprint const& request)
{
    EndReport report;
    report.service = message.service();
    report.request = request;
    report.upstream = { message.upstream(), message.started() };
    report.ran_for = Duration(message.ran_microseconds());
    report.before = message.ended_well_before() ? EndReport::Before::EndedWell : EndReport::Before::NotKnown;
    return report;
}

}

/// The judges' answers on their way to the coroutine that waits for them.
struct EndReporter::Pending {
    Pending(asio::any_io_executor const& executor, std::size_t judges)
        : signal(executor)
        , answers(judges)
    {
    }

    struct JudgeAnswer {
        bool is_over = false;
        /// Empty where the judge did not answer.
        std::optional<EndVerdict> verdict;
    };

    void take(std::size_t judge, std::optional<EndVerdict> verdict)
    {
        this->answers.at(judge) = { true, verdict };
        this->signal.notify();
    }

    /// The first judge's word, or that of the next where it is silent; but whoever found a cause is right, since one that has
    /// just become a judge has heard less.
    std::optional<EndVerdict> verdict() const
    {
        if (std::any_of(this->answers.begin(), this->answers.end(), [](auto const& answer) { return answer.verdict == EndVerdict::Quarantined; }))
            return EndVerdict::Quarantined;
        for (auto const& answer : this->answers) {
            if (!answer.is_over)
                return {};
            if (answer.verdict)
                return answer.verdict;
        }
        // Nobody answers. What the request may cost is one more upstream.
        return EndVerdict::MayGoOn;
    }

    Signal signal;
    std::vector<JudgeAnswer> answers;
};

EndReporter::EndReporter(Options options, Kernel& kernel, KeeperRanking& ranking, QuarantineKeeper& quarantine, EndJudge& own_judge)
    : options(options)
    , kernel(kernel)
    , ranking(ranking)
    , quarantine(quarantine)
    , own_judge(own_judge)
    , good_ends(options.good_ends)
    , reported(options.reported)
{
}

void EndReporter::host()
{
    this->kernel.host(std::string(QUARANTINE_SERVICE), [this](wire::Envelope const& request, Kernel::Responder const& respond) { this->answer(request, respond); });
}

std::vector<std::string> EndReporter::judges(std::string_view service) const
{
    auto names = this->ranking.names(std::string(QUARANTINE_SERVICE) + "/" + std::string(service));
    names.resize(std::min(names.size(), JUDGES));
    // Alone, or before it has met others, a VM judges for itself.
    if (names.empty())
        names.push_back(this->kernel.virtual_machine());
    return names;
}

asio::awaitable<EndVerdict> EndReporter::report(std::string service, RequestFingerprint request, UpstreamLife upstream, Duration ran_for)
{
    EndReport report;
    report.service = service;
    report.request = request;
    report.upstream = upstream;
    report.ran_for = ran_for;
    auto const now = monotonic_now();
    report.before = this->good_ends.contains(request, now) ? EndReport::Before::EndedWell : EndReport::Before::NotKnown;
    this->reported.note(request, now);
    auto const executor = co_await asio::this_coro::executor;
    auto const names = this->judges(service);
    auto const pending = std::make_shared<Pending>(executor, names.size());
    for (std::size_t i = 0; i < names.size(); ++i)
        this->ask(names[i], report, [pending, i](auto verdict) { pending->take(i, verdict); });
    while (!pending->verdict())
        co_await pending->signal.wait();
    co_return *pending->verdict();
}

void EndReporter::ask(std::string const& judge, EndReport const& report, std::function<void(std::optional<EndVerdict>)> answer)
{
    if (judge == this->kernel.virtual_machine())
        return this->own_judge.take(report, std::move(answer));
    this->kernel.request(this->ranking.endpoint_of(judge), report_message(report), this->options.answer_time, [this, judge, answer](WireReply const& reply) {
        if (!reply.is_error() && reply.value().has_end_report_answer())
            return answer(reply.value().end_report_answer().is_quarantined() ? EndVerdict::Quarantined : EndVerdict::MayGoOn);
        if (reply.is_error() && reply.error().kind != WireErrorKind::Remote)
            this->ranking.note_silent(judge);
        LogLine("end_judge_silent").with("vm", judge).with("error", reply.is_error() ? to_string(reply.error().kind) : "unknown_answer");
        answer(std::nullopt);
    });
}

void EndReporter::note_good_end(std::string const& service, RequestFingerprint const& request)
{
    auto const now = monotonic_now();
    this->good_ends.note(request, now);
    if (!this->reported.contains(request, now))
        return;
    auto envelope = message_to(QUARANTINE_SERVICE);
    envelope.mutable_good_end()->set_service(service);
    envelope.mutable_good_end()->set_fingerprint(request.to_bytes());
    for (auto const& judge : this->judges(service)) {
        if (judge == this->kernel.virtual_machine())
            this->own_judge.note_good_end(request);
        else
            this->kernel.notify(this->ranking.endpoint_of(judge), envelope);
    }
}

void EndReporter::answer(wire::Envelope const& request, Kernel::Responder const& respond)
{
    if (this->quarantine.handle(request, respond))
        return;
    if (request.has_good_end()) {
        if (auto const fingerprint = RequestFingerprint::from_bytes(request.good_end().fingerprint()))
            this->own_judge.note_good_end(*fingerprint);
        return;
    }
    auto const fingerprint = RequestFingerprint::from_bytes(request.end_report().fingerprint());
    if (!request.has_end_report() || !fingerprint) {
        respond(error_reply(wire::ERROR_CODE_UNKNOWN_MESSAGE));
        return;
    }
    this->own_judge.take(read_report(request.end_report(), *fingerprint), [respond](EndVerdict verdict) {
        wire::Envelope reply;
        reply.mutable_end_report_answer()->set_is_quarantined(verdict == EndVerdict::Quarantined);
        respond(std::move(reply));
    });
}

}
