// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Result.h>
#include <LibPlatform/ObjectStorePort.h>
#include <LibPlatform/TablePort.h>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace Spurtide {

/// One accepted generation, as the table row tells it.
struct GenerationEntry {
    std::int64_t generation = 0;
    std::string author;
    std::string apply_id;
    std::string content_hash;
    std::int64_t unix_milliseconds = 0;
};

/// The table row of a configuration: the newest generation and the ones before it, newest first.
struct GenerationRow {
    std::vector<GenerationEntry> entries;

    std::int64_t generation() const { return this->entries.empty() ? 0 : this->entries.front().generation; }
    std::string write() const;
    /// Empty where the text is no such row.
    static Result<GenerationRow, PlatformError> read(std::string_view text);
};

enum class ApplyErrorKind {
    /// Another operator's change came first; nothing was written.
    Conflict,
    /// The platform did not take it; nothing was written.
    NotAccepted,
    /// The write's answer was lost and the row could not be read back.
    InDoubt,
    /// The table holds an older generation than is in force.
    TableWentBack,
};

struct ApplyError {
    ApplyErrorKind kind;
    /// The other side of a conflict.
    GenerationEntry present;
};

struct ApplyOrder {
    std::string apply_id;
    std::int64_t base_generation = 0;
    std::string content;
    std::string author;
};

/// The configuration in force on this VM, and its rows and objects at the platform. A generation is
/// only ever replaced by a higher one. Safe to use from any thread.
class ConfigurationStore {
public:
    ConfigurationStore(TablePort& table, ObjectStorePort& objects)
        : table(table)
        , objects(objects)
    {
    }

    struct Held {
        std::int64_t generation = 0;
        std::string content;
    };

    Held held() const;
    std::int64_t generation() const;

    /// Takes a generation from the platform or a peer. False when it is not newer.
    bool adopt(std::int64_t generation, std::string content);

    /// Reads the platform's row, and the object where the generation is new.
    /// Errors: the platform's. A row that went back raises an alarm in the log and changes nothing.
    Result<std::int64_t, PlatformError> refresh();

    /// Writes a new generation by compare-and-set. The same apply id twice is accepted once.
    Result<std::int64_t, ApplyError> apply(ApplyOrder const& order, std::int64_t unix_milliseconds);

    Result<std::vector<GenerationEntry>, PlatformError> history();

private:
    struct ReadRow {
        std::int64_t version = 0;
        GenerationRow row;
    };

    Result<ReadRow, PlatformError> read_row();
    Result<std::int64_t, ApplyError> resolve_lost_answer(ApplyOrder const& order);

    TablePort& table;
    ObjectStorePort& objects;
    mutable std::mutex mutex;
    Held current;
};

}
