// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Result.h>
#include <LibCore/Time.h>
#include <LibDecision/EvacuationTable.h>
#include <LibDecision/RouteTable.h>
#include <LibDecision/UpstreamList.h>
#include <LibPlatform/PlatformError.h>
#include <asio.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Spurtide {

/// The operators' configuration as the platform keeps it; peers relay it in this form.
struct ConfigurationDocument {
    std::string text;
};

/// What operators wrote, and where a watch goes on from.
struct ConfigurationNews {
    /// Empty where there is none, or none that is new.
    std::optional<ConfigurationDocument> document;
    EvacuationUpdate evacuations;
    std::int64_t position = 0;
};

/// Why a configuration is not taken; the one before stays in force.
struct ConfigurationFault {
    enum class Kind {
        /// Not an object of the platform's encoding.
        NotReadable,
        /// A field that is needed is not there.
        Missing,
        WrongType,
        OutOfRange,
        Duplicate,
    } kind
        = Kind::NotReadable;
    /// The path of the field, such as /accounts/2/name in the configuration's own words; never its value.
    std::string field;
};

std::string_view to_string(ConfigurationFault::Kind kind);

struct UpstreamSnapshot {
    /// Each with the version of its last change.
    std::vector<UpstreamChange> listed;
    std::int64_t position = 0;
};

struct UpstreamNews {
    std::vector<UpstreamChange> changes;
    std::int64_t position = 0;
};

/// The port to what the platform keeps: the configuration and the upstreams' own entries.
/// Errors: Unreachable, Unavailable, InDoubt (no answer came), Malformed; a watch also HistoryGone, after
/// which the whole is read again.
class RegistryPort {
public:
    virtual ~RegistryPort() = default;

    virtual asio::awaitable<Result<ConfigurationNews, PlatformError>> read_configuration() = 0;
    virtual asio::awaitable<Result<ConfigurationNews, PlatformError>> watch_configuration(std::int64_t position, Duration wait) = 0;
    virtual asio::awaitable<Result<UpstreamSnapshot, PlatformError>> read_upstreams() = 0;
    virtual asio::awaitable<Result<UpstreamNews, PlatformError>> watch_upstreams(std::int64_t position, Duration wait) = 0;
    virtual Result<RoutingConfiguration, ConfigurationFault> decode(ConfigurationDocument const& document) const = 0;
};

}
