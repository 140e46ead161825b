// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/ProgramOptions.h>
#include <LibHttp/Address.h>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Spurtide {

enum class OutputForm {
    Table,
    Json,
};

/// What an operator wrote on the command line.
struct CommandOptions {
    Address admin { "127.0.0.1", 7003 };
    std::string key;
    OutputForm output = OutputForm::Table;
    /// Empty where the newest generation is the base.
    std::string base_generation;
    std::string apply_id;
    enum class Run {
        Real,
        Dry,
        CheckOnly,
    } run
        = Run::Real;
    std::vector<std::string> words;
};

/// One command of the operators' tool.
struct Command {
    std::string_view name;
    std::string_view arguments;
    std::string_view summary;
    std::size_t argument_count;
    std::function<ExitCode(CommandOptions const& options)> run;
};

/// All commands, in the order of the help text.
std::span<Command const> all_commands();

}
