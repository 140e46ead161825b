// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Verify.h>
#include <LibWire/WirePlacement.h>

namespace Spurtide {

wire::RefusalReason wire_reason(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::UnknownModel:
        return wire::REFUSAL_REASON_UNKNOWN_MODEL;
    case RefusalReason::UnknownAccount:
        return wire::REFUSAL_REASON_UNKNOWN_ACCOUNT;
    case RefusalReason::RateLimited:
        return wire::REFUSAL_REASON_RATE_LIMITED;
    case RefusalReason::NoUpstream:
        return wire::REFUSAL_REASON_NO_UPSTREAM;
    case RefusalReason::CannotMeetFirstToken:
        return wire::REFUSAL_REASON_CANNOT_MEET_FIRST_TOKEN;
    case RefusalReason::QueueFull:
        return wire::REFUSAL_REASON_QUEUE_FULL;
    case RefusalReason::Duplicate:
        return wire::REFUSAL_REASON_DUPLICATE;
    case RefusalReason::CannotFinishInTime:
        return wire::REFUSAL_REASON_CANNOT_FINISH_IN_TIME;
    }
    VERIFY_NOT_REACHED();
}

RefusalReason read_reason(wire::RefusalReason reason)
{
    switch (reason) {
    case wire::REFUSAL_REASON_UNKNOWN_ACCOUNT:
        return RefusalReason::UnknownAccount;
    case wire::REFUSAL_REASON_RATE_LIMITED:
        return RefusalReason::RateLimited;
    case wire::REFUSAL_REASON_NO_UPSTREAM:
        return RefusalReason::NoUpstream;
    case wire::REFUSAL_REASON_CANNOT_MEET_FIRST_TOKEN:
        return RefusalReason::CannotMeetFirstToken;
    case wire::REFUSAL_REASON_QUEUE_FULL:
        return RefusalReason::QueueFull;
    case wire::REFUSAL_REASON_DUPLICATE:
        return RefusalReason::Duplicate;
    case wire::REFUSAL_REASON_CANNOT_FINISH_IN_TIME:
        return RefusalReason::CannotFinishInTime;
    default:
        return RefusalReason::UnknownModel;
    }
}

wire::GrantProgress wire_progress(GrantProgress progress)
{
    switch (progress) {
    case GrantProgress::Prefilling:
        return wire::GRANT_PROGRESS_PREFILLING;
    case GrantProgress::CacheHeld:
        return wire::GRANT_PROGRESS_CACHE_HELD;
    case GrantProgress::Decoding:
        return wire::GRANT_PROGRESS_DECODING;
    }
    VERIFY_NOT_REACHED();
}

GrantProgress read_progress(wire::GrantProgress progress)
{
    switch (progress) {
    case wire::GRANT_PROGRESS_CACHE_HELD:
        return GrantProgress::CacheHeld;
    case wire::GRANT_PROGRESS_DECODING:
        return GrantProgress::Decoding;
    default:
        return GrantProgress::Prefilling;
    }
}

wire::MoveEnd wire_move_end(MoveEnd end)
{
    return end == MoveEnd::Moved ? wire::MOVE_END_MOVED : wire::MOVE_END_ABANDONED;
}

std::optional<MoveEnd> read_move_end(wire::MoveEnd end)
{
    switch (end) {
    case wire::MOVE_END_MOVED:
        return MoveEnd::Moved;
    case wire::MOVE_END_ABANDONED:
        return MoveEnd::Abandoned;
    default:
        return {};
    }
}

}
