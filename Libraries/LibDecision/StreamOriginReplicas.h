// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Spurtide {

/// Selects the VMs that hold copies of a stream's origin besides the VM that serves the stream: one in the same data centre, where
/// its caller usually comes back also while the data centre is cut off, and one in another, in case the data centre is lost.
/// Streams are distributed over shards by a hash of their names, and VMs are ranked for each shard by rendezvous hashing, so that
/// others find the copies without being told. The number of shards bounds the connections between VMs.
class StreamOriginReplicas {
public:
    struct Member {
        std::string virtual_machine;
        /// Start time of its process. A VM that was restarted has lost its copies.
        std::int64_t incarnation = 0;
        std::string data_centre;
        enum class Life {
            Serving,
            /// It still answers, but takes no new copies.
            Leaving,
        } life
            = Life::Serving;

        bool operator==(Member const&) const = default;
    };

    StreamOriginReplicas(std::string virtual_machine, std::string data_centre)
        : virtual_machine(std::move(virtual_machine))
        , data_centre(std::move(data_centre))
    {
    }

    /// Sets the VMs that are alive; this VM itself is ignored.
    void set_members(std::vector<Member> alive);

    /// The VMs to which the origin of a stream that this VM serves is copied.
    std::vector<Member> holders(std::string_view request) const;
    /// The VMs that may hold a stream's origin: those of all data centres, as it may have been served in any, and more of each than
    /// hold it, since VMs may have joined or left since it was copied.
    std::vector<Member> candidates(std::string_view request) const;
    /// The VM that writes the origins of this data centre's streams to the registry; empty if it is this one.
    std::optional<Member> recorder() const;

private:
    using DataCentre = std::vector<Member>;

    /// The data centre that holds the copies of this one's streams.
    DataCentre const* backup_data_centre() const;

    std::string virtual_machine;
    std::string data_centre;
    /// Without this VM.
    std::map<std::string, DataCentre, std::less<>> members;
};

}
