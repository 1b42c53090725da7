#include "bulk_process/bulk_process.h"

#include "logging/logging.h"

#include <algorithm>
#include <charconv>
#include <cstdio>

namespace yuccachute {

namespace {

constexpr std::string_view recordPrefix = "yuccachute/job/";
constexpr std::string_view partPrefix = "yuccachute/part/";
constexpr std::string_view openPrefix = "yuccachute/open/";
/// Cannot clash with a job's key, since job ids contain no slash.
constexpr std::string_view remainingSuffix = "/left";
constexpr std::string_view resultPrefix = "yuccachute/result/";
constexpr std::string_view progressPrefix = "yuccachute/progress/";
constexpr std::string_view endPrefix = "yuccachute/end/";
constexpr std::string_view completeMarker = "complete";
constexpr std::string_view cancelledMarker = "ended";
/// Number of attempts to resolve an unknown outcome before it is reported as unknown.
constexpr unsigned maxOutcomeAttempts = 3;
/// A job is created by one transaction of at most 32 operations, two of which are its other keys. The largest
/// job that callers may send, 4 MB, needs 5 parts if values are limited to 1 MB.
constexpr std::size_t maxParts = 16;
/// Prefix of a record that is split into parts. Unsplit records start with the magic number of their
/// compression.
constexpr std::string_view partsMarker = "parts ";
/// Space reserved in each value for the marker and the number of parts.
constexpr std::size_t partsHeaderBytes = 32;
/// Per transaction: conditions, writes and removals together.
constexpr std::size_t maxOperationsPerCall = 32;
constexpr std::size_t maxOperationsPerCommit = 7; ///< For a group that completes a job under a limit.
constexpr std::size_t maxRemovalsPerCall = maxOperationsPerCall - 2;

std::string keyOf(std::string_view prefix, std::string_view id)
{
    return std::string(prefix).append(id);
}

std::string groupKey(std::string_view id, std::size_t number)
{
    char digits[16];
    std::snprintf(digits, sizeof digits, "/%06zu", number);
    return keyOf(resultPrefix, id) + digits;
}

std::string partKey(std::string_view id, std::size_t number)
{
    return keyOf(partPrefix, id) + '/' + std::to_string(number);
}

/// Splits a record into values that fit into the store. If there are several, the first one starts with their
/// number.
std::vector<std::string> splitRecord(std::string encoded, std::size_t valueBytes)
{
    if (encoded.size() <= valueBytes)
        return { std::move(encoded) };
    const auto each = valueBytes - partsHeaderBytes;
    std::vector<std::string> parts;
    for (std::size_t begin = 0; begin < encoded.size(); begin += each)
        parts.push_back(encoded.substr(begin, each));
    parts.front().insert(0, std::string(partsMarker) + std::to_string(parts.size()) + '\n');
    return parts;
}

/// Returns an upper bound for the number of parts of a job; removing a missing part has no effect.
std::size_t maxPartsOf(const bulk_record& record, std::size_t valueBytes)
{
    std::size_t bytes = 0;
    for (const auto& item : record.items) {
        bytes += item.body.size() + item.path.size() + item.id.size();
        for (const auto& [name, value] : item.headers)
            bytes += name.size() + value.size();
    }
    // Compression slightly enlarges bodies of random bytes.
    return bytes < valueBytes / 2 ? 0 : std::min(maxParts, 2 + bytes / (valueBytes - partsHeaderBytes));
}

std::string remainingKey(std::string_view id)
{
    return keyOf(openPrefix, id).append(remainingSuffix);
}

/// Adds one key of the listing of open jobs to `jobs`. The key with the remaining tokens of a claim directly
/// follows the key of its job.
void appendOpenJob(const stored_value& value, std::vector<bulk_job_store::open_job>& jobs)
{
    const auto id = std::string_view(value.key).substr(openPrefix.size());
    if (id.ends_with(remainingSuffix)) {
        const bool known
            = !jobs.empty() && jobs.back().id == id.substr(0, id.size() - remainingSuffix.size());
        const char* end = value.value.data() + value.value.size();
        std::uint64_t left = 0;
        if (known && std::from_chars(value.value.data(), end, left).ec == std::errc())
            jobs.back().tokensRemaining = left;
        return;
    }
    auto openJob = decodeOpenJob(value.value);
    if (!openJob)
        return logEvent(log_level::error, "open-job record could not be decoded; ignoring the job",
            { { "key", value.key }, { "message", openJob.error().message } });
    const auto tokens = openJob.value().claim.tokens;
    jobs.push_back({ std::string(id), std::move(openJob.value().holder), std::move(openJob.value().claim),
        tokens, value.modRevision });
}

store_condition absent(std::string key)
{
    return { store_condition::kind::absent, std::move(key), 0 };
}

store_condition unchanged(std::string key, std::int64_t revision)
{
    return { store_condition::kind::mod_revision, std::move(key), revision };
}

} // namespace

bulk_job_store::bulk_job_store(event_loop& loop, async_store& store, bulk_holder self, std::size_t valueBytes)
    : m_loop(loop)
    , m_store(store)
    , m_self(std::move(self))
    , m_valueBytes(valueBytes)
{
}

result<store_transaction> bulk_job_store::makeCreation(const bulk_record& record, token_claim claim) const
{
    auto parts = splitRecord(encodeRecord(record), m_valueBytes);
    if (parts.size() > maxParts)
        return notRun(failure_kind::too_large, "the encoded job exceeds the size limit of the store");
    store_transaction creating;
    const auto recordKey = keyOf(recordPrefix, record.id);
    creating.conditions.push_back(absent(recordKey));
    creating.writes.push_back({ recordKey, std::move(parts.front()), 0 });
    for (std::size_t number = 1; number < parts.size(); ++number)
        creating.writes.push_back({ partKey(record.id, number), std::move(parts[number]), 0 });
    creating.writes.push_back(
        { keyOf(openPrefix, record.id), encodeOpenJob({ m_self, std::move(claim) }), 0 });
    return creating;
}

void bulk_job_store::create(const bulk_record& record, token_claim claim, callback<creation> done)
{
    auto creating = makeCreation(record, std::move(claim));
    if (!creating)
        return done(creating.error());
    resolveCreation(
        std::make_shared<const store_transaction>(std::move(creating.value())), 0, std::move(done));
}

void bulk_job_store::resolveCreation(
    std::shared_ptr<const store_transaction> creating, unsigned attempt, callback<creation> done)
{
    m_store.commit(
        *creating, [this, creating, attempt, done = std::move(done)](result<commit_outcome> outcome) {
            if (outcome && outcome.value().applied)
                return done(creation { outcome.value().revision });
            if (outcome)
                return done(creation {}); // The job exists.
            const bool unknownBefore = attempt > 0;
            if (outcome.error().ran == verdict::not_run && !unknownBefore)
                return done(outcome.error());
            if (attempt + 1 < maxOutcomeAttempts)
                return resolveCreation(creating, attempt + 1, done);
            done(mayHaveRun(failure_kind::unavailable,
                "the store did not confirm the creation; the job may or may not exist"));
        });
}

void bulk_job_store::load(const std::string& id, callback<stored_job> done)
{
    readRecord(id, [this, id, done = std::move(done)](result<bulk_record> record) {
        if (!record)
            return done(record.error());
        auto job = std::make_shared<stored_job>();
        job->record = std::move(record.value());
        // The holder must be read before the results: a holder read later could have committed more results.
        readOpenJob(id, [this, job, done](result<std::optional<open_job>> open) {
            if (!open)
                return done(open.error());
            readGroups(job, open.value(), [this, job, done](const result<stored_job>& read) {
                if (!read || !read.value().holder)
                    return done(read);
                readProgress(job, done);
            });
        });
    });
}

void bulk_job_store::loadResults(const std::string& id, const open_job& open, callback<stored_job> done)
{
    readRecord(id, [this, open, done = std::move(done)](result<bulk_record> record) {
        if (!record)
            return done(record.error());
        auto job = std::make_shared<stored_job>();
        job->record = std::move(record.value());
        readGroups(job, open, done);
    });
}

void bulk_job_store::readRecord(const std::string& id, callback<bulk_record> done)
{
    m_store.get(keyOf(recordPrefix, id),
        [this, id, done = std::move(done)](result<std::optional<stored_value>> found) {
            if (!found)
                return done(found.error());
            if (!found.value())
                return done(notRun(failure_kind::not_found, "there is no job " + id));
            std::string_view value = found.value()->value;
            if (!value.starts_with(partsMarker))
                return done(decodeBulkRecord(value));
            value.remove_prefix(partsMarker.size());
            std::size_t parts = 0;
            const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), parts);
            if (error != std::errc() || parts > maxParts || end == value.data() + value.size())
                return done(notRun(failure_kind::internal, "the record of job " + id + " is corrupt"));
            value.remove_prefix(static_cast<std::size_t>(end - value.data()) + 1);
            readParts(id, std::make_shared<std::string>(value), 1, parts, done);
        });
}

