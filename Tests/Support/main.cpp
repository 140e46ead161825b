// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>
#include <csignal>
#include <cstdlib>
#include <glog/logging.h>

int main(int argument_count, char** arguments)
{
    // Tests look at log lines through their observer; on the terminal they would hide the failures.
    // With SPURTIDE_TEST_LOG set they are shown, to trace one.
    if (!std::getenv("SPURTIDE_TEST_LOG"))
        FLAGS_minloglevel = google::GLOG_ERROR;
    google::InitGoogleLogging(arguments[0]);
    std::signal(SIGPIPE, SIG_IGN);
    return Catch::Session().run(argument_count, arguments);
}
