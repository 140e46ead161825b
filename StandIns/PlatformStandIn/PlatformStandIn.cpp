// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <StandIns/PlatformStandIn/PlatformStandIn.h>
#include <nlohmann/json.hpp>

namespace Spurtide {

namespace {

using Json = nlohmann::json;

void lose_answer(httplib::Response& response)
{
    // The connection closes before the promised bytes came, so the client sees a broken answer.
    response.set_content_provider(64, "application/octet-stream", [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
}

}

PlatformStandIn::PlatformStandIn(Options options)
    : options(std::move(options))
{
}

Result<std::unique_ptr<PlatformStandIn>, HttpListenError> PlatformStandIn::create(Options options)
{
    std::unique_ptr<PlatformStandIn> platform(new PlatformStandIn(std::move(options)));
    platform->listener = TRY(HttpListener::create({ platform->options.address, platform->options.threads }));
    platform->add_routes();
    platform->listener->serve_operations(platform->metrics, [] { return true; });
    platform->listener->start();
    return platform;
}

PlatformStandIn::~PlatformStandIn() { this->stop(); }

void PlatformStandIn::stop()
{
    {
        std::scoped_lock const lock(this->mutex);
        this->stopping = true;
    }
    this->changed.notify_all();
    this->listener->stop();
}

void PlatformStandIn::set_faults(PlatformFaults new_faults)
{
    std::scoped_lock const lock(this->mutex);
    this->faults = new_faults;
    this->changed.notify_all();
}

void PlatformStandIn::set_machines(std::vector<ListedMachine> machines)
{
    std::scoped_lock const lock(this->mutex);
    this->lists.push_back({ monotonic_now(), std::move(machines) });
}

PlatformStandIn::Usage PlatformStandIn::usage()
{
    std::scoped_lock const lock(this->mutex);
    return this->counts;
}

void PlatformStandIn::add_routes()
{
    auto& server = this->listener->server();
    auto const route = [this](auto handler) {
        return [this, handler](httplib::Request const& request, httplib::Response& response) {
            if (this->begin(response))
                handler(request, response);
        };
    };
    server.Get(R"(/table/(.+))", route([this](auto const& request, auto& response) { this->read_row(request, response); }));
    server.Put(R"(/table/(.+))", route([this](auto const& request, auto& response) { this->write_row(request, response); }));
    server.Get(R"(/objects/(.+))", route([this](auto const& request, auto& response) { this->read_object(request, response); }));
    server.Put(R"(/objects/(.+))", route([this](auto const& request, auto& response) { this->write_object(request, response); }));
    server.Get("/machines", route([this](auto const&, auto& response) { this->read_machines(response); }));
    server.Put("/machines", [this](auto const& request, auto& response) { this->write_machines(request, response); });
    server.Post("/faults", [this](httplib::Request const& request, httplib::Response& response) {
        auto const body = Json::parse(request.body, nullptr, false);
        if (!body.is_object()) {
            response.status = 400;
            return;
        }
        this->set_faults({ body.value("outage", false), milliseconds(body.value("slowness_milliseconds", 0)), body.value("lose_answers_after_write", 0) });
    });
}

bool PlatformStandIn::begin(httplib::Response& response)
{
    std::unique_lock lock(this->mutex);
    if (this->faults.slowness > Duration::zero())
        this->changed.wait_for(lock, this->faults.slowness, [this] { return this->stopping; });
    if (!this->stopping && !this->faults.outage)
        return true;
    response.status = 503;
    return false;
}

PlatformStandIn::AnswerFate PlatformStandIn::fate_of_write()
{
    ++this->counts.writes;
    if (this->faults.lose_answers_after_write <= 0)
        return AnswerFate::Sent;
    --this->faults.lose_answers_after_write;
    return AnswerFate::Lost;
}

void PlatformStandIn::read_row(httplib::Request const& request, httplib::Response& response)
{
    std::scoped_lock const lock(this->mutex);
    ++this->counts.reads;
    auto const found = this->rows.find(request.matches[1]);
    if (found == this->rows.end()) {
        response.status = 404;
        return;
    }
    response.set_header("ETag", std::to_string(found->second.version));
    response.set_content(found->second.value, "application/octet-stream");
}

void PlatformStandIn::write_row(httplib::Request const& request, httplib::Response& response)
{
    auto const expected = std::strtoll(request.get_header_value("If-Match").c_str(), nullptr, 10);
    std::scoped_lock const lock(this->mutex);
    auto const found = this->rows.find(request.matches[1]);
    auto const present = found == this->rows.end() ? 0 : found->second.version;
    if (present != expected) {
        ++this->counts.writes;
        response.status = 412;
        return;
    }
    this->rows.insert_or_assign(request.matches[1], TableRow { present + 1, request.body });
    if (this->fate_of_write() == AnswerFate::Lost)
        return lose_answer(response);
    response.set_header("ETag", std::to_string(present + 1));
    response.set_content("", "text/plain");
}

void PlatformStandIn::read_object(httplib::Request const& request, httplib::Response& response)
{
    std::scoped_lock const lock(this->mutex);
    ++this->counts.reads;
    auto const found = this->objects.find(request.matches[1]);
    if (found == this->objects.end()) {
        response.status = 404;
        return;
    }
    response.set_content(found->second, "application/octet-stream");
}

void PlatformStandIn::write_object(httplib::Request const& request, httplib::Response& response)
{
    std::scoped_lock const lock(this->mutex);
    this->objects.insert_or_assign(request.matches[1], request.body);
    if (this->fate_of_write() == AnswerFate::Lost)
        return lose_answer(response);
    response.set_content("", "text/plain");
}

void PlatformStandIn::read_machines(httplib::Response& response)
{
    std::scoped_lock const lock(this->mutex);
    ++this->counts.reads;
    auto const old_enough = monotonic_now() - this->options.list_lag;
    while (this->lists.size() > 1 && this->lists[1].since <= old_enough)
        this->lists.pop_front();
    Json document = Json::array();
    if (!this->lists.empty() && this->lists.front().since <= old_enough) {
        for (auto const& machine : this->lists.front().machines)
            document.push_back({ { "name", machine.name }, { "data_centre", machine.data_centre }, { "life", machine.life == ListedMachine::Life::Leaving ? "leaving" : "live" } });
    }
    response.set_content(document.dump(), "application/json");
}

void PlatformStandIn::write_machines(httplib::Request const& request, httplib::Response& response)
{
    auto const body = Json::parse(request.body, nullptr, false);
    if (!body.is_array()) {
        response.status = 400;
        return;
    }
    std::vector<ListedMachine> machines;
    for (auto const& entry : body)
        machines.push_back({ entry.value("name", ""), entry.value("data_centre", ""), entry.value("life", "live") == "leaving" ? ListedMachine::Life::Leaving : ListedMachine::Life::Live });
    this->set_machines(std::move(machines));
}

}
