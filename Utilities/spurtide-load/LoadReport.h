// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace Spurtide {

/// How one request ended, as its caller saw it.
struct RequestResult {
    enum class End {
        AnsweredWhole,
        /// Answered whole over two connections.
        ResumedWhole,
        /// Refused, and the router says that it did not run.
        Refused,
        /// Failed, and it may have run.
        Failed,
        /// This tool went away on purpose.
        Cancelled,
        /// The answer came with something missing, twice or crossed.
        NotWhole,
        Unreachable,
    } end
        = End::Unreachable;
    std::string code;
    std::string request;
    std::string kind;
    std::string text;
    std::int64_t tokens = 0;
    double first_token_seconds = -1;
    std::vector<double> between_tokens_seconds;
};

/// What a load run came to.
class LoadReport {
public:
    explicit LoadReport(double first_token_target_seconds, double token_target_seconds)
        : first_token_target(first_token_target_seconds)
        , token_target(token_target_seconds)
    {
    }

    void add(RequestResult const& result);
    std::int64_t count(RequestResult::End end) const;
    std::int64_t sent() const;

    /// Requests that were answered whole and met both targets (95 of 100 gaps within the token target).
    std::int64_t good() const;

    std::string json(double seconds, std::int64_t held_at_end) const;
    std::string table(double seconds, std::int64_t held_at_end) const;

private:
    double first_token_target;
    double token_target;
    mutable std::mutex mutex;
    std::map<RequestResult::End, std::int64_t> ends;
    std::map<std::string, std::int64_t> codes;
    std::vector<double> first_token;
    std::vector<double> between_tokens;
    std::int64_t tokens = 0;
    std::int64_t good_count = 0;
};

/// The value that the given share of the sorted values does not exceed; 0 for none.
double quantile_of(std::vector<double> values, double share);

}
