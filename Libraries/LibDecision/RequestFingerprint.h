// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace Spurtide {

/// Names what a request asks for, whichever attempt of whichever caller's process brings it and whichever VM takes it:
/// the first half of a SHA-256, so that nobody can make a request that is taken for another.
class RequestFingerprint {
public:
    /// What is the same each time that the request comes.
    struct Parts {
        std::string_view method;
        std::string_view host;
        std::string_view target;
        /// Empty for callers without one.
        std::string_view account;
        std::string_view body;
    };

    static RequestFingerprint of(Parts const& parts);

    /// Raw bytes, for messages; empty where there are not as many as a fingerprint has.
    static std::optional<RequestFingerprint> from_bytes(std::string_view bytes);
    std::string to_bytes() const { return { this->bytes.begin(), this->bytes.end() }; }
    /// In hexadecimal, lower case, for logs and the platform's store.
    static std::optional<RequestFingerprint> from_hex(std::string_view text);
    std::string to_hex() const;

    auto operator<=>(RequestFingerprint const&) const = default;

private:
    static constexpr std::size_t SIZE = 16;
    std::array<unsigned char, SIZE> bytes {};
};

}
