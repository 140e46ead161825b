// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibCore/Clock.h>
#include <LibRouter/RelayClient.h>
#include <algorithm>

namespace Spurtide {

namespace {

constexpr std::string_view SCHEME = "tcp://";
/// Relays that are asked about one upstream before the question is given up.
constexpr int MAXIMUM_PROBES = 2;

}

RelayClient::RelayClient(Options options, Kernel& kernel, std::string own_data_centre, Hooks hooks)
    : options(options)
    , kernel(kernel)
    , hooks(std::move(hooks))
    , relays(std::make_shared<RelaySelector>(options.selector, kernel.virtual_machine(), own_data_centre, this->hooks.region_of(own_data_centre)))
{
}

ServiceEndpoint RelayClient::announcement(Address const& address, std::string const& incarnation)
{
    return { std::string(SERVICE), std::string(SCHEME) + address.to_string(), incarnation };
}

void RelayClient::update_candidates()
{
    auto const version = this->kernel.directory().version();
    if (version == this->directory_version)
        return;
    this->directory_version = version;
    std::vector<RelayCandidate> candidates;
    for (auto const& member : this->kernel.directory().members()) {
        auto const found = std::find_if(member.services.begin(), member.services.end(), [](auto const& service) { return service.service == SERVICE; });
        if (member.liveness != MemberLiveness::Alive || found == member.services.end() || !found->endpoint.starts_with(SCHEME))
            continue;
        auto const data_centre = this->hooks.data_centre_of(member);
        candidates.push_back({ member.virtual_machine, data_centre, this->hooks.region_of(data_centre), found->endpoint.substr(SCHEME.size()) });
    }
    this->relays->set_candidates(std::move(candidates));
}

bool RelayClient::is_available(MonotonicTime now)
{
    return this->choose(now, [](auto const&) { return true; }).has_value();
}

std::optional<RelayCandidate> RelayClient::choose(MonotonicTime now, RelaySelector::Filter const& may_use)
{
    this->update_candidates();
    if (!this->hooks.has_company())
        return {};
    return this->relays->choose(now, may_use);
}

asio::awaitable<std::optional<RelayOutcome>> RelayClient::probe(ConnectionPool& pool, std::string upstream)
{
    for (int tried = 0; tried < MAXIMUM_PROBES; ++tried) {
        auto const relay = this->choose(monotonic_now(), [](auto const&) { return true; });
        if (!relay)
            co_return std::nullopt;
        auto const outcome = co_await this->probe_through(pool, *relay, upstream);
        if (outcome)
            co_return outcome;
        this->relays->note_failure(relay->virtual_machine, monotonic_now());
    }
    co_return std::nullopt;
}

asio::awaitable<std::optional<RelayOutcome>> RelayClient::probe_through(ConnectionPool& pool, RelayCandidate relay, std::string upstream)
{
    auto const address = parse_address(relay.address);
    if (!address)
        co_return std::nullopt;
    RelayedSend send;
    send.upstream = std::move(upstream);
    send.time_left = this->options.probe_timeout;
    send.operation = RelayedSend::Operation::Probe;
    HttpRequest request { relay_request_head(relay.address, send, 0), {} };
    ConnectionPool::Call call;
    call.timeout = this->options.probe_timeout;
    auto const answer = co_await pool.call(*address, std::move(request), std::move(call));
    auto const outcome = answer.is_error() ? std::nullopt : read_relay_outcome(answer.value().head);
    bool const is_told = outcome == RelayOutcome::Connected || outcome == RelayOutcome::NobodyListens || outcome == RelayOutcome::CannotConnect;
    co_return is_told ? outcome : std::nullopt;
}

}
