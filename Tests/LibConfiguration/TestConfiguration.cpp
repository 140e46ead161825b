// SPDX-FileCopyrightText: 2026 The Spurtide developers
// SPDX-License-Identifier: BSD-2-Clause

#include <LibConfiguration/Configuration.h>
#include <catch2/catch.hpp>

using namespace Spurtide;

namespace {

std::string const s_hash(64, 'a');

std::string document(std::string const& pools, std::string const& accounts = "")
{
    return R"({"models": [{"name": "llm"}], "pools": [)" + pools + R"(], "accounts": [)" + accounts + "]}";
}

std::vector<std::string> fault_texts(std::string const& text)
{
    std::vector<std::string> texts;
    auto const read = read_configuration(text, "f");
    if (read.is_error()) {
        for (auto const& fault : read.error().faults)
            texts.push_back(std::string(to_string(fault.kind)) + " " + fault.path);
    }
    return texts;
}

}

TEST_CASE("A whole configuration is read with its defaults")
{
    auto const read = read_configuration(document(R"({"role": "decode", "model": "llm", "engines": [{"name": "e", "data_centre": "dc", "address": "127.0.0.1:1", "checks_fence": true}]})", R"({"name": "a", "key_sha256": ")" + s_hash + "\"}"), "f");
    REQUIRE_FALSE(read.is_error());
    CHECK(read.value().find_engine("e")->description.decode_slots == 20);
    CHECK(read.value().find_engine("e")->order_checks == ConfiguredEngine::OrderChecks::Fenced);
    CHECK(read.value().find_account_by_key_hash(s_hash)->description.name == "a");
    CHECK(read.value().find_model("other") == nullptr);
}

TEST_CASE("Every fault of a configuration is named at once")
{
    using Texts = std::vector<std::string>;
    CHECK(fault_texts("{}") == Texts { "missing /models", "missing /pools", "missing /accounts" });
    CHECK(fault_texts(document(R"({"role": "both", "model": "none", "engines": [{"name": "e", "data_centre": "dc"}], "slots": 1})"))
        == Texts { "out_of_range /pools/0/role", "dangling_reference /pools/0/model", "missing /pools/0/engines/0/address", "unknown_key /pools/0/slots" });
    auto const engine = R"({"name": "e", "data_centre": "dc", "address": "127.0.0.1:1"})";
    CHECK(fault_texts(document(std::string(R"({"role": "decode", "model": "llm", "engines": [)") + engine + "," + engine + "]}")) == Texts { "duplicate /pools/0/engines/1/name" });
    CHECK(fault_texts(document("", R"({"name": "a", "key_sha256": "12"}, {"name": "a", "key_sha256": "12", "weight": 0})"))
        == Texts { "out_of_range /accounts/0/key_sha256", "duplicate /accounts/1/name", "out_of_range /accounts/1/key_sha256", "duplicate /accounts/1/key_sha256", "out_of_range /accounts/1/weight" });
}

TEST_CASE("SHA-256 agrees with the published value")
{
    CHECK(sha256_hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}