/// Parts are immutable and written together with the record, so they can be read one by one.
void bulk_job_store::readParts(const std::string& id, std::shared_ptr<std::string> encoded, std::size_t next,
    std::size_t parts, callback<bulk_record> done)
{
    if (next == parts)
        return done(decodeBulkRecord(*encoded));
    m_store.get(partKey(id, next),
        [this, id, encoded, next, parts, done = std::move(done)](result<std::optional<stored_value>> found) {
            if (!found)
                return done(found.error());
            if (!found.value())
                return done(notRun(failure_kind::not_found, "job " + id + " is being removed"));
            encoded->append(found.value()->value);
            readParts(id, encoded, next + 1, parts, done);
        });
}

void bulk_job_store::readOpenJob(const std::string& id, callback<std::optional<open_job>> done)
{
    m_store.get(
        keyOf(openPrefix, id), [id, done = std::move(done)](result<std::optional<stored_value>> found) {
            if (!found)
                return done(found.error());
            if (!found.value())
                return done(std::optional<open_job>());
            auto openJob = decodeOpenJob(found.value()->value);
            if (!openJob)
                return done(openJob.error());
            done(std::optional(open_job { id, std::move(openJob.value().holder),
                std::move(openJob.value().claim), 0, found.value()->modRevision }));
        });
}

