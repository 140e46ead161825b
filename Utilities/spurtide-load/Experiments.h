// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <Utilities/spurtide-load/CellExperiment.h>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Spurtide {

/// A mean over seeds with the half width of its 95 % confidence interval.
struct Estimate {
    double mean = 0;
    double half_width = 0;
};

/// One line of an experiment: a policy under one condition, over all seeds.
struct ExperimentRow {
    std::string condition;
    std::string policy;
    Estimate goodput;
    /// Goodput as a share of min(offered, bound).
    Estimate goodput_of_bound;
    Estimate wasted_share;
    Estimate refused_share;
    Estimate failed_share;
    double first_token_p50 = 0;
    double first_token_p95 = 0;
    double first_token_p99 = 0;
    double token_gap_p95 = 0;
    double others_first_token_p95 = 0;
};

struct ExperimentOutcome {
    std::string name;
    std::vector<ExperimentRow> rows;
    int seeds = 0;
    double virtual_seconds = 0;
};

struct Experiment {
    std::string_view name;
    std::string_view summary;
    std::function<ExperimentOutcome(int seeds, Duration length)> run;
};

std::span<Experiment const> all_experiments();

std::string experiment_table(ExperimentOutcome const& outcome);
std::string experiment_json(ExperimentOutcome const& outcome);

}
