// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <Tests/Support/Deployment.h>
#include <Tests/Support/Waiting.h>
#include <catch2/catch.hpp>

using namespace Spurtide;
using namespace Spurtide::Tests;

TEST_CASE("A streamed and a whole answer to the same prompt have the same text and counts")
{
    Deployment deployment;
    auto const streamed = deployment.post("/v1/completions", stream_completion("Price of 40 bags of lime mortar?", 20));
    REQUIRE(streamed.status == 200);
    CHECK(streamed.is_done());
    auto const whole = deployment.post("/v1/completions", whole_completion("Price of 40 bags of lime mortar?", 20));
    REQUIRE(whole.status == 200);
    CHECK(whole.text() == streamed.text());
    CHECK(whole.json()["usage"]["completion_tokens"] == streamed.tokens());
    CHECK(deployment.nothing_held());
}

TEST_CASE("A caller that comes back, through another VM, gets the rest once", "[twice][whole][cut]")
{
    Deployment::Options options;
    options.machines = 2;
    Deployment deployment(options);
    auto const body = stream_completion("Draft the quotation for block B, second floor.", 60);
    auto const undisturbed = deployment.post("/v1/completions", body);
    REQUIRE(undisturbed.tokens() > 6);
    auto const first = deployment.post_and_leave("/v1/completions", body, 4, 0);
    auto const rest = deployment.post("/v1/completions", "", { { "Last-Event-ID", first.last_event() } }, 1);
    REQUIRE(rest.status == 200);
    CHECK(rest.is_done());
    CHECK(first.text() + rest.text() == undisturbed.text());
    CHECK(first.tokens() + rest.tokens() == undisturbed.tokens());
    CHECK(deployment.nothing_held());
}

TEST_CASE("Another account cannot read a stream", "[whole]")
{
    Deployment deployment;
    auto const first = deployment.post_and_leave("/v1/completions", stream_completion("Draft the quotation for block B.", 60), 3);
    auto const stolen = deployment.post("/v1/completions", "", { { "Last-Event-ID", first.last_event() }, { "Authorization", "Bearer other-key" } });
    CHECK(stolen.tokens() == 0);
    CHECK(stolen.body.find("stream_gone") != std::string::npos);
}

TEST_CASE("A caller that goes away for good leaves nothing held", "[held][caller-cancel]")
{
    Deployment::Options options;
    options.limits.resume_grace = milliseconds(100);
    Deployment deployment(options);
    for (std::size_t const events : { 0, 1, 5 }) {
        deployment.post_and_leave("/v1/completions", stream_completion("Summarise the guest notes of table " + std::to_string(events), 300), events);
        CHECK(deployment.nothing_held());
    }
}

TEST_CASE("A caller that goes away while its prefill runs cancels it", "[held][caller-cancel]")
{
    Deployment::Options options;
    options.engine.prefill_tokens_per_second = 10'000;
    Deployment deployment(options);
    auto client = make_http_client(deployment.machines[0].entry->http_address(), milliseconds(200));
    httplib::Headers const headers = { { "Authorization", "Bearer test-key" } };
    CHECK_FALSE(client.Post("/v1/completions", headers, stream_completion(std::string(4 * 8000, 'x'), 10), "application/json"));
    CHECK(deployment.nothing_held());
    CHECK(deployment.prefill[0]->totals().prefilled_tokens < 8000);
}

namespace {

struct BadCase {
    std::string path;
    std::string body;
    httplib::Headers headers;
    int status;
    std::string code;
};

}

