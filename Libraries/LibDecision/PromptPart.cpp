// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibDecision/PromptPart.h>
#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <xxhash.h>

namespace Spurtide {

namespace {

/// Bounds the length of log lines.
constexpr std::size_t MAXIMUM_DESCRIBED_PARTS = 8;

}

PromptPart PromptPart::of(std::string_view model, std::string_view name)
{
    return { XXH3_64bits_withSeed(name.data(), name.size(), XXH3_64bits(model.data(), model.size())) };
}

std::string PromptPart::to_hex() const
{
    std::array<char, 17> text {};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(this->hash));
    return text.data();
}

std::optional<PromptPart> PromptPart::from_hex(std::string_view text)
{
    constexpr std::size_t DIGITS = 16;
    constexpr int BASE = 16;
    PromptPart part;
    auto const [end, error] = std::from_chars(text.data(), text.data() + text.size(), part.hash, BASE);
    if (text.size() != DIGITS || error != std::errc {} || end != text.data() + text.size())
        return {};
    return part;
}

PromptParts make_prompt_parts(std::vector<PromptPart> parts)
{
    std::sort(parts.begin(), parts.end());
    parts.erase(std::unique(parts.begin(), parts.end()), parts.end());
    return parts;
}

bool contains_all(PromptParts const& parts, PromptParts const& required)
{
    return std::includes(parts.begin(), parts.end(), required.begin(), required.end());
}

std::string describe(std::span<PromptPart const> parts)
{
    std::string text;
    for (auto const& part : parts.first(std::min(parts.size(), MAXIMUM_DESCRIBED_PARTS))) {
        if (!text.empty())
            text += ',';
        text += part.to_hex();
    }
    return text;
}

}
