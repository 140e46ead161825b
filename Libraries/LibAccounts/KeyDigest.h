// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace Spurtide {

/// SHA-256 of a client's key. Keys are kept and compared in this form alone: neither logs nor a dump of memory can
/// show one, and since nobody can choose a digest, the time that a look-up takes tells nothing of the keys that exist.
class KeyDigest {
public:
    static KeyDigest of(std::string_view text);

    /// In hexadecimal, lower case.
    std::string to_hex() const;

    bool operator==(KeyDigest const&) const = default;

    /// For hash tables: the first bytes of a digest are spread evenly already.
    std::size_t hash() const;

private:
    static constexpr std::size_t SIZE = 32;
    std::array<unsigned char, SIZE> bytes {};
};

struct KeyDigestHash {
    std::size_t operator()(KeyDigest const& digest) const { return digest.hash(); }
};

}
