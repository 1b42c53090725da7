#include "settings_store/settings_store.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <set>

namespace yuccachute {

namespace {

using json = nlohmann::json;

constexpr std::string_view headKey = "/yuccachute/settings/head";
constexpr std::string_view nodePrefix = "/yuccachute/settings/node/";
constexpr std::string_view historyPrefix = "/yuccachute/settings-history/";
constexpr int mostRaces = 50;
constexpr int mostSettlingReads = 5;

std::string nodeKey(std::string_view path)
{
    return std::string(nodePrefix) + std::string(path);
}

/// Sorts by time, newest last.
std::string historyKey(std::int64_t nowMs, std::string_view editId)
{
    char time[24];
    std::snprintf(time, sizeof time, "%014lld-", static_cast<long long>(nowMs));
    return std::string(historyPrefix) + time + std::string(editId);
}

settings_node parseNode(const stored_value& stored)
{
    settings_node node;
    node.revision = stored.modRevision;
    const auto document = json::parse(stored.value, nullptr, false);
    if (!document.is_object())
        return node;
    for (const auto& [key, value] : document.items())
        node.values[key] = value.is_string() ? value.get<std::string>() : value.dump();
    return node;
}

json nodeJson(const settings_tree& tree, std::string_view path)
{
    const auto found = tree.nodes.find(path);
    return found == tree.nodes.end() ? json(nullptr) : json(found->second.values);
}

std::string describeEdits(const settings_tree& before, const settings_tree& after,
    std::span<const settings_edit> edits, const edit_author& author, std::string_view editId,
    std::int64_t nowMs)
{
    json entry { { "edit", editId }, { "author", author.name }, { "note", author.note }, { "time_ms", nowMs },
        { "nodes", json::array() } };
    std::set<std::string> paths;
    for (const auto& edit : edits)
        paths.insert(edit.path);
    for (const auto& path : paths)
        entry["nodes"].push_back(
            { { "path", path }, { "before", nodeJson(before, path) }, { "after", nodeJson(after, path) } });
    return entry.dump();
}

store_transaction buildTransaction(const settings_tree& before, const settings_tree& after,
    std::span<const settings_edit> edits, const std::string& head, const std::string& historyAt,
    const std::string& description)
{
    store_transaction transaction;
    transaction.conditions.push_back(
        { store_condition::kind::mod_revision, std::string(headKey), before.version });
    std::set<std::string> paths;
    for (const auto& edit : edits)
        paths.insert(edit.path);
    for (const auto& path : paths) {
        if (after.nodes.contains(path))
            transaction.writes.push_back({ nodeKey(path), nodeJson(after, path).dump(), 0 });
        else
            transaction.removals.push_back({ nodeKey(path), false });
    }
    transaction.writes.push_back({ std::string(headKey), head, 0 });
    transaction.writes.push_back({ historyAt, description, 0 });
    return transaction;
}

} // namespace

result<settings_tree> readSettings(config_store& store)
{
    BOOST_OUTCOME_TRY(auto listing, store.list(settingsPrefix));
    settings_tree tree;
    for (const auto& stored : listing.values) {
        if (stored.key == headKey)
            tree.version = stored.modRevision;
        else if (stored.key.starts_with(nodePrefix))
            tree.nodes[stored.key.substr(nodePrefix.size())] = parseNode(stored);
    }
    return tree;
}

namespace {

/// An edit whose reply was lost: whether its history entry is there tells whether it took effect.
result<bool> tookEffect(config_store& store, const std::string& historyAt)
{
    failure last = mayHaveRun(failure_kind::unavailable, "the store does not answer");
    for (int attempt = 0; attempt < mostSettlingReads; ++attempt) {
        const auto found = store.get(historyAt);
        if (found)
            return found.value().has_value();
        last = found.error();
    }
    last.ran = verdict::may_have_run;
    last.message += "; whether the edit was accepted is not known";
    return last;
}

} // namespace

result<accepted_edit> commitEdits(config_store& store, std::span<const settings_edit> edits,
    const edit_author& author, std::string_view editId, std::int64_t nowMs)
{
    const auto historyAt = historyKey(nowMs, editId);
    const auto head = json { { "edit", editId }, { "author", author.name } }.dump();
    for (int race = 0; race < mostRaces; ++race) {
        auto before = readSettings(store);
        if (!before) {
            // Nothing has been written in this round.
            auto error = before.error();
            error.ran = verdict::not_run;
            return error;
        }
        BOOST_OUTCOME_TRY(auto after, applyEdits(before.value(), edits));
        const auto description = describeEdits(before.value(), after, edits, author, editId, nowMs);
        const auto committed
            = store.commit(buildTransaction(before.value(), after, edits, head, historyAt, description));
        if (!committed && committed.error().ran == verdict::not_run)
            return committed.error();
        if (!committed) {
            BOOST_OUTCOME_TRY(auto accepted, tookEffect(store, historyAt));
            if (!accepted)
                continue;
            BOOST_OUTCOME_TRY(auto now, readSettings(store));
            const auto version = now.version;
            return accepted_edit { version, std::move(now) };
        }
        if (!committed.value().applied)
            continue; // Another edit came first: check again against the tree as it is now.
        after.version = committed.value().revision;
        for (const auto& edit : edits) {
            if (const auto node = after.nodes.find(edit.path); node != after.nodes.end())
                node->second.revision = after.version;
        }
        return accepted_edit { after.version, std::move(after) };
    }
    return notRun(
        failure_kind::conflict, "too many other edits at the same time; try again", milliseconds { 1000 });
}

result<std::vector<std::string>> readHistory(config_store& store, std::size_t most)
{
    BOOST_OUTCOME_TRY(auto listing, store.list(historyPrefix));
    std::vector<std::string> entries;
    for (auto entry = listing.values.rbegin(); entry != listing.values.rend() && entries.size() < most;
         ++entry) {
        auto document = json::parse(entry->value, nullptr, false);
        if (!document.is_object())
            continue;
        document["version"] = entry->modRevision;
        entries.push_back(document.dump());
    }
    return entries;
}

} // namespace yuccachute
