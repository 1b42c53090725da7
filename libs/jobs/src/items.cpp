#include "jobs/jobs.h"

#include "json_input/json_input.h"

#include <nlohmann/json.hpp>
#include <xxhash.h>
#include <zstd.h>

#include <unordered_set>

namespace yuccachute {

namespace {

using json = nlohmann::json;

constexpr int compressionLevel = 3;
/// Amount of uncompressed text to start a chunk with. A chunk that is too large after compression is split.
constexpr std::size_t uncompressedChunkBytes = 1u << 20;
constexpr std::size_t maxDecompressedBytes = 256u << 20;
constexpr unsigned maxTokensPerItem = 1u << 20;

failure lineError(std::size_t line, const std::string& problem)
{
    return notRun(failure_kind::bad_request, "line " + std::to_string(line) + ": " + problem);
}

result<job_item> parseItem(std::string_view text, std::size_t line, std::size_t index)
{
    const auto document = parseJson(text);
    if (!document.is_object())
        return lineError(line, "not a JSON object");
    job_item item;
    item.id = "item-" + std::to_string(index);
    for (const auto& [name, value] : document.items()) {
        if (name == "id" && value.is_string() && !value.get_ref<const std::string&>().empty())
            item.id = value.get<std::string>();
        else if (name == "prompt" && value.is_string())
            item.prompt = value.get<std::string>();
        else if (name == "max_tokens" && value.is_number_unsigned() && value.get<std::uint64_t>() >= 1
            && value.get<std::uint64_t>() <= maxTokensPerItem)
            item.maxTokens = value.get<unsigned>();
        else if (name == "idempotent" && value.is_boolean())
            item.idempotent = value.get<bool>();
        else
            return lineError(line,
                "field \"" + name
                    + "\" is unknown or has an invalid value; the fields are id, prompt, max_tokens and "
                      "idempotent");
    }
    if (!document.contains("prompt"))
        return lineError(line, "field \"prompt\" is missing");
    return item;
}

std::string toJsonLine(const job_item& item)
{
    json document { { "id", item.id }, { "prompt", item.prompt }, { "max_tokens", item.maxTokens } };
    if (!item.idempotent)
        document["idempotent"] = false;
    return document.dump(-1, ' ', false, json::error_handler_t::replace) + '\n';
}

void appendChunks(std::vector<std::string>& chunks, std::span<const job_item> items)
{
    std::string text;
    std::size_t count = 0;
    while (count < items.size() && text.size() < uncompressedChunkBytes)
        text += toJsonLine(items[count++]);
    auto packed = compress(text);
    if (packed.size() > maxChunkBytes && count > 1) {
        appendChunks(chunks, items.subspan(0, count / 2));
        appendChunks(chunks, items.subspan(count / 2, count - count / 2));
    } else {
        chunks.push_back(std::move(packed));
    }
    if (count < items.size())
        appendChunks(chunks, items.subspan(count));
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
        if (items.size() == maxItemsPerJob)
            return notRun(failure_kind::too_large,
                "line " + std::to_string(line) + ": the job exceeds the limit of "
                    + std::to_string(maxItemsPerJob) + " items");
        BOOST_OUTCOME_TRY(auto item, parseItem(text, line, items.size()));
        if (toJsonLine(item).size() > maxChunkBytes)
            return lineError(line, "the item is larger than " + std::to_string(maxChunkBytes) + " bytes");
        if (!ids.insert(item.id).second)
            return lineError(line, "id \"" + item.id + "\" is already used by an earlier line");
        items.push_back(std::move(item));
    }
    if (items.empty())
        return notRun(failure_kind::bad_request, "the job has no items");
    return items;
}

std::vector<std::string> packItems(std::span<const job_item> items)
{
    std::vector<std::string> chunks;
    appendChunks(chunks, items);
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
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN || size > maxDecompressedBytes)
        return notRun(failure_kind::internal, "compressed data is damaged, or too large when decompressed");
    std::string text(size, '\0');
    if (ZSTD_decompress(text.data(), text.size(), bytes.data(), bytes.size()) != size)
        return notRun(failure_kind::internal, "compressed data is damaged");
    return text;
}

std::uint64_t hashItems(std::string_view lines)
{
    return XXH3_64bits(lines.data(), lines.size());
}

} // namespace yuccachute
