// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <catch2/catch.hpp>
#include <platform/PlatformDialect.h>
#include <platform/PlatformDocuments.h>
#include <random>

using namespace Spurtide;

namespace {

HttpRequest model_request()
{
    HttpRequest request;
    request.head.method = "POST";
    request.head.target = "/a/b?c";
    for (auto const& [name, value] : std::vector<std::pair<std::string, std::string>> { { "Host", "h.example" }, { "X-Spurtide-Attempt-Id", "id-1" }, { "X-Spurtide-Deadline-Ms", "14000" }, { "X-Spurtide-Model", "m" }, { "X-Spurtide-Token-Count", "1460,80" }, { "X-Spurtide-Prompt-Prefix", "5c:800,91:660" }, { "X-Spurtide-Length-Hint", "40" }, { "Last-Event-Id", "12" }, { "X-Own", "kept" } })
        request.head.headers.add(name, value);
    request.body = "prompt";
    request.head.headers.add("Content-Length", "6");
    return request;
}

}

TEST_CASE("A caller's request is read into what the router decides by")
{
    PlatformDialect const dialect;
    auto const read = dialect.read_request(model_request().head);
    REQUIRE_FALSE(read.is_error());
    REQUIRE(read.value().identifier == "id-1");
    REQUIRE(read.value().caller_timeout == seconds(14));
    REQUIRE(read.value().last_event == "12");
    REQUIRE(read.value().prompt->prompt_tokens == 1460);
    REQUIRE(read.value().prompt->maximum_output_tokens == 80);
    REQUIRE(read.value().prompt->expected_output_tokens == 40);
}

TEST_CASE("A prompt's shared parts are read whatever their form, and its last part is its own", "[prompt-parts]")
{
    struct Case {
        std::string field;
        std::vector<std::string> shared;
        std::string own;
    };
    auto const given = GENERATE(
        Case { "5c:800,91:660", { "5c" }, "91" }, Case { "5c:800", {}, "5c" }, Case { "", {}, "" }, Case { "5c:800, 91 :410 ,e4:250", { "5c", "91" }, "e4" },
        Case { "5c:800,5c:800,91:660", { "5c" }, "91" }, Case { ",,:,5c", {}, "5c" }, Case { "5c,91,", { "5c", "91" }, "" });
    PlatformDialect const dialect;
    auto request = model_request();
    std::erase_if(request.head.headers.all(), [](auto const& field) { return equal_names(field.name, "X-Spurtide-Prompt-Prefix"); });
    request.head.headers.add("X-Spurtide-Prompt-Prefix", given.field);
    std::vector<PromptPart> shared;
    for (auto const& name : given.shared)
        shared.push_back(PromptPart::of("m", name));
    CAPTURE(given.field);
    auto const read = dialect.read_request(request.head);
    REQUIRE_FALSE(read.is_error());
    CHECK(read.value().prompt->shared_parts == make_prompt_parts(shared));
    CHECK(read.value().prompt->own_part == given.own);
}

TEST_CASE("Of a prompt with very many parts a bounded number is kept", "[prompt-parts]")
{
    PlatformDialect const dialect;
    auto request = model_request();
    std::string parts;
    for (int i = 0; i < 5000; ++i)
        parts += "p" + std::to_string(i) + ":1,";
    std::erase_if(request.head.headers.all(), [](auto const& field) { return equal_names(field.name, "X-Spurtide-Prompt-Prefix"); });
    request.head.headers.add("X-Spurtide-Prompt-Prefix", parts + "own:1");
    auto const read = dialect.read_request(request.head);
    REQUIRE_FALSE(read.is_error());
    CHECK(read.value().prompt->shared_parts.size() == 64);
    CHECK(read.value().prompt->own_part == "own");
}

// Guards against streams that continue where another one began since two names were given.
TEST_CASE("A request names the try that it resumes, and several names are none of a request", "[stream-versions]")
{
    PlatformDialect const dialect;
    auto request = model_request();
    CHECK(dialect.read_request(request.head).value().resumed_request.empty());
    request.head.headers.add("Resumes", "id-0");
    CHECK(dialect.read_request(request.head).value().resumed_request == "id-0");
    request.head.headers.add("resumes", "id-9");
    CHECK(dialect.read_request(request.head).value().resumed_request == "id-0, id-9");
}

