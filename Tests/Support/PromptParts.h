// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibDecision/PromptPart.h>
#include <string>
#include <vector>

namespace Spurtide::Tests {

/// The parts of a prompt for one model.
inline PromptParts parts_named(std::vector<std::string> const& names)
{
    std::vector<PromptPart> made;
    made.reserve(names.size());
    for (auto const& name : names)
        made.push_back(PromptPart::of("m", name));
    return make_prompt_parts(std::move(made));
}

}
