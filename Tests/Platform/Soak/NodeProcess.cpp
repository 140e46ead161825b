// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <Tests/Platform/Soak/NodeProcess.h>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <iostream>
#include <spawn.h>
#include <string_view>
#include <sys/wait.h>

namespace Spurtide::Tests {

NodeProcess::NodeProcess(std::string const& binary, std::string const& settings_path, std::string const& log_path, Address callers)
    : callers(std::move(callers))
    , started_at(monotonic_now())
{
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 2, log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    // Its callers' connections must not stay open in other processes.
    posix_spawn_file_actions_addclosefrom_np(&actions, 3);
    std::string program = binary;
    std::string option = "--settings";
    std::string path = settings_path;
    char* arguments[] = { program.data(), option.data(), path.data(), nullptr };
    auto const error = posix_spawn(&this->id, program.c_str(), &actions, nullptr, arguments, environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        std::cerr << "Cannot start " << binary << "\n";
        std::exit(2);
    }
}

NodeProcess::~NodeProcess()
{
    if (!this->is_running())
        return;
    ::kill(this->id, SIGKILL);
    ::waitpid(this->id, nullptr, 0);
}

void NodeProcess::send(int signal)
{
    this->watch();
    if (!this->is_running())
        return;
    auto const now = monotonic_now();
    if (signal == SIGKILL && !this->killed_at)
        this->killed_at = now;
    if (signal == SIGTERM && !this->told_to_stop_at) {
        this->told_to_stop_at = now;
        this->handled_stop = this->handles_hangup();
    }
    if (signal == SIGSTOP)
        this->suspended_at = now;
    ::kill(this->id, signal);
}

void NodeProcess::watch()
{
    int ended = 0;
    if (this->is_running() && ::waitpid(this->id, &ended, WNOHANG) == this->id)
        this->status = ended;
}

bool NodeProcess::handles_hangup() const
{
    std::ifstream file("/proc/" + std::to_string(this->id) + "/status");
    unsigned long long blocked = 0;
    unsigned long long caught = 0;
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with("SigBlk:"))
            blocked = std::stoull(line.substr(line.find(':') + 1), nullptr, 16);
        else if (line.starts_with("SigCgt:"))
            caught = std::stoull(line.substr(line.find(':') + 1), nullptr, 16);
    }
    auto const has = [](unsigned long long signals, int signal) { return (signals >> (signal - 1) & 1) != 0; };
    // Libraries block nearly all signals for a moment before the program begins, and let them through again.
    return has(caught, SIGHUP) || (has(blocked, SIGHUP) && !has(blocked, SIGUSR1));
}

std::size_t NodeProcess::peak_memory_bytes() const
{
    constexpr std::string_view NAME = "VmHWM:";
    std::ifstream file("/proc/" + std::to_string(this->id) + "/status");
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with(NAME))
            return std::stoul(line.substr(NAME.size())) * 1024;
    }
    return 0;
}

std::optional<std::string> NodeProcess::unexplained_end() const
{
    if (!this->status)
        return {};
    if (WIFSIGNALED(*this->status)) {
        auto const signal = WTERMSIG(*this->status);
        bool const is_sent = (signal == SIGKILL && this->killed_at) || (signal == SIGTERM && this->told_to_stop_at && !this->handled_stop);
        return is_sent ? std::nullopt : std::optional("signal " + std::to_string(signal));
    }
    bool const is_in_order = this->told_to_stop_at && WEXITSTATUS(*this->status) == 0;
    return is_in_order ? std::nullopt : std::optional("exit code " + std::to_string(WEXITSTATUS(*this->status)));
}

}
