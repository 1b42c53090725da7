#include "admin/admin.h"

#include "json_input/json_input.h"
#include "logging/logging.h"
#include "settings_store/settings_store.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace yuccachute {

namespace {

using json = nlohmann::ordered_json;

http_reply jsonReply(unsigned status, const json& body)
{
    return { status, { { "Content-Type", "application/json" } },
        body.dump(2, ' ', false, json::error_handler_t::replace) + "\n" };
}

http_reply failureReply(const failure& error)
{
    return { httpStatus(error.kind), { { "Content-Type", "application/json" } }, writeFailure(error, {}) };
}

bool hasOperators(const settings_tree& tree)
{
    return std::any_of(tree.nodes.begin(), tree.nodes.end(),
        [](const auto& node) { return kindOfPath(node.first) == node_kind::operator_account; });
}

failure invalidEdit(std::size_t index, const std::string& problem)
{
    return notRun(failure_kind::bad_request, "edits[" + std::to_string(index) + "]: " + problem);
}

result<settings_edit> parseEdit(const json& document, std::size_t index)
{
    settings_edit edit;
    if (!document.is_object() || !document.contains("path") || !document["path"].is_string())
        return invalidEdit(index, "\"path\" must be a string");
    edit.path = document["path"].get<std::string>();
    for (const auto& [name, value] : document.items()) {
        if (name == "set" && value.is_object()) {
            for (const auto& [key, text] : value.items()) {
                if (!text.is_string())
                    return invalidEdit(index, "set." + key + " must be a string");
                edit.set[key] = text.get<std::string>();
            }
        } else if (name == "unset" && value.is_array()) {
            for (const auto& key : value) {
                if (!key.is_string())
                    return invalidEdit(index, "unset must hold strings");
                edit.unset.push_back(key.get<std::string>());
            }
        } else if (name == "remove" && value.is_boolean()) {
            edit.removeNode = value.get<bool>();
        } else if (name == "base" && value.is_number_integer()) {
            edit.base = value.get<std::int64_t>();
        } else if (name != "path") {
            return invalidEdit(index,
                "\"" + name
                    + "\" is unknown or of the wrong type; known are path, set, unset, remove and base");
        }
    }
    return edit;
}

struct edit_request {
    std::vector<settings_edit> edits;
    std::string note;
};

result<edit_request> parseEdits(const std::string& body)
{
    const auto document = parseJson(body);
    if (!document.is_object() || !document.contains("edits") || !document["edits"].is_array())
        return notRun(failure_kind::bad_request, "the body must be a JSON object with an array \"edits\"");
    edit_request request;
    if (const auto note = document.find("note"); note != document.end() && note->is_string())
        request.note = note->get<std::string>();
    for (const auto& edit : document["edits"]) {
        BOOST_OUTCOME_TRY(auto parsed, parseEdit(edit, request.edits.size()));
        request.edits.push_back(std::move(parsed));
    }
    if (request.edits.empty())
        return notRun(failure_kind::bad_request, "\"edits\" is empty");
    return request;
}

http_reply showSchema()
{
    json keys = json::array();
    for (const auto& key : schema())
        keys.push_back({ { "key", key.name }, { "type", key.type }, { "default", key.fallback },
            { "least", key.minimum }, { "most", key.maximum }, { "choices", key.choices },
            { "meaning", key.meaning } });
    return jsonReply(200, keys);
}

} // namespace

admin_api::admin_api(config_store& store, const settings_cell& settings, member_source members)
    : m_store(store)
    , m_settings(settings)
    , m_members(std::move(members))
{
}

result<operator_account> admin_api::authorize(const http_request& request, const settings_tree& tree) const
{
    if (!hasOperators(tree))
        return operator_account { "(first settings)", {} };
    constexpr std::string_view scheme = "Bearer ";
    const auto authorization = findHeader(request.headers, "Authorization");
    const auto account = authorization.substr(0, scheme.size()) == scheme
        ? findOperatorByToken(tree, authorization.substr(scheme.size()))
        : std::nullopt;
    if (!account)
        return notRun(failure_kind::unauthorized,
            "header Authorization: must be \"Bearer \" followed by an operator's token");
    return *account;
}

