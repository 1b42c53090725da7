#include "jobs/jobs.h"

#include "json_input/json_input.h"

#include <nlohmann/json.hpp>

namespace yuccachute {

namespace {

using json = nlohmann::json;

std::string toMessagePack(const json& document)
{
    const auto bytes = json::to_msgpack(document);
    return { bytes.begin(), bytes.end() };
}

result<json> fromMessagePack(std::string_view bytes)
{
    auto document = parseMsgpack(bytes);
    if (!document.is_object())
        return notRun(
            failure_kind::internal, "stored job data cannot be decoded: it is not a MessagePack object");
    return document;
}

std::vector<std::uint8_t> toBytes(const std::vector<bool>& bits)
{
    std::vector<std::uint8_t> bytes((bits.size() + 7) / 8);
    for (std::size_t i = 0; i < bits.size(); ++i) {
        if (bits[i])
            bytes[i / 8] = static_cast<std::uint8_t>(bytes[i / 8] | (1u << (i % 8)));
    }
    return bytes;
}

/// Throws json::exception if there are fewer bits: a stored count must not decide how much memory is
/// reserved.
std::vector<bool> toBits(const std::vector<std::uint8_t>& bytes, std::size_t count)
{
    constexpr int errorId = 501;
    if (count > bytes.size() * 8)
        throw json::other_error::create(errorId, "the number of bits is too large", nullptr);
    std::vector<bool> bits(count);
    for (std::size_t i = 0; i < count; ++i)
        bits[i] = (bytes[i / 8] >> (i % 8)) & 1;
    return bits;
}

} // namespace

std::string encodeRecord(const job_record& record)
{
    return toMessagePack({ { "id", record.id }, { "customer", record.customer },
        { "service", record.service }, { "token", record.token }, { "hash", record.itemsHash },
        { "items", record.items }, { "chunks", record.chunks }, { "created", record.createdMs },
        { "due", record.dueMs }, { "retention", record.retentionMs }, { "attempts", record.attempts },
        { "expired", record.expired } });
}

result<job_record> decodeRecord(std::string_view bytes)
{
    BOOST_OUTCOME_TRY(auto document, fromMessagePack(bytes));
    try {
        job_record record;
        record.id = document.value("id", "");
        record.customer = document.value("customer", "");
        record.service = document.value("service", "");
        record.token = document.value("token", "");
        record.itemsHash = document.value("hash", std::uint64_t { 0 });
        record.items = document.value("items", 0u);
        record.chunks = document.value("chunks", 0u);
        record.createdMs = document.value("created", std::int64_t { 0 });
        record.dueMs = document.value("due", std::int64_t { 0 });
        record.retentionMs = document.value("retention", std::int64_t { 0 });
        record.attempts = document.value("attempts", 4u);
        record.expired = document.value("expired", false);
        return record;
    } catch (const json::exception&) {
        return notRun(
            failure_kind::internal, "stored job record cannot be decoded: a field has the wrong type");
    }
}

std::string_view toString(job_state state)
{
    switch (state) {
    case job_state::running:
        return "running";
    case job_state::completed:
        return "completed";
    case job_state::cancelled:
        return "cancelled";
    }
    return "running";
}

std::string encodeProgress(const job_progress& progress)
{
    json attempts = json::array();
    for (const auto& [index, count] : progress.attempts)
        attempts.push_back({ index, count });
    return toMessagePack({ { "state", static_cast<int>(progress.state) }, { "token", progress.token },
        { "chunks", progress.resultChunks }, { "completed", progress.completed },
        { "failed", progress.failed }, { "ended_ms", progress.endedMs }, { "count", progress.ended.size() },
        { "ended", json::binary(toBytes(progress.ended)) }, { "attempts", std::move(attempts) },
        { "in_flight", progress.inFlight }, { "started", progress.startedOnce } });
}

result<job_progress> decodeProgress(std::string_view bytes)
{
    BOOST_OUTCOME_TRY(auto document, fromMessagePack(bytes));
    job_progress progress;
    try {
        progress.state = static_cast<job_state>(document.at("state").get<int>());
        progress.token = document.at("token").get<std::string>();
        progress.resultChunks = document.at("chunks").get<std::uint32_t>();
        progress.completed = document.at("completed").get<std::uint32_t>();
        progress.failed = document.at("failed").get<std::uint32_t>();
        progress.endedMs = document.at("ended_ms").get<std::int64_t>();
        progress.ended = toBits(document.at("ended").get_binary(), document.at("count").get<std::size_t>());
        for (const auto& pair : document.at("attempts"))
            progress.attempts[pair.at(0).get<std::uint32_t>()] = pair.at(1).get<std::uint32_t>();
        progress.inFlight = document.at("in_flight").get<std::set<std::uint32_t>>();
        progress.startedOnce = document.at("started").get<std::set<std::uint32_t>>();
    } catch (const json::exception&) {
        return notRun(failure_kind::internal,
            "stored job progress cannot be decoded: a field is missing or has the wrong type");
    }
    return progress;
}

} // namespace yuccachute
