// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Result.h>
#include <LibPlatform/PlatformError.h>
#include <string>
#include <string_view>

namespace Spurtide {

/// The platform's store of immutable objects.
class ObjectStorePort {
public:
    virtual ~ObjectStorePort() = default;

    /// Storing the same object again changes nothing.
    virtual Result<Done, PlatformError> put(std::string_view name, std::string_view content) = 0;
    virtual Result<std::string, PlatformError> get(std::string_view name) = 0;
};

}
