// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibAsync/HttpServer.h>
#include <LibAsync/Signal.h>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace Spurtide::Tests {

/// The platform's store as far as the router uses it: tables of rows, reads, feeds and conditional writes, with
/// faults.
class StoreStandIn {
public:
    enum class Fault {
        None,
        /// Answers 503 or 429.
        Busy,
        TooMany,
        /// Takes calls and says nothing.
        Silent,
        /// Feeds answer that their history is gone.
        HistoryGone,
        /// Answers bytes that are no JSON.
        Garbage,
        /// Writes take effect, and their connection ends without an answer.
        LostWrites,
    };

    struct Row {
        std::string value;
        std::int64_t version = 0;
        bool removed = false;
    };

    /// The contents at one moment.
    struct Copy {
        std::map<std::string, std::map<std::string, Row>> tables;
        std::int64_t version = 0;
    };

    explicit StoreStandIn(asio::io_context& loop);

    Address const& address() const { return this->server->address(); }
    void put(std::string const& table, std::string const& key, nlohmann::json const& value);
    /// A row of bytes that need not be JSON.
    void put_bytes(std::string const& table, std::string const& key, std::string bytes);
    void remove(std::string const& table, std::string const& key);
    void set_fault(Fault fault);
    void stop_listening() { this->server->stop_listening(); }
    Copy copy() const { return { this->tables, this->version }; }
    /// Comes back with older contents, in a new era: what was written since is gone, and its versions are given out again.
    /// The connections of waiting feeds end without an answer.
    void return_from(Copy const& older);
    std::int64_t current_version() const { return this->version; }
    /// What answers state as their era; nothing is stated where it is empty.
    std::optional<std::string> era = "1";
    /// Feeds that go on from an earlier version answer that their history is gone.
    std::int64_t history_from = 0;
    /// Rows on one page of a read.
    std::size_t page_size = 500;
    int reads = 0;
    int feeds = 0;
    int writes = 0;
    /// A row's value as it was put or written; empty where there is none.
    std::optional<std::string> value(std::string const& table, std::string const& key) const;

private:
    asio::awaitable<void> answer(HttpExchange& exchange);
    asio::awaitable<void> write(HttpExchange& exchange);
    asio::awaitable<void> wait_for_change(std::string const& table, std::int64_t after, Duration wait);
    HttpResponseHead answer_head() const;
    nlohmann::json row_json(std::string const& table, std::string const& key, Row const& row) const;
    void notify();

    asio::io_context& loop;
    std::unique_ptr<HttpServer> server;
    std::map<std::string, std::map<std::string, Row>> tables;
    std::int64_t version = 0;
    Fault fault = Fault::None;
    std::list<Signal*> waiting;
};

}
