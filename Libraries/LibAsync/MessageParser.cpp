// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibAsync/MessageParser.h>
#include <LibHttp/FieldName.h>
#include <LibHttp/ResponseStatus.h>
#include <algorithm>

namespace Spurtide {

namespace {

constexpr int SKIP_BODY = 1;
constexpr int STOP = -1;

/// A field takes more memory than the few bytes that announce it.
constexpr std::size_t MAXIMUM_FIELDS = 128;

/// Holds the version, the status and what follows it.
constexpr std::size_t STATUS_LINE_BEGIN_BYTES = 15;

/// The library takes a status of any number of digits.
bool has_status_of_three_digits(std::string_view status_line)
{
    auto const begin = status_line.find_first_not_of(' ', status_line.find(' '));
    auto const end = status_line.find_first_not_of("0123456789", begin);
    return end != std::string_view::npos && end - begin == 3;
}

/// The library lets blanks in a field's name pass, and what comes behind could then read the name otherwise.
bool are_well_formed(HeaderFields const& headers)
{
    return std::all_of(headers.all().begin(), headers.all().end(), [](auto const& field) {
        return is_field_name(field.name) && field.value.find_first_of(std::string_view("\0\r\n", 3)) == std::string::npos;
    });
}

}

MessageParser::MessageParser(Kind kind)
    : kind(kind)
{
    this->start();
}

void MessageParser::start(ExpectedBody body_expectation)
{
    http_parser_init(&this->parser, this->kind == Kind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
    this->parser.data = this;
    this->expected_body = body_expectation;
    this->target.clear();
    this->status_line_begin.clear();
    this->response = {};
    this->headers = {};
    this->value_follows = false;
    this->begun = false;
    this->head_complete = false;
    this->message_complete = false;
    this->keep_alive = false;
    this->head_bytes = 0;
    this->has_too_many_fields = false;
    this->announced_size.reset();
    this->body.clear();
}

http_parser_settings const& MessageParser::callbacks()
{
    static http_parser_settings const s_settings = [] {
        http_parser_settings settings;
        http_parser_settings_init(&settings);
        settings.on_url = [](http_parser* parser, char const* bytes, std::size_t size) {
            self(parser).target.append(bytes, size);
            return 0;
        };
        settings.on_status = [](http_parser* parser, char const* bytes, std::size_t size) { return self(parser).on_reason({ bytes, size }); };
        settings.on_header_field = [](http_parser* parser, char const* bytes, std::size_t size) { return self(parser).on_field({ bytes, size }); };
        settings.on_header_value = [](http_parser* parser, char const* bytes, std::size_t size) { return self(parser).on_value({ bytes, size }); };
        settings.on_headers_complete = [](http_parser* parser) { return self(parser).on_head_complete(); };
        settings.on_body = [](http_parser* parser, char const* bytes, std::size_t size) {
            self(parser).body.append(bytes, size);
            return 0;
        };
        settings.on_message_complete = [](http_parser* parser) {
            auto& message = self(parser);
            message.message_complete = true;
            message.keep_alive = http_should_keep_alive(parser) != 0;
            // What follows belongs to another message.
            http_parser_pause(parser, 1);
            return 0;
        };
        return settings;
    }();
    return s_settings;
}

void MessageParser::note_status_line(std::string_view bytes)
{
    if (this->status_line_begin.empty())
        bytes.remove_prefix(std::min(bytes.find_first_not_of("\r\n"), bytes.size()));
    this->status_line_begin += bytes.substr(0, STATUS_LINE_BEGIN_BYTES - this->status_line_begin.size());
}

int MessageParser::on_reason(std::string_view bytes)
{
    // Not only at the end of the head: a faulty peer may never end its head, or the body that follows.
    auto const status = static_cast<int>(this->parser.status_code);
    bool const is_usable = is_final_status(status) || is_interim_status(status);
    if (!is_usable || !has_status_of_three_digits(this->status_line_begin))
        return STOP;
    this->response.reason += bytes;
    return 0;
}

int MessageParser::on_field(std::string_view bytes)
{
    // Fields behind a chunked body are trailers, which nobody here uses.
    if (this->head_complete)
        return 0;
    bool const begins = this->value_follows || this->headers.all().empty();
    if (begins && this->headers.all().size() >= MAXIMUM_FIELDS) {
        this->has_too_many_fields = true;
        return STOP;
    }
    if (begins)
        this->headers.add("", "");
    this->value_follows = false;
    this->headers.all().back().name += bytes;
    return 0;
}

int MessageParser::on_value(std::string_view bytes)
{
    if (this->head_complete)
        return 0;
    this->value_follows = true;
    this->headers.all().back().value += bytes;
    return 0;
}

int MessageParser::on_head_complete()
{
    this->head_complete = true;
    if (!are_well_formed(this->headers))
        return STOP;
    if (this->kind == Kind::Response) {
        this->response.status = static_cast<int>(this->parser.status_code);
        this->response.headers = std::move(this->headers);
    } else if (this->headers.count("content-length") > 1 || this->headers.count("host") > 1 || this->parser.http_major != 1) {
        return STOP;
    }
    // The library counts the length down as the body comes in.
    if (this->framing() == BodyFraming::Length)
        this->announced_size = this->parser.content_length;
    return this->expected_body == ExpectedBody::None ? SKIP_BODY : 0;
}

Result<std::size_t, HttpError> MessageParser::feed(std::string_view bytes)
{
    if (bytes.empty())
        return std::size_t { 0 };
    this->begun = true;
    bool const had_head = this->head_complete;
    if (this->kind == Kind::Response && !had_head)
        this->note_status_line(bytes);
    auto const consumed = http_parser_execute(&this->parser, &callbacks(), bytes.data(), bytes.size());
    auto const error = HTTP_PARSER_ERRNO(&this->parser);
    if (!had_head) {
        this->head_bytes += consumed - std::min(consumed, this->body.size());
        if (this->head_bytes > this->maximum_head || error == HPE_HEADER_OVERFLOW || this->has_too_many_fields)
            return Failure { HttpError::HeadTooLarge };
    }
    if (this->message_complete)
        return consumed;
    if (error != HPE_OK)
        return Failure { HttpError::Malformed };
    return consumed;
}

Result<Done, HttpError> MessageParser::feed_end()
{
    if (this->message_complete)
        return Done {};
    if (this->head_complete && this->framing() == BodyFraming::UntilClose) {
        http_parser_execute(&this->parser, &callbacks(), nullptr, 0);
        this->message_complete = true;
        this->keep_alive = false;
        return Done {};
    }
    return Failure { HttpError::Closed };
}

BodyFraming MessageParser::framing() const
{
    if (this->expected_body == ExpectedBody::None)
        return BodyFraming::None;
    if ((this->parser.flags & F_CHUNKED) != 0)
        return BodyFraming::Chunked;
    if ((this->parser.flags & F_CONTENTLENGTH) != 0)
        return BodyFraming::Length;
    auto const status = this->parser.status_code;
    if (this->kind == Kind::Request || status / 100 == 1 || status == 204 || status == 304)
        return BodyFraming::None;
    return BodyFraming::UntilClose;
}

HttpRequestHead MessageParser::take_request_head()
{
    return { http_method_str(static_cast<http_method>(this->parser.method)), std::move(this->target), std::move(this->headers) };
}

}
