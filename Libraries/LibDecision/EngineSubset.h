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

/// An engine as far as the choice of a subset goes.
struct SubsetCandidate {
    std::string_view identity;
    std::string_view model;
    std::string_view data_centre;
    enum class Life {
        Serving,
        Leaving,
    } life
        = Life::Serving;
};

/// The engines that a keeper works with: of each model some in each data centre, and more once these are not enough. The
/// others cost nothing: they are not looked at with each request, keep no connections, and get no orders. The choice
/// follows from the engines' names alone, so that a keeper goes on with the engines of the one before.
class EngineSubset {
public:
    struct Options {
        /// Engines of a model in each data centre at first. With half of them gone at once and all other data centres cut
        /// off there are still several of each role.
        std::size_t engines_per_data_centre = 32;
    };

    explicit EngineSubset(Options options)
        : options(options)
    {
    }

    /// Indexes of those that belong to it, rising. One that leaves does not take another's place.
    std::vector<std::size_t> choose(std::span<SubsetCandidate const> candidates);
    /// Whether the last choice left some of the model out.
    bool is_partial(std::string_view model) const { return this->partial_models.contains(model); }
    /// The same of any model.
    bool is_partial() const { return !this->partial_models.empty(); }
    /// Makes the next choice twice as large for the model.
    void grow(std::string_view model);
    /// Has the engine in each choice from now on: it was given work by another keeper.
    void pin(std::string_view identity) { this->pinned.emplace(identity); }
    bool is_pinned(std::string_view identity) const { return this->pinned.contains(identity); }

private:
    Options options;
    std::map<std::string, std::size_t, std::less<>> doublings;
    std::set<std::string, std::less<>> partial_models;
    std::set<std::string, std::less<>> pinned;
};

}
