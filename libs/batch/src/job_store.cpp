#include "batch/batch.h"

#include <algorithm>
#include <cstdio>

namespace yuccachute {

namespace {

constexpr std::string_view recordPrefix = "/yuccachute/job/";
constexpr std::string_view inputPrefix = "/yuccachute/job-input/";
constexpr std::string_view progressPrefix = "/yuccachute/job-progress/";
constexpr std::string_view resultPrefix = "/yuccachute/job-result/";
constexpr std::string_view openPrefix = "/yuccachute/job-open/";
constexpr std::string_view ownerPrefix = "/yuccachute/job-owner/";
constexpr std::string_view expiryPrefix = "/yuccachute/job-expiry/";
constexpr int maxStoreAttempts = 3;
/// For this time the record of an expired job is kept, so that requests for it get 410 instead of 404.
constexpr std::chrono::seconds tombstoneLifetime { 7 * 86400 };
constexpr int maxCancelAttempts = 20;

std::string key(std::string_view prefix, std::string_view id)
{
    return std::string(prefix) + std::string(id);
}

std::string chunkKey(std::string_view prefix, std::string_view id, std::uint32_t number)
{
    char suffix[16];
    std::snprintf(suffix, sizeof suffix, "/%08u", number);
    return key(prefix, id) + suffix;
}

std::string expiryKey(std::int64_t timeMs, std::string_view id)
{
    char time[24];
    std::snprintf(time, sizeof time, "%014lld-", static_cast<long long>(timeMs));
    return std::string(expiryPrefix) + time + std::string(id);
}

std::vector<std::string> extractIds(const store_listing& listing, std::string_view prefix)
{
    std::vector<std::string> ids;
    for (const auto& value : listing.values)
        ids.push_back(value.key.substr(prefix.size()));
    return ids;
}

/// Reads a key, with up to maxStoreAttempts attempts.
result<std::optional<stored_value>> readWithRetries(config_store& store, const std::string& at)
{
    auto found = store.get(at);
    for (int attempt = 1; !found && attempt < maxStoreAttempts; ++attempt)
        found = store.get(at);
    return found;
}

failure withUnknownOutcome(failure error)
{
    error.ran = verdict::may_have_run;
    return error;
}

} // namespace

result<job_store::stored_job> job_store::read(std::string_view id)
{
    BOOST_OUTCOME_TRY(auto record, m_store.get(key(recordPrefix, id)));
    if (!record)
        return notRun(failure_kind::not_found, "there is no job " + std::string(id));
    stored_job job;
    BOOST_OUTCOME_TRY(auto decoded, decodeRecord(record->value));
    job.record = std::move(decoded);
    if (job.record.expired)
        return notRun(failure_kind::gone, "the results of job " + std::string(id) + " have expired");
    BOOST_OUTCOME_TRY(auto progress, m_store.get(key(progressPrefix, id)));
    if (!progress)
        return notRun(failure_kind::gone, "the results of job " + std::string(id) + " have expired");
    BOOST_OUTCOME_TRY(auto decodedProgress, decodeProgress(progress->value));
    job.progress = std::move(decodedProgress);
    job.progressRevision = progress->modRevision;
    return job;
}

result<job_store::create_result> job_store::create(job_record record, const std::vector<std::string>& chunks)
{
    const auto recordKey = key(recordPrefix, record.id);
    const auto checkExisting = [&](stored_job job) -> result<create_result> {
        const bool createdHere = job.record.token == record.token;
        if (!createdHere && job.record.itemsHash != record.itemsHash)
            return notRun(
                failure_kind::conflict, "header Idempotency-Key: it belongs to a job with other items");
        return create_result { std::move(job), !createdHere };
    };
    auto earlier = read(record.id);
    if (earlier)
        return checkExisting(std::move(earlier.value()));
    if (earlier.error().kind == failure_kind::gone)
        return earlier.error();
    if (earlier.error().kind != failure_kind::not_found)
        return notRun(failure_kind::unavailable, earlier.error().message, milliseconds { 2000 });

    // The chunks of a large input are written first, each in its own transaction. The job does not exist
    // before the last transaction, which writes its record.
    const bool single = chunks.size() == 1;
    for (std::uint32_t number = 0; !single && number < chunks.size(); ++number) {
        store_transaction input;
        input.conditions.push_back({ store_condition::kind::absent, recordKey, 0 });
        input.writes.push_back({ chunkKey(inputPrefix, record.id, number), chunks[number], 0 });
        auto written = m_store.commit(input);
        // Writing a chunk is idempotent, so it can be retried when the reply is lost.
        for (int attempt = 1; !written && attempt < maxStoreAttempts; ++attempt)
            written = m_store.commit(input);
        if (!written)
            return notRun(failure_kind::unavailable, written.error().message, milliseconds { 2000 });
    }
    job_progress progress;
    progress.ended.resize(record.items);
    store_transaction creating;
    creating.conditions.push_back({ store_condition::kind::absent, recordKey, 0 });
    creating.writes.push_back({ recordKey, encodeRecord(record), 0 });
    creating.writes.push_back({ key(progressPrefix, record.id), encodeProgress(progress), 0 });
    creating.writes.push_back({ key(openPrefix, record.id), {}, 0 });
    if (single)
        creating.writes.push_back({ chunkKey(inputPrefix, record.id, 0), chunks.front(), 0 });
    const auto outcome = m_store.commit(creating);
    if (outcome && outcome.value().applied)
        return create_result { { std::move(record), std::move(progress), outcome.value().revision }, false };
    if (!outcome && outcome.error().ran == verdict::not_run)
        return notRun(failure_kind::unavailable, outcome.error().message, milliseconds { 2000 });
    // Either another submission created the job, or the reply was lost. The token of the stored record tells
    // which.
    auto now = read(record.id);
    for (int attempt = 1; !now && now.error().kind != failure_kind::not_found && attempt < maxStoreAttempts;
         ++attempt)
        now = read(record.id);
    if (now)
        return checkExisting(std::move(now.value()));
    if (now.error().kind == failure_kind::not_found)
        return notRun(
            failure_kind::unavailable, "the job was not stored; submit it again", milliseconds { 1000 });
    return withUnknownOutcome(now.error());
}

result<std::vector<job_item>> job_store::readItems(const job_record& record)
{
    std::vector<job_item> items;
    for (std::uint32_t number = 0; number < record.chunks; ++number) {
        BOOST_OUTCOME_TRY(auto chunk, m_store.get(chunkKey(inputPrefix, record.id, number)));
        if (!chunk)
            return notRun(
                failure_kind::internal, "job " + record.id + ": an input chunk is missing in the store");
        BOOST_OUTCOME_TRY(auto unpacked, unpackItems(chunk->value));
        std::move(unpacked.begin(), unpacked.end(), std::back_inserter(items));
    }
    if (items.size() != record.items)
        return notRun(failure_kind::internal,
            "job " + record.id + ": the number of stored items differs from its record");
    return items;
}

result<std::optional<std::string>> job_store::readResults(std::string_view id, std::uint32_t chunk)
{
    BOOST_OUTCOME_TRY(auto stored, m_store.get(chunkKey(resultPrefix, id, chunk)));
    if (!stored)
        return std::optional<std::string>();
    BOOST_OUTCOME_TRY(auto lines, decompress(stored->value));
    return std::optional<std::string>(std::move(lines));
}

result<job_store::scan_result> job_store::scan()
{
    BOOST_OUTCOME_TRY(auto open, m_store.list(openPrefix, {}, 0, true));
    scan_result all;
    all.open = extractIds(open, openPrefix);
    if (all.open.empty())
        return all;
    BOOST_OUTCOME_TRY(auto held, m_store.list(ownerPrefix, {}, 0, true));
    all.held = extractIds(held, ownerPrefix);
    return all;
}

result<std::optional<std::int64_t>> job_store::claim(
    std::string_view id, std::string_view address, std::int64_t lease, std::int64_t progressRevision)
{
    const auto at = key(ownerPrefix, id);
    store_transaction transaction;
    transaction.conditions.push_back({ store_condition::kind::absent, at, 0 });
    transaction.conditions.push_back(
        { store_condition::kind::mod_revision, key(progressPrefix, id), progressRevision });
    transaction.writes.push_back({ at, std::string(address), lease });
    const auto outcome = m_store.commit(transaction);
    if (outcome)
        return outcome.value().applied ? std::optional(outcome.value().revision) : std::nullopt;
    if (outcome.error().ran == verdict::not_run)
        return outcome.error();
    // The reply was lost. The lease of the owner key shows whether this claim took effect.
    BOOST_OUTCOME_TRY(auto found, readWithRetries(m_store, at));
    if (found && found->lease == lease)
        return std::optional(found->createRevision);
    return std::optional<std::int64_t>();
}

void job_store::release(std::string_view id, std::int64_t epoch)
{
    store_transaction transaction;
    transaction.conditions.push_back({ store_condition::kind::create_revision, key(ownerPrefix, id), epoch });
    transaction.removals.push_back({ key(ownerPrefix, id), false });
    (void)m_store.commit(transaction);
}

result<std::optional<std::string>> job_store::holder(std::string_view id)
{
    BOOST_OUTCOME_TRY(auto found, m_store.get(key(ownerPrefix, id)));
    return found ? std::optional(found->value) : std::nullopt;
}

result<std::optional<std::int64_t>> job_store::commit(
    const job_record& record, const job_commit& commit, std::int64_t epoch, std::int64_t progressRevision)
{
    const auto progressKey = key(progressPrefix, record.id);
    store_transaction transaction;
    // Fencing: a holder that was paused until its lease lapsed has lost the owner key, so the first condition
    // refuses its commit. The condition on the progress revision refuses a commit after a cancel, and one
    // that repeats an earlier commit of this process whose success it did not see.
    transaction.conditions.push_back(
        { store_condition::kind::create_revision, key(ownerPrefix, record.id), epoch });
    transaction.conditions.push_back({ store_condition::kind::mod_revision, progressKey, progressRevision });
    transaction.writes.push_back({ progressKey, encodeProgress(commit.progress), 0 });
    if (commit.results > 0)
        transaction.writes.push_back(
            { chunkKey(resultPrefix, record.id, commit.resultChunk), compress(commit.lines), 0 });
    if (commit.progress.state != job_state::running) {
        transaction.removals.push_back({ key(openPrefix, record.id), false });
        transaction.removals.push_back({ key(ownerPrefix, record.id), false });
        transaction.removals.push_back({ key(inputPrefix, record.id) + '/', true });
        transaction.writes.push_back(
            { expiryKey(commit.progress.endedMs + record.retentionMs, record.id), {}, 0 });
    }
    const auto outcome = m_store.commit(transaction);
    if (outcome && outcome.value().applied)
        return std::optional(outcome.value().revision);
    if (!outcome && outcome.error().ran == verdict::not_run)
        return outcome.error();
    // The commit was refused or its reply was lost. The token of the stored progress shows whether this
    // commit took effect.
    const auto found = readWithRetries(m_store, progressKey);
    if (!found)
        return withUnknownOutcome(found.error());
    if (!found.value())
        return std::optional<std::int64_t>();
    BOOST_OUTCOME_TRY(auto progress, decodeProgress(found.value()->value));
    if (progress.token == commit.progress.token)
        return std::optional(found.value()->modRevision);
    if (outcome)
        return std::optional<std::int64_t>();
    // The commit neither took effect nor was refused, so it may be retried.
    return notRun(failure_kind::unavailable, "the commit was not applied by the store; it will be retried");
}

result<job_store::stored_job> job_store::cancel(std::string_view id, std::string token, std::int64_t nowMs)
{
    for (int attempt = 0; attempt < maxCancelAttempts; ++attempt) {
        BOOST_OUTCOME_TRY(auto job, read(id));
        if (job.progress.state != job_state::running)
            return job;
        auto progress = job.progress;
        progress.state = job_state::cancelled;
        progress.token = token;
        progress.endedMs = nowMs;
        progress.inFlight.clear();
        store_transaction transaction;
        transaction.conditions.push_back(
            { store_condition::kind::mod_revision, key(progressPrefix, id), job.progressRevision });
        transaction.writes.push_back({ key(progressPrefix, id), encodeProgress(progress), 0 });
        transaction.writes.push_back({ expiryKey(nowMs + job.record.retentionMs, id), {}, 0 });
        transaction.removals.push_back({ key(openPrefix, id), false });
        transaction.removals.push_back({ key(inputPrefix, id) + '/', true });
        const auto outcome = m_store.commit(transaction);
        if (!outcome && outcome.error().ran == verdict::not_run)
            return outcome.error();
        if (outcome && outcome.value().applied) {
            job.progress = std::move(progress);
            return job;
        }
        // Either results were committed in between, or the reply was lost. Read the job again.
    }
    return notRun(failure_kind::conflict,
        "the job was changed concurrently at each attempt to cancel it; try again", milliseconds { 500 });
}

result<std::size_t> job_store::removeExpired(std::int64_t nowMs, std::size_t maxJobs)
{
    BOOST_OUTCOME_TRY(auto listing, m_store.list(expiryPrefix, {}, maxJobs, true));
    std::size_t removed = 0;
    std::int64_t lease = 0;
    for (const auto& value : listing.values) {
        const auto text = value.key.substr(expiryPrefix.size());
        const auto dash = text.find('-');
        if (dash == std::string::npos || std::atoll(text.c_str()) > nowMs)
            break;
        const auto id = text.substr(dash + 1);
        if (lease == 0) {
            BOOST_OUTCOME_TRY(auto granted, m_store.grantLease(tombstoneLifetime));
            lease = granted;
        }
        job_record tombstone;
        tombstone.id = id;
        tombstone.expired = true;
        if (const auto job = m_store.get(key(recordPrefix, id)); job && job.value()) {
            if (const auto record = decodeRecord(job.value()->value))
                tombstone.customer = record.value().customer;
        }
        store_transaction transaction;
        transaction.removals.push_back({ key(resultPrefix, id) + '/', true });
        transaction.removals.push_back({ key(inputPrefix, id) + '/', true });
        transaction.removals.push_back({ key(progressPrefix, id), false });
        transaction.removals.push_back({ value.key, false });
        transaction.writes.push_back({ key(recordPrefix, id), encodeRecord(tombstone), lease });
        BOOST_OUTCOME_TRYV(m_store.commit(transaction));
        ++removed;
    }
    return removed;
}

} // namespace yuccachute