TEST_CASE("What makes no sense in a caller's fields is a typed fault")
{
    PlatformDialect const dialect;
    struct Case {
        std::string name;
        std::string value;
        CallerRequestError fault;
    };
    auto const given = GENERATE(
        Case { "X-Spurtide-Attempt-Id", "", CallerRequestError::MissingIdentifier }, Case { "X-Spurtide-Deadline-Ms", "soon", CallerRequestError::BadPatience }, Case { "X-Spurtide-Deadline-Ms", "-5", CallerRequestError::BadPatience },
        Case { "X-Spurtide-Token-Count", "many", CallerRequestError::BadPrompt }, Case { "X-Spurtide-Token-Count", "10,-1", CallerRequestError::BadPrompt }, Case { "X-Spurtide-Token-Count", "99999999999999999999,1", CallerRequestError::BadPrompt });
    auto request = model_request();
    for (auto& field : request.head.headers.all()) {
        if (equal_names(field.name, given.name))
            field.value = given.value;
    }
    auto const read = dialect.read_request(request.head);
    CAPTURE(given.name, given.value);
    REQUIRE(read.is_error());
    REQUIRE(read.error() == given.fault);
}

TEST_CASE("What only the router may set never comes from a caller", "[whole]")
{
    PlatformDialect const dialect;
    auto request = model_request();
    for (auto const* name : { "X-Spurtide-Kv-Source", "x-spurtide-kv-source", "X-SPURTIDE-SERVING-PHASE", "X-Spurtide-Expect-Instance", "X-Spurtide-Request-Urgency", "X-Spurtide-Pin-Ms", "X-Spurtide-Kv-Hold", "X-Spurtide-Kv-Backup", "Kv-Fetch", "X-Spurtide-Expect-Version", "Connection", "Transfer-Encoding", "Keep-Alive", "Expect" })
        request.head.headers.add(name, "forged");
    Dispatch dispatch;
    dispatch.remaining_time = milliseconds(1234);
    dispatch.expected_identity = "i-1";
    auto const head = dialect.upstream_request_head(request, dispatch);
    for (auto const& field : head.headers.all())
        REQUIRE(field.value != "forged");
    REQUIRE(head.headers.count("X-Spurtide-Deadline-Ms") == 1);
    REQUIRE(head.headers.find("X-Spurtide-Deadline-Ms") == "1234");
    REQUIRE(head.headers.find("X-Spurtide-Expect-Instance") == "i-1");
    REQUIRE(head.headers.find("X-Spurtide-Prompt-Prefix") == "5c:800,91:660");
    REQUIRE(head.headers.find("Last-Event-Id") == "12");
    REQUIRE(head.headers.find("X-Own") == "kept");
    REQUIRE(head.headers.find("Content-Length") == "6");
    REQUIRE(head.target == "/a/b?c");
}

TEST_CASE("Each stage of a request says where it stands")
{
    PlatformDialect const dialect;
    Dispatch dispatch;
    dispatch.stage = DispatchStage::Prefill;
    REQUIRE(dialect.upstream_request_head(model_request(), dispatch).headers.find("X-Spurtide-Serving-Phase") == "prefill");
    dispatch.stage = DispatchStage::Decode;
    dispatch.cache_address = "10.1.64.9:8080";
    dispatch.cache_handle = "3fa0";
    dispatch.after_event = "30";
    auto const decode = dialect.upstream_request_head(model_request(), dispatch);
    REQUIRE(decode.headers.find("X-Spurtide-Kv-Source") == "10.1.64.9:8080/3fa0");
    REQUIRE(decode.headers.count("Last-Event-Id") == 1);
    REQUIRE(decode.headers.find("Last-Event-Id") == "30");
    REQUIRE_FALSE(decode.headers.contains("X-Spurtide-Serving-Phase"));
}

TEST_CASE("The own part of a prompt is its last one, and an engine's list of parts is read whole or not at all")
{
    PlatformDialect const dialect;
    HttpRequestHead head { "POST", "/x", {} };
    head.headers.add("X-Spurtide-Attempt-Id", "a");
    head.headers.add("X-Spurtide-Token-Count", "1460,80");
    head.headers.add("X-Spurtide-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250");
    auto const request = dialect.read_request(head);
    REQUIRE_FALSE(request.is_error());
    CHECK(request.value().prompt->own_part == "e4402b7d");

    auto const parts = dialect.read_cached_prompts(R"({"epoch":"e","next_token":4,"held":[["","5c1e07a2",800,"m"],["","e4402b7d",250,"m"]]})");
    REQUIRE_FALSE(parts.is_error());
    CHECK(parts.value() == std::vector<std::string> { "5c1e07a2", "e4402b7d" });
    auto const bad = GENERATE("", "[]", "{}", R"({"held":1})", R"({"held":[1]})", R"({"held":[["",1]]})", R"({"held":[[""]]})");
    CAPTURE(bad);
    auto const fault = dialect.read_cached_prompts(bad);
    REQUIRE(fault.is_error());
    CHECK(fault.error() == UpstreamResponseError::MalformedBody);
}

