// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <LibRouter/EngineSurvey.h>
#include <LibRouter/RelayClient.h>
#include <LibRouter/UpstreamLimiter.h>
#include <LibRouter/UpstreamLink.h>
#include <algorithm>

namespace Spurtide {

namespace {

/// Whether this VM itself reaches an engine that can generate the response.
bool has_direct_engine(RouterState const& state, EngineConditions const& conditions, RouteFinder& routes_to)
{
    bool has_direct = false;
    state.upstreams.for_each([&](UpstreamRecord const& record) {
        bool const may_generate = record.service == conditions.service && record.life == UpstreamRecord::Life::Serving && record.role != EngineRole::Prefill && conditions.may_continue_at(record);
        has_direct = has_direct || (may_generate && conditions.may_use_data_centre(record.data_centre) && routes_to.find(record) == UpstreamRoute::Direct);
    });
    return has_direct;
}

}

// The keeper may reach engines that this VM cannot, may not have heard yet that some are leaving, and does not know which data
// centres the request is restricted to. A data centre is excluded as a whole, since it may have thousands of engines.
EngineSurvey survey_engines(RouterState& state, EngineConditions const& conditions)
{
    struct DataCentre {
        bool is_allowed = true;
        bool is_excluded = false;
    };
    EngineSurvey survey;
    auto const now = monotonic_now();
    std::map<std::string_view, DataCentre> data_centres;
    RouteFinder routes_to(state, now);
    bool const is_directly_served = has_direct_engine(state, conditions, routes_to);
    bool const is_partitioned = state.reachability->is_partitioned(now);
    state.upstreams.for_each([&](UpstreamRecord const& record) {
        if (record.service != conditions.service)
            return;
        auto const [known, is_new] = data_centres.try_emplace(record.data_centre);
        auto& data_centre = known->second;
        if (is_new) {
            data_centre.is_allowed = conditions.may_use_data_centre(record.data_centre);
            bool const is_relayed_to = !is_directly_served && routes_to.has_relay();
            data_centre.is_excluded = !data_centre.is_allowed || (state.reachability->is_cut_off(record.data_centre, now) && !is_relayed_to);
        }
        auto const route_to_engine = routes_to.find(record);
        // Engines that another VM reaches are only used if this VM reaches none.
        bool const is_reached = route_to_engine == UpstreamRoute::Direct || (route_to_engine == UpstreamRoute::Relayed && !is_directly_served);
        bool const is_paused = state.limiter->requested_pause_left(record, now) > Duration::zero();
        if (data_centre.is_allowed && record.role != EngineRole::Prefill && conditions.may_continue_at(record)) {
            auto const reached = is_paused ? EngineSurvey::Availability::AllPaused : EngineSurvey::Availability::Available;
            auto const serving = is_partitioned && !is_reached ? EngineSurvey::Availability::AllUnreachable : reached;
            survey.availability = std::max(survey.availability, record.life == UpstreamRecord::Life::Serving ? serving : EngineSurvey::Availability::AllLeft);
        }
        bool const is_unusable = is_paused || state.upstreams.has_departed(record) || state.limiter->pause_left(record.identity, now) > Duration::zero();
        if (!data_centre.is_excluded && (is_unusable || !is_reached))
            survey.excluded_engines.push_back(record.identity);
    });
    for (auto const& [name, data_centre] : data_centres) {
        if (data_centre.is_excluded)
            survey.excluded_data_centres.emplace_back(name);
    }
    return survey;
}

}
