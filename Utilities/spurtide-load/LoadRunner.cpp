// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <LibHttp/EventStream.h>
#include <LibHttp/HttpClient.h>
#include <Utilities/spurtide-load/LoadRunner.h>
#include <atomic>
#include <nlohmann/json.hpp>
#include <optional>
#include <thread>

namespace Spurtide {

namespace {

using Json = nlohmann::json;

constexpr Duration READ_TIMEOUT = seconds(30);
constexpr Duration HELD_LIMIT = seconds(12);
constexpr Duration HELD_POLL = milliseconds(250);
/// A stream that is to be broken off is broken off after this many tokens.
constexpr std::int64_t TOKENS_BEFORE_BREAK = 4;

/// Reads one stream and checks that it is whole.
class StreamReader {
public:
    explicit StreamReader(MonotonicTime started)
        : started(started)
    {
    }

    /// Returns whether to read on.
    bool take(StreamEvent const& event, std::optional<std::int64_t> stop_after)
    {
        if (event.name == "error") {
            this->error = event.data;
            return true;
        }
        if (event.data == "[DONE]") {
            ++this->done;
            return true;
        }
        auto const document = Json::parse(event.data, nullptr, false);
        if (event.identifier.empty())
            return this->take_end(document);
        this->last_identifier = event.identifier;
        auto const offset = std::strtoll(event.identifier.substr(event.identifier.rfind('/') + 1).c_str(), nullptr, 10);
        if (offset != this->tokens)
            this->is_in_order = false;
        this->note_time();
        ++this->tokens;
        this->text += document.value("/choices/0/text"_json_pointer, "");
        return !stop_after || this->tokens < *stop_after;
    }

    bool is_whole() const
    {
        bool const count_matches = !this->usage_tokens || *this->usage_tokens == this->tokens;
        return this->done == 1 && this->ends == 1 && this->is_in_order && count_matches && this->error.empty();
    }

    std::string last_identifier;
    std::string error;
    std::string text;
    std::int64_t tokens = 0;
    double first_token_seconds = -1;
    std::vector<double> gaps;

private:
    bool take_end(Json const& document)
    {
        if (document.is_object() && document.contains("usage"))
            this->usage_tokens = document.value("/usage/completion_tokens"_json_pointer, std::int64_t { -1 });
        else
            ++this->ends;
        return true;
    }

    void note_time()
    {
        auto const now = monotonic_now();
        if (this->tokens == 0)
            this->first_token_seconds = to_seconds(now - this->started);
        else
            this->gaps.push_back(to_seconds(now - this->last_token));
        this->last_token = now;
    }