TEST_CASE("The configuration row is read whole, with defaults for what it leaves out")
{
    auto const read = read_configuration_row(R"({"version":7,"routes":[{"name":"r","hostname":"h","path_prefix":"/p/","route_kind":"streaming","timeout_ms":14000,"slo_ms":900,"priority":1,"service":"s","max_attempts":2,"resumable":true,"gap_slo_ms":300},
        {"name":"q","hostname":"h","path_prefix":"/q/","route_kind":"idempotent","split":[{"service":"a","weight":90},{"service":"b","weight":10}]}],
        "services":[{"name":"s","max_conns":370,"engine":{"slots":64,"kv_capacity":89659,"token_kv_bytes":18432,"link_mbps":8.0,"stride":64,"kv_hold_s":0.5}}],"limits":{"max_header_bytes":100}})");
    REQUIRE_FALSE(read.is_error());
    auto const& configuration = read.value();
    REQUIRE(configuration.version == 7);
    REQUIRE(configuration.routes[0].kind == RouteKind::Stream);
    REQUIRE(configuration.routes[0].is_resumable);
    REQUIRE(configuration.routes[0].first_event_patience == milliseconds(3600));
    REQUIRE(configuration.routes[1].targets.size() == 2);
    REQUIRE(configuration.routes[1].maximum_attempts == 1);
    REQUIRE(configuration.services[0].engine->memory_tokens == 89659);
    REQUIRE(configuration.services[0].engine->link_bytes_per_second == 1e6);
    REQUIRE(configuration.services[0].engine->tokens_per_event == 64);
    REQUIRE(configuration.limits.maximum_head == 100);
    REQUIRE(configuration.limits.idle_timeout == seconds(15));
}

TEST_CASE("Rows that make no sense are typed errors, and damaged ones never crash the reader")
{
    for (auto const* text : { "", "[]", "{}", "{\"version\":\"7\"}", "nonsense" })
        REQUIRE(read_configuration_row(text).is_error());
    REQUIRE_FALSE(read_server_row("i", "{}"));
    REQUIRE_FALSE(read_server_row("i", "[1]"));
    REQUIRE_FALSE(read_store_row(nlohmann::json::parse(R"({"tls_key":"k","ver":1,"value":"***"})")));
    std::string const row = R"({"version":7,"routes":[{"name":"r","hostname":"h","path_prefix":"/p/","split":[{"service":"a","weight":1}]}],"services":[{"name":"s","engine":{"slots":64}}],"limits":{}})";
    std::mt19937 random(20261202);
    for (int round = 0; round < 5000; ++round) {
        auto damaged = row;
        for (int change = 0; change < 2; ++change)
            damaged[random() % damaged.size()] = static_cast<char>(32 + random() % 95);
        auto const read = read_configuration_row(damaged);
        if (!read.is_error())
            REQUIRE(read.value().routes.size() <= 1);
    }
}

TEST_CASE("A limit that an answer names is read as a number, or said to be unreadable", "[upstream-limit]")
{
    PlatformDialect const dialect;
    struct Case {
        std::string text;
        RateLimitHeader::State state;
        double rate;
    };
    auto const given = GENERATE(
        Case { "4.3", RateLimitHeader::State::Present, 4.3 }, Case { "12", RateLimitHeader::State::Present, 12 }, Case { "0", RateLimitHeader::State::Present, 0 }, Case { "", RateLimitHeader::State::Malformed, 0 },
        Case { "-1", RateLimitHeader::State::Malformed, 0 }, Case { "many", RateLimitHeader::State::Malformed, 0 }, Case { "4.3/s", RateLimitHeader::State::Malformed, 0 }, Case { "nan", RateLimitHeader::State::Malformed, 0 }, Case { "inf", RateLimitHeader::State::Malformed, 0 }, Case { "1e999", RateLimitHeader::State::Malformed, 0 });
    HttpResponseHead head;
    head.status = 200;
    CHECK(dialect.read_response(head).limit.state == RateLimitHeader::State::Absent);
    head.headers.add("Server-Limit", given.text);
    auto const limit = dialect.read_response(head).limit;
    CAPTURE(given.text);
    CHECK(limit.state == given.state);
    CHECK(limit.rate == given.rate);
}

