// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/SettingsReader.h>
#include <catch2/catch.hpp>

using namespace Spurtide;

namespace {

struct FaultCase {
    char const* text;
    std::vector<std::pair<SettingsFaultKind, std::string>> faults;
};

std::vector<std::pair<SettingsFaultKind, std::string>> faults_of(char const* text)
{
    std::vector<SettingsFault> faults;
    auto const document = parse_settings(text, "file");
    if (document.is_error()) {
        faults = document.error().faults;
    } else {
        SettingsReader reader(document.value(), "file", "", faults);
        reader.text("name", Presence::Required);
        reader.integer("slots", Presence::Optional, 1, 20, 5);
        reader.number("rate", Presence::Optional, 0, 1, 0.5);
        reader.boolean("on", false);
        reader.choice("role", Presence::Optional, { "prefill", "decode" });
        for (auto& engine : reader.objects("engines", Presence::Optional)) {
            engine.text("name", Presence::Required);
            engine.finish();
        }
        reader.finish();
    }
    std::vector<std::pair<SettingsFaultKind, std::string>> found;
    for (auto const& fault : faults)
        found.emplace_back(fault.kind, fault.path);
    return found;
}

}

TEST_CASE("Every fault of a document is named with its path")
{
    using Kind = SettingsFaultKind;
    std::vector<FaultCase> const cases = {
        { R"({"name": "a"})", {} },
        { "// a comment\n{\"name\": \"a\" /* and another */}", {} },
        { R"({})", { { Kind::Missing, "/name" } } },
        { R"({"name": ""})", { { Kind::OutOfRange, "/name" } } },
        { R"({"name": 5})", { { Kind::WrongType, "/name" } } },
        { R"({"name": "a", "slots": 0})", { { Kind::OutOfRange, "/slots" } } },
        { R"({"name": "a", "slots": 1.5})", { { Kind::WrongType, "/slots" } } },
        { R"({"name": "a", "slots": 18446744073709551615})", { { Kind::OutOfRange, "/slots" } } },
        { R"({"name": "a", "rate": 1.01})", { { Kind::OutOfRange, "/rate" } } },
        { R"({"name": "a", "on": 1})", { { Kind::WrongType, "/on" } } },
        { R"({"name": "a", "role": "both"})", { { Kind::OutOfRange, "/role" } } },
        { R"({"name": "a", "nmae": "b"})", { { Kind::UnknownKey, "/nmae" } } },
        { R"({"name": "a", "engines": [{"name": "e"}, {"title": "f"}]})", { { Kind::Missing, "/engines/1/name" }, { Kind::UnknownKey, "/engines/1/title" } } },
        { R"({"name": "a", "engines": {}})", { { Kind::WrongType, "/engines" } } },
        { R"({"name": "a", "engines": [3]})", { { Kind::WrongType, "/engines/0" }, { Kind::Missing, "/engines/0/name" } } },
        { R"([1])", { { Kind::WrongType, "/" }, { Kind::Missing, "/name" } } },
        { "{\n\"name\": \"a\",\n}", { { Kind::NotJson, "line 3" } } },
        { "", { { Kind::NotJson, "line 1" } } },
        { R"({"slots": 99, "rate": "x", "what": 1})", { { Kind::Missing, "/name" }, { Kind::OutOfRange, "/slots" }, { Kind::WrongType, "/rate" }, { Kind::UnknownKey, "/what" } } },
    };
    for (auto const& test : cases) {
        CAPTURE(test.text);
        CHECK(faults_of(test.text) == test.faults);
    }
}

TEST_CASE("A settings file that cannot be read is a typed fault")
{
    auto const loaded = load_settings("no/such/file.json");
    REQUIRE(loaded.is_error());
    CHECK(loaded.error().faults.front().kind == SettingsFaultKind::NotReadable);
}
