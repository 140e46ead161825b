// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/ClockOffset.h>

namespace Spurtide::Tests {

/// Lets the process believe, as long as it exists, that the machine was suspended for some time.
class SuspendedMachine {
public:
    explicit SuspendedMachine(Duration time) { set_clock_offset_for_tests(time); }
    ~SuspendedMachine() { set_clock_offset_for_tests(Duration::zero()); }
    SuspendedMachine(SuspendedMachine const&) = delete;
    SuspendedMachine& operator=(SuspendedMachine const&) = delete;
};

}
