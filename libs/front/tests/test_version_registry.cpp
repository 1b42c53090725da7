#include "../src/version_registry.h"

#include <catch2/catch.hpp>

using namespace yuccachute;
using namespace std::chrono_literals;

namespace {

const steady_time start = steady_time {} + 1h;

/// A store in memory whose answers can be held back.
class held_store final : public async_store {
public:
    void get(std::string_view, callback<std::optional<stored_value>>) override { }
    void list(std::string_view prefix, callback<store_listing> done) override
    {
        ++lists;
        store_listing found;
        for (const auto& [key, value] : values) {
            if (key.starts_with(prefix))
                found.values.push_back(value);
        }
        answer([done = std::move(done), found = std::move(found), this] {
            if (down)
                done(notRun(failure_kind::unavailable, "down"));
            else
                done(found);
        });
    }
    void commit(const store_transaction& transaction, callback<commit_outcome> done) override
    {
        ++commits;
        commit_outcome outcome;
        for (const auto& condition : transaction.conditions) {
            const auto found = values.find(condition.key);
            const auto at = found == values.end() ? 0 : found->second.modRevision;
            if (at != condition.revision)
                outcome.found.push_back(found == values.end() ? stored_value {} : found->second);
        }
        outcome.applied = outcome.found.empty() && !down;
        if (outcome.applied) {
            outcome.revision = ++revision;
            for (const auto& write : transaction.writes)
                values[write.key] = { write.key, write.value, revision, revision, 0 };
            for (const auto& removal : transaction.removals)
                values.erase(removal.key);
        }
        answer([done = std::move(done), outcome, this] {
            if (down)
                done(notRun(failure_kind::unavailable, "down"));
            else
                done(outcome);
        });
    }
    void waitForChange(std::string_view, std::int64_t, milliseconds, callback<store_changes>) override { }
    void grantLease(milliseconds, callback<std::int64_t>) override { }
    void renewLease(std::int64_t, callback<bool>) override { }
    void endLease(std::int64_t, callback<bool>) override { }

    void answerAll()
    {
        for (auto& one : std::exchange(answers, {}))
            one();
    }

    std::map<std::string, stored_value> values;
    std::vector<std::function<void()>> answers;
    std::int64_t revision = 0;
    int lists = 0;
    int commits = 0;
    bool down = false;
    bool held = false;

private:
    void answer(std::function<void()> done)
    {
        if (held)
            answers.push_back(std::move(done));
        else
            done();
    }
};

target_ptr targetOf(const std::string& id, const std::string& version)
{
    auto target = std::make_shared<listed_target>();
    target->id = id;
    target->service = "llm";
    target->version = version;
    return target;
}

void listTarget(
    version_registry& registry, const std::string& id, const std::string& version, steady_time now)
{
    const std::vector<target_change> changes { { nullptr, targetOf(id, version) } };
    registry.targetsChanged(changes, now);
    registry.update(now);
    registry.update(now);
}

void unlistTarget(
    version_registry& registry, const std::string& id, const std::string& version, steady_time now)
{
    const std::vector<target_change> changes { { targetOf(id, version), nullptr } };
    registry.targetsChanged(changes, now);
    registry.update(now);
}

/// "?" if the store does not answer, "-" without a single version.
std::string onlyVersion(version_registry& registry)
{
    std::string found = "pending";
    registry.findOnlyVersion(
        "llm", [&](const auto& only) { found = !only ? "?" : only.value().value_or("-"); });
    return found;
}

} // namespace

// Guards against streams that cannot be resumed after all entries were killed, and against those that are
// resumed at the wrong version because the last target of theirs has just left the list.
TEST_CASE("a process that has just started knows the versions of targets that left before")
{
    held_store store;
    version_registry before(store);
    listTarget(before, "t1", "v1", start);
    CHECK(onlyVersion(before) == "v1");
    listTarget(before, "t2", "v2", start + 1s);
    CHECK(onlyVersion(before) == "-");
    unlistTarget(before, "t1", "v1", start + 2s);
    version_registry after(store);
    listTarget(after, "t2", "v2", start + 3s);
    CHECK(onlyVersion(after) == "-");
}

// Guards against a version that is taken for present for ever, so that streams of unknown origin are refused.
TEST_CASE(
    "the record of a version is removed a minute after its last target, and written again for a new one")
{
    held_store store;
    version_registry registry(store);
    listTarget(registry, "t1", "v1", start);
    listTarget(registry, "t2", "v2", start);
    unlistTarget(registry, "t1", "v1", start + 1s);
    registry.update(start + 60s);
    CHECK(onlyVersion(registry) == "-");
    registry.update(start + 61s);
    CHECK(onlyVersion(registry) == "v2");
    listTarget(registry, "t3", "v1", start + 70s);
    CHECK(onlyVersion(registry) == "-");
}

