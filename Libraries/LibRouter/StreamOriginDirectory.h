// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibCore/Metrics.h>
#include <LibDecision/MembershipTable.h>
#include <LibDecision/StreamOriginReplicas.h>
#include <LibDecision/StreamOriginTable.h>
#include <LibRouter/StreamOriginArchive.h>
#include <LibRouter/StreamOriginRecorder.h>
#include <LibWire/Kernel.h>
#include <asio.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Spurtide {

constexpr std::string_view STREAM_ORIGIN_SERVICE = "stream-origin";

/// Remembers where streams began, and finds the origins of streams that began at other VMs. The origin of a stream that this VM
/// serves is copied to a few other VMs when the first event is relayed, so that callers may take it up at any VM after this one
/// has died. One VM of each data centre writes them to the registry, in case that all VMs die. Origins that neither the VMs nor the
/// registry know stay unknown: nothing else tells which version began a stream.
class StreamOriginDirectory {
public:
    struct Options {
        StreamOriginTable::Options table {};
        /// How long other VMs may take to answer. The caller of a stream that is unknown is refused after it.
        Duration answer_timeout = milliseconds(200);
        /// Lookups at other VMs at a time. Callers choose the names, and each lookup asks several VMs.
        int maximum_lookups = 128;
        /// How often the origins of streams in progress are renewed; a fraction of the retention, as a renewal may be lost.
        Duration renewal_interval = seconds(20);
        /// How often to check whether the VMs that hold copies have changed.
        Duration check_interval = milliseconds(200);
    };

    /// Names a VM's data centre.
    using DataCentreOf = std::function<std::string(MemberRecord const&)>;

    StreamOriginDirectory(Options options, Kernel& kernel, Metrics& metrics, std::string data_centre, DataCentreOf data_centre_of);

    /// Without it, origins are kept by VMs alone. Both have to outlive the directory.
    void set_registry(StreamOriginRecorder& origin_recorder, StreamOriginArchive& origin_archive)
    {
        this->recorder = &origin_recorder;
        this->archive = &origin_archive;
    }

    /// Registers the service. Call before the kernel starts.
    void host();
    void start();

    /// Keeps a stream's origin known while it exists. May outlive the directory.
    class Registration {
    public:
        Registration() = default;
        ~Registration() { this->end(); }
        Registration(Registration&& other) noexcept
            : end(std::exchange(other.end, [] {}))
        {
        }
        Registration& operator=(Registration&& other) noexcept
        {
            std::swap(this->end, other.end);
            return *this;
        }
        Registration(Registration const&) = delete;
        Registration& operator=(Registration const&) = delete;

    private:
        friend class StreamOriginDirectory;
        explicit Registration(std::function<void()> end)
            : end(std::move(end))
        {
        }
        std::function<void()> end = [] {};
    };

    /// Call right before the first event of a stream is relayed.
    [[nodiscard]] Registration add(std::string const& request, StreamOrigin const& origin);
    /// Where the stream began whose first event the request brought; empty if no VM that answers in time knows it.
    asio::awaitable<std::optional<StreamOrigin>> find(std::string request);
    /// Whether two streams are known by this name, so that neither can be taken up. Complete after find().
    bool is_conflicting(std::string_view request) const;

    /// Known origins, copies of other VMs' streams included.
    std::size_t size() const { return this->table.size(); }

private:
    struct Query;

    /// A stream that this VM serves.
    struct ServedStream {
        std::string request;
        StreamOrigin origin;
        MonotonicTime renewed_at;
        /// The VMs that got a copy.
        std::vector<StreamOriginReplicas::Member> holders;
        /// The VM that was asked to write it to the registry; empty if this one does.
        std::optional<StreamOriginReplicas::Member> recorder;
    };
    using ServedStreams = std::map<std::uint64_t, ServedStream>;

    asio::awaitable<std::optional<StreamOrigin>> find_at_peers(std::string request);
    asio::awaitable<std::optional<StreamOrigin>> find_elsewhere(std::string request);
    void note_conflict(std::string_view request);
    void copy(ServedStream& stream, std::vector<StreamOriginReplicas::Member> holders);
    void record(ServedStream& stream, wire::Envelope message);
    void refresh();
    void refresh_members();
    std::string endpoint_of(std::string const& virtual_machine) const;
    void ask(StreamOriginReplicas::Member const& member, std::string const& request, std::shared_ptr<Query> const& query);
    void answer(wire::Envelope const& request, Kernel::Responder const& respond);
    void count_lookup(std::string_view outcome);

    Options options;
    Kernel& kernel;
    Metrics& metrics;
    DataCentreOf data_centre_of;
    /// Both null where the registry keeps no origins.
    StreamOriginRecorder* recorder = nullptr;
    StreamOriginArchive* archive = nullptr;
    StreamOriginTable table;
    StreamOriginReplicas replicas;
    std::int64_t members_version = -1;
    /// The members' version for which the holders of all served streams were last selected.
    std::int64_t holders_version = -1;
    /// Shared with the registrations.
    std::shared_ptr<ServedStreams> served = std::make_shared<ServedStreams>();
    std::uint64_t last_served = 0;
    int lookups = 0;
    /// Names that other VMs know two streams by, and when they said so.
    std::map<std::string, MonotonicTime, std::less<>> conflicts;
};

}
