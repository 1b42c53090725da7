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
constexpr std::string_view remainingSuffix = "/left"; ///< Ids of jobs hold no slash.
constexpr std::string_view resultPrefix = "yuccachute/result/";
constexpr std::string_view progressPrefix = "yuccachute/progress/";
constexpr std::string_view endPrefix = "yuccachute/end/";
constexpr std::string_view completeMarker = "complete";
constexpr std::string_view cancelledMarker = "ended";
/// An unknown outcome is looked into so often before the caller is told that it is unknown.
constexpr unsigned maxOutcomeAttempts = 3;
/// A job is written by one call, which may have 32 entries: two are its other keys, and a job of 4 MB, the
/// most that callers may send, has 5 parts in a store that takes 1 MB a value.
constexpr std::size_t maxParts = 16;
/// What a record in parts begins with; others begin with the magic number of their compression.
constexpr std::string_view partsMarker = "parts ";
/// Of a value, left for the mark and the number of parts.
constexpr std::size_t partsHeaderBytes = 32;
constexpr std::size_t maxOperationsPerCall = 32; ///< Of one call: conditions, writes and removals together.
constexpr std::size_t maxOperationsPerCommit = 7; ///< Of the group that completes a job under a limit.
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

/// Cuts a record into values that the store takes. The first one tells how many there are, unless it is the
/// only one.
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

/// How many parts may belong to a job: what is not there is removed without harm.
std::size_t maxPartsOf(const bulk_record& record, std::size_t valueBytes)
{
    std::size_t bytes = 0;
    for (const auto& item : record.items) {
        bytes += item.body.size() + item.path.size() + item.id.size();
        for (const auto& [name, value] : item.headers)
            bytes += name.size() + value.size();
    }
    // Compression makes bodies that are random bytes a little longer.
    return bytes < valueBytes / 2 ? 0 : std::min(maxParts, 2 + bytes / (valueBytes - partsHeaderBytes));
}

std::string remainingKey(std::string_view id)
{
    return keyOf(openPrefix, id).append(remainingSuffix);
}

/// Adds one key of the list of unfinished jobs. What is left of a job's claim stands behind the job itself.
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
        return logEvent(log_level::error, "holder not understood",
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
        return notRun(failure_kind::too_large, "the job is larger than the store takes");
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
                return done(creation {}); // It exists.
            const bool unknownBefore = attempt > 0;
            if (outcome.error().ran == verdict::not_run && !unknownBefore)
                return done(outcome.error());
            if (attempt + 1 < maxOutcomeAttempts)
                return resolveCreation(creating, attempt + 1, done);
            done(mayHaveRun(failure_kind::unavailable, "it is not known whether the job was created"));
        });
}

void bulk_job_store::load(const std::string& id, callback<stored_job> done)
{
    readRecord(id, [this, id, done = std::move(done)](result<bulk_record> record) {
        if (!record)
            return done(record.error());
        auto job = std::make_shared<stored_job>();
        job->record = std::move(record.value());
        // The holder before the results: a holder that is read later could have committed more.
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
                return done(notRun(failure_kind::internal, "the record of job " + id + " is damaged"));
            value.remove_prefix(static_cast<std::size_t>(end - value.data()) + 1);
            readParts(id, std::make_shared<std::string>(value), 1, parts, done);
        });
}

/// Parts are written once, together with the record, so they can be read one after the other.
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
            // Neither held nor whole: its caller has ended it.
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
            else // Without it the items begin anew.
                logEvent(log_level::error, "progress not understood",
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
            return done(outcome.error()); // The next look at the open jobs tells.
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
                return done(outcome.error()); // The caller tries the same group again.
            if (outcome.value().applied)
                return done(commit_result::committed);
            resolveCommit(id, number, token, done);
        });
}

/// A condition did not hold: either an earlier try of the same commit had taken effect, or the job is lost.
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

void bulk_job_store::end(const std::string& id, callback<bool> done)
{
    tryEnd(id, 0, std::move(done));
}

void bulk_job_store::tryEnd(const std::string& id, unsigned attempt, callback<bool> done)
{
    m_store.get(keyOf(openPrefix, id),
        [this, id, attempt, done = std::move(done)](result<std::optional<stored_value>> open) {
            const auto again = [this, id, attempt, done](const failure& error) {
                if (attempt + 1 < maxOutcomeAttempts)
                    return tryEnd(id, attempt + 1, done);
                done(error);
            };
            if (!open)
                return again(open.error());
            if (!open.value())
                return m_store.get(
                    keyOf(recordPrefix, id), [id, done](result<std::optional<stored_value>> record) {
                        if (!record)
                            return done(record.error());
                        if (!record.value())
                            return done(notRun(failure_kind::not_found, "there is no job " + id));
                        done(true); // It was finished or ended before.
                    });
            store_transaction cancelling;
            const auto openKey = keyOf(openPrefix, id);
            cancelling.conditions.push_back(unchanged(openKey, open.value()->modRevision));
            cancelling.writes.push_back({ keyOf(endPrefix, id), std::string(cancelledMarker), 0 });
            cancelling.removals.push_back({ openKey, false });
            cancelling.removals.push_back({ remainingKey(id), false });
            cancelling.removals.push_back({ keyOf(progressPrefix, id), false });
            m_store.commit(cancelling, [done, again](result<commit_outcome> outcome) {
                if (outcome && outcome.value().applied)
                    return done(true);
                // Another holder has taken it meanwhile, or the outcome is unknown: looking again tells.
                again(
                    outcome ? mayHaveRun(failure_kind::conflict, "the job changes hands") : outcome.error());
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
        for (const auto& value : listing.value().values)
            appendOpenJob(value, open.jobs);
        done(std::move(open));
    });
}

void bulk_job_store::remove(const bulk_record& record, std::size_t groups)
{
    const auto& id = record.id;
    std::vector<std::string> keys { keyOf(recordPrefix, id), keyOf(openPrefix, id), remainingKey(id),
        keyOf(progressPrefix, id), keyOf(endPrefix, id) };
    for (std::size_t number = 0; number < groups; ++number)
        keys.push_back(groupKey(id, number));
    for (std::size_t number = 1; number < maxPartsOf(record, m_valueBytes); ++number)
        keys.push_back(partKey(id, number));
    for (std::size_t begin = 0; begin < keys.size(); begin += maxRemovalsPerCall) {
        store_transaction removing;
        for (std::size_t i = begin; i < std::min(begin + maxRemovalsPerCall, keys.size()); ++i)
            removing.removals.push_back({ keys[i], false });
        m_store.commit(removing, [id](result<commit_outcome> outcome) {
            if (!outcome)
                logEvent(log_level::warning, "job not removed",
                    { { "job", id }, { "message", outcome.error().message } });
        });
    }
}

} // namespace yuccachute
