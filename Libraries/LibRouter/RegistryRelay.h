// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#pragma once

#include <LibDecision/PeerFetchPolicy.h>
#include <LibDecision/UpstreamList.h>
#include <LibDecision/WatchPlan.h>
#include <LibRouter/RegistryFollower.h>
#include <LibWire/Kernel.h>
#include <functional>
#include <string>

namespace Spurtide {

/// Distributes the registry's contents among the VMs. Any VM serves the configuration and the list of upstreams to peers that
/// request them. In larger data centres only a few VMs watch the registry and publish updates to the others: of the list, the
/// changes themselves; of the configuration, only its version, since it is large and each VM fetches it once.
class RegistryRelay {
public:
    struct Hooks {
        /// The configuration was received from a peer.
        std::function<void(ConfigurationDocument const&)> on_configuration;
        /// Evacuations were received from a peer.
        std::function<void(EvacuationUpdate const&)> on_evacuations = [](auto const&) {};
        /// The list of upstreams has changed.
        std::function<void()> on_upstreams;
        /// The version of the configuration in force; 0 before the first.
        std::function<std::int64_t()> configuration_version;
        /// Whether this VM itself receives updates from the registry.
        std::function<bool()> follows_configuration;
        std::function<bool()> follows_upstreams;
        /// Whether any other VM has answered recently.
        std::function<WatchPlan::PeerReachability()> company = [] { return WatchPlan::PeerReachability::Some; };
    };

    struct Options {
        std::string data_centre;
        WatchPlan::Options plan {};
    };

    RegistryRelay(Options options, Kernel& kernel, UpstreamList& upstreams, Hooks hooks);

    /// Registers the services. Call before the kernel starts.
    void host();
    void start();
    /// Sets the configuration that is served to peers.
    void set_document(ConfigurationDocument new_document);

    /// A peer announced its version of the configuration or of the list; a newer one may be fetched from it.
    void handle_configuration_version(std::string const& endpoint, std::int64_t version);
    void handle_upstreams_version(std::string const& endpoint, StorePosition version);

    /// The service by which the VMs of this data centre discover each other.
    std::string const& service() const { return this->news_service; }
    /// The data centre of a VM, derived from the services that it hosts; empty if unknown.
    static std::string data_centre_of(MemberRecord const& member);

    /// Whether this VM should watch the registry itself.
    bool watches() const;
    /// Whether a VM that follows the registry has recently published to this one.
    bool has_recent_update() const;
    /// How long this VM collects updates into a batch if they have to be in force within the given time.
    Duration batching_delay(Duration news_time) const { return this->plan.batching_delay(news_time); }
    /// The longest pause between retries of this VM while the registry is unavailable.
    Duration maximum_retry_interval(Duration usual) const { return this->plan.maximum_retry_interval(usual); }
    /// Publishes updates to the VMs that rely on this one for them.
    void publish();

private:
    void update_plan_and_publish();
    void handle_request(wire::Envelope const& request, Kernel::Responder const& respond);
    void handle_news(wire::RegistryNews const& news);
    void handle_upstreams_news(wire::RegistryNews const& news);
    void adopt_configuration(wire::ConfigurationContent const& content, std::string_view source);
    LocalSource configuration_source() const;
    std::string const& compressed_document();
    void adopt_listing(UpstreamListing const& listing, std::string_view source);
    void fetch_configuration(std::string const& endpoint);
    void fetch_upstreams(std::string const& endpoint);
    wire::Envelope configuration_reply(std::int64_t known);
    wire::Envelope upstreams_reply(StorePosition known) const;

    Kernel& kernel;
    UpstreamList& upstreams;
    Hooks hooks;
    /// The VMs of one data centre discover each other by this name.
    std::string news_service;
    WatchPlan plan;
    PeerFetchPolicy<std::int64_t> configuration_news { PeerFetchOptions {} };
    PeerFetchPolicy<StorePosition> upstreams_news { PeerFetchOptions {} };
    ConfigurationDocument document;
    /// The compressed document for peers; empty until the first request.
    std::string compressed;
    StorePosition published_version;
};

}
