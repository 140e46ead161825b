// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibRouter/StopDecision.h>
#include <array>

namespace Spurtide {

namespace {

/// In the order of the decisions.
constexpr std::array<std::string_view, 3> NAMES { "sent", "refused", "interrupted" };

}

void count_stop_decision(RouterState& state, StopDecision decision, CallerRequest const& request)
{
    std::string const kind = request.prompt ? "stream" : "call";
    std::string const name(NAMES.at(static_cast<std::size_t>(decision)));
    state.metrics.increment("spurtide_stop_decisions_total", "Requests of a stopping process: sends, refusals, and what its exit interrupted", { { "decision", name }, { "kind", kind } });
}

}
