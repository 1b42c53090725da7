#include "scenario.h"

#include "ini/ini.h"

#include <algorithm>
#include <filesystem>
#include <functional>
#include <sstream>
#include <stdexcept>

namespace yuccachute::load {

namespace {

using setter = std::function<void(const std::string&)>;
using setters = std::map<std::string, setter>;

double toNumber(const std::string& text)
{
    std::size_t used = 0;
    const double number = std::stod(text, &used);
    if (used != text.size())
        throw std::invalid_argument(text);
    return number;
}

setter into(double& field)
{
    return [&field](const std::string& text) { field = toNumber(text); };
}

setter into(unsigned& field)
{
    return [&field](const std::string& text) { field = static_cast<unsigned>(toNumber(text)); };
}

setter into(std::string& field)
{
    return [&field](const std::string& text) { field = text; };
}

std::vector<std::string> split(const std::string& text, char separator)
{
    std::vector<std::string> parts;
    std::stringstream stream(text);
    for (std::string part; std::getline(stream, part, separator);) {
        const auto begin = part.find_first_not_of(' ');
        if (begin != std::string::npos)
            parts.push_back(part.substr(begin, part.find_last_not_of(' ') - begin + 1));
    }
    return parts;
}

/// "a=1, b=2" to INI lines.
std::string toLines(const std::string& text)
{
    std::string lines;
    for (const auto& part : split(text, ','))
        lines += part + '\n';
    return lines;
}

setters scenarioSetters(scenario& read)
{
    return { { "kind", into(read.kind) }, { "title", into(read.title) }, { "seconds", into(read.seconds) },
        { "warmup", into(read.warmup) }, { "rounds", into(read.rounds) }, { "surge_at", into(read.surgeAt) },
        { "surge_seconds", into(read.surgeSeconds) }, { "zones", into(read.zones) },
        { "entries_per_zone", into(read.entriesPerZone) }, { "engines_per_zone", into(read.enginesPerZone) },
        { "batches", into(read.batches) },
        { "engine_flags", [&](const std::string& text) { read.engineFlags = split(text, ' '); } },
        { "settings", [&](const std::string& text) { read.settings = toLines(text); } } };
}

setters liveSetters(live_stream& stream)
{
    return { { "customer", into(stream.customer) }, { "rate", into(stream.rate) },
        { "surge_rate", into(stream.surgeRate) }, { "tokens", into(stream.tokens) },
        { "prompt_bytes", into(stream.promptBytes) }, { "shared_prefixes", into(stream.sharedPrefixes) },
        { "prefix_bytes", into(stream.prefixBytes) } };
}

setters bulkSetters(bulk_stream& stream)
{
    return { { "customer", into(stream.customer) }, { "items", into(stream.items) },
        { "tokens", into(stream.tokens) }, { "prompt_bytes", into(stream.promptBytes) },
        { "poison_every", into(stream.poisonEvery) }, { "due_ms", into(stream.dueMs) } };
}

setters variantSetters(variant& one)
{
    return { { "set", [&](const std::string& text) { one.settings = toLines(text); } },
        { "without", [&](const std::string& text) { one.without = split(text, ','); } } };
}

/// Finds or adds the stream or variant that a section like "live small" names.
template <typename Kind> Kind& named(std::vector<Kind>& all, const std::string& name)
{
    const auto found
        = std::find_if(all.begin(), all.end(), [&](const auto& one) { return one.name == name; });
    if (found != all.end())
        return *found;
    all.emplace_back();
    all.back().name = name;
    return all.back();
}

setters settersOf(scenario& read, const std::string& section)
{
    const auto space = section.find(' ');
    const auto kind = section.substr(0, space);
    const auto name = space == std::string::npos ? "" : section.substr(space + 1);
    if (section == "scenario")
        return scenarioSetters(read);
    if (kind == "live")
        return liveSetters(named(read.live, name));
    if (kind == "bulk")
        return bulkSetters(named(read.bulk, name));
    if (kind == "variant")
        return variantSetters(named(read.variants, name));
    return {};
}

} // namespace

scenario readScenario(const std::string& fileName)
{
    const auto text = readFile(fileName);
    if (!text)
        throw std::runtime_error(text.error().message);
    const auto values = parseIni(fileName, text.value());
    if (!values)
        throw std::runtime_error(values.error().message);
    scenario read;
    read.name = std::filesystem::path(fileName).stem().string();
    for (const auto& value : values.value()) {
        const auto where
            = fileName + ':' + std::to_string(value.line) + ": [" + value.section + "] " + value.key;
        const auto known = settersOf(read, value.section);
        const auto found = known.find(value.key);
        if (found == known.end())
            throw std::runtime_error(where + ": unknown section or key");
        try {
            found->second(value.value);
        } catch (const std::logic_error&) {
            throw std::runtime_error(where + ": \"" + value.value + "\" is not a number");
        }
    }
    if (read.variants.empty())
        read.variants.push_back({ "default", {}, {} });
    return read;
}

} // namespace yuccachute::load
