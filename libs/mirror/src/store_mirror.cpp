#include "mirror/mirror.h"

#include "logging/logging.h"

#include <algorithm>
#include <utility>

namespace yuccachute {

namespace {

/// Maximum duration of a waiting call. It is long because the store charges for each call that returns; dead
/// connections are detected by the transport's keepalive probes.
constexpr milliseconds maxWaitTime { 30000 };
/// Maximum duration of the first waiting call after an outage, or after the process began to follow the
/// store. It is short so that a store that accepts calls without answering them is detected: during a long
/// call the process would consider itself connected for half a minute.
constexpr milliseconds initialWaitTime { 500 };
/// Changes that are further apart do not form a burst.
constexpr milliseconds maxBurstGap { 1000 };
constexpr milliseconds initialRetryDelay { 60 };
constexpr unsigned maxRetryDoublings = 8;
/// Duration of the waiting call that confirms a copy, the shortest that counts as a wait. Without changes the
/// store answers when it is over.
constexpr milliseconds confirmationWaitTime { 1 };
/// Interval between confirmations. The store answers within milliseconds, or within 200 ms when it is slow.
constexpr milliseconds confirmationInterval { 300 };
/// While the store does not answer, the interval grows up to four times: a process whose connection to the
/// store is restored has 3 s to learn which targets have left.
constexpr unsigned maxConfirmationDoublings = 2;
/// Delay before a waiting call is replaced. If its connection is alive, the call reports a change at most
/// this much later than a confirmation does.
constexpr milliseconds waitReplacementDelay { 50 };

} // namespace

store_mirror::store_mirror(event_loop& loop, async_store& store, std::string prefix, milliseconds burstDelay,
    listener changed, completeness listsAreComplete)
    : m_loop(loop)
    , m_store(store)
    , m_changed(std::move(changed))
    , m_completenessCheck(std::move(listsAreComplete))
    , m_history(std::move(prefix))
    , m_burstDelay(burstDelay)
    , m_nextCallTimer(loop)
    , m_random(std::random_device {}())
{
}

void store_mirror::start(read_consistency consistency)
{
    read(consistency);
}

void store_mirror::startWithoutReading()
{
    m_following = false;
    m_idle = true;
    m_connected = true; // No call has failed yet.
}

void store_mirror::onAnswer()
{
    if (m_failures > 0)
        logEvent(log_level::info, "store answers again", { { "prefix", section().prefix } });
    m_failures = 0;
    m_connected = true;
    m_answeredSinceFailure = true;
}

void store_mirror::onFailure(const failure& error, std::function<void()> retry)
{
    if (m_failures == 0)
        logEvent(log_level::warning, "store does not answer",
            { { "prefix", section().prefix }, { "revision", section().revision },
                { "message", error.message } });
    m_connected = false;
    m_answeredSinceFailure = false;
    // With jitter, because an outage hits all processes at once and they must not reconnect all at once.
    const auto delay
        = std::min(initialRetryDelay * (1 << std::min(m_failures, maxRetryDoublings)), m_maxRetryDelay);
    const auto jitter = milliseconds { m_random() % static_cast<unsigned>(delay.count()) };
    ++m_failures;
    m_nextCallTimer.arm(delay / 2 + jitter, std::move(retry));
}

void store_mirror::read(read_consistency consistency)
{
    m_waitPending = false;
    const auto sent = std::chrono::steady_clock::now();
    auto done = [this, consistency, sent, round = ++m_callNumber](const result<store_listing>& listing) {
        if (round != m_callNumber)
            return;
        applyListing(listing, consistency);
        if (listing && consistency == read_consistency::linearizable)
            recordConfirmation(listing.value().revision, sent);
    };
    if (m_sliceSeed != 0)
        return m_store.listFirst(section().prefix, consistency == read_consistency::stale, std::move(done));
    if (consistency == read_consistency::stale)
        return m_store.listStale(section().prefix, std::move(done));
    m_store.list(section().prefix, std::move(done));
}

void store_mirror::applyListing(const result<store_listing>& listing, read_consistency consistency)
{
    if (!listing)
        return onFailure(listing.error(), [this, consistency] { read(consistency); });
    onAnswer();
    std::vector<section_entry> entries;
    for (const auto& value : listing.value().values)
        entries.emplace_back(value.key, value.value, value.modRevision);
    if (listing.value().more)
        return applyFirstPage(listing.value().revision, std::move(entries));
    if (listing.value().revision >= section().revision) {
        if (m_sliceSeed != 0)
            m_history.setSlice(sliceFor(entries.size(), m_history.slice(), m_sliceSeed));
        m_history.replace(listing.value().revision, std::move(entries));
        if (consistency == read_consistency::linearizable)
            recordSettled();
        notifyChanged();
    }
    follow();
}

/// Applies the first page of a long section, unless peers have provided the slice already.
void store_mirror::applyFirstPage(std::int64_t revision, std::vector<section_entry> some)
{
    if (!m_history.complete()) {
        m_history.begin(revision, std::move(some));
        notifyChanged();
    }
    follow();
}

void store_mirror::requireAllEntries()
{
    if (std::exchange(m_sliceSeed, 0) == 0 || m_history.whole())
        return;
    m_history.requestFullCopy();
    m_history.setSlice({});
    read(read_consistency::stale);
}

/// Reads the section again after the store has compacted the changes since this copy's revision.
void store_mirror::reread()
{
    if (m_sliceSeed != 0)
        m_history.markIncomplete();
    read();
}

void store_mirror::setFollowing(bool following)
{
    m_following = following;
    if (!m_following || !std::exchange(m_idle, false))
        return;
    m_answeredSinceFailure = false;
    follow();
}

void store_mirror::follow()
{
    m_idle = !m_following;
    if (m_idle)
        return;
    if (!known())
        return read();
    m_waitPending = true;
    const auto sent = std::chrono::steady_clock::now();
    const auto time = m_answeredSinceFailure ? maxWaitTime : initialWaitTime;
    m_store.waitForChange(section().prefix, section().revision, time,
        [this, sent, time, round = ++m_callNumber](result<store_changes> changes) {
            if (round != m_callNumber)
                return;
            m_waitPending = false;
            if (!changes && changes.error().kind == failure_kind::gone)
                return reread();
            if (!changes)
                return onFailure(changes.error(), [this] { follow(); });
            onAnswer();
            const bool changed = m_history.apply(changes.value().events, changes.value().revision);
            // Without changes the store answers when the wait time is over. An answer with changes was given
            // at an unknown time after the call was sent.
            const bool timedOut
                = changes.value().events.empty() && std::chrono::steady_clock::now() >= sent + time;
            recordConfirmation(changes.value().revision, timedOut ? sent + time : sent);
            recordSettled();
            if (changed)
                notifyChanged();
            if (changes.value().events.empty() || !recordChange())
                return follow();
            m_nextCallTimer.arm(m_burstDelay, [this] { follow(); });
        });
}

bool store_mirror::recordChange()
{
    if (m_burstDelay.count() == 0)
        return false;
    const auto now = std::chrono::steady_clock::now();
    const auto before = std::exchange(m_lastChangeTime, now);
    return now - before < maxBurstGap;
}

void store_mirror::recordSettled()
{
    if (m_completenessCheck && m_completenessCheck())
        m_settledRevision = std::max(m_settledRevision, section().revision);
}

void store_mirror::recordStanding(const section_standing& standing)
{
    m_settledRevision = std::max(m_settledRevision, standing.settledRevision);
}

void store_mirror::recordConfirmation(std::int64_t revision, steady_time when)
{
    if (section().revision >= revision)
        m_lastConfirmed = std::max(m_lastConfirmed, when);
}

void store_mirror::requestConfirmation(steady_time now)
{
    if (now < m_nextConfirmation || !known())
        return;
    m_nextConfirmation = now + confirmationInterval * (1 << m_unansweredConfirmations);
    m_unansweredConfirmations = std::min(m_unansweredConfirmations + 1, maxConfirmationDoublings);
    m_store.waitForChange(section().prefix, section().revision, confirmationWaitTime,
        [this, now](const result<store_changes>& changes) { applyConfirmation(changes, now); });
}

void store_mirror::applyConfirmation(const result<store_changes>& changes, steady_time sent)
{
    if (!changes && changes.error().kind == failure_kind::gone && m_following)
        return reread();
    if (!changes)
        return; // The waiting call handles the failure; until then the copy's age grows.
    m_unansweredConfirmations = 0;
    const bool changed = m_history.apply(changes.value().events, changes.value().revision);
    recordConfirmation(changes.value().revision, sent);
    recordSettled();
    if (!changed)
        return;
    notifyChanged();
    // The waiting call should have returned this change, so its connection may be dead. It is replaced unless
    // it returns in the meantime.
    if (m_waitPending)
        m_nextCallTimer.arm(std::max(m_burstDelay, waitReplacementDelay), [this] { follow(); });
}

void store_mirror::notifyChanged()
{
    const auto changes = m_history.takePendingChanges();
    m_changed(*this, changes);
}

bool store_mirror::settled(std::int64_t revision) const
{
    // A settled revision that is newer than this copy proves nothing about it: entries that the copy lacks
    // may have been created again in between.
    return revision <= m_settledRevision && m_settledRevision <= section().revision;
}

section_standing store_mirror::standing(steady_time now) const
{
    return { section().prefix, section().revision, std::min(m_settledRevision, section().revision),
        std::chrono::duration_cast<milliseconds>(now - m_lastConfirmed), section().revision };
}

bool store_mirror::applyPeerUpdate(const section_update& update)
{
    const auto before = section().revision;
    const auto changed = m_history.apply(update);
    if (!changed)
        return false;
    if (!*changed)
        return true; // Only the revision is newer; the entries are the same.
    logEvent(log_level::info, "copy taken from a peer",
        { { "prefix", update.prefix }, { "revision", update.revision }, { "before", before } });
    notifyChanged();
    return true;
}

} // namespace yuccachute
