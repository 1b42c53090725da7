#include "guard/guard.h"

#include "logging/logging.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace yuccachute {

namespace {

using nlohmann::json;

constexpr std::string_view suspectsPrefix = "yuccachute/suspect/";
constexpr std::uint32_t leastStrikesKept = 2;
constexpr milliseconds loadRetry { 1000 };
/// What several targets' ends show within a moment is written by one call: each is priced.
constexpr milliseconds writePause { 50 };
constexpr milliseconds writeRetry { 1000 };
/// Each takes two of the 32 entries that a transaction may have.
constexpr std::size_t mostInOneCall = 12;
/// Longer than a request is refused. The store forgets what nobody has changed since.
constexpr std::chrono::minutes timeToLive { 10 };
/// A lease is shared by what is written within so long.
constexpr std::chrono::minutes leaseShared { 1 };
/// While the store is away this many changes are kept; what other processes know goes on being told.
constexpr std::size_t mostUnsaved = 256;

std::string keyOf(const request_identity& identity)
{
    return std::string(suspectsPrefix) + toString(identity);
}

} // namespace

std::string encodeSuspect(const suspect_report& report, std::int64_t wallClockMs)
{
    return json {
        { "acquittals", report.record.acquittals }, { "strikes", report.record.strikes },
        { "changed_ms", wallClockMs - report.age.count() }
    }.dump();
}

result<suspect_report> decodeSuspect(
    std::string_view key, std::string_view document, std::int64_t wallClockMs)
{
    const auto wrong = [&](const std::string& what) {
        return notRun(failure_kind::bad_request, std::string(key) + ": " + what);
    };
    if (!key.starts_with(suspectsPrefix))
        return wrong("not a key of a suspect");
    const auto identity = parseIdentity(key.substr(suspectsPrefix.size()));
    if (!identity)
        return wrong("the key holds no identity");
    const auto object = json::parse(document, nullptr, false);
    if (!object.is_object())
        return wrong("not a JSON object");
    for (const auto* field : { "acquittals", "strikes", "changed_ms" }) {
        if (!object.contains(field) || !object[field].is_number_unsigned())
            return wrong(std::string("field ") + field + ": not a whole number");
    }
    suspect_report report;
    report.identity = *identity;
    report.record = { object["acquittals"].get<std::uint32_t>(), object["strikes"].get<std::uint32_t>() };
    // Clocks of VMs differ, and may jump.
    const auto age = milliseconds { wallClockMs - object["changed_ms"].get<std::int64_t>() };
    report.age = std::clamp<milliseconds>(age, milliseconds { 0 }, timeToLive);
    return report;
}

suspect_archive::suspect_archive(event_loop& loop, async_store& store, request_guard& guard)
    : m_loop(loop)
    , m_store(store)
    , m_guard(guard)
    , m_loadTimer(loop)
    , m_writeTimer(loop)
{
}

void suspect_archive::load(std::function<void()> loaded)
{
    m_store.list(suspectsPrefix, [this, loaded = std::move(loaded)](const result<store_listing>& listing) {
        if (!listing)
            return m_loadTimer.arm(loadRetry, [this, loaded] { load(loaded); });
        take(listing.value().values);
        loaded();
    });
}

void suspect_archive::take(std::span<const stored_value> values)
{
    std::vector<suspect_report> reports;
    for (const auto& value : values) {
        auto decoded = decodeSuspect(value.key, value.value, wallClockMs());
        if (!decoded) {
            logEvent(log_level::error, "suspect not understood", { { "message", decoded.error().message } });
            continue;
        }
        m_kept[decoded.value().identity] = { decoded.value().record, value.modRevision };
        reports.push_back(decoded.value());
    }
    m_guard.merge(reports);
}

void suspect_archive::save(const suspect_report& news)
{
    const bool kept = m_kept.contains(news.identity);
    if (news.record.strikes < leastStrikesKept && !kept)
        return;
    if (m_unsaved.size() >= mostUnsaved)
        return;
    m_unsaved.insert(news.identity);
    writeSoon(writePause);
}

void suspect_archive::writeSoon(milliseconds pause)
{
    if (!m_writing && !m_writeTimer.armed())
        m_writeTimer.arm(pause, [this] { write(); });
}

void suspect_archive::write()
{
    if (m_unsaved.empty())
        return;
    m_writing = true;
    const auto now = std::chrono::steady_clock::now();
    if (m_lease != 0 && now - m_leaseSince < leaseShared)
        return writeUnder(m_lease);
    m_store.grantLease(timeToLive, [this, now](const result<std::int64_t>& lease) {
        m_lease = lease ? lease.value() : 0;
        m_leaseSince = now;
        if (lease)
            return writeUnder(m_lease);
        m_writing = false;
        writeSoon(writeRetry);
    });
}

void suspect_archive::writeUnder(std::int64_t lease)
{
    const auto now = std::chrono::steady_clock::now();
    std::erase_if(
        m_unsaved, [&](const auto& identity) { return !m_guard.known().report(identity, now).has_value(); });
    store_transaction transaction;
    std::vector<suspect_report> reports;
    for (const auto& identity : m_unsaved) {
        if (reports.size() == mostInOneCall)
            break;
        reports.push_back(*m_guard.known().report(identity, now));
        transaction.conditions.push_back(conditionOf(identity));
        transaction.writes.push_back(
            { keyOf(identity), encodeSuspect(reports.back(), wallClockMs()), lease });
    }
    m_writing = !reports.empty();
    if (!m_writing)
        return;
    m_store.commit(transaction, [this, reports](const result<commit_outcome>& outcome) {
        m_writing = false;
        written(reports, outcome);
        if (!m_unsaved.empty())
            writeSoon(outcome ? writePause : writeRetry);
    });
}

store_condition suspect_archive::conditionOf(const request_identity& identity) const
{
    store_condition condition;
    condition.key = keyOf(identity);
    const auto kept = m_kept.find(identity);
    if (kept == m_kept.end())
        return condition;
    condition.what = store_condition::kind::mod_revision;
    condition.revision = kept->second.revision;
    return condition;
}

void suspect_archive::written(
    const std::vector<suspect_report>& reports, const result<commit_outcome>& outcome)
{
    if (!outcome) {
        if (outcome.error().kind == failure_kind::not_found)
            m_lease = 0; // It has lapsed.
        return; // Written again: the condition tells whether this one took effect.
    }
    if (outcome.value().applied) {
        for (const auto& report : reports)
            m_kept[report.identity] = { report.record, outcome.value().revision };
    } else {
        // Somebody else has written. What is in the store now is the condition of the next call.
        for (const auto& report : reports)
            m_kept.erase(report.identity);
        take(outcome.value().found);
    }
    std::erase_if(m_unsaved, [&](const auto& identity) {
        const auto kept = m_kept.find(identity);
        return kept != m_kept.end() && !m_guard.record(identity).supersedes(kept->second.record);
    });
}

} // namespace yuccachute
