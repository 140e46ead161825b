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

/// What the VMs tell each other of the registry's contents: any VM hands the configuration and the list of upstreams on
/// to one that asks, and in larger data centres a few VMs watch the registry and tell the others: changes of the list
/// themselves, of the configuration its version, since it is long and asked for once by each VM.
class RegistryRelay {
public:
    struct Hooks {
        /// A peer handed on the configuration.
        std::function<void(ConfigurationDocument const&)> on_configuration;
        /// A peer told of evacuations.
        std::function<void(EvacuationUpdate const&)> on_evacuations = [](auto const&) {};
        /// The list of upstreams is another one.
        std::function<void()> on_upstreams;
        /// That of the configuration in force; 0 before the first.
        std::function<std::int64_t()> configuration_version;
        /// Whether this VM itself hears of news from the registry.
        std::function<bool()> follows_configuration;
        std::function<bool()> follows_upstreams;
        /// Whether any other VM answered lately.
        std::function<WatchPlan::PeerReachability()> company = [] { return WatchPlan::PeerReachability::Some; };
    };

    struct Options {
        std::string data_centre;
        WatchPlan::Options plan {};
    };

    RegistryRelay(Options options, Kernel& kernel, UpstreamList& upstreams, Hooks hooks);

    /// Makes the services of the relay known. Call before the kernel starts.
    void host();
    void start();
    /// Keeps the configuration in force for peers that ask.
    void keep(ConfigurationDocument kept);

    /// A peer told that it has a newer configuration, or a newer list.
    void hear_of_configuration(std::string const& endpoint, std::int64_t version);
    void hear_of_upstreams(std::string const& endpoint, std::int64_t version);

    /// The service by which the VMs of this data centre find each other.
    std::string const& service() const { return this->news_service; }
    /// The data centre of a VM, by the services that it hosts; empty where none of them tells.
    static std::string data_centre_of(MemberRecord const& member);

    /// Whether this VM has to watch the registry itself.
    bool watches() const;
    /// Whether another VM that hears of the registry told of it lately.
    bool is_told() const;
    /// How long this VM gathers news, where they have to be in force within the given time.
    Duration gathering(Duration news_time) const { return this->plan.batching_delay(news_time); }
    /// The longest pause between two tries of this VM while the registry is away.
    Duration longest_pause(Duration usual) const { return this->plan.maximum_retry_interval(usual); }
    /// Tells the news, where it is this VM that watches for others.
    void tell();

private:
    void every_interval();
    void answer(wire::Envelope const& request, Kernel::Responder const& respond);
    void take_news(wire::RegistryNews const& news);
    void take_upstreams_news(wire::RegistryNews const& news);
    void take_configuration(wire::ConfigurationContent const& content, std::string_view source);
    PeerFetchPolicy::LocalSource configuration_source() const;
    std::string const& compressed_document();
    void take_listing(UpstreamListing const& listing, std::string_view source);
    void fetch_configuration(std::string const& endpoint);
    void fetch_upstreams(std::string const& endpoint);
    wire::Envelope configuration_reply(std::int64_t known);
    wire::Envelope upstreams_reply(std::int64_t known) const;

    Kernel& kernel;
    UpstreamList& upstreams;
    Hooks hooks;
    /// VMs of one data centre find each other by this name.
    std::string news_service;
    WatchPlan plan;
    PeerFetchPolicy configuration_news { PeerFetchPolicy::Options {} };
    PeerFetchPolicy upstreams_news { PeerFetchPolicy::Options {} };
    ConfigurationDocument document;
    /// The same for peers; empty until one asks.
    std::string compressed;
    std::int64_t told_version = 0;
};

}
