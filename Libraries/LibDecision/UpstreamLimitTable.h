// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Time.h>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Spurtide {

/// What an upstream said at some time of the requests a second that it takes from all VMs together.
struct UpstreamLimitStatement {
    /// Requests a second; empty where it named no limit.
    std::optional<double> rate;
    /// A limit: when it was heard. None: when the request was sent whose answer named none, since answers to earlier requests
    /// may have been made before the limit.
    MonotonicTime as_of;
};

/// The newest statement of each upstream, as far as this VM heard of it. Pure: time is passed in.
class UpstreamLimitTable {
public:
    enum class Change {
        None,
        /// Another limit is in force, or none any more.
        InForce,
    };

    /// Takes the statement unless a newer one is known. That an upstream of which nothing is known named no limit is no news.
    Change take(std::string_view upstream, UpstreamLimitStatement const& statement);

    /// The limit that is in force, in requests a second; empty where there is none.
    std::optional<double> rate_of(std::string_view upstream) const;
    /// Empty where nothing is known.
    std::optional<UpstreamLimitStatement> statement_of(std::string_view upstream) const;
    /// Differs between two VMs, but for rare chances, where they know of limits of other upstreams; 0 where there are none.
    std::uint64_t digest() const;
    /// Calls the function with the name of each upstream of which something is known.
    void for_each(std::function<void(std::string_view)> const& function) const;
    /// Upstreams with a limit.
    std::size_t size() const;
    /// Forgets upstreams that are no more listed.
    void retain(std::function<bool(std::string_view)> const& is_listed);

private:
    std::map<std::string, UpstreamLimitStatement, std::less<>> statements;
};

}
