// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibAccounts/KeyDigest.h>
#include <LibCore/Hex.h>
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

std::string KeyDigest::to_hex() const { return Spurtide::to_hex(this->bytes); }

std::size_t KeyDigest::hash() const
{
    std::size_t value = 0;
    std::memcpy(&value, this->bytes.data(), sizeof(value));
    return value;
}

}
