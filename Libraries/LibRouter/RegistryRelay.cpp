// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <LibCore/LogLine.h>
#include <LibRouter/RegistryRelay.h>
#include <LibWire/Compression.h>
#include <LibWire/WireUpstreams.h>

namespace Spurtide {

namespace {

constexpr std::string_view CONFIGURATION_SERVICE = "config";
constexpr std::string_view NEWS_SERVICE_PREFIX = "registry-news@";
constexpr Duration FETCH_TIMEOUT = milliseconds(1000);
/// The same limit as for the registry's answers.
constexpr std::size_t MAXIMUM_CONFIGURATION_BYTES = 4UL * 1024 * 1024;

LocalSource source_of(bool follows)
{
    return follows ? LocalSource::Available : LocalSource::Unavailable;
}

}

RegistryRelay::RegistryRelay(Options options, Kernel& kernel, UpstreamList& upstreams, Hooks hooks)
    : kernel(kernel)
    , upstreams(upstreams)
    , hooks(std::move(hooks))
    , news_service(std::string(NEWS_SERVICE_PREFIX) + options.data_centre)
    , plan(options.plan, kernel.virtual_machine())
{
}

std::string RegistryRelay::data_centre_of(MemberRecord const& member)
{
    for (auto const& service : member.services) {
        if (service.service.starts_with(NEWS_SERVICE_PREFIX))
            return service.service.substr(NEWS_SERVICE_PREFIX.size());
    }
    return {};
}

void RegistryRelay::host()
{
    this->kernel.host(std::string(CONFIGURATION_SERVICE), [this](wire::Envelope const& request, Kernel::Responder const& respond) { this->handle_request(request, respond); });
    this->kernel.host(this->news_service, [this](wire::Envelope const& message, Kernel::Responder const&) {
        if (message.has_registry_news())
            this->handle_news(message.registry_news());
    });
}

void RegistryRelay::start()
{
    this->kernel.every(this->plan.update_interval(), [this] { this->update_plan_and_publish(); });
}

void RegistryRelay::update_plan_and_publish()
{
    this->plan.set_virtual_machines(this->kernel.directory().virtual_machines_with(this->news_service));
    this->plan.set_peer_reachability(this->hooks.company());
    this->publish();
}

void RegistryRelay::set_document(ConfigurationDocument new_document)
{
    this->document = std::move(new_document);
    this->compressed.clear();
}

bool RegistryRelay::watches() const { return this->plan.watches(monotonic_now()); }
bool RegistryRelay::has_recent_update() const { return this->plan.has_recent_update(monotonic_now()); }

void RegistryRelay::publish()
{
    // A watcher that receives no updates from the registry publishes nothing, so that other VMs take over.
    if (this->plan.listeners().empty() || !this->watches() || !this->hooks.follows_upstreams() || !this->hooks.follows_configuration())
        return;
    auto const since = this->published_version;
    auto const listing = this->upstreams.listing_since(since);
    this->published_version = listing.version;
    wire::Envelope envelope;
    envelope.set_service(this->news_service);
    auto* news = envelope.mutable_registry_news();
    news->set_vm(this->kernel.virtual_machine());
    news->set_configuration_version(this->hooks.configuration_version());
    write_evacuations(this->upstreams.evacuations(), *news->mutable_evacuations());
    auto* content = news->mutable_upstreams();
    if (listing.extent == UpstreamListing::Extent::Delta) {
        write_listing(listing, *content);
        content->set_since(since.version);
    } else {
        // Announces the version only; a VM with an older list fetches the difference.
        content->set_era(listing.version.era);
        content->set_version(listing.version.version);
        content->set_only_changes(true);
        content->set_since(listing.version.version);
    }
    for (auto const& listener : this->plan.listeners()) {
        if (auto const endpoint = this->kernel.directory().resolve_on(listener, this->news_service))
            this->kernel.notify(*endpoint, envelope);
    }
}

void RegistryRelay::handle_news(wire::RegistryNews const& news)
{
    auto const now = monotonic_now();
    // Of a watcher that has not heard of a later era only the configuration is of use, which has a version of its own.
    if (news.upstreams().era() >= this->upstreams.version().era) {
        this->plan.note_update(news.vm(), now);
        this->upstreams.note_registry(UpstreamList::RegistryState::Available, now);
        this->handle_upstreams_news(news);
    }
    this->hooks.on_evacuations(read_evacuations(news.evacuations()));
    auto const endpoint = this->kernel.directory().resolve_on(news.vm(), CONFIGURATION_SERVICE);
    if (!endpoint)
        return;
    // A new version announced by the assigned watcher is fetched at once, from another watcher only if the assigned one is
    // late.
    auto const source = news.vm() == this->plan.assigned_watcher() && !this->watches() ? LocalSource::Unavailable : this->configuration_source();
    if (this->configuration_news.should_fetch(news.configuration_version(), this->hooks.configuration_version(), source, now))
        this->fetch_configuration(*endpoint);
}

void RegistryRelay::handle_upstreams_news(wire::RegistryNews const& news)
{
    auto const& content = news.upstreams();
    StorePosition const version(content.era(), content.version());
    if (version <= this->upstreams.version())
        return;
    // Changes are relative to a version of the same era.
    if (StorePosition(content.era(), content.since()) <= this->upstreams.version())
        return this->adopt_listing(read_listing(content), news.vm());
    if (auto const endpoint = this->kernel.directory().resolve_on(news.vm(), CONFIGURATION_SERVICE))
        this->handle_upstreams_version(*endpoint, version);
}

void RegistryRelay::adopt_listing(UpstreamListing const& listing, std::string_view source)
{
    auto const before = this->upstreams.version();
    if (listing.version <= before)
        return;
    LogLine("upstreams_from_peer").with("peer", source).with("version", listing.version.version).with("era", listing.version.era).with("before", before.version).with("era_before", before.era).with("extent", listing.extent == UpstreamListing::Extent::Snapshot ? "whole" : "changes").with("count", static_cast<std::int64_t>(listing.records.size())).with("gone", static_cast<std::int64_t>(listing.removed.size()));
    this->upstreams.merge(listing, monotonic_now());
    this->hooks.on_upstreams();
}

LocalSource RegistryRelay::configuration_source() const
{
    if (!this->watches() && this->hooks.configuration_version() > 0)
        return LocalSource::Watchers;
    return source_of(this->hooks.follows_configuration());
}

void RegistryRelay::handle_configuration_version(std::string const& endpoint, std::int64_t version)
{
    if (this->configuration_news.should_fetch(version, this->hooks.configuration_version(), this->configuration_source(), monotonic_now()))
        this->fetch_configuration(endpoint);
}

void RegistryRelay::handle_upstreams_version(std::string const& endpoint, StorePosition version)
{
    if (this->upstreams_news.should_fetch(version, this->upstreams.version(), source_of(this->hooks.follows_upstreams()), monotonic_now()))
        this->fetch_upstreams(endpoint);
}

void RegistryRelay::fetch_configuration(std::string const& endpoint)
{
    auto envelope = message_to(CONFIGURATION_SERVICE);
    envelope.mutable_get_configuration()->set_known_generation(this->hooks.configuration_version());
    this->kernel.request(endpoint, std::move(envelope), FETCH_TIMEOUT, [this, endpoint](WireReply const& reply) {
        if (!reply.is_error() && reply.value().has_configuration_content())
            this->adopt_configuration(reply.value().configuration_content(), endpoint);
    });
}

void RegistryRelay::adopt_configuration(wire::ConfigurationContent const& content, std::string_view source)
{
    if (content.compressed_content().empty())
        return;
    auto text = decompress_text(content.compressed_content(), static_cast<std::size_t>(std::max<std::int64_t>(0, content.content_bytes())), MAXIMUM_CONFIGURATION_BYTES);
    if (text.is_error()) {
        LogLine("configuration_unreadable").with("source", source).with("error", to_string(text.error()));
        return;
    }
    this->hooks.on_configuration({ text.release_value() });
}

void RegistryRelay::fetch_upstreams(std::string const& endpoint)
{
    auto envelope = message_to(CONFIGURATION_SERVICE);
    auto const known = this->upstreams.version();
    envelope.mutable_get_upstreams()->set_known_version(known.version);
    envelope.mutable_get_upstreams()->set_known_era(known.era);
    this->kernel.request(endpoint, std::move(envelope), FETCH_TIMEOUT, [this, endpoint](WireReply const& reply) {
        if (!reply.is_error() && reply.value().has_upstreams_content())
            this->adopt_listing(read_listing(reply.value().upstreams_content()), endpoint);
    });
}

void RegistryRelay::handle_request(wire::Envelope const& request, Kernel::Responder const& respond)
{
    if (request.has_get_configuration())
        return respond(this->configuration_reply(request.get_configuration().known_generation()));
    if (request.has_get_upstreams())
        return respond(this->upstreams_reply({ request.get_upstreams().known_era(), request.get_upstreams().known_version() }));
    respond(error_reply(wire::ERROR_CODE_UNKNOWN_MESSAGE));
}

std::string const& RegistryRelay::compressed_document()
{
    if (this->compressed.empty())
        this->compressed = compress_text(this->document.text);
    return this->compressed;
}

wire::Envelope RegistryRelay::configuration_reply(std::int64_t known)
{
    wire::Envelope reply;
    auto* content = reply.mutable_configuration_content();
    content->set_generation(this->hooks.configuration_version());
    if (this->hooks.configuration_version() > known) {
        content->set_compressed_content(this->compressed_document());
        content->set_content_bytes(static_cast<std::int64_t>(this->document.text.size()));
    }
    return reply;
}

wire::Envelope RegistryRelay::upstreams_reply(StorePosition known) const
{
    wire::Envelope reply;
    write_listing(this->upstreams.listing_since(known), *reply.mutable_upstreams_content());
    return reply;
}

}
