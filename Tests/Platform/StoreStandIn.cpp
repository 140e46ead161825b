// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <Tests/Platform/StoreStandIn.h>
#include <openssl/evp.h>

namespace Spurtide::Tests {

namespace {

std::string encode_base64(std::string const& bytes)
{
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    auto const size = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()), reinterpret_cast<unsigned char const*>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

std::string decode_base64(std::string const& text)
{
    std::string bytes(text.size() / 4 * 3, '\0');
    EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()), reinterpret_cast<unsigned char const*>(text.data()), static_cast<int>(text.size()));
    while (!text.empty() && text.ends_with('=') && !bytes.empty() && bytes.back() == '\0')
        bytes.pop_back();
    return bytes;
}

std::string unescape(std::string const& text)
{
    std::string plain;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            plain += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            plain += text[i];
        }
    }
    return plain;
}

std::map<std::string, std::string> read_query(std::string const& target)
{
    std::map<std::string, std::string> query;
    auto at = target.find('?');
    while (at != std::string::npos) {
        auto const end = target.find('&', at + 1);
        auto const pair = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
        auto const equals = pair.find('=');
        query[pair.substr(0, equals)] = equals == std::string::npos ? "" : unescape(pair.substr(equals + 1));
        at = end;
    }
    return query;
}

}

StoreStandIn::StoreStandIn(asio::io_context& loop)
    : loop(loop)
    , server(HttpServer::create(loop, { "127.0.0.1", 0 }, [this](auto& exchange) { return this->answer(exchange); }).release_value())
{
}

void StoreStandIn::put(std::string const& table, std::string const& key, nlohmann::json const& value)
{
    this->put_bytes(table, key, value.dump());
}

void StoreStandIn::put_bytes(std::string const& table, std::string const& key, std::string bytes)
{
    this->tables[table][key] = Row { std::move(bytes), ++this->version, false };
    this->notify();
}

void StoreStandIn::remove(std::string const& table, std::string const& key)
{
    this->tables[table][key] = Row { "", ++this->version, true };
    this->notify();
}

void StoreStandIn::set_fault(Fault new_fault)
{
    this->fault = new_fault;
    this->notify();
}

void StoreStandIn::return_from(Copy const& older)
{
    this->tables = older.tables;
    this->version = older.version;
    this->era = std::to_string(std::stoll(this->era.value_or("0")) + 1);
    this->notify();
}

HttpResponseHead StoreStandIn::answer_head() const
{
    HttpResponseHead head;
    head.status = 200;
    if (this->era)
        head.headers.add("Store-Era", *this->era);
    return head;
}

void StoreStandIn::notify()
{
    for (auto* signal : this->waiting)
        signal->notify();
}

nlohmann::json StoreStandIn::row_json(std::string const& table, std::string const& key, Row const& row) const
{
    nlohmann::json json { { "table", table }, { "part", "" }, { "tls_key", key }, { "ver", row.version } };
    if (row.removed)
        json["removed"] = true;
    else
        json["value"] = encode_base64(row.value);
    return json;
}

asio::awaitable<void> StoreStandIn::wait_for_change(std::string const& table, std::int64_t after, Duration wait)
{
    Signal signal(this->loop.get_executor());
    auto const place = this->waiting.insert(this->waiting.end(), &signal);
    auto const until = monotonic_now() + wait;
    auto const has_news = [&] {
        auto const& rows = this->tables[table];
        return std::any_of(rows.begin(), rows.end(), [&](auto const& row) { return row.second.version > after; });
    };
    auto const era_before = this->era;
    while (this->fault == Fault::None && this->era == era_before && !has_news()) {
        auto const end = co_await signal.wait_until(until);
        if (end == WaitEnd::TimedOut)
            break;
    }
    this->waiting.erase(place);
}