void bulk_job_store::readGroups(
    std::shared_ptr<stored_job> job, const std::optional<open_job>& open, callback<stored_job> done)
{
    if (open) {
        job->holder = open->holder;
        job->claim = open->claim;
        job->openRevision = open->revision;
    }
    m_store.list(keyOf(resultPrefix, job->record.id) + '/',
        [job, done = std::move(done)](result<store_listing> listing) {
            if (!listing)
                return done(listing.error());
            std::size_t results = 0;
            for (const auto& value : listing.value().values) {
                auto group = decodeGroup(value.value);
                if (!group)
                    return done(group.error());
                results += group.value().results.size();
                job->groups.push_back(std::move(group.value()));
            }
            // An incomplete job without a holder was cancelled.
            job->cancelled = !job->holder && results < job->record.items.size();
            done(*job);
        });
}

void bulk_job_store::readProgress(std::shared_ptr<stored_job> job, callback<stored_job> done)
{
    m_store.get(keyOf(progressPrefix, job->record.id),
        [job, done = std::move(done)](result<std::optional<stored_value>> found) {
            if (!found)
                return done(found.error());
            if (!found.value())
                return done(std::move(*job));
            if (auto progress = decodeItemProgress(found.value()->value))
                job->progress = std::move(progress.value());
            else // Without saved progress the items start again.
                logEvent(log_level::error, "saved progress could not be decoded; items start again",
                    { { "job", job->record.id }, { "message", progress.error().message } });
            done(std::move(*job));
        });
}

