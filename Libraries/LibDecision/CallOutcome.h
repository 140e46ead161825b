// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

namespace Spurtide {

/// How a granted call ended.
enum class CallOutcome {
    Answered,
    /// The upstream had no room and did not run it.
    Shed,
    Failed,
    /// Not sent.
    Unused,
};

}
