#include "guard/guard.h"

#include "json_input/json_input.h"
#include "logging/logging.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace yuccachute {

namespace {

using nlohmann::json;

constexpr std::string_view suspectsPrefix = "yuccachute/suspect/";
constexpr std::uint32_t minStoredStrikes = 2;
constexpr milliseconds loadRetryDelay { 1000 };
/// Changes within this time are written by one call, because each call to the store is charged for.
constexpr milliseconds writeDelay { 50 };
constexpr milliseconds writeRetryDelay { 1000 };
/// Each report takes two of the 32 entries that a transaction may have.
constexpr std::size_t maxReportsPerTransaction = 12;
/// Longer than the time for which a request is refused. The store deletes records that are not changed for
/// this time.
constexpr std::chrono::minutes reportTtl { 10 };
/// Records that are written within this time share a lease.
constexpr std::chrono::minutes leaseReusePeriod { 1 };
/// Changes to keep while the store is unreachable. They are replicated to other processes meanwhile.
constexpr std::size_t maxUnsavedReports = 256;

std::string keyOf(const request_identity& identity)
{
    return std::string(suspectsPrefix) + toString(identity);
}

} // namespace

std::string encodeSuspect(const suspect_report& report, std::int64_t wallClockMs)
{
    json document { { "acquittals", report.record.acquittals }, { "strikes", report.record.strikes },
        { "changed_ms", wallClockMs - report.age.count() } };
    if (promptPartOf(report.identity)) {
        document["targets"] = report.targets;
        document["trials"] = report.trials;
    }
    return document.dump();
}

result<suspect_report> decodeSuspect(
    std::string_view key, std::string_view document, std::int64_t wallClockMs)
{
    const auto invalid = [&](const std::string& what) {
        return notRun(failure_kind::bad_request, std::string(key) + ": " + what);
    };
    if (!key.starts_with(suspectsPrefix))
        return invalid("not the key of a suspected request");
    const auto identity = parseIdentity(key.substr(suspectsPrefix.size()));
    if (!identity)
        return invalid("the key does not end in a request identity");
    const auto object = parseJson(document);
    if (!object.is_object())
        return invalid("not a JSON object");
    for (const auto* field : { "acquittals", "strikes", "changed_ms" }) {
        if (!object.contains(field) || !object[field].is_number_unsigned())
            return invalid(std::string("field ") + field + ": not a whole number");
    }
    suspect_report report;
    report.identity = *identity;
    if (promptPartOf(*identity)) {
        const auto targets = object.find("targets");
        const bool valid = targets != object.end() && targets->is_array()
            && std::all_of(targets->begin(), targets->end(),
                [](const auto& target) { return target.is_number_unsigned(); });
        if (!valid)
            return invalid("field targets: not an array of whole numbers");
        report.targets = targets->get<std::vector<target_hash>>();
        std::sort(report.targets.begin(), report.targets.end());
        const auto trials = object.find("trials");
        if (trials == object.end() || !trials->is_number_unsigned())
            return invalid("field trials: not a whole number");
        report.trials = trials->get<std::uint32_t>();
    }
    report.record = { object["acquittals"].get<std::uint32_t>(), object["strikes"].get<std::uint32_t>() };
    // The clocks of VMs differ and may jump.
    const auto age = milliseconds { wallClockMs - object["changed_ms"].get<std::int64_t>() };
    report.age = std::clamp<milliseconds>(age, milliseconds { 0 }, reportTtl);
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
            return m_loadTimer.arm(loadRetryDelay, [this, loaded] { load(loaded); });
        mergeStored(listing.value().values);
        loaded();
    });
}

void suspect_archive::mergeStored(std::span<const stored_value> values)
{
    std::vector<suspect_report> reports;
    for (const auto& value : values) {
        auto decoded = decodeSuspect(value.key, value.value, wallClockMs());
        if (!decoded) {
            logEvent(log_level::error, "stored suspect record ignored",
                { { "message", decoded.error().message } });
            continue;
        }
        m_stored[decoded.value().identity] = { decoded.value(), value.modRevision };
        reports.push_back(decoded.value());
    }
    m_guard.merge(reports);
}

void suspect_archive::save(const suspect_report& change)
{
    const bool stored = m_stored.contains(change.identity);
    if (change.record.strikes < minStoredStrikes && !stored)
        return;
    if (m_unsaved.size() >= maxUnsavedReports)
        return;
    m_unsaved.insert(change.identity);
    scheduleWrite(writeDelay);
}

