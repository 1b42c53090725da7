#include "settings_store/settings_store.h"

#include "json_input/json_input.h"

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
constexpr int maxCommitAttempts = 50;
constexpr int maxVerificationReads = 5;

std::string nodeKey(std::string_view path)
{
    return std::string(nodePrefix) + std::string(path);
}

/// Zero-padded time first, so that the keys sort from oldest to newest.
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
    const auto document = parseJson(stored.value);
    if (!document.is_object())
        return node;
    for (const auto& [key, value] : document.items())
        node.values[key] = value.is_string() ? value.get<std::string>() : value.dump();
    return node;
}

json nodeToJson(const settings_tree& tree, std::string_view path)
{
    const auto found = tree.nodes.find(path);
    return found == tree.nodes.end() ? json(nullptr) : json(found->second.values);
}

std::string formatHistoryEntry(const settings_tree& before, const settings_tree& after,
    std::span<const settings_edit> edits, const edit_author& author, std::string_view editId,
    std::int64_t nowMs)
{
    json entry { { "edit", editId }, { "author", author.name }, { "note", author.note }, { "time_ms", nowMs },
        { "nodes", json::array() } };
    std::set<std::string> paths;
    for (const auto& edit : edits)
        paths.insert(edit.path);
    for (const auto& path : paths)
        entry["nodes"].push_back({ { "path", path }, { "before", nodeToJson(before, path) },
            { "after", nodeToJson(after, path) } });
    return entry.dump();
}

store_transaction buildTransaction(const settings_tree& before, const settings_tree& after,
    std::span<const settings_edit> edits, const std::string& head, const std::string& historyEntryKey,
    const std::string& historyEntry)
{
    store_transaction transaction;
    transaction.conditions.push_back(
        { store_condition::kind::mod_revision, std::string(headKey), before.version });
    std::set<std::string> paths;
    for (const auto& edit : edits)
        paths.insert(edit.path);
    for (const auto& path : paths) {
        if (after.nodes.contains(path))
            transaction.writes.push_back({ nodeKey(path), nodeToJson(after, path).dump(), 0 });
        else
            transaction.removals.push_back({ nodeKey(path), false });
    }
    transaction.writes.push_back({ std::string(headKey), head, 0 });
    transaction.writes.push_back({ historyEntryKey, historyEntry, 0 });
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

/// Determines whether an edit whose commit response was lost has been applied: its history entry is written
/// in the same transaction.
result<bool> wasApplied(config_store& store, const std::string& historyEntryKey)
{
    failure last = mayHaveRun(failure_kind::unavailable, "the store is not responding");
    for (int attempt = 0; attempt < maxVerificationReads; ++attempt) {
        const auto found = store.get(historyEntryKey);
        if (found)
            return found.value().has_value();
        last = found.error();
    }
    last.ran = verdict::may_have_run;
    last.message += "; it is unknown whether the edit was applied";
    return last;
}

} // namespace

result<accepted_edit> commitEdits(config_store& store, std::span<const settings_edit> edits,
    const edit_author& author, std::string_view editId, std::int64_t nowMs)
{
    const auto historyEntryKey = historyKey(nowMs, editId);
    const auto head = json { { "edit", editId }, { "author", author.name } }.dump();
    for (int attempt = 0; attempt < maxCommitAttempts; ++attempt) {
        auto before = readSettings(store);
        if (!before) {
            // Nothing has been written: earlier attempts were not applied.
            auto error = before.error();
            error.ran = verdict::not_run;
            return error;
        }
        BOOST_OUTCOME_TRY(auto after, applyEdits(before.value(), edits));
        const auto historyEntry = formatHistoryEntry(before.value(), after, edits, author, editId, nowMs);
        const auto committed = store.commit(
            buildTransaction(before.value(), after, edits, head, historyEntryKey, historyEntry));
        if (!committed && committed.error().ran == verdict::not_run)
            return committed.error();
        if (!committed) {
            BOOST_OUTCOME_TRY(auto accepted, wasApplied(store, historyEntryKey));
            if (!accepted)
                continue;
            BOOST_OUTCOME_TRY(auto current, readSettings(store));
            const auto version = current.version;
            return accepted_edit { version, std::move(current) };
        }
        if (!committed.value().applied)
            continue; // A concurrent edit was committed first: validate again against the current tree.
        after.version = committed.value().revision;
        for (const auto& edit : edits) {
            if (const auto node = after.nodes.find(edit.path); node != after.nodes.end())
                node->second.revision = after.version;
        }
        return accepted_edit { after.version, std::move(after) };
    }
    return notRun(failure_kind::conflict, "too many concurrent edits; this edit was not applied, retry it",
        milliseconds { 1000 });
}

result<std::vector<std::string>> readHistory(config_store& store, std::size_t maxEntries)
{
    BOOST_OUTCOME_TRY(auto listing, store.list(historyPrefix));
    std::vector<std::string> entries;
    for (auto entry = listing.values.rbegin(); entry != listing.values.rend() && entries.size() < maxEntries;
         ++entry) {
        auto document = parseJson(entry->value);
        if (!document.is_object())
            continue;
        document["version"] = entry->modRevision;
        entries.push_back(document.dump());
    }
    return entries;
}

} // namespace yuccachute
