// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Hex.h>
#include <LibDecision/RequestFingerprint.h>
#include <algorithm>
#include <cstdint>
#include <openssl/sha.h>

namespace Spurtide {

RequestFingerprint RequestFingerprint::of(Parts const& parts)
{
    // Length prefixes keep the encoding unambiguous if the same bytes are divided differently.
    std::string head;
    for (auto const part : { parts.method, parts.host, parts.target, parts.account })
        head += std::to_string(part.size()) + ':' + std::string(part);
    std::array<unsigned char, SHA256_DIGEST_LENGTH> of_body {};
    SHA256(reinterpret_cast<unsigned char const*>(parts.body.data()), parts.body.size(), of_body.data());
    head.append(of_body.begin(), of_body.end());
    return of_bytes(head);
}

RequestFingerprint RequestFingerprint::of_parts(std::span<PromptPart const> parts)
{
    std::string text = "parts";
    for (auto const& part : parts) {
        text += ' ';
        text += part.to_hex();
    }
    return of_bytes(text);
}

RequestFingerprint RequestFingerprint::of_bytes(std::string_view bytes)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> whole {};
    SHA256(reinterpret_cast<unsigned char const*>(bytes.data()), bytes.size(), whole.data());
    RequestFingerprint fingerprint;
    std::copy_n(whole.begin(), SIZE, fingerprint.bytes.begin());
    return fingerprint;
}

std::optional<RequestFingerprint> RequestFingerprint::from_bytes(std::string_view bytes)
{
    if (bytes.size() != SIZE)
        return {};
    RequestFingerprint fingerprint;
    std::copy(bytes.begin(), bytes.end(), fingerprint.bytes.begin());
    return fingerprint;
}

std::optional<RequestFingerprint> RequestFingerprint::from_hex(std::string_view text)
{
    if (text.size() != SIZE * 2 || text.find_first_not_of(HEX_DIGITS) != std::string_view::npos)
        return {};
    RequestFingerprint fingerprint;
    for (std::size_t i = 0; i < SIZE; ++i)
        fingerprint.bytes.at(i) = static_cast<unsigned char>(HEX_DIGITS.find(text[2 * i]) * HEX_DIGITS.size() + HEX_DIGITS.find(text[2 * i + 1]));
    return fingerprint;
}

std::string RequestFingerprint::to_hex() const { return Spurtide::to_hex(this->bytes); }

}
