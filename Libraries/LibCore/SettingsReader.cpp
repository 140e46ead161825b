// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/SettingsReader.h>
#include <algorithm>
#include <fstream>
#include <sstream>

namespace Spurtide {

namespace {

nlohmann::json const s_empty_object = nlohmann::json::object();

SettingsError single_fault(SettingsFaultKind kind, std::string_view source, std::string path, std::string expected)
{
    return SettingsError { { SettingsFault { kind, std::string(source), std::move(path), std::move(expected) } } };
}

std::string line_of(std::string_view text, std::size_t byte)
{
    auto const end = text.begin() + static_cast<std::ptrdiff_t>(std::min(byte, text.size()));
    return "line " + std::to_string(1 + std::count(text.begin(), end, '\n'));
}

template<typename Number>
std::string range_text(Number minimum, Number maximum)
{
    std::ostringstream out;
    out << "a value from " << minimum << " to " << maximum;
    return out.str();
}

}

std::string_view to_string(SettingsFaultKind kind)
{
    switch (kind) {
    case SettingsFaultKind::NotReadable:
        return "not_readable";
    case SettingsFaultKind::NotJson:
        return "not_json";
    case SettingsFaultKind::UnknownKey:
        return "unknown_key";
    case SettingsFaultKind::Missing:
        return "missing";
    case SettingsFaultKind::WrongType:
        return "wrong_type";
    case SettingsFaultKind::OutOfRange:
        return "out_of_range";
    case SettingsFaultKind::Duplicate:
        return "duplicate";
    case SettingsFaultKind::DanglingReference:
        return "dangling_reference";
    }
    VERIFY_NOT_REACHED();
}

std::string SettingsError::describe() const
{
    std::string text;
    for (auto const& fault : this->faults) {
        text += fault.source + ": " + fault.path + ": " + std::string(to_string(fault.kind));
        if (!fault.expected.empty())
            text += ", expected " + fault.expected;
        text += '\n';
    }
    return text;
}

SettingsReader::SettingsReader(nlohmann::json const& object, std::string source, std::string path, std::vector<SettingsFault>& faults)
    : object_json(&object)
    , source(std::move(source))
    , path(std::move(path))
    , faults(&faults)
{
    if (object.is_object())
        return;
    this->faults->push_back({ SettingsFaultKind::WrongType, this->source, this->path.empty() ? "/" : this->path, "an object" });
    this->object_json = &s_empty_object;
}

void SettingsReader::fault(SettingsFaultKind kind, std::string_view key, std::string_view expected)
{
    this->faults->push_back({ kind, this->source, this->path + "/" + std::string(key), std::string(expected) });
}

nlohmann::json const* SettingsReader::find(std::string_view key, Presence presence, std::string_view type)
{
    this->known_keys.emplace_back(key);
    auto const found = this->object_json->find(key);
    if (found != this->object_json->end())
        return &*found;
    if (presence == Presence::Required)
        this->fault(SettingsFaultKind::Missing, key, type);
    return nullptr;
}

std::string SettingsReader::text(std::string_view key, Presence presence, std::string_view fallback)
{
    auto const* found = this->find(key, presence, "text");
    if (!found)
        return std::string(fallback);
    if (!found->is_string()) {
        this->fault(SettingsFaultKind::WrongType, key, "text");
        return std::string(fallback);
    }
    auto value = found->get<std::string>();
    if (value.empty() && presence == Presence::Required)
        this->fault(SettingsFaultKind::OutOfRange, key, "text that is not empty");
    return value;
}

std::int64_t SettingsReader::integer(std::string_view key, Presence presence, std::int64_t minimum, std::int64_t maximum, std::int64_t fallback)
{
    auto const* found = this->find(key, presence, "a whole number");
    if (!found)
        return fallback;
    if (!found->is_number_integer()) {
        this->fault(SettingsFaultKind::WrongType, key, "a whole number");
        return fallback;
    }
    // NOTE: An unsigned value over the signed range would wrap to a negative one.
    bool const too_large = found->is_number_unsigned() && found->get<std::uint64_t>() > static_cast<std::uint64_t>(INT64_MAX);
    auto const value = too_large ? 0 : found->get<std::int64_t>();
    if (too_large || value < minimum || value > maximum) {
        this->fault(SettingsFaultKind::OutOfRange, key, range_text(minimum, maximum));
        return fallback;
    }
    return value;
}

double SettingsReader::number(std::string_view key, Presence presence, double minimum, double maximum, double fallback)
{
    auto const* found = this->find(key, presence, "a number");
    if (!found)
        return fallback;
    if (!found->is_number()) {
        this->fault(SettingsFaultKind::WrongType, key, "a number");
        return fallback;
    }
    auto const value = found->get<double>();
    if (!(value >= minimum && value <= maximum)) {
        this->fault(SettingsFaultKind::OutOfRange, key, range_text(minimum, maximum));
        return fallback;
    }
    return value;
}

bool SettingsReader::boolean(std::string_view key, bool fallback)
{
    auto const* found = this->find(key, Presence::Optional, "true or false");
    if (!found)
        return fallback;
    if (!found->is_boolean()) {
        this->fault(SettingsFaultKind::WrongType, key, "true or false");
        return fallback;
    }
    return found->get<bool>();
}

std::vector<std::string> SettingsReader::texts(std::string_view key, Presence presence)
{
    std::vector<std::string> values;
    auto const* found = this->find(key, presence, "a list of texts");
    if (!found)
        return values;
    if (!found->is_array()) {
        this->fault(SettingsFaultKind::WrongType, key, "a list of texts");
        return values;
    }
    for (std::size_t i = 0; i < found->size(); ++i) {
        auto const& element = (*found)[i];
        if (element.is_string())
            values.push_back(element.get<std::string>());
        else
            this->fault(SettingsFaultKind::WrongType, std::string(key) + "/" + std::to_string(i), "text");
    }
    return values;
}

std::string SettingsReader::choice(std::string_view key, Presence presence, std::vector<std::string> const& words, std::string_view fallback)
{
    auto value = this->text(key, presence, fallback);
    if (value.empty() || std::find(words.begin(), words.end(), value) != words.end())
        return value;
    std::string expected = "one of";
    for (auto const& word : words)
        expected += " " + word;
    this->fault(SettingsFaultKind::OutOfRange, key, expected);
    return std::string(fallback);
}

Duration SettingsReader::milliseconds(std::string_view key, std::int64_t minimum, std::int64_t maximum, std::int64_t fallback)
{
    return Spurtide::milliseconds(this->integer(key, Presence::Optional, minimum, maximum, fallback));
}

std::vector<SettingsReader> SettingsReader::objects(std::string_view key, Presence presence)
{
    std::vector<SettingsReader> readers;
    auto const* found = this->find(key, presence, "a list of objects");
    if (!found)
        return readers;
    if (!found->is_array()) {
        this->fault(SettingsFaultKind::WrongType, key, "a list of objects");
        return readers;
    }
    for (std::size_t i = 0; i < found->size(); ++i)
        readers.emplace_back((*found)[i], this->source, this->path + "/" + std::string(key) + "/" + std::to_string(i), *this->faults);
    return readers;
}

SettingsReader SettingsReader::object(std::string_view key, Presence presence)
{
    auto const* found = this->find(key, presence, "an object");
    return { found ? *found : s_empty_object, this->source, this->path + "/" + std::string(key), *this->faults };
}

void SettingsReader::finish()
{
    for (auto const& [key, value] : this->object_json->items()) {
        if (std::find(this->known_keys.begin(), this->known_keys.end(), key) == this->known_keys.end())
            this->fault(SettingsFaultKind::UnknownKey, key, "a key of the settings reference");
    }
}

Result<nlohmann::json, SettingsError> parse_settings(std::string_view text, std::string_view source)
{
    // The library's own exception carries the byte of the fault, which becomes a line.
    try {
        return nlohmann::json::parse(text, nullptr, true, true);
    } catch (nlohmann::json::parse_error const& error) {
        return Failure { single_fault(SettingsFaultKind::NotJson, source, line_of(text, error.byte), "JSON with comments") };
    }
}

Result<nlohmann::json, SettingsError> load_settings(std::filesystem::path const& path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream contents;
    if (!file || !(contents << file.rdbuf()))
        return Failure { single_fault(SettingsFaultKind::NotReadable, path.string(), "/", "a file that can be read") };
    return parse_settings(contents.str(), path.string());
}

}
