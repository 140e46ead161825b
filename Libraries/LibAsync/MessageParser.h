// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibAsync/HttpError.h>
#include <LibAsync/HttpMessage.h>
#include <LibCore/Result.h>
#include <cstdint>
#include <http_parser.h>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Spurtide {

/// Reads one HTTP/1.1 message after another from bytes as they come in; the grammar is the library's.
class MessageParser {
public:
    enum class Kind {
        Request,
        Response,
    };

    explicit MessageParser(Kind kind);
    MessageParser(MessageParser const&) = delete;
    MessageParser& operator=(MessageParser const&) = delete;

    /// Begins the next message. The answer to a HEAD request has no body.
    enum class ExpectedBody {
        AsFramed,
        None,
    };
    void start(ExpectedBody expected_body = ExpectedBody::AsFramed);

    /// Takes bytes and tells how many belonged to this message; stops at its end. A response whose status is neither a final one nor
    /// that of an interim response is Malformed as soon as the status is known.
    Result<std::size_t, HttpError> feed(std::string_view bytes);
    /// The other side closed in good order. Ends a body that lasts until then; else Closed.
    Result<Done, HttpError> feed_end();

    ExpectedBody expectation() const { return this->expected_body; }
    bool has_begun() const { return this->begun; }
    bool has_head() const { return this->head_complete; }
    bool is_complete() const { return this->message_complete; }
    bool keeps_alive() const { return this->keep_alive; }
    BodyFraming framing() const;
    /// Whether the sender of the request reads chunks, which HTTP/1.0 does not know.
    bool may_receive_chunks() const { return this->parser.http_major == 1 && this->parser.http_minor >= 1; }
    /// The length that the head gives for a body of the Length framing.
    std::optional<std::uint64_t> announced_body_size() const { return this->announced_size; }

    HttpRequestHead take_request_head();
    HttpResponseHead const& response_head() const { return this->response; }
    /// Body bytes since the last call.
    std::string take_body() { return std::exchange(this->body, {}); }
    std::size_t body_size() const { return this->body.size(); }
    std::size_t head_size() const { return this->head_bytes; }

    void set_maximum_head(std::size_t bytes) { this->maximum_head = bytes; }

private:
    static http_parser_settings const& callbacks();
    static MessageParser& self(http_parser* parser) { return *static_cast<MessageParser*>(parser->data); }
    void note_status_line(std::string_view bytes);
    /// Called when the status is known, also where no reason follows it.
    int on_reason(std::string_view bytes);
    int on_field(std::string_view bytes);
    int on_value(std::string_view bytes);
    int on_head_complete();

    Kind kind;
    http_parser parser {};
    ExpectedBody expected_body = ExpectedBody::AsFramed;
    std::string target;
    std::string status_line_begin;
    HttpResponseHead response;
    HeaderFields headers;
    bool value_follows = false;
    bool begun = false;
    bool head_complete = false;
    bool message_complete = false;
    bool keep_alive = false;
    std::size_t head_bytes = 0;
    bool has_too_many_fields = false;
    std::optional<std::uint64_t> announced_size;
    std::size_t maximum_head = 16UL * 1024;
    std::string body;
};

}
