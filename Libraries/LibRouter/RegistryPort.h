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

/// The operators' configuration in the platform's encoding; peers relay it in this form.
struct ConfigurationDocument {
    std::string text;
};

/// A configuration update, and the position from which the next watch continues.
struct ConfigurationNews {
    /// Empty if there is no configuration, or if it has not changed.
    std::optional<ConfigurationDocument> document;
    EvacuationUpdate evacuations;
    StorePosition position;
};

/// Why a configuration is rejected; the previous one stays in force.
struct ConfigurationFault {
    enum class Kind {
        /// The document is not an object in the platform's encoding.
        NotReadable,
        /// A required field is missing.
        Missing,
        WrongType,
        OutOfRange,
        Duplicate,
    } kind
        = Kind::NotReadable;
    /// The path of the field in the document, such as /accounts/2/name; never its value.
    std::string field;
};

std::string_view to_string(ConfigurationFault::Kind kind);

struct UpstreamSnapshot {
    /// All listed upstreams, each with the version of its last change.
    std::vector<UpstreamChange> listed;
    StorePosition position;
};

struct UpstreamNews {
    std::vector<UpstreamChange> changes;
    StorePosition position;
};

/// Interface to the registry, which holds the configuration and the entries of the upstreams.
/// Errors: Unreachable, Unavailable, InDoubt (no answer, or one of an earlier era), Malformed, and HistoryGone: there is no
/// history since the position, or it is of another era. The caller then has to read everything again.
class RegistryPort {
public:
    virtual ~RegistryPort() = default;

    virtual asio::awaitable<Result<ConfigurationNews, PlatformError>> read_configuration() = 0;
    virtual asio::awaitable<Result<ConfigurationNews, PlatformError>> watch_configuration(StorePosition position, Duration wait) = 0;
    virtual asio::awaitable<Result<UpstreamSnapshot, PlatformError>> read_upstreams() = 0;
    virtual asio::awaitable<Result<UpstreamNews, PlatformError>> watch_upstreams(StorePosition position, Duration wait) = 0;
    virtual Result<RoutingConfiguration, ConfigurationFault> decode(ConfigurationDocument const& document) const = 0;
};

}
