#pragma once

#include "node/node.h"
#include "store/store.h"

#include <functional>
#include <memory>

/// Administration API for the settings tree. Has no persistent state.
namespace yuccachute {

/// Handles administration requests. Its only I/O is access to the store, so tests call it directly.
///
///   GET  /admin/tree                 the tree as INI
///   GET  /admin/node?path=P          values and revision of one node, and the effective value of each key
///   POST /admin/edits                {"note": "...", "edits": [{"path", "set", "unset", "remove", "base"}]}
///   POST /admin/check                same body; validates the edits without applying them
///   GET  /admin/history?most=N       the last N edits, newest first
///   GET  /admin/schema               all keys with type, range and meaning
///   GET  /admin/status               all members with the settings version that each has in force
///
/// Every request must contain an operator's token. While the tree has no operator, all requests are allowed,
/// so that the initial settings can be applied.
class admin_api {
public:
    using member_source = std::function<std::vector<member_info>()>;

    admin_api(config_store& store, const settings_cell& settings, member_source members);
    http_reply handle(const http_request& request);

private:
    result<operator_account> authorize(const http_request& request, const settings_tree& tree) const;
    http_reply edit(const http_request& request, const operator_account& account, bool accept);
    http_reply showNode(const settings_tree& tree, const std::string& path) const;
    http_reply showStatus(const settings_tree& tree) const;

    config_store& m_store;
    const settings_cell& m_settings;
    member_source m_members;
};

class admin_process {
public:
    explicit admin_process(const process_options& options);
    /// Shuts down gracefully: waits for running requests, up to the stop limit.
    ~admin_process();
    admin_process(const admin_process&) = delete;
    admin_process& operator=(const admin_process&) = delete;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace yuccachute
