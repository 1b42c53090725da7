#include "settings/settings.h"

#include <catch2/catch.hpp>

using namespace yuccachute;

namespace {

constexpr auto sample = R"([fleet]
timeout_ms = 5000
weight = 1

[service/screening]
kind = model
timeout_ms = 4000

[service/screening/target/s1]
address = 127.0.0.1:7001
zone = rennes-a

[customer/armor]
weight = 2.5

[customer/armor/service/screening]
retries = 1
)";

settings_tree sampleTree()
{
    const auto edits = readIni("sample.ini", sample);
    REQUIRE(edits);
    auto tree = applyEdits({}, edits.value());
    REQUIRE(tree);
    return tree.value();
}

std::string iniError(std::string_view text)
{
    const auto edits = readIni("bad.ini", text);
    if (!edits)
        return edits.error().message;
    const auto tree = applyEdits(sampleTree(), edits.value());
    return tree ? "" : tree.error().message;
}

} // namespace

TEST_CASE("each level inherits what it does not override")
{
    const auto tree = sampleTree();
    const auto settings = resolveRequest(tree, "armor", "screening");
    CHECK(settings.timeout == milliseconds { 4000 });
    CHECK(settings.weight == 2.5);
    CHECK(settings.retries == 1);
    CHECK(settings.jobAttempts == 4);
    CHECK(resolveRequest(tree, "armor", "other").timeout == milliseconds { 5000 });
    const auto origin = resolveKey(tree, "customer/armor/service/screening", "timeout_ms");
    CHECK(origin.source == "service/screening");
}

TEST_CASE("the tree is unchanged after a round trip through INI text")
{
    const auto tree = sampleTree();
    const auto edits = readIni("again.ini", writeIni(tree));
    REQUIRE(edits);
    const auto reread = applyEdits({}, edits.value());
    REQUIRE(reread);
    CHECK(writeIni(reread.value()) == writeIni(tree));
}

TEST_CASE("the error for an invalid key or value names file, line and key and suggests the nearest key")
{
    CHECK(iniError("[fleet]\nweight = 1\ntimeout_sm = 5\n")
        == "bad.ini:3: [fleet] timeout_sm: unknown key; did you mean timeout_ms?");
    CHECK(iniError("[fleet]\ntimeout_ms = soon\n")
        == "bad.ini:2: [fleet] timeout_ms: \"soon\" is not a number");
    CHECK(iniError("[fleet]\n\ntimeout_ms = 0\n")
              .find("bad.ini:3: [fleet] timeout_ms: \"0\" is not between 1 and")
        == 0);
    CHECK(iniError("[fleet]\ntimeout_ms\n") == "bad.ini:2: neither [section] nor key = value");
    CHECK(iniError("[fleet]\ntimeout_ms = 5\ntimeout_ms = 6\n").find("bad.ini:3:") == 0);
    CHECK(iniError("[planet]\nweight = 1\n") == "bad.ini:2: [planet]: not a path of the tree");
    CHECK(iniError("[fleet]\naddress = 1.2.3.4:5\n").find("is not allowed at this kind of node")
        != std::string::npos);
    CHECK(iniError("[service/x/target/t]\naddress = 1.2.3.4:5\nzone = a\n").find("there is no [service/x]")
        != std::string::npos);
    CHECK(
        iniError("[service/screening/target/t]\nzone = a\n").find("address is missing") != std::string::npos);
    CHECK(iniError("[service/screening/target/t]\nzone = a\naddress = nowhere\n").find("host:port")
        != std::string::npos);
    CHECK(iniError("[fleet]\nweight = " + std::string(300, '1') + "\n").find("bad.ini:2: the line is longer")
        == 0);
}

// Guards against lost updates: two operators read the same node and both change it, and the second edit
// silently reverts the first. The second edit must fail, and the message must show the current values and the
// edit.
TEST_CASE(
    "an edit based on an outdated revision fails with a conflict that shows the current node and the edit")
{
    auto tree = sampleTree();
    tree.nodes.at("customer/armor").revision = 7;
    settings_edit edit { "customer/armor", { { "weight", "3" } }, {}, false, 6 };
    const auto refused = applyEdits(tree, std::span(&edit, 1));
    REQUIRE(!refused);
    CHECK(refused.error().kind == failure_kind::conflict);
    CHECK(refused.error().message.find("weight = 2.5") != std::string::npos);
    CHECK(refused.error().message.find("Requested: weight = 3") != std::string::npos);
    edit.base = 7;
    CHECK(applyEdits(tree, std::span(&edit, 1)));
}

TEST_CASE("API keys and operator tokens are looked up by hash")
{
    auto tree = sampleTree();
    const std::string hash = sha256Hex("secret");
    CHECK(hash == "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b");
    tree.nodes["customer/armor"].values["api_key_sha256"] = sha256Hex("other") + ',' + hash;
    const auto hashes = listKeyHashes(tree);
    REQUIRE(hashes.size() == 2);
    CHECK(hashes[1] == std::pair<std::string, std::string>(hash, "armor"));
    CHECK(sameHash(hash, hash));
    CHECK(!sameHash(hash, hashes[0].first));
    tree.nodes["operator/ana"].values = { { "token_sha256", hash }, { "scope", "customer/armor" } };
    CHECK(findOperatorByToken(tree, "secret")->scope == "customer/armor");
    CHECK(scopeCovers("customer/armor", "customer/armor/service/screening"));
    CHECK(!scopeCovers("customer/armor", "customer/armorique"));
    CHECK(!scopeCovers("customer/armor", "fleet"));
}

// Guards against a removed customer whose API key stays valid in entries that apply incremental updates only.
TEST_CASE("an update includes removed nodes and applies only to the version on which it is based")
{
    auto before = sampleTree();
    before.version = 10;
    auto after = before;
    after.version = 12;
    after.nodes.erase("customer/armor");
    after.nodes["fleet"] = { { { "weight", "9" } }, 12 };
    after.nodes["customer/new"] = { { { "weight", "4" } }, 11 };
    const auto update = diffTrees(before, after);
    CHECK(update.changed.nodes.size() == 2);
    const auto applied = applyUpdate(before, update);
    REQUIRE(applied);
    CHECK(writeIni(applied.value()) == writeIni(after));
    CHECK(applied.value().version == 12);
    before.version = 11;
    CHECK(applyUpdate(before, update).error().kind == failure_kind::conflict);
    CHECK(applyUpdate({}, { 0, after, {} }).value().version == 12);
}