http_reply admin_api::handle(const http_request& request)
{
    // Reads are served from the store, so that operators see the latest edits. While the store is
    // unreachable, they are served from the settings in force in this process, as the header
    // X-Settings-Source tells.
    auto stored = readSettings(m_store);
    const bool fromStore = stored.has_value();
    const auto localSettings = m_settings.current();
    const settings_tree& tree = fromStore ? stored.value() : localSettings->tree;
    // Without any settings operators cannot be authenticated, so all requests are refused until the store
    // responds.
    if (!fromStore && tree.version == 0)
        return failureReply(notRun(failure_kind::unavailable,
            "the store is not responding and this process has no settings yet", milliseconds { 2000 }));
    const auto account = authorize(request, tree);
    if (!account)
        return failureReply(account.error());
    http_reply reply;
    if (request.path == "/admin/tree")
        reply = { 200, { { "Content-Type", "text/plain" } }, writeIni(tree) };
    else if (request.path == "/admin/node")
        reply = showNode(tree, queryParameter(request.query, "path"));
    else if (request.path == "/admin/edits" && request.method == "POST")
        reply = edit(request, account.value(), true);
    else if (request.path == "/admin/check" && request.method == "POST")
        reply = edit(request, account.value(), false);
    else if (request.path == "/admin/schema")
        reply = showSchema();
    else if (request.path == "/admin/status")
        reply = showStatus(tree);
    else if (request.path == "/admin/history") {
        const auto maxEntries = std::atoi(queryParameter(request.query, "most").c_str());
        const auto history = readHistory(m_store, maxEntries > 0 ? static_cast<std::size_t>(maxEntries) : 20);
        if (!history)
            return failureReply(history.error());
        json entries = json::array();
        for (const auto& entry : history.value())
            entries.push_back(json::parse(entry));
        reply = jsonReply(200, entries);
    } else {
        return failureReply(notRun(failure_kind::not_found, "unknown path, or method not supported for it"));
    }
    reply.headers.emplace_back("X-Settings-Version", std::to_string(tree.version));
    reply.headers.emplace_back(
        "X-Settings-Source", fromStore ? "store" : "in force here; the store does not answer");
    return reply;
}

http_reply admin_api::edit(const http_request& request, const operator_account& account, bool accept)
{
    const auto parsed = parseEdits(request.body.str());
    if (!parsed)
        return failureReply(parsed.error());
    for (const auto& edit : parsed.value().edits) {
        if (!scopeCovers(account.scope, edit.path))
            return failureReply(notRun(failure_kind::forbidden,
                '[' + edit.path + "]: operator " + account.name + " may edit only [" + account.scope
                    + "] and below"));
    }
    if (!accept) {
        const auto tree = readSettings(m_store);
        if (!tree)
            return failureReply(tree.error());
        const auto checked = applyEdits(tree.value(), parsed.value().edits);
        return checked ? http_reply { 200, { { "Content-Type", "text/plain" } }, writeIni(checked.value()) }
                       : failureReply(checked.error());
    }
    const auto accepted = commitEdits(
        m_store, parsed.value().edits, { account.name, parsed.value().note }, randomId(), wallClockMs());
    if (!accepted)
        return failureReply(accepted.error());
    logEvent(log_level::info, "edit accepted",
        { { "operator", account.name }, { "version", accepted.value().version },
            { "first_path", parsed.value().edits.front().path } });
    return jsonReply(200, { { "version", accepted.value().version } });
}

http_reply admin_api::showNode(const settings_tree& tree, const std::string& path) const
{
    const auto kind = kindOfPath(path);
    if (!kind)
        return failureReply(notRun(
            failure_kind::bad_request, "query parameter path: \"" + path + "\" is not a path of the tree"));
    const auto found = tree.nodes.find(path);
    json body { { "path", path }, { "revision", found == tree.nodes.end() ? 0 : found->second.revision },
        { "values", json::object() }, { "effective", json::object() } };
    if (found != tree.nodes.end())
        body["values"] = found->second.values;
    for (const auto& key : schema()) {
        if (!(key.kinds & static_cast<std::uint8_t>(*kind)))
            continue;
        const auto effective = resolveKey(tree, path, key.name);
        body["effective"][std::string(key.name)]
            = { { "value", effective.value }, { "from", effective.source } };
    }
    return jsonReply(200, body);
}

http_reply admin_api::showStatus(const settings_tree& tree) const
{
    json body { { "version", tree.version }, { "members", json::array() } };
    for (const auto& member : m_members()) {
        body["members"].push_back(
            { { "vm", member.vm }, { "zone", member.zone }, { "settings_version", member.versionInForce() },
                { "in_force", member.versionInForce() >= tree.version },
                { "batch", !member.batchAddress.empty() }, { "admin", !member.adminAddress.empty() } });
    }
    return jsonReply(200, body);
}

} // namespace yuccachute
