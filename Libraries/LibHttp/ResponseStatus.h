// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

namespace Spurtide {

/// Whether a response of this status ends its request.
constexpr bool is_final_status(int status) { return status >= 200 && status <= 599; }

/// Whether a response of this status may come before the final one. Nobody here asks to switch protocols.
constexpr bool is_interim_status(int status) { return status >= 100 && status <= 199 && status != 101; }

}