TEST_CASE("Bad requests get their typed answer and hold nothing", "[held][not-run]")
{
    Deployment::Options options;
    options.maximum_prompt_tokens = "1000";
    Deployment deployment(options);
    httplib::Headers const good;
    std::vector<BadCase> const cases = {
        { "/v1/completions", "{", good, 400, "invalid_body" },
        { "/v1/completions", "", good, 400, "invalid_body" },
        { "/v1/completions", "[]", good, 400, "invalid_body" },
        { "/v1/completions", R"({"prompt": "a"})", good, 400, "invalid_body" },
        { "/v1/completions", R"({"model": "llm", "prompt": 5})", good, 400, "invalid_body" },
        { "/v1/completions", R"({"model": "llm", "prompt": "a", "max_tokens": 0})", good, 400, "invalid_body" },
        { "/v1/completions", R"({"model": "llm", "prompt": "a", "n": 2})", good, 400, "invalid_body" },
        { "/v1/completions", R"({"model": "llm", "prompt": "a", "stream": "yes"})", good, 400, "invalid_body" },
        { "/v1/completions", std::string("{\"model\": \"llm\", \"prompt\": \"\xff\xfe\"}"), good, 400, "invalid_body" },
        { "/v1/chat/completions", R"({"model": "llm", "messages": []})", good, 400, "invalid_body" },
        { "/v1/chat/completions", R"({"model": "llm", "messages": [{"role": "king", "content": "a"}]})", good, 400, "invalid_body" },
        { "/v1/completions", stream_completion(std::string(4004, 'x'), 5), good, 413, "prompt_too_long" },
        { "/v1/completions", std::string(5 << 20, 'x'), good, 413, "body_too_large" },
        { "/v1/completions", R"({"model": "none", "prompt": "a"})", good, 404, "unknown_model" },
        { "/v1/completions", stream_completion("a", 5), { { "Authorization", "Bearer wrong" } }, 401, "unknown_key" },
        { "/v1/completions", stream_completion("a", 5), { { "Authorization", "Basic abc" } }, 401, "missing_key" },
        { "/v1/completions", "", { { "Last-Event-ID", "not-an-id" } }, 400, "invalid_body" },
        { "/v1/completions", "", { { "Last-Event-ID", "w/../0" } }, 410, "stream_gone" },
        { "/v1/completions", "", { { "Last-Event-ID", "w/no-engine/0" } }, 410, "stream_gone" },
        { "/v1/services/none/x", "{}", good, 404, "unknown_service" },
        { "/v1/nothing", "{}", good, 404, "unknown_path" },
        { "/v1/services/app/x", "{}", { { "Idempotency-Key", std::string(201, 'k') } }, 400, "invalid_body" },
    };
    for (auto const& test : cases) {
        CAPTURE(test.path, test.body.substr(0, 80), test.code);
        auto const answer = deployment.post(test.path, test.body, test.headers);
        CHECK(answer.status == test.status);
        CHECK(answer.json().value("/error/code"_json_pointer, "") == test.code);
    }
    CHECK(deployment.held() == 0);
    CHECK(deployment.post("/v1/completions", whole_completion("still served", 5)).status == 200);
}

TEST_CASE("A request that cannot meet its target is refused at once as not run", "[not-run]")
{
    Deployment::Options options;
    options.engine.prefill_tokens_per_second = 1000;
    Deployment deployment(options);
    auto const answer = deployment.post("/v1/completions", stream_completion(std::string(4 * 2000, 'x'), 5));
    CHECK(answer.status == 503);
    CHECK(answer.json()["error"]["outcome"] == "not_run");
    CHECK(answer.json()["error"]["retry_after_milliseconds"] >= 100);
    CHECK_FALSE(answer.header("Retry-After").empty());
    CHECK(deployment.prefill[0]->totals().prefilled_tokens == 0);
}

TEST_CASE("Past its deadline a request is given up at once and holds nothing", "[held][slow]")
{
    Deployment deployment;
    auto const body = "Draft the quotation for block B, second floor, with all deliveries.";
    auto const late = deployment.post("/v1/completions", whole_completion(body, 400), { { "Spurtide-Deadline-Milliseconds", "60" } });
    CHECK(late.status == 504);
    CHECK(late.json()["error"]["code"] == "deadline_passed");
    CHECK(late.json()["error"]["outcome"] == "may_have_run");
    CHECK(deployment.nothing_held());
    CHECK(deployment.post("/v1/completions", whole_completion(body, 400), { { "Spurtide-Deadline-Milliseconds", "15000" } }).status == 200);
}

