#include "mirror/mirror.h"

#include "logging/logging.h"

#include <algorithm>
#include <utility>

namespace yuccachute {

namespace {

/// Each return of a waiting call is priced, so it waits long; the connection's probes find one that has died.
constexpr milliseconds longestWait { 30000 };
/// The first wait after an outage, or of a process that begins to follow the store. A store that accepts
/// calls and is silent would hold a long one for half a minute, while the process took itself for connected.
constexpr milliseconds firstWait { 500 };
/// Changes further apart than this are not in a row.
constexpr milliseconds rowGap { 1000 };
constexpr milliseconds firstPause { 60 };
constexpr unsigned mostDoublings = 8;
/// Long enough to be a wait at all: the store answers a call that finds nothing new as soon as it is over.
constexpr milliseconds confirmationWait { 1 };
/// The store answers within milliseconds, within 200 ms when it is slow.
constexpr milliseconds confirmationPause { 300 };
/// While confirmations do not come the pause grows to four times that: a process that comes back into touch
/// with the store has 3 s until it must know what has left.
constexpr unsigned confirmationDoublings = 2;
/// A waiting call that lives tells of a change this soon after a confirmation has.
constexpr milliseconds waitAfterConfirmation { 50 };

} // namespace

store_mirror::store_mirror(event_loop& loop, async_store& store, std::string prefix,
    milliseconds pauseAfterChange, listener changed, completeness listsAreComplete)
    : m_loop(loop)
    , m_store(store)
    , m_changed(std::move(changed))
    , m_listsAreComplete(std::move(listsAreComplete))
    , m_history(std::move(prefix))
    , m_pauseAfterChange(pauseAfterChange)
    , m_pause(loop)
    , m_random(std::random_device {}())
{
}

void store_mirror::start(first_read how)
{
    read(how);
}

void store_mirror::startFromPeers()
{
    m_following = false;
    m_idle = true;
    m_connected = true; // Nothing is known against the store.
}

void store_mirror::answered()
{
    if (m_failures > 0)
        logEvent(log_level::info, "store answers again", { { "prefix", section().prefix } });
    m_failures = 0;
    m_connected = true;
    m_confirmed = true;
}

void store_mirror::failed(const failure& error, std::function<void()> again)
{
    if (m_failures == 0)
        logEvent(log_level::warning, "store does not answer",
            { { "prefix", section().prefix }, { "revision", section().revision },
                { "message", error.message } });
    m_connected = false;
    m_confirmed = false;
    // With jitter: all processes lose the store at the same moment and must not come back at the same moment.
    const auto pause = std::min(firstPause * (1 << std::min(m_failures, mostDoublings)), m_longestPause);
    const auto jitter = milliseconds { m_random() % static_cast<unsigned>(pause.count()) };
    ++m_failures;
    m_pause.arm(pause / 2 + jitter, std::move(again));
}

void store_mirror::read(first_read how)
{
    m_waits = false;
    const auto sent = std::chrono::steady_clock::now();
    auto done = [this, how, sent, round = ++m_round](const result<store_listing>& listing) {
        if (round != m_round)
            return;
        take(listing, how);
        if (listing && how == first_read::exact)
            noteConfirmed(listing.value().revision, sent);
    };
    if (m_sliceSeed != 0)
        return m_store.listFirst(section().prefix, how == first_read::stale, std::move(done));
    if (how == first_read::stale)
        return m_store.listStale(section().prefix, std::move(done));
    m_store.list(section().prefix, std::move(done));
}

void store_mirror::take(const result<store_listing>& listing, first_read how)
{
    if (!listing)
        return failed(listing.error(), [this, how] { read(how); });
    answered();
    std::vector<section_entry> entries;
    for (const auto& value : listing.value().values)
        entries.emplace_back(value.key, value.value, value.modRevision);
    if (listing.value().more)
        return takeFirst(listing.value().revision, std::move(entries));
    if (listing.value().revision >= section().revision) {
        if (m_sliceSeed != 0)
            m_history.setSlice(sliceFor(entries.size(), m_history.slice(), m_sliceSeed));
        m_history.replace(listing.value().revision, std::move(entries));
        if (how == first_read::exact)
            noteSettled();
        tellChanged();
    }
    follow();
}

/// The first entries of a long section. Peers are asked for the slice; one that they have told meanwhile is
/// better.
void store_mirror::takeFirst(std::int64_t revision, std::vector<section_entry> some)
{
    if (!m_history.complete()) {
        m_history.begin(revision, std::move(some));
        tellChanged();
    }
    follow();
}

void store_mirror::takeWhole()
{
    if (std::exchange(m_sliceSeed, 0) == 0 || m_history.whole())
        return;
    m_history.wantWhole();
    m_history.setSlice({});
    read(first_read::stale);
}

/// The store does not remember the changes since this copy.
void store_mirror::readAnew()
{
    if (m_sliceSeed != 0)
        m_history.doubt();
    read();
}

void store_mirror::setFollowing(bool following)
{
    m_following = following;
    if (!m_following || !std::exchange(m_idle, false))
        return;
    m_confirmed = false;
    follow();
}

void store_mirror::follow()
{
    m_idle = !m_following;
    if (m_idle)
        return;
    if (!known())
        return read();
    m_waits = true;
    const auto sent = std::chrono::steady_clock::now();
    const auto time = m_confirmed ? longestWait : firstWait;
    m_store.waitForChange(section().prefix, section().revision, time,
        [this, sent, time, round = ++m_round](result<store_changes> changes) {
            if (round != m_round)
                return;
            m_waits = false;
            if (!changes && changes.error().kind == failure_kind::gone)
                return readAnew();
            if (!changes)
                return failed(changes.error(), [this] { follow(); });
            answered();
            const bool changed = m_history.apply(changes.value().events, changes.value().revision);
            // Without news the store has answered when the time was over. When it told of changes is not
            // known, only that it was after the call was sent.
            const bool waitedOut
                = changes.value().events.empty() && std::chrono::steady_clock::now() >= sent + time;
            noteConfirmed(changes.value().revision, waitedOut ? sent + time : sent);
            noteSettled();
            if (changed)
                tellChanged();
            if (changes.value().events.empty() || !inRow())
                return follow();
            m_pause.arm(m_pauseAfterChange, [this] { follow(); });
        });
}

bool store_mirror::inRow()
{
    if (m_pauseAfterChange.count() == 0)
        return false;
    const auto now = std::chrono::steady_clock::now();
    const auto before = std::exchange(m_lastChange, now);
    return now - before < rowGap;
}

void store_mirror::noteSettled()
{
    if (m_listsAreComplete && m_listsAreComplete())
        m_settledRevision = std::max(m_settledRevision, section().revision);
}

void store_mirror::noteStanding(const section_standing& standing)
{
    m_settledRevision = std::max(m_settledRevision, standing.settledRevision);
}

void store_mirror::noteConfirmed(std::int64_t revision, steady_time when)
{
    if (section().revision >= revision)
        m_confirmedAt = std::max(m_confirmedAt, when);
}

void store_mirror::confirm(steady_time now)
{
    if (now < m_nextConfirmation || !known())
        return;
    m_nextConfirmation = now + confirmationPause * (1 << m_unconfirmed);
    m_unconfirmed = std::min(m_unconfirmed + 1, confirmationDoublings);
    m_store.waitForChange(section().prefix, section().revision, confirmationWait,
        [this, now](const result<store_changes>& changes) { takeConfirmation(changes, now); });
}

void store_mirror::takeConfirmation(const result<store_changes>& changes, steady_time sent)
{
    if (!changes && changes.error().kind == failure_kind::gone && m_following)
        return readAnew();
    if (!changes)
        return; // The copy grows older; the waiting call finds out why.
    m_unconfirmed = 0;
    const bool changed = m_history.apply(changes.value().events, changes.value().revision);
    noteConfirmed(changes.value().revision, sent);
    noteSettled();
    if (!changed)
        return;
    tellChanged();
    // The waiting call should have told of this. Its connection may have died: another one takes its place,
    // unless it tells meanwhile.
    if (m_waits)
        m_pause.arm(std::max(m_pauseAfterChange, waitAfterConfirmation), [this] { follow(); });
}

void store_mirror::tellChanged()
{
    const auto changes = m_history.takeChanges();
    m_changed(*this, changes);
}

bool store_mirror::settled(std::int64_t revision) const
{
    // A settled copy that is newer than this one may have entries again that this one lacks.
    return revision <= m_settledRevision && m_settledRevision <= section().revision;
}

section_standing store_mirror::standing(steady_time now) const
{
    return { section().prefix, section().revision, std::min(m_settledRevision, section().revision),
        std::chrono::duration_cast<milliseconds>(now - m_confirmedAt), section().revision };
}

bool store_mirror::offer(const section_update& update)
{
    const auto before = section().revision;
    const auto changed = m_history.apply(update);
    if (!changed)
        return false;
    if (!*changed)
        return true; // Only the store's revision is newer.
    logEvent(log_level::info, "copy taken from a peer",
        { { "prefix", update.prefix }, { "revision", update.revision }, { "before", before } });
    tellChanged();
    return true;
}

} // namespace yuccachute
