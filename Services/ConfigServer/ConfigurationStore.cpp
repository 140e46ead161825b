// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibConfiguration/Configuration.h>
#include <LibCore/LogLine.h>
#include <Services/ConfigServer/ConfigurationStore.h>
#include <algorithm>
#include <nlohmann/json.hpp>

namespace Spurtide {

namespace {

using Json = nlohmann::json;

constexpr std::string_view ROW_KEY = "configuration/fleet";
/// Older entries are trimmed, so that the row stays small.
constexpr std::size_t HISTORY_KEPT = 50;

std::string object_name(std::string_view content_hash)
{
    return "configuration-" + std::string(content_hash);
}

GenerationEntry const* find_apply(GenerationRow const& row, std::string_view apply_id)
{
    auto const found = std::find_if(row.entries.begin(), row.entries.end(), [&](auto const& entry) { return entry.apply_id == apply_id; });
    return found == row.entries.end() ? nullptr : &*found;
}

}

std::string GenerationRow::write() const
{
    Json document = Json::array();
    for (auto const& entry : this->entries) {
        document.push_back({ { "generation", entry.generation }, { "author", entry.author }, { "apply_id", entry.apply_id },
            { "content_hash", entry.content_hash }, { "unix_milliseconds", entry.unix_milliseconds } });
    }
    return document.dump();
}

Result<GenerationRow, PlatformError> GenerationRow::read(std::string_view text)
{
    auto const document = Json::parse(text, nullptr, false);
    if (!document.is_array())
        return Failure { PlatformError::Malformed };
    GenerationRow row;
    for (auto const& entry : document) {
        bool const is_whole = entry.is_object() && entry.contains("generation") && entry["generation"].is_number_integer()
            && entry.contains("content_hash") && entry["content_hash"].is_string();
        if (!is_whole)
            return Failure { PlatformError::Malformed };
        row.entries.push_back({ entry["generation"].get<std::int64_t>(), entry.value("author", ""), entry.value("apply_id", ""),
            entry["content_hash"].get<std::string>(), entry.value("unix_milliseconds", std::int64_t { 0 }) });
    }
    return row;
}

ConfigurationStore::Held ConfigurationStore::held() const
{
    std::scoped_lock const lock(this->mutex);
    return this->current;
}

std::int64_t ConfigurationStore::generation() const
{
    std::scoped_lock const lock(this->mutex);
    return this->current.generation;
}

bool ConfigurationStore::adopt(std::int64_t generation, std::string content)
{
    {
        std::scoped_lock const lock(this->mutex);
        if (generation <= this->current.generation)
            return false;
        this->current = { generation, std::move(content) };
    }
    LogLine("configuration_adopted").with("generation", generation);
    return true;
}

Result<ConfigurationStore::ReadRow, PlatformError> ConfigurationStore::read_row()
{
    auto const read = this->table.read(ROW_KEY);
    if (read.is_error()) {
        if (read.error() == PlatformError::NotFound)
            return ReadRow {};
        return Failure { read.error() };
    }
    return ReadRow { read.value().version, TRY(GenerationRow::read(read.value().value)) };
}

Result<std::int64_t, PlatformError> ConfigurationStore::refresh()
{
    auto const read = TRY(this->read_row());
    auto const generation = read.row.generation();
    auto const in_force = this->generation();
    if (generation < in_force) {
        LogLine("alarm_table_went_back").with("table_generation", generation).with("generation", in_force);
        return in_force;
    }
    if (generation == in_force)
        return generation;
    auto const& entry = read.row.entries.front();
    auto content = TRY(this->objects.get(object_name(entry.content_hash)));
    // An object that does not match its name must not come into force.
    if (sha256_hex(content) != entry.content_hash)
        return Failure { PlatformError::Malformed };
    this->adopt(generation, std::move(content));
    return generation;
}

Result<std::int64_t, ApplyError> ConfigurationStore::apply(ApplyOrder const& order, std::int64_t unix_milliseconds)
{
    auto const read = this->read_row();
    if (read.is_error())
        return Failure { ApplyError { ApplyErrorKind::NotAccepted, {} } };
    auto row = read.value().row;
    auto const hash = sha256_hex(order.content);
    if (auto const* earlier = find_apply(row, order.apply_id)) {
        // An answer that was lost before left this VM on the generation of that time.
        if (earlier->content_hash == hash)
            this->adopt(earlier->generation, order.content);
        return earlier->generation;
    }
    auto const present = row.generation();
    if (present < this->generation())
        return Failure { ApplyError { ApplyErrorKind::TableWentBack, {} } };
    if (present != order.base_generation)
        return Failure { ApplyError { ApplyErrorKind::Conflict, row.entries.empty() ? GenerationEntry {} : row.entries.front() } };

    // The object goes first: a generation whose object is missing could never come into force.
    if (this->objects.put(object_name(hash), order.content).is_error())
        return Failure { ApplyError { ApplyErrorKind::NotAccepted, {} } };
    row.entries.insert(row.entries.begin(), { present + 1, order.author, order.apply_id, hash, unix_milliseconds });
    if (row.entries.size() > HISTORY_KEPT)
        row.entries.resize(HISTORY_KEPT);
    auto const written = this->table.write(ROW_KEY, row.write(), read.value().version);
    if (written.is_error()) {
        // Only a refused connection and a plain no are sure to have written nothing.
        if (written.error() == PlatformError::Unreachable || written.error() == PlatformError::Unavailable)
            return Failure { ApplyError { ApplyErrorKind::NotAccepted, {} } };
        auto resolved = this->resolve_lost_answer(order);
        if (!resolved.is_error())
            this->adopt(resolved.value(), order.content);
        return resolved;
    }
    this->adopt(present + 1, order.content);
    return present + 1;
}

Result<std::int64_t, ApplyError> ConfigurationStore::resolve_lost_answer(ApplyOrder const& order)
{
    auto const read = this->read_row();
    if (read.is_error())
        return Failure { ApplyError { ApplyErrorKind::InDoubt, {} } };
    if (auto const* own = find_apply(read.value().row, order.apply_id))
        return own->generation;
    auto const& entries = read.value().row.entries;
    // NOTE: A write that is still under way could land later, but the version it expects is gone
    // once another's change is there; where the row is unchanged that is not sure.
    if (read.value().row.generation() == order.base_generation)
        return Failure { ApplyError { ApplyErrorKind::InDoubt, {} } };
    return Failure { ApplyError { ApplyErrorKind::Conflict, entries.empty() ? GenerationEntry {} : entries.front() } };
}

Result<std::vector<GenerationEntry>, PlatformError> ConfigurationStore::history()
{
    return TRY(this->read_row()).row.entries;
}

}
