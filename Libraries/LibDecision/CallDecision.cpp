// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/CallDecision.h>

namespace Spurtide {

std::string_view to_string(CallRefusalReason reason)
{
    switch (reason) {
    case CallRefusalReason::NoUpstream:
        return "no_upstream";
    case CallRefusalReason::CannotMeetTarget:
        return "cannot_meet_target";
    case CallRefusalReason::CannotMeetTimeout:
        return "cannot_meet_timeout";
    case CallRefusalReason::Displaced:
        return "displaced";
    case CallRefusalReason::QueueFull:
        return "queue_full";
    }
    return "unknown";
}

}
