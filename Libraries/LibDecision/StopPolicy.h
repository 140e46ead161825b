// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>

namespace Spurtide {

/// Whether a request may be sent to an upstream before the process exits. Only its deadline is certain to end it in time: any
/// upstream may respond more slowly than it or others did lately. A request that the exit interrupts is lost, while one that is
/// refused has not run and is served by another VM.
inline bool may_begin_before_exit(Duration time_until_deadline, Duration time_until_exit)
{
    return time_until_deadline <= time_until_exit;
}

}
