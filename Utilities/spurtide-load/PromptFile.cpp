// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <Utilities/spurtide-load/PromptFile.h>
#include <array>
#include <fstream>
#include <random>

namespace Spurtide {

namespace {

constexpr std::int64_t MOST_DOCUMENT_LINES = 20'000;

constexpr std::array<std::string_view, 8> GOODS = { "lime mortar", "roof tile", "clay brick", "copper cable", "mineral wool", "gypsum board", "ridge cap", "junction box" };
constexpr std::array<std::string_view, 6> MAKERS = { "Carpati", "Mures", "Olt", "Brasov", "Sibiu", "Apuseni" };
constexpr std::array<std::string_view, 4> UNITS = { "bag", "piece", "metre", "pallet" };

PromptItem read_item(SettingsReader& reader)
{
    PromptItem item;
    item.kind = reader.text("kind", Presence::Required);
    auto const service = reader.text("service", Presence::Optional);
    if (!service.empty()) {
        item.target = PromptItem::Target::Service;
        item.name = service;
        item.path = reader.text("path", Presence::Required);
        item.body = reader.text("body", Presence::Optional);
        item.repeat = reader.boolean("not_repeatable", false) ? PromptItem::Repeat::Forbidden : PromptItem::Repeat::Allowed;
        return item;
    }
    item.name = reader.text("model", Presence::Required);
    auto const lines = reader.integer("document_lines", Presence::Optional, 0, MOST_DOCUMENT_LINES, 0);
    auto const seed = reader.integer("document_seed", Presence::Optional, 0, INT32_MAX, 1);
    item.prompt = catalogue_lines(lines, static_cast<std::uint64_t>(seed)) + reader.text("prompt", Presence::Required);
    item.maximum_output_tokens = reader.integer("max_tokens", Presence::Optional, 1, 4096, 64);
    return item;
}

}

std::string catalogue_lines(std::int64_t count, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::string text;
    for (std::int64_t i = 0; i < count; ++i) {
        auto const draw = random();
        text += "item " + std::to_string(10'000 + draw % 90'000) + ": " + std::string(MAKERS.at(draw / 7 % MAKERS.size())) + " " + std::string(GOODS.at(draw / 61 % GOODS.size()))
            + ", " + std::to_string(1 + draw / 997 % 900) + " lei a " + std::string(UNITS.at(draw / 31 % UNITS.size())) + "\n";
    }
    return text;
}

Result<std::vector<PromptItem>, SettingsError> read_prompt_file(std::filesystem::path const& path)
{
    std::ifstream file(path);
    if (!file)
        return Failure { SettingsError { { { SettingsFaultKind::NotReadable, path.string(), "/", "a file that can be read" } } } };
    std::vector<PromptItem> items;
    std::vector<SettingsFault> faults;
    std::string line;
    for (int number = 1; std::getline(file, line); ++number) {
        if (line.empty() || line.starts_with("//"))
            continue;
        auto const source = path.string() + ":" + std::to_string(number);
        auto const document = TRY(parse_settings(line, source));
        SettingsReader reader(document, source, "", faults);
        items.push_back(read_item(reader));
        reader.finish();
    }
    if (!faults.empty())
        return Failure { SettingsError { std::move(faults) } };
    return items;
}

}
