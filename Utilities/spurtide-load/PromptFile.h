// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Result.h>
#include <LibCore/SettingsReader.h>
#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

namespace Spurtide {

/// One kind of request of a workload.
struct PromptItem {
    enum class Target {
        Model,
        Service,
    } target
        = Target::Model;
    std::string kind;
    /// Model or service.
    std::string name;
    std::string prompt;
    std::int64_t maximum_output_tokens = 0;
    /// Path and body of a service call.
    std::string path;
    std::string body;
    enum class Repeat {
        Allowed,
        Forbidden,
    } repeat
        = Repeat::Allowed;
};

/// Reads a workload: one JSON object a line. "document_lines" puts that many lines of a supplier's
/// catalogue before the prompt; the same seed gives the same lines.
Result<std::vector<PromptItem>, SettingsError> read_prompt_file(std::filesystem::path const& path);

/// Lines of a supplier's catalogue, about 12 tokens each.
std::string catalogue_lines(std::int64_t count, std::uint64_t seed);

}
