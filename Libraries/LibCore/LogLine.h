// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace Spurtide {

/// One event, written as one line of key=value pairs when the object goes out of scope.
class LogLine {
public:
    /// Sees every finished line; may be called from any thread.
    using Observer = std::function<void(std::string_view line)>;

    explicit LogLine(std::string_view event);
    ~LogLine();
    LogLine(LogLine const&) = delete;
    LogLine& operator=(LogLine const&) = delete;

    LogLine& with(std::string_view key, std::string_view value);
    LogLine& with(std::string_view key, char const* value) { return this->with(key, std::string_view(value)); }
    LogLine& with(std::string_view key, std::int64_t value);
    LogLine& with(std::string_view key, int value) { return this->with(key, static_cast<std::int64_t>(value)); }
    LogLine& with(std::string_view key, std::uint64_t value);
    LogLine& with(std::string_view key, double value);

    /// Fields put on every line of this process, such as its VM and data centre.
    static void set_process_fields(std::string_view program, std::string_view virtual_machine, std::string_view data_centre);

    /// The whole line for key=value pairs: the time before them, the fields of the process after them.
    static std::string format(std::string_view pairs);

    /// Adds an observer beside glog, for tests. An empty one removes it.
    static void set_observer(Observer observer);

private:
    std::string text;
};

}
