// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibAccounts/KeyDigest.h>
#include <LibConfiguration/Configuration.h>
#include <algorithm>
#include <set>

namespace Spurtide {

namespace {

constexpr std::int64_t MAXIMUM_TOKENS = 1'000'000;

template<typename Range, typename Predicate>
auto const* find_pointer(Range const& range, Predicate predicate)
{
    auto const found = std::find_if(range.begin(), range.end(), predicate);
    return found == range.end() ? nullptr : &*found;
}

class ConfigurationReader {
public:
    ConfigurationReader(nlohmann::json const& document, std::string_view source)
        : top(document, std::string(source), "", this->faults)
    {
    }

    Result<Configuration, SettingsError> read()
    {
        this->read_models();
        this->read_pools();
        this->read_services();
        this->read_accounts();
        this->top.finish();
        if (!this->faults.empty())
            return Failure { SettingsError { std::move(this->faults) } };
        return std::move(this->configuration);
    }

private:
    void require_unique(std::set<std::string>& names, SettingsReader& reader, std::string_view key, std::string const& name)
    {
        if (!name.empty() && !names.insert(name).second)
            reader.fault(SettingsFaultKind::Duplicate, key, "a name that is used once");
    }

    void read_models()
    {
        std::set<std::string> names;
        for (auto& reader : this->top.objects("models", Presence::Required)) {
            ConfiguredModel model;
            model.name = reader.text("name", Presence::Required);
            this->require_unique(names, reader, "name", model.name);
            model.maximum_prompt_tokens = reader.integer("maximum_prompt_tokens", Presence::Optional, 1, MAXIMUM_TOKENS, 32768);
            model.maximum_output_tokens = reader.integer("maximum_output_tokens", Presence::Optional, 1, MAXIMUM_TOKENS, 4096);
            reader.finish();
            this->configuration.models.push_back(model);
        }
    }

    void read_pools()
    {
        std::set<std::string> names;
        for (auto& reader : this->top.objects("pools", Presence::Required)) {
            EngineDescription common;
            auto const role = reader.choice("role", Presence::Required, { "prefill", "decode" });
            common.role = role == "decode" ? EngineRole::Decode : EngineRole::Prefill;
            common.model = reader.text("model", Presence::Required);
            if (!common.model.empty() && !this->configuration.find_model(common.model))
                reader.fault(SettingsFaultKind::DanglingReference, "model", "the name of a model of this file");
            common.decode_slots = reader.integer("decode_slots", Presence::Optional, 1, 4096, 20);
            common.prefill_rate = reader.number("prefill_tokens_per_second", Presence::Optional, 1, 1e9, 8000);
            common.cache_bytes_per_token = reader.number("cache_bytes_per_token", Presence::Optional, 0, 1e9, 0);
            common.link_rate = reader.number("link_bytes_per_second", Presence::Optional, 1, 1e15, 1e12);
            for (auto& engine_reader : reader.objects("engines", Presence::Required)) {
                auto engine = this->read_engine(engine_reader, common);
                this->require_unique(names, engine_reader, "name", engine.description.name);
                this->configuration.engines.push_back(std::move(engine));
            }
            reader.finish();
        }
    }

    ConfiguredEngine read_engine(SettingsReader& reader, EngineDescription const& common)
    {
        ConfiguredEngine engine;
        engine.description = common;
        engine.description.name = reader.text("name", Presence::Required);
        engine.data_centre = reader.text("data_centre", Presence::Required);
        engine.address = reader.text("address", Presence::Required);
        engine.order_checks = reader.boolean("checks_fence", false) ? ConfiguredEngine::OrderChecks::Fenced : ConfiguredEngine::OrderChecks::Unfenced;
        reader.finish();
        return engine;
    }

    void read_services()
    {
        std::set<std::string> names;
        for (auto& reader : this->top.objects("services", Presence::Optional)) {
            ConfiguredService service;
            service.name = reader.text("name", Presence::Required);
            this->require_unique(names, reader, "name", service.name);
            for (auto& server : reader.objects("servers", Presence::Required)) {
                service.servers.push_back({ server.text("name", Presence::Optional), server.text("data_centre", Presence::Required), server.text("address", Presence::Required) });
                server.finish();
            }
            reader.finish();
            this->configuration.services.push_back(std::move(service));
        }
    }

    void read_accounts()
    {
        std::set<std::string> names;
        std::set<std::string> hashes;
        for (auto& reader : this->top.objects("accounts", Presence::Required)) {
            ConfiguredAccount account;
            account.description.name = reader.text("name", Presence::Required);
            this->require_unique(names, reader, "name", account.description.name);
            account.key_hash = reader.text("key_sha256", Presence::Required);
            if (!account.key_hash.empty() && account.key_hash.size() != 64)
                reader.fault(SettingsFaultKind::OutOfRange, "key_sha256", "64 hexadecimal digits");
            this->require_unique(hashes, reader, "key_sha256", account.key_hash);
            account.description.weight = reader.number("weight", Presence::Optional, 0.001, 1e6, 1);
            account.description.requests_per_second = reader.number("requests_per_second", Presence::Optional, 0.001, 1e6, 1000);
            account.description.burst = reader.number("burst", Presence::Optional, 1, 1e6, 1000);
            account.maximum_priority = reader.integer("maximum_priority", Presence::Optional, 0, 9, 5);
            reader.finish();
            this->configuration.accounts.push_back(std::move(account));
        }
    }

    std::vector<SettingsFault> faults;
    SettingsReader top;
    Configuration configuration;
};

}

ConfiguredModel const* Configuration::find_model(std::string_view name) const
{
    return find_pointer(this->models, [&](auto const& model) { return model.name == name; });
}

ConfiguredService const* Configuration::find_service(std::string_view name) const
{
    return find_pointer(this->services, [&](auto const& service) { return service.name == name; });
}

ConfiguredEngine const* Configuration::find_engine(std::string_view name) const
{
    return find_pointer(this->engines, [&](auto const& engine) { return engine.description.name == name; });
}

ConfiguredAccount const* Configuration::find_account_by_key_hash(std::string_view key_hash) const
{
    return find_pointer(this->accounts, [&](auto const& account) { return account.key_hash == key_hash; });
}

std::vector<CellMember> cell_members(Configuration const& configuration, std::string_view data_centre)
{
    std::vector<CellMember> members;
    for (auto const& engine : configuration.engines) {
        auto const* role = engine.description.role == EngineRole::Decode ? "/decode" : "/prefill";
        if (engine.data_centre == data_centre)
            members.push_back({ engine.description.name, engine.description.model + role });
    }
    return members;
}

Result<Configuration, SettingsError> read_configuration(std::string_view text, std::string_view source)
{
    auto const document = TRY(parse_settings(text, source));
    return ConfigurationReader(document, source).read();
}

std::string sha256_hex(std::string_view text) { return KeyDigest::of(text).to_hex(); }

}
