// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <StandIns/ServiceStandIn/ServiceStandIn.h>
#include <nlohmann/json.hpp>

namespace Spurtide {

ServiceStandIn::ServiceStandIn(Options options)
    : options(std::move(options))
{
}

Result<std::unique_ptr<ServiceStandIn>, HttpListenError> ServiceStandIn::create(Options options)
{
    std::unique_ptr<ServiceStandIn> service(new ServiceStandIn(std::move(options)));
    service->listener = TRY(HttpListener::create({ service->options.address, service->options.threads }));
    auto& server = service->listener->server();
    auto const handler = [raw = service.get()](httplib::Request const& request, httplib::Response& response) { raw->answer(request, response); };
    service->listener->serve_operations(service->metrics, [] { return true; });
    server.Post("/faults", [raw = service.get()](httplib::Request const& request, httplib::Response& response) {
        auto const body = nlohmann::json::parse(request.body, nullptr, false);
        if (!body.is_object()) {
            response.status = 400;
            return;
        }
        raw->set_faults({ body.value("lose_answers", 0), body.value("refuse_calls", 0) });
    });
    server.Get("/runs", [raw = service.get()](httplib::Request const&, httplib::Response& response) {
        response.set_content(nlohmann::json { { "total_runs", raw->total_runs() } }.dump(), "application/json");
    });
    server.Get("/.*", handler);
    server.Post("/.*", handler);
    service->listener->start();
    return service;
}

ServiceStandIn::~ServiceStandIn() { this->stop(); }

void ServiceStandIn::stop()
{
    {
        std::scoped_lock const lock(this->mutex);
        this->stopping = true;
    }
    this->changed.notify_all();
    this->listener->stop();
}

void ServiceStandIn::set_faults(ServiceFaults new_faults)
{
    std::scoped_lock const lock(this->mutex);
    this->faults = new_faults;
}

int ServiceStandIn::runs(std::string const& request)
{
    std::scoped_lock const lock(this->mutex);
    return this->run_counts[request];
}

int ServiceStandIn::total_runs()
{
    std::scoped_lock const lock(this->mutex);
    int total = 0;
    for (auto const& [request, count] : this->run_counts)
        total += count;
    return total;
}

void ServiceStandIn::answer(httplib::Request const& request, httplib::Response& response)
{
    std::unique_lock lock(this->mutex);
    this->changed.wait_for(lock, this->options.added_delay, [this] { return this->stopping; });
    if (this->faults.refuse_calls > 0) {
        --this->faults.refuse_calls;
        response.status = 503;
        response.set_header("Retry-After", "1");
        return;
    }
    auto const name = request.get_header_value("X-Request-Id");
    int const runs = ++this->run_counts[name];
    if (this->faults.lose_answers > 0) {
        --this->faults.lose_answers;
        response.set_content_provider(64, "application/octet-stream", [](std::size_t, std::size_t, httplib::DataSink&) { return false; });
        return;
    }
    nlohmann::json const body = { { "service", this->options.name }, { "path", request.path }, { "request", name }, { "runs", runs }, { "received_bytes", request.body.size() } };
    response.set_content(body.dump(), "application/json");
}

}
