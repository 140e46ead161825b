// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/LogLine.h>
#include <array>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <glog/logging.h>
#include <memory>
#include <mutex>

namespace Spurtide {

namespace {

std::mutex s_mutex;
std::string s_process_fields;
std::shared_ptr<LogLine::Observer const> s_observer;

std::string wall_time()
{
    auto const now = std::chrono::system_clock::now();
    auto const since_epoch = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
    std::time_t const whole_seconds = since_epoch / 1000;
    std::tm parts {};
    gmtime_r(&whole_seconds, &parts);
    std::array<char, 40> buffer {};
    auto const length = std::strftime(buffer.data(), buffer.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::snprintf(buffer.data() + length, buffer.size() - length, ".%03dZ", static_cast<int>(since_epoch % 1000));
    return buffer.data();
}

bool needs_quotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" \"=\n\r\t\\") != std::string_view::npos;
}

void append_value(std::string& text, std::string_view value)
{
    if (!needs_quotes(value)) {
        text += value;
        return;
    }
    text += '"';
    for (char const character : value) {
        if (character == '"' || character == '\\')
            text += '\\';
        // A line break in a value must not start a second log line.
        text += (character == '\n' || character == '\r') ? ' ' : character;
    }
    text += '"';
}

}

LogLine::LogLine(std::string_view event)
{
    this->with("event", event);
}

LogLine::~LogLine()
{
    std::shared_ptr<Observer const> observer;
    {
        std::scoped_lock const lock(s_mutex);
        observer = s_observer;
    }
    if (observer)
        (*observer)(this->text);
    LOG(INFO) << format(this->text);
}

std::string LogLine::format(std::string_view pairs)
{
    std::scoped_lock const lock(s_mutex);
    return "time=" + wall_time() + ' ' + std::string(pairs) + s_process_fields;
}

LogLine& LogLine::with(std::string_view key, std::string_view value)
{
    if (!this->text.empty())
        this->text += ' ';
    this->text += key;
    this->text += '=';
    append_value(this->text, value);
    return *this;
}

LogLine& LogLine::with(std::string_view key, std::int64_t value)
{
    return this->with(key, std::string_view(std::to_string(value)));
}

LogLine& LogLine::with(std::string_view key, std::uint64_t value)
{
    return this->with(key, std::string_view(std::to_string(value)));
}

LogLine& LogLine::with(std::string_view key, double value)
{
    std::array<char, 32> buffer {};
    std::snprintf(buffer.data(), buffer.size(), "%.3f", value);
    return this->with(key, std::string_view(buffer.data()));
}

void LogLine::set_process_fields(std::string_view program, std::string_view virtual_machine, std::string_view data_centre)
{
    std::scoped_lock const lock(s_mutex);
    s_process_fields = " program=" + std::string(program) + " vm=" + std::string(virtual_machine) + " data_centre=" + std::string(data_centre);
}

void LogLine::set_observer(Observer observer)
{
    std::scoped_lock const lock(s_mutex);
    s_observer = observer ? std::make_shared<Observer const>(std::move(observer)) : nullptr;
}

}
