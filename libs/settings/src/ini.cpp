#include "settings/settings.h"

#include "ini/ini.h"

#include <algorithm>

namespace yuccachute {

result<std::vector<settings_edit>> readIni(std::string_view fileName, std::string_view text)
{
    BOOST_OUTCOME_TRY(auto values, parseIni(fileName, text));
    std::vector<settings_edit> edits;
    for (const auto& value : values) {
        const auto checked = checkValue(value.section, value.key, value.value);
        if (!checked)
            return notRun(failure_kind::bad_request,
                std::string(fileName) + ':' + std::to_string(value.line) + ": " + checked.error().message);
        auto found = std::find_if(
            edits.begin(), edits.end(), [&](const auto& edit) { return edit.path == value.section; });
        if (found == edits.end())
            found = edits.insert(edits.end(), settings_edit { value.section, {}, {}, false, std::nullopt });
        found->set.emplace(value.key, value.value);
    }
    return edits;
}

std::string writeIni(const settings_tree& tree)
{
    std::string text;
    for (const auto& [path, node] : tree.nodes) {
        text += (text.empty() ? "[" : "\n[") + path + "]\n";
        for (const auto& [key, value] : node.values)
            text += writeIniValue(key, value);
    }
    return text;
}

} // namespace yuccachute
