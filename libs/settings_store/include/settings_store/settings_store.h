#pragma once

#include "settings/settings.h"
#include "store/store.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

/// The settings tree in the key-value service: one key a node, one key for the head, one key an edit of the
/// history. Layer: transport.
///
/// Every accepted edit rewrites the head in the same transaction and is conditional on the head it was
/// checked against. So the whole tree was checked as it then stands, two edits that are each valid alone
/// cannot break a reference together, and the head's revision is the version of the tree.
namespace yuccachute {

constexpr std::string_view settingsPrefix = "/yuccachute/settings/";

/// Reads the whole tree and its version.
result<settings_tree> readSettings(config_store& store);

/// Who edits, and what for.
struct edit_author {
    std::string name;
    std::string note;
};

/// Outcome of an accepted edit.
struct accepted_edit {
    std::int64_t version = 0;
    settings_tree tree;
};

/// Checks the edits against the newest tree and writes them in one transaction. An edit that names a base and
/// lost a race fails with conflict and shows both sides; edits of other nodes in between are no conflict. A
/// lost reply is settled by reading: the answer is never "unknown" unless the store stays unreachable, and
/// then the failure's verdict is may_have_run.
result<accepted_edit> commitEdits(config_store& store, std::span<const settings_edit> edits,
    const edit_author& author, std::string_view editId, std::int64_t nowMs);

/// One entry of the history, as JSON: version, id, author, note, time, and each node before and after.
result<std::vector<std::string>> readHistory(config_store& store, std::size_t most);

} // namespace yuccachute
