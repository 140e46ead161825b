// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Metrics.h>
#include <LibWire/Kernel.h>

namespace Spurtide {

/// Copies the kernel's traffic counts into the process's metrics.
void publish_wire_metrics(Kernel const& kernel, Metrics& metrics);
/// Does so once a second from now on.
void keep_wire_metrics_published(Kernel& kernel, Metrics& metrics);

}
