// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibPlatform/TablePort.h>
#include <string>
#include <string_view>

namespace Spurtide {

enum class ClaimOutcome {
    /// This submission may run, and no other will.
    Granted,
    /// Another submission has the id: it may have run.
    Taken,
    /// The table did not say. The call must not run, and may have run before.
    InDoubt,
};

std::string_view to_string(ClaimOutcome outcome);

/// Claims ids of calls that are not to be repeated, one table row for each id.
class ClaimKeeper {
public:
    explicit ClaimKeeper(TablePort& table)
        : table(table)
    {
    }

    /// The token names one submission; claiming again with the same token gives the same answer.
    ClaimOutcome claim(std::string_view account, std::string_view id, std::string_view token);

private:
    TablePort& table;
};

}
