// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibAccounts/ClientAccount.h>
#include <algorithm>

namespace Spurtide {

double ClientAccount::cost_of(std::optional<double> tokens) const
{
    if (!this->limit)
        return 0;
    if (this->limit->unit == AccountLimit::Unit::Requests)
        return 1;
    return tokens ? std::max(0.0, *tokens) : this->limit->plain_call_tokens;
}

}
