#pragma once

#include "verdict/verdict.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// The operators' tree of settings: schema, checks, inheritance and INI form. Layer: state. No I/O.
///
/// Nodes of the tree, by path:
///   fleet                                       defaults of everything
///   service/NAME                                a service, with kind and defaults of its callers
///   service/NAME/target/NAME                    a target of that service
///   customer/NAME                               a customer, with its keys and limits
///   customer/NAME/service/NAME                  that customer's use of one service
///   customer/NAME/service/NAME/job/NAME         one bulk job
///   operator/NAME                               an operator, with token and scope
///
/// A key not set at a job is looked up at its customer's use of the service, then at the customer, the
/// service, and the fleet; then the schema's default holds.
namespace yuccachute {

/// Kind of a node, as a bit so that a key can name the kinds where it may stand.
enum class node_kind : std::uint8_t {
    fleet = 1,
    service = 2,
    target = 4,
    customer = 8,
    customer_service = 16,
    job = 32,
    operator_account = 64
};

/// Returns the kind of the node at a path, or nothing if the path has no such form.
std::optional<node_kind> kindOfPath(std::string_view path);

/// One accepted node.
struct settings_node {
    std::map<std::string, std::string, std::less<>> values;
    /// Store revision of the node's last change; an edit names the revision it was made against.
    std::int64_t revision = 0;
};

/// All nodes, and the version in force. The version is the store's revision of the last accepted edit: it
/// only grows.
struct settings_tree {
    std::map<std::string, settings_node, std::less<>> nodes;
    std::int64_t version = 0;
};

/// What leads from one version to a later one, or a whole tree.
struct settings_update {
    std::int64_t basedOn = 0; ///< Version that it leads from; 0 for a whole tree.
    settings_tree changed; ///< Nodes that differ, with the version that it leads to.
    std::vector<std::string> removed; ///< Paths of nodes that are gone.
};

/// Finds what leads from one tree to a later one.
settings_update diffTrees(const settings_tree& from, const settings_tree& to);

/// Applies an update. Fails with conflict if it leads from another version than the tree's.
result<settings_tree> applyUpdate(const settings_tree& tree, settings_update update);

/// A change of one node: keys to set, and keys to remove.
struct settings_edit {
    std::string path;
    std::map<std::string, std::string, std::less<>> set;
    std::vector<std::string> unset;
    bool removeNode = false;
    /// Revision of the node that the edit was made against; 0 for a node that did not exist. Nothing for an
    /// edit that holds whatever the node says now.
    std::optional<std::int64_t> base;
};

/// What the schema says about one key.
struct key_description {
    std::string_view name;
    std::string_view type; ///< "integer", "number", "boolean", "text", "choice", "address"
    std::string_view fallback; ///< Default; empty for none.
    double least = 0;
    double most = 0;
    std::string_view choices; ///< For "choice": the words, separated by '|'.
    std::uint8_t kinds = 0; ///< Bits of node_kind where it may stand.
    std::string_view meaning;
};

/// Returns every key, sorted by name.
std::span<const key_description> schema();

/// Checks one key and value for a node of that path. The message names path, key and, for a misspelt key, the
/// nearest one.
result<void> checkValue(std::string_view path, std::string_view key, std::string_view value);

/// Applies edits to a copy of the tree and checks the whole outcome: paths, keys, values, and references
/// between nodes. Conflicts with a named base are reported with both sides. Does not change the version.
result<settings_tree> applyEdits(const settings_tree& tree, std::span<const settings_edit> edits);

/// Reads INI text into edits, one a section. Errors name the file and line.
result<std::vector<settings_edit>> readIni(std::string_view fileName, std::string_view text);

/// Writes the tree as INI text that readIni() accepts.
std::string writeIni(const settings_tree& tree);

/// Service a request may name.
struct service_settings {
    std::string name;
    bool model = true; ///< A model service; otherwise a plain service.
};

/// Target of a service.
struct target_settings {
    std::string name;
    std::string service;
    std::string zone;
    std::string address;
    bool drain = false;
    unsigned slots = 8;
    std::string adapter; ///< Adapter to keep loaded; empty for none.
    std::string modelVersion; ///< Model version to serve; empty for whatever it serves.
    bool fencing = true; ///< Whether it refuses orders with an old fencing number.
};

/// Policy for bulk work at one service.
struct bulk_settings {
    std::string policy; ///< none, unlimited, fixed or adaptive
    unsigned window = 4; ///< Items at once per target for the fixed policy.
    double reserve = 0.05; ///< Least share of slots kept free for live arrivals.
};

/// Effective settings of one customer's requests to one service, after inheritance.
struct request_settings {
    milliseconds timeout { 30000 };
    milliseconds stallTimeout { 5000 }; ///< Longest silence of a target in a running request.
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

/// Resolves the effective settings. An unknown customer or service inherits from what exists above it.
request_settings resolveRequest(const settings_tree& tree, std::string_view customer,
    std::string_view service, std::string_view job = {});

/// Effective value of one key at a path, with the path it comes from ("default" for the schema's).
struct effective_value {
    std::string value;
    std::string source;
};
effective_value resolveKey(const settings_tree& tree, std::string_view path, std::string_view key);

std::optional<service_settings> findService(const settings_tree& tree, std::string_view name);
std::vector<target_settings> listTargets(const settings_tree& tree);

/// Returns the hash of every customer's keys with the customer's name.
std::vector<std::pair<std::string, std::string>> listKeyHashes(const settings_tree& tree);

/// Compares two hashes in constant time.
bool sameHash(std::string_view left, std::string_view right);

/// An operator and the part of the tree it may edit.
struct operator_account {
    std::string name;
    std::string scope; ///< Path prefix; empty for everything.
};
std::optional<operator_account> findOperatorByToken(const settings_tree& tree, std::string_view token);

/// Whether the scope covers the path: the path itself or a node below it.
bool scopeCovers(std::string_view scope, std::string_view path);

/// SHA-256 in lower-case hexadecimal.
std::string sha256Hex(std::string_view text);

} // namespace yuccachute