void bulk_job_store::saveProgress(std::span<const progress_save> jobs, callback<bool> done)
{
    store_transaction saving;
    for (const auto& job : jobs) {
        saving.conditions.push_back(unchanged(keyOf(openPrefix, job.id), job.openRevision));
        saving.writes.push_back({ keyOf(progressPrefix, job.id), job.encoded, 0 });
    }
    m_store.commit(saving, [done = std::move(done)](result<commit_outcome> outcome) {
        if (!outcome)
            return done(outcome.error());
        done(outcome.value().applied);
    });
}

void bulk_job_store::takeOver(const open_job& job, callback<std::int64_t> done)
{
    store_transaction taking;
    const auto key = keyOf(openPrefix, job.id);
    taking.conditions.push_back(unchanged(key, job.revision));
    taking.writes.push_back({ key, encodeOpenJob({ m_self, job.claim }), 0 });
    m_store.commit(taking, [done = std::move(done)](result<commit_outcome> outcome) {
        if (!outcome)
            return done(outcome.error()); // The next scan of the open jobs finds out.
        done(outcome.value().applied ? outcome.value().revision : 0);
    });
}

void bulk_job_store::appendCommit(
    store_transaction& committing, const std::string& id, const group_commit& commit) const
{
    committing.conditions.push_back(absent(groupKey(id, commit.number)));
    committing.conditions.push_back(unchanged(keyOf(openPrefix, id), commit.openRevision));
    committing.writes.push_back({ groupKey(id, commit.number), encodeGroup(commit.group), 0 });
    if (commit.completes) {
        committing.writes.push_back({ keyOf(endPrefix, id), std::string(completeMarker), 0 });
        committing.removals.push_back({ keyOf(openPrefix, id), false });
        committing.removals.push_back({ keyOf(progressPrefix, id), false });
        if (commit.tokensRemaining)
            committing.removals.push_back({ remainingKey(id), false });
    } else if (commit.tokensRemaining) {
        committing.writes.push_back({ remainingKey(id), std::to_string(*commit.tokensRemaining), 0 });
    }
}

std::size_t bulk_job_store::fittingOneCall(std::span<const job_commit> jobs) const
{
    std::size_t operations = 0;
    std::size_t bytes = 0;
    std::size_t fitting = 0;
    for (const auto& job : jobs) {
        operations += maxOperationsPerCommit;
        for (const auto& entry : job.commit.group.results)
            bytes += entry.text.size();
        const bool tooMuch = operations > maxOperationsPerCall || bytes > m_valueBytes / 2;
        if (tooMuch && fitting > 0)
            break;
        ++fitting;
    }
    return fitting;
}

void bulk_job_store::commitTogether(std::span<const job_commit> jobs, callback<bool> done)
{
    store_transaction committing;
    for (const auto& job : jobs)
        appendCommit(committing, job.id, job.commit);
    m_store.commit(committing, [done = std::move(done)](result<commit_outcome> outcome) {
        if (!outcome)
            return done(outcome.error());
        done(outcome.value().applied);
    });
}

void bulk_job_store::commit(const std::string& id, const group_commit& commit, callback<commit_result> done)
{
    store_transaction committing;
    appendCommit(committing, id, commit);
    m_store.commit(committing,
        [this, id, number = commit.number, token = commit.group.token, done = std::move(done)](
            result<commit_outcome> outcome) {
            if (!outcome)
                return done(outcome.error()); // The caller commits the same group again.
            if (outcome.value().applied)
                return done(commit_result::committed);
            resolveCommit(id, number, token, done);
        });
}

/// A condition did not hold: either an earlier attempt of this commit took effect, or the job is lost.
void bulk_job_store::resolveCommit(
    const std::string& id, std::size_t number, const std::string& token, callback<commit_result> done)
{
    m_store.get(
        groupKey(id, number), [token, done = std::move(done)](result<std::optional<stored_value>> found) {
            if (!found)
                return done(found.error());
            if (!found.value())
                return done(commit_result::lost);
            auto group = decodeGroup(found.value()->value);
            if (!group)
                return done(group.error());
            done(group.value().token == token ? commit_result::committed : commit_result::lost);
        });
}