TEST_CASE("The pause that an answer asks for is read as seconds, or said to be unreadable", "[upstream-pause]")
{
    PlatformDialect const dialect;
    struct Case {
        std::string text;
        RetryAfterHeader::State state;
        Duration delay;
    };
    auto const given = GENERATE(
        Case { "3", RetryAfterHeader::State::Present, seconds(3) }, Case { "0.25", RetryAfterHeader::State::Present, milliseconds(250) }, Case { "0", RetryAfterHeader::State::Present, {} }, Case { "1e300", RetryAfterHeader::State::Present, seconds(86400) },
        Case { "", RetryAfterHeader::State::Malformed, {} }, Case { "-1", RetryAfterHeader::State::Malformed, {} }, Case { "soon", RetryAfterHeader::State::Malformed, {} }, Case { "Wed, 21 Oct 2026 07:28:00 GMT", RetryAfterHeader::State::Malformed, {} }, Case { "nan", RetryAfterHeader::State::Malformed, {} });
    HttpResponseHead head;
    head.status = 503;
    CHECK(dialect.read_response(head).retry_after.state == RetryAfterHeader::State::Absent);
    head.headers.add("Retry-After", given.text);
    auto const retry_after = dialect.read_response(head).retry_after;
    CAPTURE(given.text);
    CHECK(retry_after.state == given.state);
    CHECK(retry_after.delay == given.delay);
}

TEST_CASE("An answer says that its upstream leaves in one way only", "[leaving]")
{
    PlatformDialect const dialect;
    struct Case {
        std::string text;
        bool is_leaving;
    };
    auto const given = GENERATE(Case { "1", true }, Case { "0", false }, Case { "", false }, Case { "true", false });
    HttpResponseHead head;
    head.status = 200;
    CHECK_FALSE(dialect.read_response(head).is_leaving);
    head.headers.add("Server-Leaving", given.text);
    CAPTURE(given.text);
    CHECK(dialect.read_response(head).is_leaving == given.is_leaving);
}

// Guards against calls that an engine does not understand, and against ids that break out of their field.
TEST_CASE("A call to copy a run names the request, the other engine and whether the run stops", "[stream-migration]")
{
    PlatformDialect const dialect;
    for (auto const source : { RunTransfer::Source::KeepsRunning, RunTransfer::Source::Stops }) {
        auto const request = dialect.run_transfer_request("127.0.0.1:1", { "id \"1\"", "127.0.0.1:2", source });
        CHECK(request.head.method == "POST");
        CHECK(request.head.target == "/v1/kv-move");
        auto const body = nlohmann::json::parse(request.body);
        CHECK(body.at("id") == "id \"1\"");
        CHECK(body.at("target_version") == "127.0.0.1:2");
        CHECK(body.at("last") == (source == RunTransfer::Source::Stops));
    }
}

// Guards against answers that pass for a stopped or copied run although they name no handle that can be used.
TEST_CASE("An answer to a call to copy a run is read by its status and handle", "[stream-migration]")
{
    using Outcome = RunTransferResult::Outcome;
    PlatformDialect const dialect;
    struct Case {
        int status;
        std::string body;
        std::optional<Outcome> outcome;
        std::string handle;
    };
    auto const given = GENERATE(
        Case { 200, R"({"kv_handle": "h", "created": 7})", Outcome::Copied, "h" }, Case { 404, "", Outcome::NotRunning, "" }, Case { 409, "{}", Outcome::AlreadyInProgress, "" },
        Case { 503, "", Outcome::TargetUnavailable, "" }, Case { 503, R"({"kv_handle": "h"})", Outcome::TargetUnavailable, "h" },
        Case { 200, "{}", {}, "" }, Case { 200, "no json", {}, "" }, Case { 200, R"({"kv_handle": 7})", {}, "" }, Case { 200, R"({"kv_handle": "two words"})", {}, "" }, Case { 503, R"({"kv_handle": "a\r\nb: c"})", {}, "" }, Case { 500, R"({"kv_handle": "h"})", {}, "" });
    CAPTURE(given.status, given.body);
    auto const result = dialect.read_run_transfer(given.status, given.body);
    REQUIRE(result.has_value() == given.outcome.has_value());
    if (result.is_error())
        return;
    CHECK(result.value().outcome == *given.outcome);
    CHECK(result.value().handle == given.handle);
}
