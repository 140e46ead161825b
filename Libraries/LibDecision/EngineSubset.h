// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Spurtide {

/// An engine that may be selected for the subset.
struct SubsetCandidate {
    std::string_view identity;
    std::string_view model;
    std::string_view data_centre;
    enum class Life {
        Serving,
        Leaving,
    } life
        = Life::Serving;
    std::string_view software_version {};
};

/// The subset of engines that a keeper uses: a number of each model and software version in each data centre, which grows on
/// demand. Streams that resume have no other engines than those of the version that began them. Other
/// engines cause no load, since they are not considered for requests, hold no connections and receive no orders. The
/// selection depends only on the engines' identities, so a new keeper selects the same engines as its predecessor.
class EngineSubset {
public:
    struct Options {
        /// Initial number of engines of a model per data centre. Leaves several engines of each role if half of them
        /// fail while all other data centres are unreachable.
        std::size_t engines_per_data_centre = 32;
    };

    explicit EngineSubset(Options options)
        : options(options)
    {
    }

    /// Returns the indices of the selected engines in ascending order. Leaving engines do not count towards the limit.
    std::vector<std::size_t> choose(std::span<SubsetCandidate const> candidates);
    /// Whether the last selection excluded engines of the model.
    bool is_partial(std::string_view model) const { return this->partial_models.contains(model); }
    /// Whether the last selection excluded engines of any model.
    bool is_partial() const { return !this->partial_models.empty(); }
    /// Doubles the limit of the model for the next selection.
    void grow(std::string_view model);
    /// Includes the engine in every further selection because another keeper has assigned work to it.
    void pin(std::string_view identity) { this->pinned.emplace(identity); }
    bool is_pinned(std::string_view identity) const { return this->pinned.contains(identity); }

private:
    Options options;
    std::map<std::string, std::size_t, std::less<>> doublings;
    std::set<std::string, std::less<>> partial_models;
    std::set<std::string, std::less<>> pinned;
};

}
