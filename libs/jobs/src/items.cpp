#include "jobs/jobs.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>
#include <zstd.h>

#include <unordered_set>

namespace yuccachute {

namespace {

using json = nlohmann::json;

constexpr int compressionLevel = 3;
/// Raw text of one chunk at first; split further if it does not compress below the limit.
constexpr std::size_t rawChunkBytes = 1u << 20;
constexpr std::size_t mostUnpackedBytes = 256u << 20;
constexpr unsigned mostTokens = 1u << 20;

failure badLine(std::size_t line, const std::string& problem)
{
    return notRun(failure_kind::bad_request, "line " + std::to_string(line) + ": " + problem);
}

result<job_item> parseItem(std::string_view text, std::size_t line, std::size_t index)
{
    const auto document = json::parse(text, nullptr, false);
    if (!document.is_object())
        return badLine(line, "not a JSON object");
    job_item item;
    item.id = "item-" + std::to_string(index);
    for (const auto& [name, value] : document.items()) {
        if (name == "id" && value.is_string() && !value.get_ref<const std::string&>().empty())
            item.id = value.get<std::string>();
        else if (name == "prompt" && value.is_string())
            item.prompt = value.get<std::string>();
        else if (name == "max_tokens" && value.is_number_unsigned() && value.get<std::uint64_t>() >= 1
            && value.get<std::uint64_t>() <= mostTokens)
            item.maxTokens = value.get<unsigned>();
        else if (name == "idempotent" && value.is_boolean())
            item.idempotent = value.get<bool>();
        else
            return badLine(line,
                "field \"" + name
                    + "\" is unknown or has a wrong value; known are id, prompt, max_tokens and idempotent");
    }
    if (!document.contains("prompt"))
        return badLine(line, "field \"prompt\" is missing");
    return item;
}

std::string toLine(const job_item& item)
{
    json document { { "id", item.id }, { "prompt", item.prompt }, { "max_tokens", item.maxTokens } };
    if (!item.idempotent)
        document["idempotent"] = false;
    return document.dump(-1, ' ', false, json::error_handler_t::replace) + '\n';
}

void packInto(std::vector<std::string>& chunks, std::span<const job_item> items)
{
    std::string text;
    std::size_t count = 0;
    while (count < items.size() && text.size() < rawChunkBytes)
        text += toLine(items[count++]);
    auto packed = compress(text);
    if (packed.size() > mostChunkBytes && count > 1) {
        packInto(chunks, items.subspan(0, count / 2));
        packInto(chunks, items.subspan(count / 2, count - count / 2));
    } else {
        chunks.push_back(std::move(packed));
    }
    if (count < items.size())
        packInto(chunks, items.subspan(count));
}

} // namespace

result<std::vector<job_item>> parseItems(std::string_view lines)
{
    std::vector<job_item> items;
    std::unordered_set<std::string> ids;
    for (std::size_t line = 1; !lines.empty(); ++line) {
        const auto end = lines.find('\n');
        auto text = lines.substr(0, end);
        lines.remove_prefix(end == std::string_view::npos ? lines.size() : end + 1);
        if (text.find_first_not_of(" \t\r") == std::string_view::npos)
            continue;
        if (items.size() == mostItemsPerJob)
            return notRun(failure_kind::too_large,
                "line " + std::to_string(line) + ": a job has at most " + std::to_string(mostItemsPerJob)
                    + " items");
        BOOST_OUTCOME_TRY(auto item, parseItem(text, line, items.size()));
        if (toLine(item).size() > mostChunkBytes)
            return badLine(line, "the item is larger than " + std::to_string(mostChunkBytes) + " bytes");
        if (!ids.insert(item.id).second)
            return badLine(line, "id \"" + item.id + "\" stands twice");
        items.push_back(std::move(item));
    }
    if (items.empty())
        return notRun(failure_kind::bad_request, "the job has no items");
    return items;
}

std::vector<std::string> packItems(std::span<const job_item> items)
{
    std::vector<std::string> chunks;
    packInto(chunks, items);
    return chunks;
}

result<std::vector<job_item>> unpackItems(std::string_view chunk)
{
    BOOST_OUTCOME_TRY(auto text, decompress(chunk));
    return parseItems(text);
}

std::string compress(std::string_view text)
{
    std::string packed(ZSTD_compressBound(text.size()), '\0');
    packed.resize(ZSTD_compress(packed.data(), packed.size(), text.data(), text.size(), compressionLevel));
    return packed;
}

result<std::string> decompress(std::string_view bytes)
{
    const auto size = ZSTD_getFrameContentSize(bytes.data(), bytes.size());
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN || size > mostUnpackedBytes)
        return notRun(failure_kind::internal, "stored bytes are damaged");
    std::string text(size, '\0');
    if (ZSTD_decompress(text.data(), text.size(), bytes.data(), bytes.size()) != size)
        return notRun(failure_kind::internal, "stored bytes are damaged");
    return text;
}

std::uint64_t hashItems(std::string_view lines)
{
    return XXH3_64bits(lines.data(), lines.size());
}

} // namespace yuccachute
