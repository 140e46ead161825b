// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <Utilities/spurtide/LineDifference.h>
#include <algorithm>
#include <vector>

namespace Spurtide {

namespace {

std::vector<std::string_view> lines_of(std::string_view text)
{
    std::vector<std::string_view> lines;
    while (!text.empty()) {
        auto const end = std::min(text.find('\n'), text.size());
        lines.push_back(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return lines;
}

}

std::string line_difference(std::string_view before, std::string_view after)
{
    auto const left = lines_of(before);
    auto const right = lines_of(after);
    // Lengths of the longest common subsequence of what follows each pair of lines.
    std::vector<std::vector<std::size_t>> common(left.size() + 1, std::vector<std::size_t>(right.size() + 1, 0));
    for (std::size_t i = left.size(); i-- > 0;) {
        for (std::size_t j = right.size(); j-- > 0;)
            common[i][j] = left[i] == right[j] ? common[i + 1][j + 1] + 1 : std::max(common[i + 1][j], common[i][j + 1]);
    }
    std::string difference;
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < left.size() || j < right.size()) {
        if (i < left.size() && j < right.size() && left[i] == right[j]) {
            ++i;
            ++j;
        } else if (j == right.size() || (i < left.size() && common[i + 1][j] >= common[i][j + 1])) {
            difference += "-" + std::string(left[i++]) + "\n";
        } else {
            difference += "+" + std::string(right[j++]) + "\n";
        }
    }
    return difference;
}

}
