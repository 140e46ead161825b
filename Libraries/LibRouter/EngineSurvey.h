// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibRouter/RouterState.h>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace Spurtide {

/// What this VM knows of the engines that may run a request.
struct EngineSurvey {
    /// Of the engines that can generate the response. The values are ordered: one engine decides for all.
    enum class Availability {
        /// The keeper may know some.
        Unlisted,
        AllLeft,
        /// Neither this VM nor another one reaches those that have not left.
        AllUnreachable,
        /// Those that can be reached asked this VM for a pause.
        AllPaused,
        Available,
    } availability
        = Availability::Unlisted;
    std::vector<std::string> excluded_engines;
    std::vector<std::string> excluded_data_centres;
};

/// The engines on which a request may run.
struct EngineConditions {
    std::string_view service;
    /// Whether the request may be served, and its data stored, in the data centre.
    std::function<bool(std::string_view data_centre)> may_use_data_centre;
    /// Whether the engine's events may follow those that the caller has received.
    std::function<bool(UpstreamRecord const& engine)> may_continue_at;
};

EngineSurvey survey_engines(RouterState& state, EngineConditions const& conditions);

}
