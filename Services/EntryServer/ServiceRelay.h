// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Result.h>
#include <LibUpstream/ServicePort.h>
#include <Services/EntryServer/EntryContext.h>
#include <Services/EntryServer/Problem.h>
#include <optional>
#include <string>
#include <vector>

namespace Spurtide {

/// A caller's call to a plain service, checked and with its account.
struct ServiceOrder {
    std::string request;
    std::string account;
    std::string service;
    ServiceCall call;
    enum class Repeat {
        Allowed,
        Forbidden,
    } repeat
        = Repeat::Allowed;
    /// The caller's own name for the call; empty where it gave none.
    std::string idempotency_key;
    MonotonicTime deadline;
};

/// Carries one call to a plain service. A call that is not to be repeated leaves at most once.
class ServiceRelay {
public:
    ServiceRelay(EntryContext& context, ServiceOrder order)
        : context(context)
        , order(std::move(order))
    {
    }

    /// Blocks. A problem is the final answer.
    Result<ServiceAnswer, Problem> run();

private:
    std::optional<Problem> claim();
    std::vector<std::string> servers() const;
    bool may_try_next(ServiceError const& error) const;
    bool is_retry_answer(ServiceAnswer const& answer) const;
    void move(RequestEvent event);
    Problem refuse(ProblemKind kind, Duration retry_after);

    EntryContext& context;
    ServiceOrder order;
    RequestState state;
};

}
