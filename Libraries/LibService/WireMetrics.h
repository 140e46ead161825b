// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Metrics.h>
#include <LibWire/Kernel.h>

namespace Spurtide {

/// Copies the kernel's traffic counts into the process's metrics once a second.
void publish_wire_metrics(Kernel& kernel, Metrics& metrics);

}
