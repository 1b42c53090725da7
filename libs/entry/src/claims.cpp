#include "claims.h"

#include "json_input/json_input.h"

#include <nlohmann/json.hpp>

namespace yuccachute {

namespace {

using json = nlohmann::json;

constexpr std::string_view claimPrefix = "/yuccachute/claim/";
/// Claims last for at least a day, whichever VMs fail. Each entry attaches its claims to a lease of its own,
/// which it replaces every hour; the store removes them when the lease expires.
constexpr std::chrono::seconds claimLifetime { 25 * 3600 };
constexpr std::chrono::hours leaseRenewalInterval { 1 };
constexpr std::size_t maxStoredReplyBytes = 256u << 10;
constexpr int maxReads = 3;

std::string claimKey(const std::string& customer, std::string_view key)
{
    return std::string(claimPrefix) + sha256Hex(customer + '\0' + std::string(key));
}

std::optional<http_reply> readStoredReply(const json& document)
{
    const auto status = document.find("status");
    if (status == document.end())
        return std::nullopt;
    http_reply reply;
    reply.status = status->get<unsigned>();
    reply.headers = { { "Content-Type", document.value("type", "application/octet-stream") } };
    const auto& bytes = document.at("body").get_binary();
    reply.body.assign(bytes.begin(), bytes.end());
    return reply;
}

/// Decodes an existing claim. One that cannot be decoded counts as that of another request, which may have
/// run.
request_claims::claim readClaim(const std::string& value, const std::string& token)
{
    const auto document = parseMsgpack(value);
    if (!document.is_object())
        return {};
    try {
        // The claim is this request's own; the store's response to it was lost.
        if (document.value("request", "") == token)
            return { true, std::nullopt };
        return { false, readStoredReply(document) };
    } catch (const json::exception&) {
        return {};
    }
}

std::string writeClaim(const json& document)
{
    const auto bytes = json::to_msgpack(document);
    return { bytes.begin(), bytes.end() };
}

} // namespace

result<std::int64_t> request_claims::lease(steady_time now)
{
    const std::scoped_lock lock(m_mutex);
    if (m_lease != 0 && now < m_leaseRenewal)
        return m_lease;
    BOOST_OUTCOME_TRY(auto granted, m_store.grantLease(claimLifetime));
    m_lease = granted;
    m_leaseRenewal = now + leaseRenewalInterval;
    return m_lease;
}

result<request_claims::claim> request_claims::take(
    const std::string& customer, std::string_view key, const std::string& token)
{
    const auto refuse = [](const failure& error) {
        return notRun(failure_kind::unavailable,
            "cannot claim the idempotency key in the store: " + error.message, milliseconds { 2000 });
    };
    const auto current = lease(std::chrono::steady_clock::now());
    if (!current)
        return refuse(current.error());
    const auto storeKey = claimKey(customer, key);
    store_transaction transaction;
    transaction.conditions.push_back({ store_condition::kind::absent, storeKey, 0 });
    transaction.writes.push_back({ storeKey, writeClaim({ { "request", token } }), current.value() });
    transaction.readOtherwise.push_back(storeKey);
    const auto outcome = m_store.commit(transaction);
    if (outcome && outcome.value().applied)
        return claim { true, std::nullopt };
    if (outcome)
        return readClaim(outcome.value().found.at(0).value, token);
    if (outcome.error().ran == verdict::not_run)
        return refuse(outcome.error());
    // The claim may have been written although the response was lost. Reading it shows whose it is.
    for (int attempt = 0; attempt < maxReads; ++attempt) {
        const auto found = m_store.get(storeKey);
        if (found && found.value())
            return readClaim(found.value()->value, token);
        if (found)
            break;
    }
    return refuse(outcome.error());
}

void request_claims::storeReply(
    const std::string& customer, std::string_view key, const std::string& token, const http_reply& reply)
{
    const auto current = lease(std::chrono::steady_clock::now());
    if (!current || reply.body.size() > maxStoredReplyBytes)
        return;
    const json document { { "request", token }, { "status", reply.status },
        { "type", std::string(findHeader(reply.headers, "Content-Type")) },
        { "body", json::binary({ reply.body.begin(), reply.body.end() }) } };
    store_transaction transaction;
    transaction.writes.push_back({ claimKey(customer, key), writeClaim(document), current.value() });
    (void)m_store.commit(transaction);
}

void request_claims::releaseClaim(const std::string& customer, std::string_view key)
{
    store_transaction transaction;
    transaction.removals.push_back({ claimKey(customer, key), false });
    (void)m_store.commit(transaction);
}

} // namespace yuccachute
