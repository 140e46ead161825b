// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibDecision/UpstreamIncarnation.h>
#include <string>

namespace Spurtide {

/// Where the first event of a stream came from. All further events must come from the same version of the same service, since
/// the output of two software versions does not fit together.
struct StreamOrigin {
    std::string service;
    /// Empty if it is not certain; the stream then cannot continue at another upstream.
    std::string software_version;
    UpstreamIncarnation upstream;

    bool operator==(StreamOrigin const&) const = default;

    bool is_certain() const { return !this->software_version.empty(); }
};

}