std::optional<std::string> StoreStandIn::value(std::string const& table, std::string const& key) const
{
    auto const rows = this->tables.find(table);
    if (rows == this->tables.end())
        return {};
    auto const row = rows->second.find(key);
    if (row == rows->second.end() || row->second.removed)
        return {};
    return row->second.value;
}

// All or nothing: each expected row has its version (0: it is not there), then all rows are set.
asio::awaitable<void> StoreStandIn::write(HttpExchange& exchange)
{
    ++this->writes;
    auto head = this->answer_head();
    if (this->fault == Fault::Busy || this->fault == Fault::TooMany)
        head.status = this->fault == Fault::Busy ? 503 : 429;
    auto const body = nlohmann::json::parse(exchange.request().body, nullptr, false);
    if (!body.is_object())
        head.status = 400;
    for (auto const& expected : head.status == 200 ? body["expected_count"] : nlohmann::json::array()) {
        auto const& rows = this->tables[expected["table"]];
        auto const row = rows.find(expected["tls_key"]);
        auto const found = row == rows.end() || row->second.removed ? 0 : row->second.version;
        if (found != expected["ver"])
            head.status = 412;
    }
    if (head.status == 200) {
        ++this->version;
        for (auto const& row : body["remove"])
            this->tables[row["table"]][row["tls_key"]] = Row { "", this->version, true };
        for (auto const& row : body["set_keys"])
            this->tables[row["table"]][row["tls_key"]] = Row { decode_base64(row["value"]), this->version, false };
        this->notify();
    }
    if (this->fault == Fault::LostWrites) {
        exchange.abort();
        co_return;
    }
    if (this->fault == Fault::Silent) {
        Signal never(this->loop.get_executor());
        static_cast<void>(co_await never.wait_until(monotonic_now() + seconds(20)));
    }
    nlohmann::json const answer { { "ver", this->version }, { "now_ms", 1 } };
    std::string const text = this->fault == Fault::Garbage ? "{\"ver\":" : answer.dump();
    static_cast<void>(co_await exchange.respond(std::move(head), text));
}

asio::awaitable<void> StoreStandIn::answer(HttpExchange& exchange)
{
    auto const target = exchange.request().head.target;
    if (target.starts_with("/v1/rows-tx")) {
        co_await this->write(exchange);
        co_return;
    }
    auto query = read_query(target);
    bool const is_feed = target.starts_with("/v1/rows-feed");
    ++(is_feed ? this->feeds : this->reads);
    auto const era_before = this->era;
    auto const after = is_feed ? std::stoll(query["after"]) : 0;
    if (is_feed && after <= this->version)
        co_await this->wait_for_change(query["table"], after, milliseconds(std::stoll(query["wait_ms"])));
    if (this->era != era_before) {
        exchange.abort();
        co_return;
    }
    auto head = this->answer_head();
    if (this->fault == Fault::Silent) {
        Signal never(this->loop.get_executor());
        static_cast<void>(co_await never.wait_until(monotonic_now() + seconds(20)));
    }
    if (this->fault == Fault::Busy || this->fault == Fault::TooMany)
        head.status = this->fault == Fault::Busy ? 503 : 429;
    if (is_feed && (this->fault == Fault::HistoryGone || after > this->version || after < this->history_from))
        head.status = 410;
    nlohmann::json body { { "rows", nlohmann::json::array() }, { "ver", this->version }, { "now_ms", 1 } };
    for (auto const& [key, row] : this->tables[query["table"]]) {
        bool const is_wanted = is_feed ? row.version > after : !row.removed && key >= query["from"];
        if (!is_wanted)
            continue;
        if (!is_feed && body["rows"].size() >= this->page_size) {
            body["more_pages"] = true;
            break;
        }
        body["rows"].push_back(this->row_json(query["table"], key, row));
    }
    std::string const text = this->fault == Fault::Garbage ? "{\"rows\":" : body.dump();
    static_cast<void>(co_await exchange.respond(std::move(head), text));
}

}
