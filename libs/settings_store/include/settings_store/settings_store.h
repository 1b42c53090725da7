#pragma once

#include "settings/settings.h"
#include "store/store.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

/// Stores the settings tree in the key-value service: one key per node, one head key, and one history key per
/// edit. Layer: transport.
///
/// The transaction of an edit also rewrites the head, on the condition that the head is unchanged since the
/// tree was read and validated. Edits are therefore serialized: the resulting tree has always been validated
/// as a whole, so two edits that are each valid alone cannot together create a dangling reference. The
/// modification revision of the head is the version of the tree.
namespace yuccachute {

constexpr std::string_view settingsPrefix = "/yuccachute/settings/";

/// Reads the whole tree and its version.
result<settings_tree> readSettings(config_store& store);

struct edit_author {
    std::string name;
    std::string note; ///< Reason for the edit.
};

struct accepted_edit {
    std::int64_t version = 0; ///< Version of the tree that contains the edit.
    settings_tree tree;
};

/// Validates the edits against the latest tree and commits them in one transaction. An edit with a base
/// revision fails with `conflict` if its node has changed since; the message shows the current node and the
/// edit. Concurrent changes of other nodes are not a conflict. If the response of the commit is lost, the
/// history is read to find out whether it was applied. Only if the store remains unreachable does this stay
/// unknown; the failure then has the verdict may_have_run.
result<accepted_edit> commitEdits(config_store& store, std::span<const settings_edit> edits,
    const edit_author& author, std::string_view editId, std::int64_t nowMs);

/// Returns up to `maxEntries` entries of the edit history, newest first. Each is a JSON object with the
/// version, the edit's ID, author, note and time, and each node before and after the edit.
result<std::vector<std::string>> readHistory(config_store& store, std::size_t maxEntries);

} // namespace yuccachute
