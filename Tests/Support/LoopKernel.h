// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Clock.h>
#include <LibWire/Kernel.h>
#include <asio.hpp>
#include <functional>
#include <memory>
#include <string>

namespace Spurtide::Tests {

/// The kernel of one VM among several on a test's own loop, on a free loopback port.
inline std::unique_ptr<Kernel> make_loop_kernel(asio::io_context& loop, std::string const& virtual_machine)
{
    Kernel::Options options;
    options.virtual_machine = virtual_machine;
    options.listen_endpoint = "tcp://127.0.0.1:0";
    options.loop = &loop;
    return Kernel::create(std::move(options)).release_value();
}

/// The record by which the others find its services.
inline MemberRecord member_of(Kernel const& kernel)
{
    MemberRecord record;
    record.virtual_machine = kernel.virtual_machine();
    record.services = kernel.hosted_services();
    return record;
}

/// Runs the loop until the condition holds; the time only bounds a failure.
inline bool run_loop_until(asio::io_context& loop, std::function<bool()> const& condition)
{
    auto const until = monotonic_now() + seconds(20);
    while (!condition()) {
        if (monotonic_now() >= until)
            return false;
        loop.run_for(std::chrono::milliseconds(2));
    }
    return true;
}

}
