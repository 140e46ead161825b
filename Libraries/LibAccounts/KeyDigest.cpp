// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibAccounts/KeyDigest.h>
#include <cstring>
#include <openssl/sha.h>

namespace Spurtide {

KeyDigest KeyDigest::of(std::string_view text)
{
    static_assert(SIZE == SHA256_DIGEST_LENGTH);
    KeyDigest digest;
    SHA256(reinterpret_cast<unsigned char const*>(text.data()), text.size(), digest.bytes.data());
    return digest;
}

std::string KeyDigest::to_hex() const
{
    constexpr std::string_view DIGITS = "0123456789abcdef";
    std::string text;
    text.reserve(SIZE * 2);
    for (auto const byte : this->bytes) {
        text.push_back(DIGITS[byte >> 4U]);
        text.push_back(DIGITS[byte & 0xFU]);
    }
    return text;
}

std::size_t KeyDigest::hash() const
{
    std::size_t value = 0;
    std::memcpy(&value, this->bytes.data(), sizeof(value));
    return value;
}

}
