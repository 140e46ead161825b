// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Spurtide {

/// Identifies a prompt part that several requests may share, by a hash of the model and of the name that callers give to
/// the part. Equal names stand for equal content, whichever account sends it.
struct PromptPart {
    std::uint64_t hash = 0;

    static PromptPart of(std::string_view model, std::string_view name);

    /// Lower-case hexadecimal, for logs and the platform's store.
    std::string to_hex() const;
    static std::optional<PromptPart> from_hex(std::string_view text);

    auto operator<=>(PromptPart const&) const = default;
};

/// Upper bound for what is kept of a prompt, whoever names its parts. Callers' prompts have a few.
constexpr std::size_t MAXIMUM_PROMPT_PARTS = 64;

/// Sorted, without duplicates.
using PromptParts = std::vector<PromptPart>;

/// Sorts the parts and removes duplicates.
PromptParts make_prompt_parts(std::vector<PromptPart> parts);

bool contains_all(PromptParts const& parts, PromptParts const& required);

/// The hexadecimal hashes, separated by commas; only the first few of many.
std::string describe(std::span<PromptPart const> parts);

}
