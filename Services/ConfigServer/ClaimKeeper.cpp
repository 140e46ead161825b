// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibConfiguration/Configuration.h>
#include <Services/ConfigServer/ClaimKeeper.h>
#include <array>

namespace Spurtide {

std::string_view to_string(ClaimOutcome outcome)
{
    constexpr std::array<std::string_view, 3> NAMES = { "granted", "taken", "in_doubt" };
    return NAMES.at(static_cast<std::size_t>(outcome));
}

ClaimOutcome ClaimKeeper::claim(std::string_view account, std::string_view id, std::string_view token)
{
    // Ids are the callers' own text, so the key is a hash: of any length and with any bytes.
    auto const key = "claims/" + sha256_hex(std::to_string(account.size()) + ":" + std::string(account) + std::string(id));
    auto const written = this->table.write(key, token, 0);
    if (written.has_value())
        return ClaimOutcome::Granted;
    // Whatever went wrong, the row says who holds the claim.
    auto const read = this->table.read(key);
    if (read.is_error())
        return ClaimOutcome::InDoubt;
    return read.value().value == token ? ClaimOutcome::Granted : ClaimOutcome::Taken;
}

}
