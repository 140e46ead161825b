// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/LogLine.h>
#include <Tests/Support/Deployment.h>
#include <Tests/Support/Waiting.h>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <fstream>
#include <mutex>
#include <regex>
#include <sstream>

using namespace Spurtide;
using namespace Spurtide::Tests;

namespace {

/// Keeps the log lines that tell a session's story.
class Recorder {
public:
    Recorder()
    {
        LogLine::set_observer([this](std::string_view line) {
            for (auto const* event : { "event=request ", "event=request_state ", "event=placement ", "event=resume ", "event=abandoned_work ", "event=stream_problem " }) {
                if (!line.starts_with(event))
                    continue;
                std::scoped_lock const lock(this->mutex);
                (line.starts_with("event=abandoned_work ") ? this->cancellations : this->text) += std::string(line) + "\n";
            }
        });
    }

    ~Recorder() { LogLine::set_observer({}); }
    Recorder(Recorder const&) = delete;
    Recorder& operator=(Recorder const&) = delete;

    /// Abandoned work is cancelled in a thread of its own, so its lines may come at any point among the others; they are given last.
    std::string lines()
    {
        std::scoped_lock const lock(this->mutex);
        return this->text + this->cancellations;
    }

private:
    std::mutex mutex;
    std::string text;
    std::string cancellations;
};

/// Replaces what differs from run to run: ids by the order of their first sight, times by a word.
std::string normalised(std::string text)
{
    std::regex const identifier("[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[0-9a-f]{4}-[0-9a-f]{12}");
    int number = 0;
    for (std::smatch match; std::regex_search(text, match, identifier);) {
        auto const name = match.str();
        auto const replacement = "REQUEST-" + std::to_string(++number);
        for (auto position = text.find(name); position != std::string::npos; position = text.find(name))
            text.replace(position, name.size(), replacement);
    }
    text = std::regex_replace(text, std::regex("\"created\":[0-9]+"), "\"created\":TIME");
    return std::regex_replace(text, std::regex("predicted_first_token_milliseconds=[0-9]+"), "predicted_first_token_milliseconds=TIME");
}

void check_golden(std::string const& name, std::string const& text)
{
    auto const path = std::string(GOLDEN_FOLDER) + "/" + name + ".txt";
    if (std::getenv("SPURTIDE_UPDATE_GOLDEN"))
        std::ofstream(path) << text;
    std::ifstream file(path);
    std::ostringstream expected;
    expected << file.rdbuf();
    CHECK(text == expected.str());
}

constexpr auto PROMPT = "Substitution note: Olt junction boxes are out of stock until Friday.";

}

TEST_CASE("Golden session: request, placement, prefill, transfer, decode, end")
{
    Deployment deployment;
    Recorder recorder;
    auto const answer = deployment.post("/v1/completions", stream_completion(PROMPT, 6));
    REQUIRE(deployment.nothing_held());
    check_golden("whole", normalised(recorder.lines() + "\n" + answer.body));
}

TEST_CASE("Golden session: the caller goes away and its work is cancelled")
{
    Deployment::Options options;
    options.limits.resume_grace = Duration::zero();
    Deployment deployment(options);
    Recorder recorder;
    auto const answer = deployment.post_and_leave("/v1/completions", stream_completion(PROMPT, 400), 1);
    for (auto const* event : { "event=abandoned_work", "event=stream_problem" })
        REQUIRE(eventually([&] { return recorder.lines().find(event) != std::string::npos; }));
    REQUIRE(deployment.nothing_held());
    auto const first_event = answer.body.substr(0, answer.body.find("\n\n") + 2);
    check_golden("cancel", normalised(recorder.lines() + "\n" + first_event));
}

TEST_CASE("Golden session: the caller comes back through the other VM")
{
    Deployment::Options options;
    options.machines = 2;
    Deployment deployment(options);
    Recorder recorder;
    auto const first = deployment.post_and_leave("/v1/completions", stream_completion(PROMPT, 20), 2, 0);
    // The first entry notices by itself: both orders of noticing and taking over are the same story.
    REQUIRE(eventually([&] { return recorder.lines().find("event=stream_problem") != std::string::npos; }));
    auto const rest = deployment.post("/v1/completions", "", { { "Last-Event-ID", first.last_event() } }, 1);
    REQUIRE(eventually([&] { return recorder.lines().find("event=abandoned_work") != std::string::npos; }));
    REQUIRE(deployment.nothing_held());
    CHECK(recorder.lines().find("event=abandoned_work") < recorder.lines().find("result=fenced"));
    // When the first entry's grace is over depends on the machine's speed, so its line is no part of the story.
    auto const story = std::regex_replace(recorder.lines(), std::regex("event=abandoned_work.*\n"), "");
    auto const first_two = first.body.substr(0, first.body.find("\n\n", first.body.find("\n\n") + 2) + 2);
    check_golden("resume", normalised(story + "\n" + first_two + "\n" + rest.body));
}
