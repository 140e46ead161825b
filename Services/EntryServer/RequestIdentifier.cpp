// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <Services/EntryServer/RequestIdentifier.h>
#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <random>

namespace Spurtide {

namespace {

constexpr std::size_t LONGEST_POSITION = 200;

std::uint64_t random_bits()
{
    thread_local std::mt19937_64 generator = [] {
        std::random_device device;
        std::seed_seq seed { device(), device(), device(), device() };
        return std::mt19937_64(seed);
    }();
    return generator();
}

bool is_name(std::string_view text)
{
    auto const is_allowed = [](char character) { return std::isalnum(static_cast<unsigned char>(character)) != 0 || character == '-' || character == '.' || character == '_'; };
    return !text.empty() && std::all_of(text.begin(), text.end(), is_allowed);
}

}

std::string new_request_identifier()
{
    auto const time = static_cast<std::uint64_t>(unix_milliseconds()) & 0xffffffffffffULL;
    auto const first = random_bits();
    auto const second = random_bits();
    std::array<char, 40> buffer {};
    std::snprintf(buffer.data(), buffer.size(), "%08llx-%04llx-7%03llx-%04llx-%012llx",
        static_cast<unsigned long long>(time >> 16U), static_cast<unsigned long long>(time & 0xffffU), static_cast<unsigned long long>(first & 0xfffU),
        static_cast<unsigned long long>(0x8000U | ((first >> 16U) & 0x3fffU)), static_cast<unsigned long long>(second & 0xffffffffffffULL));
    return buffer.data();
}

std::string work_name(std::string_view request, int attempt)
{
    return std::string(request) + "." + std::to_string(attempt);
}

std::string_view request_of(std::string_view work)
{
    return work.substr(0, work.rfind('.'));
}

std::string StreamPosition::to_string() const
{
    return this->work + "/" + this->engine + "/" + std::to_string(this->offset);
}

std::optional<StreamPosition> parse_stream_position(std::string_view text)
{
    auto const first = text.find('/');
    auto const last = text.rfind('/');
    if (text.size() > LONGEST_POSITION || first == std::string_view::npos || first == last)
        return {};
    StreamPosition position { std::string(text.substr(0, first)), std::string(text.substr(first + 1, last - first - 1)), 0 };
    auto const digits = text.substr(last + 1);
    auto const [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), position.offset);
    bool const is_whole = error == std::errc {} && end == digits.data() + digits.size() && position.offset >= 0;
    if (!is_whole || !is_name(position.work) || !is_name(position.engine))
        return {};
    return position;
}

}
