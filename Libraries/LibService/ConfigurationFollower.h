// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibConfiguration/Configuration.h>
#include <LibWire/Kernel.h>
#include <functional>
#include <memory>
#include <mutex>

namespace Spurtide {

/// Keeps a process's copy of the configuration up to date from the config service. A copy is only
/// ever replaced by one of a higher generation.
class ConfigurationFollower {
public:
    using Listener = std::function<void(std::shared_ptr<Configuration const>)>;

    /// The listener runs on the kernel's thread at each new generation.
    ConfigurationFollower(Kernel& kernel, Listener listener);

    /// Starts following. Call once, after the kernel was made.
    void start();

    /// The copy in force; empty before the first one came.
    std::shared_ptr<Configuration const> current() const;

private:
    void look();
    void take(wire::ConfigurationContent const& content);

    Kernel& kernel;
    Listener listener;
    mutable std::mutex mutex;
    std::shared_ptr<Configuration const> configuration;
    bool is_asking = false;
};

}
