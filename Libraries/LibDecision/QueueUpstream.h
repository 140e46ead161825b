// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <cstdint>
#include <string>

namespace Spurtide {

/// An upstream of a plain service, as the queue sees it.
struct QueueUpstream {
    std::string identity;
    std::int64_t slots = 1;
    std::string data_centre;
};

}
