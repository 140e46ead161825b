// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Spurtide {

struct HeaderField {
    std::string name;
    std::string value;
};

/// Compares header names, which have no case.
bool equal_names(std::string_view left, std::string_view right);

/// The fields of a message, in their order; a name may stand more than once.
class HeaderFields {
public:
    void add(std::string_view name, std::string_view value) { this->fields.push_back({ std::string(name), std::string(value) }); }
    /// The first value of a name.
    std::optional<std::string_view> find(std::string_view name) const;
    bool contains(std::string_view name) const { return this->find(name).has_value(); }
    std::size_t count(std::string_view name) const;
    std::vector<HeaderField> const& all() const { return this->fields; }
    std::vector<HeaderField>& all() { return this->fields; }

private:
    std::vector<HeaderField> fields;
};

struct HttpRequestHead {
    std::string method;
    /// Path and query as they stood in the request line.
    std::string target;
    HeaderFields headers;
};

struct HttpResponseHead {
    int status = 0;
    std::string reason;
    HeaderFields headers;
};

/// A whole request, body included.
struct HttpRequest {
    HttpRequestHead head;
    std::string body;
};

/// How the end of a body is told.
enum class BodyFraming {
    None,
    Length,
    Chunked,
    UntilClose,
};

/// Reads a whole number without sign that fills the text.
std::optional<std::int64_t> parse_whole_number(std::string_view text);

/// The names that a Connection field lists and the fields that concern one connection alone.
bool is_connection_field(std::string_view name);

std::string_view reason_phrase(int status);

/// The bytes of a head, with its empty line.
std::string format_request_head(HttpRequestHead const& head);
std::string format_response_head(HttpResponseHead const& head);

}
