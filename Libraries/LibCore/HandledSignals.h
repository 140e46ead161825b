// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <csignal>

namespace Spurtide {

/// The signals that a program's event loop handles: SIGTERM and SIGINT stop it, SIGHUP announces new settings.
inline sigset_t handled_signals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    return signals;
}

/// A signal without a handler ends the process, also one that only announces new settings. Those that come from here on wait until
/// unblock_handled_signals(). Call before the first thread starts.
inline void block_handled_signals()
{
    auto const signals = handled_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

/// Call once the handled signals have handlers.
inline void unblock_handled_signals()
{
    auto const signals = handled_signals();
    pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

}
