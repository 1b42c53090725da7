#include "settings_store/settings_store.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace yuccachute;

namespace {

settings_edit setKey(
    std::string path, std::string key, std::string value, std::optional<std::int64_t> base = std::nullopt)
{
    return { std::move(path), { { std::move(key), std::move(value) } }, {}, false, base };
}

result<accepted_edit> commitOne(config_store& store, const settings_edit& edit, const std::string& id)
{
    return commitEdits(store, std::span(&edit, 1), { "ana", "" }, id, 1000);
}

} // namespace

TEST_CASE("the version is the head's revision and grows with every edit")
{
    memory_store store;
    const auto first = commitOne(store, setKey("fleet", "weight", "2"), "e1");
    REQUIRE(first);
    const auto second = commitOne(store, setKey("customer/a", "weight", "3"), "e2");
    REQUIRE(second);
    CHECK(second.value().version > first.value().version);
    const auto tree = readSettings(store).value();
    CHECK(tree.version == second.value().version);
    CHECK(tree.nodes.at("fleet").revision == first.value().version);
    const auto history = readHistory(store, 10).value();
    REQUIRE(history.size() == 2);
    CHECK(history[0].find("\"author\":\"ana\"") != std::string::npos);
    CHECK(history[0].find("customer/a") != std::string::npos);
}

// The store applies an edit, but its response is lost. Guards against reporting a failure, which makes the
// operator submit a different edit in addition, and against applying the edit a second time, which would undo
// another edit made in between.
TEST_CASE("an edit whose commit response is lost is applied once")
{
    memory_store store;
    commitOne(store, setKey("fleet", "weight", "2"), "e1").value();
    bool loseReply = true;
    store.fault = [&](std::string_view call) -> std::optional<failure> {
        if (call == "commit" && std::exchange(loseReply, false))
            return mayHaveRun(failure_kind::unavailable, "lost");
        return std::nullopt;
    };
    const auto edit = commitOne(store, setKey("fleet", "weight", "5"), "e2");
    REQUIRE(edit);
    CHECK(edit.value().tree.nodes.at("fleet").values.at("weight") == "5");
    CHECK(readHistory(store, 10).value().size() == 2);
}

// An edit with a base revision is applied, but the response is lost. Guards against a retry that reports a
// conflict with the edit itself.
TEST_CASE("an edit whose commit response is lost does not conflict with itself")
{
    memory_store store;
    const auto first = commitOne(store, setKey("fleet", "weight", "2"), "e1").value();
    bool loseReply = true;
    store.fault = [&](std::string_view call) -> std::optional<failure> {
        if (call == "commit" && std::exchange(loseReply, false))
            return mayHaveRun(failure_kind::unavailable, "lost");
        return std::nullopt;
    };
    CHECK(commitOne(store, setKey("fleet", "weight", "5", first.version), "e2"));
}

TEST_CASE("the verdict of a failed edit tells whether it may have been applied")
{
    memory_store store;
    store.fault
        = [](std::string_view) { return std::optional(mayHaveRun(failure_kind::unavailable, "down")); };
    CHECK(commitOne(store, setKey("fleet", "weight", "2"), "e1").error().ran == verdict::not_run);
    bool commitSent = false;
    store.fault = [&](std::string_view call) -> std::optional<failure> {
        commitSent = commitSent || call == "commit";
        return commitSent ? std::optional(mayHaveRun(failure_kind::unavailable, "down")) : std::nullopt;
    };
    CHECK(commitOne(store, setKey("fleet", "weight", "2"), "e2").error().ran == verdict::may_have_run);
}

// Guards against lost updates when several operators edit the tree concurrently. The next test covers two
// edits that are each valid alone but together leave a dangling reference.
TEST_CASE("concurrent edits are all applied, and none is lost")
{
    memory_store store;
    commitOne(store, setKey("service/s", "kind", "model"), "start").value();
    constexpr int operators = 8;
    constexpr int editsPerOperator = 15;
    std::atomic<int> accepted { 0 };
    std::vector<std::thread> threads;
    for (int o = 0; o < operators; ++o) {
        threads.emplace_back([&, o] {
            for (int i = 0; i < editsPerOperator; ++i) {
                const auto id = std::to_string(o) + "-" + std::to_string(i);
                accepted += commitOne(
                    store, setKey("customer/c" + std::to_string(o), "queue_limit", std::to_string(i)), id)
                                .has_value();
            }
        });
    }
    for (auto& thread : threads)
        thread.join();
    CHECK(accepted == operators * editsPerOperator);
    const auto tree = readSettings(store).value();
    for (int o = 0; o < operators; ++o)
        CHECK(tree.nodes.at("customer/c" + std::to_string(o)).values.at("queue_limit")
            == std::to_string(editsPerOperator - 1));
    CHECK(readHistory(store, 1000).value().size() == operators * editsPerOperator + 1);
}

TEST_CASE("removing a service and adding a target to it cannot both be accepted")
{
    memory_store store;
    commitOne(store, setKey("service/s", "kind", "model"), "e1").value();
    const settings_edit remove { "service/s", {}, {}, true, std::nullopt };
    const settings_edit target { "service/s/target/t", { { "address", "127.0.0.1:1" }, { "zone", "a" } }, {},
        false, std::nullopt };
    CHECK(commitOne(store, remove, "e2"));
    const auto refused = commitOne(store, target, "e3");
    REQUIRE(!refused);
    CHECK(refused.error().kind == failure_kind::bad_request);
}
