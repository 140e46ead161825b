// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

namespace Spurtide {

/// Why a server could not start with settings that are valid.
enum class ServerStartError {
    CannotListenHttp,
    CannotListenWire,
};

}
