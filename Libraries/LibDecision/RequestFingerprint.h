// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibDecision/PromptPart.h>
#include <array>
#include <compare>
#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace Spurtide {

/// Identifies the content of a request, independent of the attempt, the client process and the VM that receives it. It
/// is the first half of a SHA-256 digest, so that nobody can craft a request that collides with another.
class RequestFingerprint {
public:
    /// The parts that are identical in each repetition of the request.
    struct Parts {
        std::string_view method;
        std::string_view host;
        std::string_view target;
        /// Empty for anonymous clients.
        std::string_view account;
        std::string_view body;
    };

    static RequestFingerprint of(Parts const& parts);
    /// Stands for all requests whose prompts have these parts.
    static RequestFingerprint of_parts(std::span<PromptPart const> parts);

    /// Raw bytes, for messages. Parsing fails unless the size matches.
    static std::optional<RequestFingerprint> from_bytes(std::string_view bytes);
    std::string to_bytes() const { return { this->bytes.begin(), this->bytes.end() }; }
    /// Lower-case hexadecimal, for logs and the platform's store.
    static std::optional<RequestFingerprint> from_hex(std::string_view text);
    std::string to_hex() const;

    auto operator<=>(RequestFingerprint const&) const = default;

private:
    static RequestFingerprint of_bytes(std::string_view bytes);

    static constexpr std::size_t SIZE = 16;
    std::array<unsigned char, SIZE> bytes {};
};

}
