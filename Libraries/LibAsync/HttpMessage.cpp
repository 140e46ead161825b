// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibAsync/HttpError.h>
#include <LibAsync/HttpMessage.h>
#include <algorithm>
#include <array>
#include <charconv>

namespace Spurtide {

namespace {

char lower(char character)
{
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a') : character;
}

void append_fields(std::string& text, HeaderFields const& headers)
{
    for (auto const& field : headers.all()) {
        text += field.name;
        text += ": ";
        text += field.value;
        text += "\r\n";
    }
    text += "\r\n";
}

}

std::string_view to_string(HttpError error)
{
    constexpr std::array<std::string_view, 11> NAMES = { "cannot_connect", "nobody_listens", "closed", "timed_out", "malformed", "head_too_large", "body_too_large", "event_too_large", "answer_of_another_request", "aborted", "unresponsive" };
    return NAMES.at(static_cast<std::size_t>(error));
}

bool equal_names(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) { return lower(a) == lower(b); });
}

std::optional<std::string_view> HeaderFields::find(std::string_view name) const
{
    for (auto const& field : this->fields) {
        if (equal_names(field.name, name))
            return field.value;
    }
    return {};
}

std::size_t HeaderFields::count(std::string_view name) const
{
    return static_cast<std::size_t>(std::count_if(this->fields.begin(), this->fields.end(), [&](auto const& field) { return equal_names(field.name, name); }));
}

std::optional<std::int64_t> parse_whole_number(std::string_view text)
{
    std::int64_t value = 0;
    auto const [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc {} || end != text.data() + text.size() || text.empty() || value < 0)
        return {};
    return value;
}

bool is_connection_field(std::string_view name)
{
    constexpr std::array<std::string_view, 11> NAMES = { "connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade", "expect", "content-length" };
    return std::any_of(NAMES.begin(), NAMES.end(), [&](auto known) { return equal_names(known, name); });
}

std::string_view reason_phrase(int status)
{
    switch (status) {
    case 200:
        return "OK";
    case 400:
        return "Bad Request";
    case 404:
        return "Not Found";
    case 408:
        return "Request Timeout";
    case 413:
        return "Content Too Large";
    case 421:
        return "Misdirected Request";
    case 431:
        return "Request Header Fields Too Large";
    case 500:
        return "Internal Server Error";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

std::string format_request_head(HttpRequestHead const& head)
{
    std::string text;
    text.reserve(512);
    text += head.method;
    text += ' ';
    text += head.target;
    text += " HTTP/1.1\r\n";
    append_fields(text, head.headers);
    return text;
}

std::string format_response_head(HttpResponseHead const& head)
{
    std::string text = "HTTP/1.1 " + std::to_string(head.status) + ' ';
    text += head.reason.empty() ? reason_phrase(head.status) : std::string_view(head.reason);
    text += "\r\n";
    append_fields(text, head.headers);
    return text;
}

}
