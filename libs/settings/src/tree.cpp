#include "settings/settings.h"

#include "text.h"

namespace yuccachute {

namespace {

std::string describeNode(const settings_node* node)
{
    if (!node)
        return "missing";
    std::string text;
    for (const auto& [key, value] : node->values)
        text += (text.empty() ? "" : ", ") + key + " = " + value;
    return "at revision " + std::to_string(node->revision) + ": " + (text.empty() ? "(empty)" : text);
}

std::string describeEdit(const settings_edit& edit)
{
    if (edit.removeNode)
        return "remove the node";
    std::string text;
    for (const auto& [key, value] : edit.set)
        text += (text.empty() ? "" : ", ") + key + " = " + value;
    for (const auto& key : edit.unset)
        text += (text.empty() ? "" : ", ") + std::string("unset ") + key;
    return text;
}

result<void> checkBaseRevision(const settings_tree& tree, const settings_edit& edit)
{
    const auto found = tree.nodes.find(edit.path);
    const auto* current = found == tree.nodes.end() ? nullptr : &found->second;
    const std::int64_t revision = current ? current->revision : 0;
    if (!edit.base || *edit.base == revision)
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    return notRun(failure_kind::conflict,
        '[' + edit.path + "]: changed since it was read. The edit is based on revision "
            + std::to_string(*edit.base) + "; the node is now " + describeNode(current)
            + ". Requested: " + describeEdit(edit));
}

result<void> checkReferences(const settings_tree& tree)
{
    for (const auto& [path, node] : tree.nodes) {
        const auto kind = kindOfPath(path);
        const auto parts = splitText(path, '/');
        if (kind == node_kind::target) {
            for (const char* required : { "address", "zone" }) {
                if (!node.values.contains(required))
                    return notRun(failure_kind::bad_request, '[' + path + "]: " + required + " is missing");
            }
            if (!tree.nodes.contains("service/" + std::string(parts[1])))
                return notRun(failure_kind::bad_request,
                    '[' + path + "]: there is no [service/" + std::string(parts[1]) + ']');
        }
        if (kind == node_kind::customer_service || kind == node_kind::job) {
            for (const auto& parent :
                { "customer/" + std::string(parts[1]), "service/" + std::string(parts[3]) }) {
                if (!tree.nodes.contains(parent))
                    return notRun(failure_kind::bad_request, '[' + path + "]: there is no [" + parent + ']');
            }
        }
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

result<void> applyEdit(settings_tree& tree, const settings_edit& edit)
{
    if (!kindOfPath(edit.path))
        return notRun(failure_kind::bad_request, '[' + edit.path + "]: not a path of the tree");
    BOOST_OUTCOME_TRYV(checkBaseRevision(tree, edit));
    if (edit.removeNode) {
        if (tree.nodes.erase(edit.path) == 0)
            return notRun(failure_kind::not_found, '[' + edit.path + "]: there is no such node");
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }
    auto& node = tree.nodes[edit.path];
    for (const auto& [key, value] : edit.set) {
        BOOST_OUTCOME_TRYV(checkValue(edit.path, key, value));
        node.values[key] = value;
    }
    for (const auto& key : edit.unset) {
        if (node.values.erase(key) == 0)
            return notRun(failure_kind::not_found,
                '[' + edit.path + "] " + key + ": cannot be unset because it is not set at this node");
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace

result<settings_tree> applyEdits(const settings_tree& tree, std::span<const settings_edit> edits)
{
    settings_tree outcome = tree;
    for (const auto& edit : edits) {
        BOOST_OUTCOME_TRYV(applyEdit(outcome, edit));
    }
    BOOST_OUTCOME_TRYV(checkReferences(outcome));
    return outcome;
}

settings_update diffTrees(const settings_tree& from, const settings_tree& to)
{
    settings_update update;
    update.basedOn = from.version;
    update.changed.version = to.version;
    for (const auto& [path, node] : to.nodes) {
        const auto before = from.nodes.find(path);
        if (before == from.nodes.end() || before->second.revision != node.revision)
            update.changed.nodes.emplace(path, node);
    }
    for (const auto& [path, node] : from.nodes) {
        if (!to.nodes.contains(path))
            update.removed.push_back(path);
    }
    return update;
}

result<settings_tree> applyUpdate(const settings_tree& tree, settings_update update)
{
    if (update.basedOn == 0)
        return std::move(update.changed);
    if (update.basedOn != tree.version)
        return notRun(failure_kind::conflict,
            "the update is based on version " + std::to_string(update.basedOn)
                + ", but the current version is " + std::to_string(tree.version));
    settings_tree updated = tree;
    updated.version = update.changed.version;
    for (const auto& path : update.removed)
        updated.nodes.erase(path);
    for (auto& [path, node] : update.changed.nodes)
        updated.nodes[path] = std::move(node);
    return updated;
}

} // namespace yuccachute
