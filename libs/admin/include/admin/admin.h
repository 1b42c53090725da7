#pragma once

#include "node/node.h"
#include "store/store.h"

#include <functional>
#include <memory>

/// The administration API over the settings tree. Holds nothing that must last.
namespace yuccachute {

/// Answers one administration request. Without I/O but the store's: tests call it directly.
///
///   GET  /admin/tree                 the tree as INI
///   GET  /admin/node?path=P          values of one node, its revision, and the effective value of each key
///   POST /admin/edits                {"note": "...", "edits": [{"path", "set", "unset", "remove", "base"}]}
///   POST /admin/check                the same, checked and not accepted
///   GET  /admin/history?most=N       accepted edits, the newest first
///   GET  /admin/schema               every key with type, range and meaning
///   GET  /admin/status               members and the version each has in force
///
/// Every request names an operator's token. While the tree has no operator, every request is allowed, so that
/// the first settings can be applied.
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
    /// Graceful shutdown: running requests finish.
    ~admin_process();
    admin_process(const admin_process&) = delete;
    admin_process& operator=(const admin_process&) = delete;

private:
    struct impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace yuccachute
