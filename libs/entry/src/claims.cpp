#include "claims.h"

#include <nlohmann/json.hpp>

namespace yuccachute {

namespace {

using json = nlohmann::json;

constexpr std::string_view claimPrefix = "/yuccachute/claim/";
/// Claims last for a day, through any loss of VMs; one lease an hour and entry carries them, so that the
/// store removes them by itself.
constexpr std::chrono::seconds claimLifetime { 25 * 3600 };
constexpr std::chrono::hours leaseChange { 1 };
constexpr std::size_t mostKeptBytes = 256u << 10;
constexpr int mostReads = 3;

std::string claimKey(const std::string& customer, std::string_view key)
{
    return std::string(claimPrefix) + sha256Hex(customer + '\0' + std::string(key));
}

std::optional<http_reply> keptAnswer(const json& document)
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

/// Reads a claim that exists already.
request_claims::claim readClaim(const std::string& value, const std::string& token)
{
    const auto document = json::from_msgpack(value, true, false);
    if (!document.is_object())
        return {};
    // A reply of the store was lost and the claim is this request's own.
    if (document.value("request", "") == token)
        return { true, std::nullopt };
    return { false, keptAnswer(document) };
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
    m_leaseRenewal = now + leaseChange;
    return m_lease;
}

result<request_claims::claim> request_claims::take(
    const std::string& customer, std::string_view key, const std::string& token)
{
    const auto refuse = [](const failure& error) {
        return notRun(failure_kind::unavailable, "the idempotency key cannot be claimed: " + error.message,
            milliseconds { 2000 });
    };
    const auto current = lease(std::chrono::steady_clock::now());
    if (!current)
        return refuse(current.error());
    const auto at = claimKey(customer, key);
    store_transaction transaction;
    transaction.conditions.push_back({ store_condition::kind::absent, at, 0 });
    transaction.writes.push_back({ at, writeClaim({ { "request", token } }), current.value() });
    transaction.readOtherwise.push_back(at);
    const auto outcome = m_store.commit(transaction);
    if (outcome && outcome.value().applied)
        return claim { true, std::nullopt };
    if (outcome)
        return readClaim(outcome.value().found.at(0).value, token);
    if (outcome.error().ran == verdict::not_run)
        return refuse(outcome.error());
    // The claim may have been written although its reply was lost: reading tells whose it is.
    for (int attempt = 0; attempt < mostReads; ++attempt) {
        const auto found = m_store.get(at);
        if (found && found.value())
            return readClaim(found.value()->value, token);
        if (found)
            break;
    }
    return refuse(outcome.error());
}

void request_claims::keepAnswer(
    const std::string& customer, std::string_view key, const std::string& token, const http_reply& reply)
{
    const auto current = lease(std::chrono::steady_clock::now());
    if (!current || reply.body.size() > mostKeptBytes)
        return;
    const json document { { "request", token }, { "status", reply.status },
        { "type", std::string(findHeader(reply.headers, "Content-Type")) },
        { "body", json::binary({ reply.body.begin(), reply.body.end() }) } };
    store_transaction transaction;
    transaction.writes.push_back({ claimKey(customer, key), writeClaim(document), current.value() });
    (void)m_store.commit(transaction);
}

void request_claims::giveBack(const std::string& customer, std::string_view key)
{
    store_transaction transaction;
    transaction.removals.push_back({ claimKey(customer, key), false });
    (void)m_store.commit(transaction);
}

} // namespace yuccachute
