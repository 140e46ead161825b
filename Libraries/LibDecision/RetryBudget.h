// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <algorithm>

namespace Spurtide {

/// Limits retries to a share of the first attempts, so that a failing pool is not flooded.
class RetryBudget {
public:
    RetryBudget(double retries_per_request, double maximum)
        : earned_per_request(retries_per_request)
        , maximum(maximum)
        , level(maximum)
    {
    }

    void note_request() { this->level = std::min(this->maximum, this->level + this->earned_per_request); }

    bool try_spend()
    {
        if (this->level < 1)
            return false;
        this->level -= 1;
        return true;
    }

private:
    double earned_per_request;
    double maximum;
    double level;
};

}
