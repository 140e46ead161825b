// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <asio.hpp>
#include <functional>
#include <string>
#include <string_view>

namespace Spurtide {

/// Between the failure of a lasting coroutine and its next start. What failed for want of memory or descriptors would fail again at once.
constexpr Duration RESTART_PAUSE = milliseconds(200);

/// Starts a coroutine that nobody waits for. Our own code reports errors as results, but libraries and the allocator throw; an exception
/// that leaves the coroutine is logged under its name.
void spawn(asio::any_io_executor const& executor, std::string_view name, asio::awaitable<void> coroutine);

/// Starts a coroutine that runs for as long as the loop. If an exception leaves it, it is logged and the coroutine is started again.
void spawn_lasting(asio::any_io_executor const& executor, std::string name, std::function<asio::awaitable<void>()> make_coroutine);

/// Runs the loop until it is stopped. An exception ends the handler that it leaves, which is logged, but not the process with all of
/// its requests.
void run_loop(asio::io_context& loop);

}
