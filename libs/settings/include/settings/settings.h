#pragma once

#include "verdict/verdict.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// The settings tree that operators edit: schema, validation, inheritance and INI format. Layer: state. No
/// I/O.
///
/// Nodes of the tree, by path:
///   fleet                                       defaults for all other nodes
///   service/NAME                                a service, with its kind and the defaults for its callers
///   service/NAME/target/NAME                    a target of that service
///   customer/NAME                               a customer, with its keys and limits
///   customer/NAME/service/NAME                  the customer's settings for one service
///   customer/NAME/service/NAME/job/NAME         one bulk job
///   operator/NAME                               an operator account, with token and scope
///
/// A key that is not set at a job is looked up at customer/NAME/service/NAME, then at the customer, the
/// service and the fleet. If none sets it, the schema's default applies.
namespace yuccachute {

/// Kind of a node. The values are bits, so that a key can have a mask of the kinds at which it is allowed.
enum class node_kind : std::uint8_t {
    fleet = 1,
    service = 2,
    target = 4,
    customer = 8,
    customer_service = 16,
    job = 32,
    operator_account = 64
};

/// Returns the kind of the node at a path, or nullopt if the path is malformed.
std::optional<node_kind> kindOfPath(std::string_view path);

/// The values set at one node.
struct settings_node {
    std::map<std::string, std::string, std::less<>> values;
    /// Store revision of the node's last change; an edit names the revision it was made against.
    std::int64_t revision = 0;
};

/// All nodes, and the version of the tree. The version is the store revision of the last applied edit, so it
/// increases with each edit.
struct settings_tree {
    std::map<std::string, settings_node, std::less<>> nodes;
    std::int64_t version = 0;
};

/// The difference between two versions of the tree, or a complete tree.
struct settings_update {
    std::int64_t basedOn = 0; ///< Version to which the update applies; 0 for a complete tree.
    settings_tree changed; ///< Nodes that were added or changed, and the resulting version.
    std::vector<std::string> removed; ///< Paths of removed nodes.
};

/// Computes the update that turns one tree into a later one.
settings_update diffTrees(const settings_tree& from, const settings_tree& to);

/// Applies an update. Fails with `conflict` if the update is based on a version other than the tree's.
result<settings_tree> applyUpdate(const settings_tree& tree, settings_update update);

/// A change of one node: keys to set, and keys to remove.
struct settings_edit {
    std::string path;
    std::map<std::string, std::string, std::less<>> set;
    std::vector<std::string> unset;
    bool removeNode = false;
    /// Revision of the node on which the edit is based; 0 for a node that did not exist. Unset for an edit
    /// that applies regardless of the node's current state.
    std::optional<std::int64_t> base;
};

/// Schema of one key.
struct key_description {
    std::string_view name;
    std::string_view type; ///< "integer", "number", "boolean", "text", "choice", "address"
    std::string_view fallback; ///< Default; empty for none.
    double minimum = 0;
    double maximum = 0;
    std::string_view choices; ///< For "choice": the allowed values, separated by '|'.
    std::uint8_t kinds = 0; ///< Mask of the node kinds at which the key is allowed.
    std::string_view meaning;
};

/// Returns the schema of all keys, sorted by name.
std::span<const key_description> schema();

/// Validates a key and its value for the node at a path. The error message names the path and key and, for an
/// unknown key, the most similar known key.
result<void> checkValue(std::string_view path, std::string_view key, std::string_view value);

/// Applies edits to a copy of the tree and validates the result: paths, keys, values, and references between
/// nodes. If a node has changed since an edit's base revision, the message shows the current node and the
/// edit. The version stays unchanged.
result<settings_tree> applyEdits(const settings_tree& tree, std::span<const settings_edit> edits);

/// Converts INI text to edits, one per section. Errors name the file and line.
result<std::vector<settings_edit>> readIni(std::string_view fileName, std::string_view text);

/// Writes the tree as INI text that readIni() accepts.
std::string writeIni(const settings_tree& tree);

/// Service that a request can name.
struct service_settings {
    std::string name;
    bool model = true; ///< A model service; otherwise a plain service.
};

struct target_settings {
    std::string name;
    std::string service;
    std::string zone;
    std::string address;
    bool drain = false; ///< The target receives no new work.
    unsigned slots = 8; ///< Requests that the target runs concurrently.
    std::string adapter; ///< Adapter to keep loaded; empty for none.
    std::string modelVersion; ///< Model version to serve; empty for any.
    bool fencing = true; ///< Whether the target rejects orders with an outdated fencing number.
};

/// Policy for bulk work at one service.
struct bulk_settings {
    std::string policy; ///< none, unlimited, fixed or adaptive
    unsigned window = 4; ///< Concurrent items per target under the fixed policy.
    double reserve = 0.05; ///< Minimum fraction of slots kept free for arriving live requests.
};

/// Settings of one customer's requests to one service, with inheritance resolved.
struct request_settings {
    milliseconds timeout { 30000 };
    milliseconds stallTimeout { 5000 }; ///< Maximum time without data from a target during a running request.
    double weight = 1;
    double requestsPerSecond = 0; ///< 0: no limit.
    double tokensPerSecond = 0; ///< 0: no limit.
    unsigned queueLimit = 1000;
    unsigned retries = 2;
    double retryShare = 0.1;
    bool continueBrokenStreams = true;
    milliseconds firstTokenObjective { 610 };
    milliseconds interTokenObjective { 49 };
    unsigned jobAttempts = 4;
    milliseconds jobDue { 3600000 };
    std::chrono::seconds jobRetention { 86400 };
    bulk_settings bulk;
};

/// Resolves the effective settings. For an unknown customer or service the settings are inherited from those
/// levels that exist.
request_settings resolveRequest(const settings_tree& tree, std::string_view customer,
    std::string_view service, std::string_view job = {});

/// Effective value of a key at a path, and the path at which it is set ("default" if it is the schema's
/// default).
struct effective_value {
    std::string value;
    std::string source;
};
effective_value resolveKey(const settings_tree& tree, std::string_view path, std::string_view key);

std::optional<service_settings> findService(const settings_tree& tree, std::string_view name);
std::vector<target_settings> listTargets(const settings_tree& tree);

/// Returns pairs of API key hash and customer name, for all keys of all customers.
std::vector<std::pair<std::string, std::string>> listKeyHashes(const settings_tree& tree);

/// Compares two hashes in constant time.
bool sameHash(std::string_view left, std::string_view right);

/// An operator and the subtree that it may edit.
struct operator_account {
    std::string name;
    std::string scope; ///< Root of the subtree; empty for the whole tree.
};
std::optional<operator_account> findOperatorByToken(const settings_tree& tree, std::string_view token);

/// Whether the path is the scope itself or lies below it. An empty scope covers every path.
bool scopeCovers(std::string_view scope, std::string_view path);

/// Returns the SHA-256 digest in lower-case hexadecimal.
std::string sha256Hex(std::string_view text);

} // namespace yuccachute
