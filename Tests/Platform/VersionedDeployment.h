// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Clock.h>
#include <Tests/Platform/NodeUnderTest.h>
#include <Tests/Platform/OtherVirtualMachine.h>
#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Spurtide::Tests {

/// Of callers whose streams no VM knows; no shorter than the time that the tests' callers wait.
constexpr Duration LONGEST_ABSENCE = seconds(3);

/// VMs before engines of several software versions. Each event names the version of the engine that made it.
class VersionedDeployment : public NodeUnderTest {
public:
    VersionedDeployment()
        : NodeUnderTest([](NodeSettings& settings) {
            settings.retry.allowance = 1000;
            settings.longest_absence = LONGEST_ABSENCE;
        })
    {
    }
    ~VersionedDeployment()
    {
        while (!this->others.empty())
            this->others.pop_back();
    }
    VersionedDeployment(VersionedDeployment const&) = delete;
    VersionedDeployment& operator=(VersionedDeployment const&) = delete;

    UpstreamStandIn& add_engine(std::string const& identity, std::string const& phase, std::string const& version, std::string const& service = "engines")
    {
        auto& engine = *this->engines.emplace_back(std::make_unique<UpstreamStandIn>(this->loop, identity, phase));
        engine.software_version = version;
        engine.event_text = version;
        this->list(engine, service);
        return engine;
    }

    /// A prefill engine and decode engines of one version. Among equals the keeper chooses by name, so that the next one is often of
    /// another version.
    void add_version(std::string const& version, int decode_engines)
    {
        this->add_engine("prefill-" + version, "prefill", version);
        for (int i = 1; i <= decode_engines; ++i)
            this->add_engine(decode_name(i, version), "decode", version);
    }

    static std::string decode_name(int number, std::string const& version) { return "decode-" + std::to_string(number) + "-" + version; }

    UpstreamStandIn& engine(std::string const& identity)
    {
        auto const found = std::find_if(this->engines.begin(), this->engines.end(), [&](auto const& engine) { return engine->identity == identity; });
        REQUIRE(found != this->engines.end());
        return **found;
    }

    OtherVirtualMachine& add_virtual_machine(std::string const& name, std::string const& data_centre = "dc")
    {
        return this->add_virtual_machine(name, { this->node->wire_address() }, data_centre);
    }
    /// A VM that meets only those that are named.
    OtherVirtualMachine& add_virtual_machine(std::string const& name, std::vector<std::string> seeds, std::string const& data_centre = "dc", Duration longest_absence = LONGEST_ABSENCE)
    {
        auto const change = [data_centre, longest_absence](NodeSettings& settings) {
            settings.data_centre = data_centre;
            settings.longest_absence = longest_absence;
        };
        return *this->others.emplace_back(std::make_unique<OtherVirtualMachine>(*this, std::move(seeds), change, name));
    }

    /// Streams whose origins the store holds.
    std::size_t recorded_streams() const
    {
        std::size_t streams = 0;
        for (auto const& [key, row] : this->recorded_rows()) {
            auto const json = nlohmann::json::parse(row.value);
            for (auto const& origin : json["origins"])
                streams += origin["streams"].size();
        }
        return streams;
    }
    std::map<std::string, StoreStandIn::Row> recorded_rows() const
    {
        auto rows = this->store.copy().tables["stream-origins"];
        std::erase_if(rows, [](auto const& row) { return row.second.removed; });
        return rows;
    }

    /// Ends the VM that was added last, like a killed process.
    void kill_last() { this->others.pop_back(); }

    /// Each decode engine breaks off new streams after so many events; those that resume run to their end.
    void break_new_streams_after(int events)
    {
        for (auto const& engine : this->engines) {
            auto* const broken = engine.get();
            if (engine->phase == "decode")
                engine->script = [broken, events](HttpExchange& exchange) { return break_new_stream(*broken, exchange, events); };
        }
    }

