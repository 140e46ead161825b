// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/EnginePace.h>
#include <algorithm>

namespace Spurtide {

void EnginePace::add(std::int64_t tokens, Duration time, MonotonicTime now)
{
    if (tokens <= 0 || time <= Duration::zero())
        return;
    bool const is_new = this->count == 0 || now - this->windows.at((this->count - 1) % WINDOWS).since >= WINDOW;
    if (is_new) {
        this->windows.at(this->count % WINDOWS) = { now, 0, {} };
        ++this->count;
    }
    auto& window = this->windows.at((this->count - 1) % WINDOWS);
    window.tokens += static_cast<double>(tokens);
    window.time += time;
}

std::optional<Duration> EnginePace::estimate() const
{
    auto const used = std::min(this->count, WINDOWS);
    if (used == 0)
        return {};
    std::array<double, WINDOWS> paces {};
    for (std::size_t i = 0; i < used; ++i)
        paces.at(i) = to_seconds(this->windows.at(i).time) / this->windows.at(i).tokens;
    // Of an even number, the faster of the two in the middle.
    auto const middle = paces.begin() + static_cast<std::ptrdiff_t>((used - 1) / 2);
    std::nth_element(paces.begin(), middle, paces.begin() + static_cast<std::ptrdiff_t>(used));
    return std::max(Duration(1), from_seconds(*middle));
}

}
