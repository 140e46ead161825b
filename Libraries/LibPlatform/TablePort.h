// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Result.h>
#include <LibPlatform/PlatformError.h>
#include <cstdint>
#include <string>
#include <string_view>

namespace Spurtide {

/// One row of the platform's table. The version rises with each write; 0 stands for a row that does not exist.
struct TableRow {
    std::int64_t version = 0;
    std::string value;
};

/// The platform's transactional table, as far as spurtide uses it.
class TablePort {
public:
    virtual ~TablePort() = default;

    /// Errors: NotFound, Unreachable, Unavailable, InDoubt (a lost answer; nothing was changed), Malformed.
    virtual Result<TableRow, PlatformError> read(std::string_view key) = 0;

    /// Writes where the present version is the expected one; 0 expects no row. Gives the new version.
    /// Errors: Conflict, Unreachable, Unavailable, InDoubt (the write may have taken effect), Malformed.
    virtual Result<std::int64_t, PlatformError> write(std::string_view key, std::string_view value, std::int64_t expected_version) = 0;
};

}