void suspect_archive::scheduleWrite(milliseconds pause)
{
    if (!m_writing && !m_writeTimer.armed())
        m_writeTimer.arm(pause, [this] { write(); });
}

void suspect_archive::write()
{
    if (m_unsaved.empty())
        return;
    m_writing = true;
    withLease([this](std::optional<std::int64_t> lease) {
        if (lease)
            return writeWithLease(*lease);
        m_writing = false;
        scheduleWrite(writeRetryDelay);
    });
}

void suspect_archive::withLease(std::function<void(std::optional<std::int64_t>)> proceed)
{
    const auto now = std::chrono::steady_clock::now();
    if (m_lease != 0 && now - m_leaseGrantedAt < leaseReusePeriod)
        return proceed(m_lease);
    m_store.grantLease(
        reportTtl, [this, now, proceed = std::move(proceed)](const result<std::int64_t>& lease) {
            m_lease = lease ? lease.value() : 0;
            m_leaseGrantedAt = now;
            proceed(lease ? std::optional(m_lease) : std::nullopt);
        });
}

void suspect_archive::claim(const suspect_report& claimed, std::function<void(bool)> done)
{
    withLease([this, claimed, done = std::move(done)](std::optional<std::int64_t> lease) {
        if (!lease)
            return done(false);
        commitClaim(claimed, *lease, done);
    });
}

void suspect_archive::commitClaim(
    const suspect_report& claimed, std::int64_t lease, std::function<void(bool)> done)
{
    store_transaction transaction;
    transaction.conditions.push_back(conditionOf(claimed.identity));
    transaction.writes.push_back({ keyOf(claimed.identity), encodeSuspect(claimed, wallClockMs()), lease });
    m_store.commit(
        transaction, [this, claimed, done = std::move(done)](const result<commit_outcome>& outcome) {
            onWritten({ claimed }, outcome);
            done(outcome && outcome.value().applied);
        });
}

void suspect_archive::writeWithLease(std::int64_t lease)
{
    const auto now = std::chrono::steady_clock::now();
    std::erase_if(
        m_unsaved, [&](const auto& identity) { return !m_guard.report(identity, now).has_value(); });
    store_transaction transaction;
    std::vector<suspect_report> reports;
    for (const auto& identity : m_unsaved) {
        if (reports.size() == maxReportsPerTransaction)
            break;
        reports.push_back(*m_guard.report(identity, now));
        transaction.conditions.push_back(conditionOf(identity));
        transaction.writes.push_back(
            { keyOf(identity), encodeSuspect(reports.back(), wallClockMs()), lease });
    }
    m_writing = !reports.empty();
    if (!m_writing)
        return;
    m_store.commit(transaction, [this, reports](const result<commit_outcome>& outcome) {
        m_writing = false;
        onWritten(reports, outcome);
        if (!m_unsaved.empty())
            scheduleWrite(outcome ? writeDelay : writeRetryDelay);
    });
}

store_condition suspect_archive::conditionOf(const request_identity& identity) const
{
    store_condition condition;
    condition.key = keyOf(identity);
    const auto stored = m_stored.find(identity);
    if (stored == m_stored.end())
        return condition;
    condition.what = store_condition::kind::mod_revision;
    condition.revision = stored->second.revision;
    return condition;
}

void suspect_archive::onWritten(
    const std::vector<suspect_report>& reports, const result<commit_outcome>& outcome)
{
    if (!outcome) {
        if (outcome.error().kind == failure_kind::not_found)
            m_lease = 0; // The lease has expired.
        return; // The write is retried; its condition shows whether this one took effect.
    }
    if (outcome.value().applied) {
        for (const auto& report : reports)
            m_stored[report.identity] = { report, outcome.value().revision };
    } else {
        // Another process has changed the keys. Their present revisions are the conditions of the next call.
        for (const auto& report : reports)
            m_stored.erase(report.identity);
        mergeStored(outcome.value().found);
    }
    const auto now = std::chrono::steady_clock::now();
    std::erase_if(m_unsaved, [&](const auto& identity) {
        const auto stored = m_stored.find(identity);
        const auto own = m_guard.report(identity, now);
        return stored != m_stored.end() && (!own || !supersedes(*own, stored->second.report));
    });
}

} // namespace yuccachute
