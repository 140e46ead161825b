// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Result.h>
#include <LibCore/Time.h>
#include <string>
#include <string_view>

namespace Spurtide {

enum class ServiceErrorKind {
    /// Nothing was sent.
    Unreachable,
    /// Sent, and no whole answer came: the call may have run.
    Lost,
};

struct ServiceError {
    ServiceErrorKind kind;
};

struct ServiceCall {
    std::string method;
    std::string path;
    std::string content_type;
    std::string body;
    std::string request;
};

struct ServiceAnswer {
    int status = 0;
    std::string content_type;
    std::string body;
    /// Least time before another try; zero where the service gave none.
    Duration retry_after {};
};

/// A plain upstream service. Calls block.
class ServicePort {
public:
    virtual ~ServicePort() = default;
    virtual Result<ServiceAnswer, ServiceError> call(ServiceCall const& call) = 0;
};

}
