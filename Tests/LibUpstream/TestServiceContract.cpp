// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibUpstream/HttpService.h>
#include <StandIns/ServiceStandIn/ServiceStandIn.h>
#include <catch2/catch.hpp>

using namespace Spurtide;

namespace {

struct Service {
    std::unique_ptr<ServiceStandIn> stand_in = ServiceStandIn::create({ "app", { "127.0.0.1", 0 }, 8, {} }).release_value();
    HttpService port { this->stand_in->address(), milliseconds(300), milliseconds(1000) };
    ServiceCall call { "POST", "/orders", "application/json", "{}", "r1" };
};

}

TEST_CASE("A call reaches the service once and its answer comes back whole")
{
    Service service;
    auto const answer = service.port.call(service.call);
    REQUIRE_FALSE(answer.is_error());
    CHECK(answer.value().status == 200);
    CHECK(answer.value().body.find("/orders") != std::string::npos);
    CHECK(service.stand_in->runs("r1") == 1);
}

TEST_CASE("A refusal gives its time to come back and did not run")
{
    Service service;
    service.stand_in->set_faults({ 0, 1 });
    auto const answer = service.port.call(service.call);
    CHECK(answer.value().status == 503);
    CHECK(answer.value().retry_after == seconds(1));
    CHECK(service.stand_in->total_runs() == 0);
}

TEST_CASE("A lost answer is told from a connection that was never made")
{
    Service service;
    service.stand_in->set_faults({ 1, 0 });
    CHECK(service.port.call(service.call).error().kind == ServiceErrorKind::Lost);
    CHECK(service.stand_in->runs("r1") == 1);
    service.stand_in->stop();
    CHECK(service.port.call(service.call).error().kind == ServiceErrorKind::Unreachable);
}