TEST_CASE("An engine that dies in decode is replaced and the answer goes on at the same offset", "[whole][twice][kill]")
{
    Deployment::Options options;
    options.decode_engines = 2;
    Deployment deployment(options);
    auto const body = stream_completion("Bill of quantities for block C, roof and gutters.", 60);
    auto const undisturbed = deployment.post("/v1/completions", body);
    std::thread killer([&] {
        eventually([&] { return deployment.decode[0]->totals().decoded_tokens + deployment.decode[1]->totals().decoded_tokens >= static_cast<std::int64_t>(undisturbed.tokens()) + 4; });
        auto const busy = deployment.decode[0]->held().empty() ? 1 : 0;
        deployment.decode[busy]->stop();
    });
    auto const answer = deployment.post("/v1/completions", body);
    killer.join();
    CHECK(answer.is_done());
    CHECK(answer.text() == undisturbed.text());
}

TEST_CASE("A call that is not to be repeated runs once, whatever its caller does", "[at-most-once][operator-race]")
{
    Deployment::Options options;
    options.machines = 2;
    options.services = 2;
    Deployment deployment(options);
    httplib::Headers const headers = { { "Spurtide-Not-Repeatable", "true" }, { "Idempotency-Key", "order-1" } };
    auto const first = deployment.post("/v1/services/app/orders", "{}", headers, 0);
    REQUIRE(first.status == 200);
    for (std::size_t const machine : { 0, 1 }) {
        auto const again = deployment.post("/v1/services/app/orders", "{}", headers, machine);
        CHECK(again.status == 409);
        CHECK(again.json()["error"]["outcome"] == "may_have_run");
    }
    CHECK(deployment.services[0]->total_runs() + deployment.services[1]->total_runs() == 1);
}

TEST_CASE("A lost answer is may_have_run and is not repeated and a repeatable call is sent again", "[at-most-once][not-run][answer-lost]")
{
    Deployment::Options options;
    options.services = 2;
    Deployment deployment(options);
    for (auto& service : deployment.services)
        service->set_faults({ 1, 0 });
    auto const lost = deployment.post("/v1/services/app/orders", "{}", { { "Spurtide-Not-Repeatable", "true" } });
    CHECK(lost.status == 502);
    CHECK(lost.json()["error"]["outcome"] == "may_have_run");
    auto const repeated = deployment.post("/v1/services/app/stock", "{}");
    CHECK(repeated.status == 200);
}

TEST_CASE("With the platform away a claimed call is in doubt and does not run, and the rest is served", "[at-most-once][not-run][platform-down]")
{
    Deployment deployment;
    deployment.platform->set_faults({ true, {}, 0 });
    auto const answer = deployment.post("/v1/services/app/orders", "{}", { { "Spurtide-Not-Repeatable", "true" }, { "Idempotency-Key", "order-1" } });
    CHECK(answer.status == 503);
    CHECK(answer.json()["error"]["code"] == "claim_in_doubt");
    CHECK(answer.json()["error"]["outcome"] == "may_have_run");
    CHECK(deployment.services[0]->total_runs() == 0);
    CHECK(deployment.post("/v1/completions", whole_completion("still served", 5)).status == 200);
}

TEST_CASE("A claim whose answer is lost after the write is granted to its own writer", "[at-most-once][answer-lost]")
{
    Deployment deployment;
    deployment.platform->set_faults({ false, {}, 1 });
    httplib::Headers const headers = { { "Spurtide-Not-Repeatable", "true" }, { "Idempotency-Key", "order-1" } };
    CHECK(deployment.post("/v1/services/app/orders", "{}", headers).status == 200);
    CHECK(deployment.post("/v1/services/app/orders", "{}", headers).status == 409);
    CHECK(deployment.services[0]->total_runs() == 1);
}