// Guards against several processes that each write, or remove, the same record again and again.
TEST_CASE("a record that another process has written is not written again")
{
    held_store store;
    version_registry one(store);
    version_registry other(store);
    listTarget(one, "t1", "v1", start);
    listTarget(other, "t1", "v1", start);
    for (int i = 0; i < 10; ++i) {
        one.update(start + i * 1s);
        other.update(start + i * 1s);
    }
    CHECK(store.commits == 1);
    CHECK(store.lists == 2);
}

// Guards against an answer that is older than the question: a version may have been listed in between.
TEST_CASE("a question is answered by a call that was sent after it")
{
    held_store store;
    version_registry registry(store);
    listTarget(registry, "t1", "v1", start);
    store.held = true;
    std::vector<std::string> found;
    const auto ask = [&] {
        registry.findOnlyVersion(
            "llm", [&](const auto& only) { found.push_back(only.value().value_or("-")); });
    };
    ask();
    const service_version another { "llm", "v2" };
    store.values[versionKey(another)] = { versionKey(another), encodeVersion(another), 9, 9, 0 };
    ask();
    ask();
    store.answerAll();
    CHECK(found == std::vector<std::string> { "v1" });
    store.answerAll();
    CHECK(found == std::vector<std::string> { "v1", "-", "-" });
}

TEST_CASE("without an answer of the store, or without a record, there is no only version")
{
    held_store store;
    version_registry registry(store);
    CHECK(onlyVersion(registry) == "-");
    listTarget(registry, "t1", "v1", start);
    store.down = true;
    CHECK(onlyVersion(registry) == "?");
}

// Guards against streams that begin at a version whose record the store has lost, and are continued at
// another version after all entries were killed.
TEST_CASE("streams begin at recorded versions while targets of one accept requests")
{
    held_store store;
    version_registry registry(store);
    listTarget(registry, "t1", "v1", start);
    CHECK(!registry.versionToBegin("llm", std::nullopt)); // None is recorded.
    CHECK(!registry.versionToBegin("llm", "v1"));
    const std::vector<service_version> recorded { { "llm", "v1" }, { "other", "v2" } };
    registry.setRecorded(recorded);
    CHECK(!registry.versionToBegin("llm", std::nullopt)); // All are recorded.
    CHECK(registry.versionToBegin("llm", "v2") == "v1"); // Of a target that is not listed here yet.
    listTarget(registry, "t2", "v2", start);
    CHECK(registry.versionToBegin("llm", std::nullopt) == "v1");
    CHECK(registry.versionToBegin("llm", "v2") == "v1");
    CHECK(!registry.versionToBegin("llm", "v1"));
    CHECK(!registry.versionToBegin("other", "v2"));
}

TEST_CASE("streams begin at unrecorded versions if no target of a recorded one accepts requests")
{
    held_store store;
    version_registry registry(store);
    listTarget(registry, "t1", "v1", start);
    listTarget(registry, "t2", "v2", start);
    const std::vector<service_version> recorded { { "llm", "v1" } };
    registry.setRecorded(recorded);
    REQUIRE(registry.versionToBegin("llm", "v2") == "v1");
    auto draining = std::make_shared<listed_target>(*targetOf("t1", "v1"));
    draining->draining = true;
    const std::vector<target_change> drains { { targetOf("t1", "v1"), draining } };
    registry.targetsChanged(drains, start);
    CHECK(!registry.versionToBegin("llm", std::nullopt));
    CHECK(!registry.versionToBegin("llm", "v2"));
    const std::vector<target_change> leaves { { draining, nullptr } };
    registry.targetsChanged(leaves, start);
    CHECK(!registry.versionToBegin("llm", "v2"));
}

TEST_CASE("streams are distributed among recorded versions")
{
    held_store store;
    version_registry registry(store);
    for (const auto* version : { "v1", "v2", "v3" })
        listTarget(registry, std::string("t-") + version, version, start);
    const std::vector<service_version> recorded { { "llm", "v1" }, { "llm", "v2" } };
    registry.setRecorded(recorded);
    std::map<std::string, int> begun;
    for (int i = 0; i < 10; ++i)
        ++begun[registry.versionToBegin("llm", std::nullopt).value()];
    CHECK(begun == std::map<std::string, int> { { "v1", 5 }, { "v2", 5 } });
}
