#include "bulk/bulk.h"

#include "jobs/jobs.h"
#include "json_input/json_input.h"
#include "membership/membership.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cctype>
#include <cstdio>
#include <numeric>

namespace yuccachute {

namespace {

using nlohmann::json;

/// Encodes a document as compressed CBOR. Bodies are binary, and each stored byte crosses the network several
/// times.
std::string pack(const json& document)
{
    const auto bytes = json::to_cbor(document);
    return compress({ reinterpret_cast<const char*>(bytes.data()), bytes.size() });
}

template <typename T> result<T> unpack(std::string_view bytes, std::string_view what, T (*read)(const json&))
{
    BOOST_OUTCOME_TRY(auto plain, decompress(bytes));
    const auto document = parseCbor(plain);
    if (document.is_discarded())
        return notRun(failure_kind::internal, std::string(what) + " in the store is corrupt");
    try {
        return read(document);
    } catch (const json::exception& error) {
        return notRun(
            failure_kind::internal, std::string(what) + " in the store is corrupt: " + error.what());
    }
}

json bytesOf(std::string_view text)
{
    return json::binary(std::vector<std::uint8_t>(text.begin(), text.end()));
}

std::string textOf(const json& value)
{
    const auto& bytes = value.get_binary();
    return { bytes.begin(), bytes.end() };
}

bulk_record readRecord(const json& document)
{
    bulk_record record;
    record.id = document.at("id").get<std::string>();
    record.customer = document.value("customer", "");
    record.host = document.at("host").get<std::string>();
    record.acceptedMs = document.at("accepted_ms").get<std::int64_t>();
    record.path = document.value("path", "");
    if (const auto window = document.find("completion_ms"); window != document.end())
        record.completionWindow = milliseconds { window->get<std::int64_t>() };
    record.configuration = document.value("config", std::int64_t { 0 });
    for (const auto& item : document.at("items"))
        record.items.push_back({ item.at("id").get<std::string>(), item.at("path").get<std::string>(),
            item.at("headers").get<std::vector<std::pair<std::string, std::string>>>(),
            textOf(item.at("body")), item.at("tokens").get<std::uint64_t>() });
    return record;
}

bulk_result_group readGroup(const json& document)
{
    bulk_result_group group;
    group.token = document.at("token").get<std::string>();
    for (const auto& entry : document.at("results"))
        group.results.push_back({ entry.at("index").get<std::uint32_t>(), entry.at("done").get<bool>(),
            textOf(entry.at("text")) });
    return group;
}

std::vector<item_progress> readProgress(const json& document)
{
    std::vector<item_progress> items;
    for (const auto& entry : document.at("items")) {
        item_progress item { entry.at("index").get<std::uint32_t>(), entry.at("last").get<std::uint64_t>(),
            {}, std::nullopt, std::nullopt };
        if (const auto version = entry.find("version"); version != entry.end())
            item.version = version->get<std::string>();
        if (const auto service = entry.find("service"); service != entry.end())
            item.service = service->get<std::string>();
        for (const auto& event : entry.at("events"))
            item.events.push_back(textOf(event));
        items.push_back(std::move(item));
    }
    return items;
}

/// Customer names can be long and contain any character, keys of the store cannot.
bool isValidInKeys(std::string_view name)
{
    constexpr std::size_t maxBytes = 32;
    return name.size() <= maxBytes && std::all_of(name.begin(), name.end(), [](unsigned char letter) {
        return std::isalnum(letter) || letter == '-' || letter == '_';
    });
}

} // namespace

std::string customerScopedId(std::string_view customer, std::string_view id)
{
    if (customer.empty())
        return std::string(id);
    if (isValidInKeys(customer))
        return std::string(customer) + ':' + std::string(id);
    char digits[20];
    // The second colon cannot occur in a name that is used unhashed, so the two forms never collide.
    std::snprintf(digits, sizeof digits, "%016llx:", static_cast<unsigned long long>(hashText(customer)));
    return digits + (':' + std::string(id));
}

std::size_t memoryOf(const bulk_record& record)
{
    constexpr std::size_t perItem = 1024; // With the state of the item.
    constexpr std::size_t perHeader = 96;
    std::size_t bytes = 0;
    for (const auto& item : record.items) {
        bytes += perItem + item.body.capacity() + item.path.size();
        for (const auto& [name, value] : item.headers)
            bytes += perHeader + name.size() + value.size();
    }
    return bytes;
}

const std::string& submissionPath(const bulk_record& record)
{
    return record.path.empty() && !record.items.empty() ? record.items.front().path : record.path;
}

std::uint64_t tokensOf(const bulk_record& record)
{
    return std::accumulate(record.items.begin(), record.items.end(), std::uint64_t { 0 },
        [](std::uint64_t sum, const bulk_item& item) { return sum + item.tokens; });
}

std::string encodeRecord(const bulk_record& record)
{
    auto items = json::array();
    for (const auto& item : record.items)
        items.push_back({ { "id", item.id }, { "path", item.path }, { "headers", item.headers },
            { "body", bytesOf(item.body) }, { "tokens", item.tokens } });
    json document { { "id", record.id }, { "customer", record.customer }, { "host", record.host },
        { "path", record.path }, { "accepted_ms", record.acceptedMs }, { "items", std::move(items) } };
    if (record.completionWindow)
        document["completion_ms"] = record.completionWindow->count();
    if (record.configuration != 0)
        document["config"] = record.configuration;
    return pack(document);
}

result<bulk_record> decodeBulkRecord(std::string_view bytes)
{
    return unpack<bulk_record>(bytes, "the job record", readRecord);
}

std::string encodeGroup(const bulk_result_group& group)
{
    auto results = json::array();
    for (const auto& entry : group.results)
        results.push_back(
            { { "index", entry.index }, { "done", entry.done }, { "text", bytesOf(entry.text) } });
    return pack({ { "token", group.token }, { "results", std::move(results) } });
}

result<bulk_result_group> decodeGroup(std::string_view bytes)
{
    return unpack<bulk_result_group>(bytes, "the result group", readGroup);
}

std::string encodeItemProgress(std::span<const item_progress> items)
{
    auto list = json::array();
    for (const auto& item : items) {
        auto events = json::array();
        for (const auto& event : item.events)
            events.push_back(bytesOf(event));
        json entry { { "index", item.index }, { "last", item.lastEvent }, { "events", std::move(events) } };
        if (item.version)
            entry["version"] = *item.version;
        if (item.service)
            entry["service"] = *item.service;
        list.push_back(std::move(entry));
    }
    return pack({ { "items", std::move(list) } });
}

result<std::vector<item_progress>> decodeItemProgress(std::string_view bytes)
{
    return unpack<std::vector<item_progress>>(bytes, "the job progress", readProgress);
}

std::string encodeOpenJob(const open_job_record& openJob)
{
    json document { { "vm", openJob.holder.vm }, { "incarnation", openJob.holder.incarnation } };
    if (!openJob.claim.route.empty())
        document.update({ { "route", openJob.claim.route }, { "tokens", openJob.claim.tokens } });
    return document.dump();
}

result<open_job_record> decodeOpenJob(std::string_view bytes)
{
    const auto document = parseJson(bytes);
    try {
        open_job_record openJob;
        openJob.holder.vm = document.at("vm").get<std::string>();
        openJob.holder.incarnation = document.at("incarnation").get<std::uint64_t>();
        openJob.claim.route = document.value("route", "");
        openJob.claim.tokens = document.value("tokens", std::uint64_t { 0 });
        return openJob;
    } catch (const json::exception& error) {
        return notRun(failure_kind::internal,
            std::string("the open-job record in the store is corrupt: ") + error.what());
    }
}

} // namespace yuccachute
