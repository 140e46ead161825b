// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibHttp/Address.h>
#include <LibUpstream/ServicePort.h>

namespace Spurtide {

/// A plain service over HTTP.
class HttpService final : public ServicePort {
public:
    HttpService(Address address, Duration connect_timeout, Duration answer_timeout)
        : address(std::move(address))
        , connect_timeout(connect_timeout)
        , answer_timeout(answer_timeout)
    {
    }

    Result<ServiceAnswer, ServiceError> call(ServiceCall const& call) override;

private:
    Address address;
    Duration connect_timeout;
    Duration answer_timeout;
};

}