void bulk_job_store::end(const std::string& id, callback<std::optional<bulk_holder>> done)
{
    tryEnd(id, 0, std::nullopt, std::move(done));
}

void bulk_job_store::tryEnd(const std::string& id, unsigned attempt, std::optional<bulk_holder> known,
    callback<std::optional<bulk_holder>> done)
{
    m_store.get(keyOf(openPrefix, id),
        [this, id, attempt, known, done = std::move(done)](result<std::optional<stored_value>> open) {
            auto holder = known;
            if (open && open.value()) {
                if (auto decoded = decodeOpenJob(open.value()->value))
                    holder = std::move(decoded.value().holder);
            }
            const auto again = [this, id, attempt, holder, done](const failure& error) {
                if (attempt + 1 < maxOutcomeAttempts)
                    return tryEnd(id, attempt + 1, holder, done);
                done(error);
            };
            if (!open)
                return again(open.error());
            if (!open.value())
                return m_store.get(
                    keyOf(recordPrefix, id), [id, holder, done](result<std::optional<stored_value>> record) {
                        if (!record)
                            return done(record.error());
                        if (!record.value())
                            return done(notRun(failure_kind::not_found, "there is no job " + id));
                        done(holder); // The job was finished or cancelled before, or by an earlier attempt.
                    });
            store_transaction cancelling;
            const auto openKey = keyOf(openPrefix, id);
            cancelling.conditions.push_back(unchanged(openKey, open.value()->modRevision));
            cancelling.writes.push_back({ keyOf(endPrefix, id), std::string(cancelledMarker), 0 });
            cancelling.removals.push_back({ openKey, false });
            cancelling.removals.push_back({ remainingKey(id), false });
            cancelling.removals.push_back({ keyOf(progressPrefix, id), false });
            m_store.commit(cancelling, [holder, done, again](result<commit_outcome> outcome) {
                if (outcome && outcome.value().applied)
                    return done(holder);
                // Either another process has taken the job over, or the outcome is unknown: read the key
                // again.
                again(outcome
                        ? mayHaveRun(failure_kind::conflict, "the job is being taken over by another process")
                        : outcome.error());
            });
        });
}

void bulk_job_store::listOpen(callback<open_jobs> done)
{
    m_store.list(openPrefix, [done = std::move(done)](result<store_listing> listing) {
        if (!listing)
            return done(listing.error());
        open_jobs open;
        open.revision = listing.value().revision;
        open.reusedConnection = listing.value().reusedConnection;
        open.repeatedCalls = listing.value().repeatedCalls;
        for (const auto& value : listing.value().values)
            appendOpenJob(value, open.jobs);
        done(std::move(open));
    });
}

std::size_t bulk_job_store::partsOf(const bulk_record& record) const
{
    return maxPartsOf(record, m_valueBytes);
}

void bulk_job_store::remove(const bulk_record& record, std::size_t groups, std::size_t parts)
{
    const auto& id = record.id;
    std::vector<std::string> keys { keyOf(recordPrefix, id), keyOf(openPrefix, id), remainingKey(id),
        keyOf(progressPrefix, id), keyOf(endPrefix, id) };
    for (std::size_t number = 0; number < groups; ++number)
        keys.push_back(groupKey(id, number));
    for (std::size_t number = 1; number < parts; ++number)
        keys.push_back(partKey(id, number));
    for (std::size_t begin = 0; begin < keys.size(); begin += maxRemovalsPerCall) {
        store_transaction removing;
        for (std::size_t i = begin; i < std::min(begin + maxRemovalsPerCall, keys.size()); ++i)
            removing.removals.push_back({ keys[i], false });
        m_store.commit(removing, [id](result<commit_outcome> outcome) {
            if (!outcome)
                logEvent(log_level::warning, "job could not be removed from the store",
                    { { "job", id }, { "message", outcome.error().message } });
        });
    }
}

} // namespace yuccachute