    MonotonicTime started;
    MonotonicTime last_token;
    int done = 0;
    int ends = 0;
    bool is_in_order = true;
    std::optional<std::int64_t> usage_tokens;
};

struct StreamCall {
    Address target;
    std::string key;
    std::string body;
    std::string last_event;
    std::optional<std::int64_t> stop_after;
};

struct CallEnd {
    int status = 0;
    std::string error_body;
    std::string request;
    bool stopped = false;
};

CallEnd read_stream(StreamCall const& call, StreamReader& reader)
{
    auto client = make_http_client(call.target, READ_TIMEOUT);
    CallEnd end;
    EventStreamParser parser([&](StreamEvent const& event) { return reader.take(event, call.stop_after); });
    httplib::Request request;
    request.method = "POST";
    request.path = "/v1/completions";
    request.body = call.body;
    request.set_header("Authorization", "Bearer " + call.key);
    request.set_header("Content-Type", "application/json");
    if (!call.last_event.empty())
        request.set_header("Last-Event-ID", call.last_event);
    request.response_handler = [&](httplib::Response const& response) {
        end.status = response.status;
        end.request = response.get_header_value("X-Request-Id");
        return true;
    };
    request.content_receiver = [&](char const* data, std::size_t size, std::uint64_t, std::uint64_t) {
        if (end.status != 200) {
            end.error_body.append(data, size);
            return true;
        }
        end.stopped = !parser.feed({ data, size });
        return !end.stopped;
    };
    auto const result = client.send(request);
    if (!result && !end.stopped)
        end.status = 0;
    return end;
}

void take_error(RequestResult& result, std::string const& body)
{
    auto const document = Json::parse(body, nullptr, false);
    auto const outcome = document.is_object() ? document.value("/error/outcome"_json_pointer, "") : "";
    result.code = document.is_object() ? document.value("/error/code"_json_pointer, "") : "unreadable";
    result.end = outcome == "not_run" ? RequestResult::End::Refused : RequestResult::End::Failed;
}

}

std::vector<LoadRunner::Job> LoadRunner::plan_jobs() const
{
    std::mt19937_64 random(this->options.seed);
    std::exponential_distribution<double> gap(this->options.rate);
    std::uniform_real_distribution<double> share(0, 1);
    std::vector<Job> jobs;
    double at = 0;
    for (std::int64_t i = 0; i < this->options.requests; ++i) {
        Job job;
        job.number = static_cast<std::uint64_t>(i);
        job.item = job.number % this->options.items.size();
        job.target = random() % this->options.targets.size();
        double const draw = share(random);
        if (draw < this->options.cancel_share)
            job.plan = Plan::Cancel;
        else if (draw < this->options.cancel_share + this->options.resume_share)
            job.plan = Plan::Resume;
        job.at_seconds = at;
        at += gap(random);
        jobs.push_back(job);
    }
    return jobs;
}

double LoadRunner::run(LoadReport& report)
{
    auto const jobs = this->plan_jobs();
    auto const started = monotonic_now();
    std::atomic<std::size_t> next = 0;
    std::vector<std::thread> workers;
    auto const work = [&] {
        for (auto index = next++; index < jobs.size(); index = next++) {
            auto const due = started + from_seconds(jobs[index].at_seconds);
            std::this_thread::sleep_for(std::max(Duration::zero(), due - monotonic_now()));
            auto const result = this->run_job(jobs[index]);
            report.add(result);
            if (this->options.on_result)
                this->options.on_result(result);
        }
    };
    for (std::size_t i = 0; i < this->options.concurrency; ++i)
        workers.emplace_back(work);
    for (auto& worker : workers)
        worker.join();
    return to_seconds(monotonic_now() - started);
}

RequestResult LoadRunner::run_job(Job const& job) const
{
    auto const& item = this->options.items[job.item];
    auto result = item.target == PromptItem::Target::Service ? this->run_service(job, item) : this->run_stream(job, item);
    result.kind = item.kind;
    return result;
}

RequestResult LoadRunner::run_stream(Job const& job, PromptItem const& item) const
{
    StreamReader reader(monotonic_now());
    StreamCall call;
    call.target = this->options.targets[job.target];
    call.key = this->options.key;
    call.body = Json { { "model", item.name }, { "prompt", item.prompt }, { "max_tokens", item.maximum_output_tokens }, { "stream", true }, { "stream_options", { { "include_usage", true } } } }.dump();
    if (job.plan != Plan::Read)
        call.stop_after = TOKENS_BEFORE_BREAK;
    RequestResult result;
    auto end = read_stream(call, reader);
    result.request = end.request;
    result.end = RequestResult::End::AnsweredWhole;
    if (end.stopped && job.plan == Plan::Cancel)
        result.end = RequestResult::End::Cancelled;
    if (end.stopped && job.plan == Plan::Resume) {
        // The caller comes back through another entry with the id of the last event that it has.
        call.target = this->options.targets[(job.target + 1) % this->options.targets.size()];
        call.last_event = reader.last_identifier;
        call.stop_after.reset();
        end = read_stream(call, reader);
        result.end = RequestResult::End::ResumedWhole;
    }
    result.tokens = reader.tokens;
    result.text = reader.text;
    result.first_token_seconds = reader.first_token_seconds;
    result.between_tokens_seconds = reader.gaps;
    if (end.status == 0)
        result.end = RequestResult::End::Unreachable;
    else if (end.status != 200)
        take_error(result, end.error_body);
    else if (!reader.error.empty())
        take_error(result, reader.error);
    else if (result.end != RequestResult::End::Cancelled && !reader.is_whole())
        result.end = RequestResult::End::NotWhole;
    return result;
}

RequestResult LoadRunner::run_service(Job const& job, PromptItem const& item) const
{
    auto client = make_http_client(this->options.targets[job.target], READ_TIMEOUT);
    httplib::Headers headers = { { "Authorization", "Bearer " + this->options.key } };
    if (item.repeat == PromptItem::Repeat::Forbidden) {
        headers.emplace("Spurtide-Not-Repeatable", "true");
        headers.emplace("Idempotency-Key", "load-" + std::to_string(this->options.seed) + "-" + std::to_string(job.number));
    }
    auto const answer = client.Post("/v1/services/" + item.name + item.path, headers, item.body, "application/json");
    RequestResult result;
    if (!answer)
        return result;
    result.request = answer->get_header_value("X-Request-Id");
    result.text = answer->body;
    if (answer->status == 200)
        result.end = RequestResult::End::AnsweredWhole;
    else
        take_error(result, answer->body);
    return result;
}

std::int64_t LoadRunner::held_at_end() const
{
    auto const until = monotonic_now() + HELD_LIMIT;
    std::int64_t held = -1;
    while (held != 0 && monotonic_now() < until) {
        if (held > 0)
            std::this_thread::sleep_for(HELD_POLL);
        held = 0;
        for (auto const& engine : this->options.engines) {
            // Reports lag: the second one in a row is as old as the lag at the most.
            auto client = make_http_client(engine, seconds(2));
            auto const report = client.Get("/v1/report");
            auto const document = report ? Json::parse(report->body, nullptr, false) : Json();
            if (document.is_object() && document.contains("held"))
                held += static_cast<std::int64_t>(document["held"].size());
        }
    }
    return held;
}

}
