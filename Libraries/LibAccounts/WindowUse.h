// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <numeric>
#include <vector>

namespace Spurtide {

/// What was used in a sliding window, by slices of it. Slices are numbered as time goes on; ages count back from the newest.
template<std::size_t SLICES>
class WindowUse {
public:
    /// Makes a later slice the newest. Those that time has passed over begin empty.
    void advance(std::int64_t slice)
    {
        auto const passed = std::min(static_cast<std::int64_t>(SLICES), slice - this->newest_slice);
        for (std::int64_t i = 1; i <= passed; ++i)
            this->slices.at(static_cast<std::size_t>(this->newest_slice + i) % SLICES) = 0;
        this->newest_slice = std::max(this->newest_slice, slice);
    }

    std::int64_t newest() const { return this->newest_slice; }
    double& at(std::size_t age) { return this->slices.at(this->index(age)); }
    double at(std::size_t age) const { return this->slices.at(this->index(age)); }
    double sum() const { return std::accumulate(this->slices.begin(), this->slices.end(), 0.0); }

    void fill(double amount) { this->slices.fill(amount); }
    /// Scales all down where the sum is more.
    void limit_sum(double most)
    {
        auto const before = this->sum();
        for (auto& slice : this->slices)
            slice *= before > most ? most / before : 1;
    }

    void remove_from_newest(double amount)
    {
        for (std::size_t age = 0; age < SLICES; ++age)
            remove(this->at(age), amount);
    }
    void remove_from_oldest(double amount)
    {
        for (std::size_t age = SLICES; age-- > 0;)
            remove(this->at(age), amount);
    }

    /// Sums of so many slices each, the newest first, without the empty ones at the end.
    std::vector<double> sums_of(std::size_t count) const
    {
        std::vector<double> sums((SLICES + count - 1) / count, 0.0);
        for (std::size_t age = 0; age < SLICES; ++age)
            sums.at(age / count) += this->at(age);
        drop_empty_end(sums);
        return sums;
    }

    static void drop_empty_end(std::vector<double>& sums)
    {
        while (!sums.empty() && sums.back() == 0)
            sums.pop_back();
    }

    WindowUse& operator+=(WindowUse const& other)
    {
        for (std::size_t age = 0; age < SLICES; ++age)
            this->at(age) += other.at(age);
        return *this;
    }

private:
    static void remove(double& slice, double& amount)
    {
        auto const removed = std::min(slice, std::max(0.0, amount));
        slice -= removed;
        amount -= removed;
    }

    std::size_t index(std::size_t age) const { return static_cast<std::size_t>(this->newest_slice + static_cast<std::int64_t>(SLICES - age)) % SLICES; }

    std::int64_t newest_slice = 0;
    std::array<double, SLICES> slices {};
};

}