    /// A request that takes up a stream.
    HttpRequest resumption(std::string const& identifier, std::string const& resumed, int last_event)
    {
        auto request = this->model_request("/resumable/x", identifier, resumed);
        request.head.headers.add("Resumes", resumed);
        request.head.headers.add("Last-Event-Id", std::to_string(last_event));
        return request;
    }

    /// Receives so many events of each stream and leaves.
    std::vector<CallerAnswer> call_all_and_leave(Address const& address, std::vector<HttpRequest> const& requests, int events)
    {
        std::vector<CallerAnswer> answers(requests.size());
        std::size_t done = 0;
        for (std::size_t i = 0; i < requests.size(); ++i)
            asio::co_spawn(this->loop, receive_events(address, requests[i], events, answers[i], done), asio::detached);
        REQUIRE(this->run_until([&] { return done == requests.size(); }));
        return answers;
    }
    CallerAnswer call_and_leave(Address const& address, HttpRequest request, int events) { return this->call_all_and_leave(address, { std::move(request) }, events).front(); }

    /// Begins streams at the same time, so that they are spread over all engines, and leaves after two events of each.
    std::vector<CallerAnswer> begin_streams(Address const& address, std::vector<std::string> const& names)
    {
        std::vector<HttpRequest> requests;
        for (auto const& name : names)
            requests.push_back(this->model_request("/resumable/x", name));
        auto answers = this->call_all_and_leave(address, requests, 2);
        for (auto const& answer : answers)
            REQUIRE(answer.head.status == 200);
        return answers;
    }

    /// The versions that events name.
    static std::set<std::string> versions_in(std::string const& body)
    {
        constexpr std::string_view DATA = "data: ";
        std::set<std::string> versions;
        for (auto found = body.find(DATA); found != std::string::npos; found = body.find(DATA, found + 1)) {
            auto const from = found + DATA.size();
            versions.insert(body.substr(from, body.find(' ', from) - from));
        }
        return versions;
    }

    /// How often engines ran a request, prefills aside.
    int runs_of(std::string const& identifier) const
    {
        std::ptrdiff_t runs = 0;
        for (auto const& engine : this->engines)
            runs += std::count(engine->run.begin(), engine->run.end(), identifier);
        return static_cast<int>(runs);
    }

    std::vector<std::unique_ptr<UpstreamStandIn>> engines;
    std::vector<std::unique_ptr<OtherVirtualMachine>> others;

private:
    static asio::awaitable<bool> break_new_stream(UpstreamStandIn& engine, HttpExchange& exchange, int events)
    {
        auto const& head = exchange.request().head;
        bool const is_new = head.method == "POST" && head.target.starts_with("/resumable/") && !head.headers.find("Last-Event-Id");
        if (!is_new)
            co_return false;
        engine.run.emplace_back(head.headers.find("X-Spurtide-Attempt-Id").value_or(""));
        auto response = engine.answer_head(exchange, 200);
        static_cast<void>(co_await exchange.begin(response, BodyFraming::Chunked));
        for (int i = 1; i <= events; ++i) {
            std::string const event = "id: " + std::to_string(i) + "\ndata: " + engine.event_text + " " + std::to_string(i) + "\n\n";
            static_cast<void>(co_await exchange.write(event));
        }
        exchange.abort();
        co_return true;
    }

    static asio::awaitable<void> receive_events(Address address, HttpRequest request, int events, CallerAnswer& answer, std::size_t& done)
    {
        auto connected = co_await HttpConnection::connect(address, seconds(1), {});
        auto const connection = connected.release_value();
        connection->set_deadline(monotonic_now() + seconds(10));
        connection->send(format_request_head(request.head), std::make_shared<std::string const>(request.body));
        auto head = co_await connection->read_head();
        if (head.is_error())
            answer.error = head.error();
        else
            answer.head = head.release_value();
        while (!answer.error && answer.body.find("id: " + std::to_string(events) + "\n") == std::string::npos) {
            auto piece = co_await connection->read_piece();
            if (piece.is_error())
                answer.error = piece.error();
            else
                answer.body += piece.value();
        }
        connection->abort();
        ++done;
    }
};

}
