// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibRouter/RequestFlow.h>
#include <set>

namespace Spurtide {

/// Carries a call to a plain service.
class PlainFlow final : public RequestFlow {
public:
    using RequestFlow::RequestFlow;

private:
    asio::awaitable<void> carry() override;

    /// One send and what it brought.
    struct Attempt {
        SendEnd end = SendEnd::NotSent;
        std::string reason;
        HttpResponseHead head;
        std::string body;
        /// Set where the connection ended before the answer did.
        std::optional<HttpError> broke_off;
    };

    asio::awaitable<Attempt> send_to(UpstreamRecord upstream);
    asio::awaitable<Attempt> read_answer(std::shared_ptr<HttpConnection> connection);
    std::optional<UpstreamRecord> choose();
    double cold_rate() const;
    bool is_cold(UpstreamRecord const& upstream, MonotonicTime now) const;
    /// Takes out those that are cold and not this VM's turn.
    void leave_to_others(std::vector<UpstreamRecord const*>& records, MonotonicTime now);
    asio::awaitable<void> relay(Attempt const& attempt);

    std::set<std::string> tried;
    /// Time until this VM may send to one of those that were taken out by the last choice.
    std::optional<Duration> next_turn;
};

}
