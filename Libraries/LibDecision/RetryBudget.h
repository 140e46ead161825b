// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <algorithm>

namespace Spurtide {

/// Limits retries to a fraction of the first attempts, so that a failing pool is not overloaded by retries.
class RetryBudget {
public:
    RetryBudget(double retries_per_request, double capacity)
        : tokens_per_request(retries_per_request)
        , capacity(capacity)
        , tokens(capacity)
    {
    }

    void note_request() { this->tokens = std::min(this->capacity, this->tokens + this->tokens_per_request); }

    bool try_spend()
    {
        if (this->tokens < 1)
            return false;
        this->tokens -= 1;
        return true;
    }

private:
    double tokens_per_request;
    double capacity;
    double tokens;
};

}
