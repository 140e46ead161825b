// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/EnginePaceTable.h>
#include <algorithm>
#include <vector>

namespace Spurtide {

void EnginePaceTable::add(std::string_view engine, std::string_view model, std::int64_t tokens, Duration time, MonotonicTime now)
{
    if (tokens <= 0 || time <= Duration::zero())
        return;
    auto& entry = this->entries[std::string(engine)];
    entry.model = model;
    entry.pace.add(tokens, time, now);
    entry.measured_at = now;
    auto const estimate = entry.pace.estimate();
    if (estimate && *estimate != entry.estimate) {
        entry.estimate = *estimate;
        this->update_model(model);
    }
}

std::optional<Duration> EnginePaceTable::of_engine(std::string_view engine) const
{
    auto const found = this->entries.find(engine);
    return found == this->entries.end() ? std::nullopt : std::optional(found->second.estimate);
}

std::optional<Duration> EnginePaceTable::of_model(std::string_view model) const
{
    auto const found = this->medians.find(model);
    return found == this->medians.end() ? std::nullopt : std::optional(found->second);
}

void EnginePaceTable::update_model(std::string_view model)
{
    std::vector<Duration> paces;
    for (auto const& [name, entry] : this->entries) {
        if (entry.model == model)
            paces.push_back(entry.estimate);
    }
    if (paces.empty()) {
        this->medians.erase(std::string(model));
        return;
    }
    auto const middle = paces.begin() + static_cast<std::ptrdiff_t>(paces.size() / 2);
    std::nth_element(paces.begin(), middle, paces.end());
    this->medians.insert_or_assign(std::string(model), *middle);
}

void EnginePaceTable::forget_missing(std::set<std::string_view> const& listed, MonotonicTime now)
{
    std::set<std::string> changed_models;
    std::erase_if(this->entries, [&](auto const& entry) {
        bool const is_over = !listed.contains(entry.first) && now - entry.second.measured_at > RETENTION;
        if (is_over)
            changed_models.insert(entry.second.model);
        return is_over;
    });
    for (auto const& model : changed_models)
        this->update_model(model);
}

}
