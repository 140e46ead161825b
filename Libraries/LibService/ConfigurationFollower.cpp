// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/LogLine.h>
#include <LibService/ConfigurationFollower.h>

namespace Spurtide {

namespace {

constexpr Duration LOOK_INTERVAL = milliseconds(200);
constexpr Duration FETCH_TIMEOUT = milliseconds(2000);

}

ConfigurationFollower::ConfigurationFollower(Kernel& kernel, Listener listener)
    : kernel(kernel)
    , listener(std::move(listener))
{
}

void ConfigurationFollower::start()
{
    this->kernel.every(LOOK_INTERVAL, [this] { this->look(); });
}

std::shared_ptr<Configuration const> ConfigurationFollower::current() const
{
    std::scoped_lock const lock(this->mutex);
    return this->configuration;
}

void ConfigurationFollower::look()
{
    auto const held = this->current();
    auto const known = held ? held->generation : 0;
    if (this->is_asking || this->kernel.directory().configuration_generation() <= known)
        return;
    auto const endpoints = this->kernel.directory().resolve("config");
    if (endpoints.empty())
        return;
    wire::Envelope envelope;
    envelope.set_service("config");
    envelope.mutable_get_configuration()->set_known_generation(known);
    this->is_asking = true;
    this->kernel.request(endpoints.front(), std::move(envelope), FETCH_TIMEOUT, [this](WireReply const& reply) {
        this->is_asking = false;
        if (!reply.is_error() && reply.value().has_configuration_content())
            this->take(reply.value().configuration_content());
    });
}

void ConfigurationFollower::take(wire::ConfigurationContent const& content)
{
    auto const held = this->current();
    if (content.content().empty() || (held && content.generation() <= held->generation))
        return;
    auto read = read_configuration(content.content(), "generation " + std::to_string(content.generation()));
    if (read.is_error()) {
        LogLine("configuration_unreadable").with("generation", content.generation()).with("faults", read.error().describe());
        return;
    }
    auto next = std::make_shared<Configuration>(read.release_value());
    next->generation = content.generation();
    {
        std::scoped_lock const lock(this->mutex);
        this->configuration = next;
    }
    LogLine("configuration_in_force").with("generation", next->generation);
    this->listener(next);
}

}
