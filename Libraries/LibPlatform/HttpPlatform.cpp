// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibHttp/HttpClient.h>
#include <LibPlatform/HttpPlatform.h>
#include <charconv>
#include <nlohmann/json.hpp>

namespace Spurtide {

namespace {

PlatformError error_of(httplib::Error error)
{
    return error == httplib::Error::Connection ? PlatformError::Unreachable : PlatformError::InDoubt;
}

PlatformError error_of_status(int status)
{
    switch (status) {
    case 404:
        return PlatformError::NotFound;
    case 409:
    case 412:
        return PlatformError::Conflict;
    case 503:
        return PlatformError::Unavailable;
    default:
        return PlatformError::Malformed;
    }
}

Result<std::int64_t, PlatformError> version_of(httplib::Response const& response)
{
    auto const text = response.get_header_value("ETag");
    std::int64_t version = 0;
    auto const [end, error] = std::from_chars(text.data(), text.data() + text.size(), version);
    if (error != std::errc {} || end != text.data() + text.size())
        return Failure { PlatformError::Malformed };
    return version;
}

Result<httplib::Response, PlatformError> checked(httplib::Result result)
{
    if (!result)
        return Failure { error_of(result.error()) };
    if (result->status != 200)
        return Failure { error_of_status(result->status) };
    return std::move(*result);
}

}

HttpPlatform::HttpPlatform(Address address, Duration timeout)
    : address(std::move(address))
    , timeout(timeout)
{
}

Result<TableRow, PlatformError> HttpPlatform::read(std::string_view key)
{
    auto client = make_http_client(this->address, this->timeout);
    auto const response = TRY(checked(client.Get("/table/" + std::string(key))));
    auto const version = TRY(version_of(response));
    return TableRow { version, response.body };
}

Result<std::int64_t, PlatformError> HttpPlatform::write(std::string_view key, std::string_view value, std::int64_t expected_version)
{
    auto client = make_http_client(this->address, this->timeout);
    httplib::Headers const headers = { { "If-Match", std::to_string(expected_version) } };
    auto const response = TRY(checked(client.Put("/table/" + std::string(key), headers, std::string(value), "application/octet-stream")));
    return version_of(response);
}

Result<Done, PlatformError> HttpPlatform::put(std::string_view name, std::string_view content)
{
    auto client = make_http_client(this->address, this->timeout);
    TRY(checked(client.Put("/objects/" + std::string(name), std::string(content), "application/octet-stream")));
    return Done {};
}

Result<std::string, PlatformError> HttpPlatform::get(std::string_view name)
{
    auto client = make_http_client(this->address, this->timeout);
    auto const response = TRY(checked(client.Get("/objects/" + std::string(name))));
    return response.body;
}

Result<std::vector<ListedMachine>, PlatformError> HttpPlatform::list()
{
    auto client = make_http_client(this->address, this->timeout);
    auto const response = TRY(checked(client.Get("/machines")));
    auto const document = nlohmann::json::parse(response.body, nullptr, false);
    if (!document.is_array())
        return Failure { PlatformError::Malformed };
    std::vector<ListedMachine> machines;
    for (auto const& entry : document) {
        if (!entry.is_object() || !entry.contains("name") || !entry["name"].is_string())
            return Failure { PlatformError::Malformed };
        auto const life = entry.value("life", "live") == "leaving" ? ListedMachine::Life::Leaving : ListedMachine::Life::Live;
        machines.push_back({ entry["name"].get<std::string>(), entry.value("data_centre", ""), life });
    }
    return machines;
}

}
