// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibRouter/CallerRequest.h>
#include <array>

namespace Spurtide {

std::string_view to_string(CallerRequestError error)
{
    constexpr std::array<std::string_view, 3> NAMES = { "missing_identifier", "bad_patience", "bad_prompt" };
    return NAMES.at(static_cast<std::size_t>(error));
}

std::string_view to_string(RunTransferResult::Outcome outcome)
{
    constexpr std::array<std::string_view, 4> NAMES = { "copied", "not_running", "already_in_progress", "target_unavailable" };
    return NAMES.at(static_cast<std::size_t>(outcome));
}

}
