// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Result.h>
#include <LibCore/Time.h>
#include <cstdint>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace Spurtide {

/// What is wrong with one place of a JSON document.
enum class SettingsFaultKind {
    NotReadable,
    NotJson,
    UnknownKey,
    Missing,
    WrongType,
    OutOfRange,
    Duplicate,
    DanglingReference,
};

std::string_view to_string(SettingsFaultKind kind);

/// One fault, with the file and the path of the value inside it.
struct SettingsFault {
    SettingsFaultKind kind;
    /// File name, or "request" for a body.
    std::string source;
    /// Path such as /engines/2/slots; "line 7" for text that is not JSON.
    std::string path;
    /// What would have been accepted.
    std::string expected;
};

/// Every fault of a document at once.
struct SettingsError {
    std::vector<SettingsFault> faults;

    /// One fault a line, for a person.
    std::string describe() const;
};

/// Whether an object may leave a setting out.
enum class Presence {
    Required,
    Optional,
};

/// Reads one JSON object key by key. Collects every fault in a shared list, and keys that
/// nobody asked for are faults too.
class SettingsReader {
public:
    SettingsReader(nlohmann::json const& object, std::string source, std::string path, std::vector<SettingsFault>& faults);

    std::string text(std::string_view key, Presence presence, std::string_view fallback = "");
    std::int64_t integer(std::string_view key, Presence presence, std::int64_t minimum, std::int64_t maximum, std::int64_t fallback = 0);
    double number(std::string_view key, Presence presence, double minimum, double maximum, double fallback = 0);
    bool boolean(std::string_view key, bool fallback);
    std::vector<std::string> texts(std::string_view key, Presence presence);
    /// Text that must be one of the given words.
    std::string choice(std::string_view key, Presence presence, std::vector<std::string> const& words, std::string_view fallback = "");
    /// A whole number of milliseconds.
    Duration milliseconds(std::string_view key, std::int64_t minimum, std::int64_t maximum, std::int64_t fallback);
    /// Readers for each object of an array.
    std::vector<SettingsReader> objects(std::string_view key, Presence presence);
    /// Reader for a nested object; reads an empty object where the key is left out.
    SettingsReader object(std::string_view key, Presence presence);

    /// Says that a value breaks a rule which the reader cannot know.
    void fault(SettingsFaultKind kind, std::string_view key, std::string_view expected);

    /// Reports every key that was not asked for. Call last.
    void finish();

    std::string const& where() const { return this->path; }

private:
    nlohmann::json const* find(std::string_view key, Presence presence, std::string_view type);

    nlohmann::json const* object_json;
    std::string source;
    std::string path;
    std::vector<SettingsFault>* faults;
    std::vector<std::string> known_keys;
};

/// Parses JSON with comments; the top must be an object.
Result<nlohmann::json, SettingsError> parse_settings(std::string_view text, std::string_view source);

/// Reads a whole settings file and parses it.
Result<nlohmann::json, SettingsError> load_settings(std::filesystem::path const& path);

}
