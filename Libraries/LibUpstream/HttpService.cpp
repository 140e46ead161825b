// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibHttp/FieldName.h>
#include <LibHttp/HttpClient.h>
#include <LibHttp/ResponseStatus.h>
#include <LibUpstream/HttpService.h>
#include <algorithm>

namespace Spurtide {

namespace {

constexpr std::int64_t LONGEST_RETRY_AFTER_SECONDS = 600;

/// The library takes any status of three digits, and names with blanks, which may hide how the body is framed.
bool is_usable(httplib::Response const& response)
{
    return is_final_status(response.status) && std::all_of(response.headers.begin(), response.headers.end(), [](auto const& field) { return is_field_name(field.first); });
}

}

Result<ServiceAnswer, ServiceError> HttpService::call(ServiceCall const& call)
{
    auto client = make_http_client(this->address, this->answer_timeout);
    client.set_connection_timeout(this->connect_timeout);
    httplib::Request request;
    request.method = call.method;
    request.path = call.path;
    request.body = call.body;
    request.set_header("Content-Type", call.content_type);
    request.set_header("X-Request-Id", call.request);
    auto const result = client.send(request);
    if (!result) {
        bool const nothing_sent = result.error() == httplib::Error::Connection;
        return Failure { ServiceError { nothing_sent ? ServiceErrorKind::Unreachable : ServiceErrorKind::Lost } };
    }
    if (!is_usable(*result))
        return Failure { ServiceError { ServiceErrorKind::Lost } };
    ServiceAnswer answer;
    answer.status = result->status;
    answer.content_type = result->get_header_value("Content-Type");
    answer.body = result->body;
    auto const wait = std::strtoll(result->get_header_value("Retry-After").c_str(), nullptr, 10);
    answer.retry_after = seconds(std::clamp<std::int64_t>(wait, 0, LONGEST_RETRY_AFTER_SECONDS));
    return answer;
}

}
