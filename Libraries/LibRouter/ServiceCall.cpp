// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibAsync/Signal.h>
#include <LibRouter/ServiceCall.h>
#include <memory>
#include <optional>

namespace Spurtide {

namespace {

/// Passes a reply to the coroutine that awaits it.
struct PendingReply {
    explicit PendingReply(asio::any_io_executor const& executor)
        : signal(executor)
    {
    }

    Signal signal;
    std::optional<WireReply> reply;
};

}

asio::awaitable<WireReply> call_service(Kernel& kernel, std::string endpoint, wire::Envelope envelope, Kernel::Patience patience)
{
    auto const executor = co_await asio::this_coro::executor;
    auto const pending = std::make_shared<PendingReply>(executor);
    kernel.request(endpoint, std::move(envelope), patience, [pending](WireReply reply) {
        pending->reply = std::move(reply);
        pending->signal.notify();
    });
    while (!pending->reply)
        co_await pending->signal.wait();
    co_return std::move(*pending->reply);
}

}
