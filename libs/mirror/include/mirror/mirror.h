#pragma once

#include "event_loop/event_loop.h"
#include "messages/messages.h"
#include "store/store.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <utility>
#include <vector>

/// Local copies of parts of the platform's store, kept up to date. Layer: transport.
namespace yuccachute {

/// A copy of all keys with a prefix, with a history of removed keys. With the history, a peer that has an
/// older copy is sent the difference instead of the whole section: in a fleet of 300 processes the list of
/// processes takes about 75 KB, which every process would otherwise receive and parse on each change. No I/O.
class section_history {
public:
    explicit section_history(std::string prefix) { m_section.prefix = std::move(prefix); }

    const store_section& section() const { return m_section; }
    /// Replaces the copy by a full listing, of which only the entries of the slice are kept. Returns whether
    /// any entry differs from before.
    bool replace(std::int64_t revision, std::vector<section_entry> entries);
    /// Replaces the copy by an incomplete listing as of a revision. The copy can be used, and later changes
    /// can be applied to it, but it stays marked as incomplete until a peer sends the whole section or a
    /// slice.
    void begin(std::int64_t revision, std::vector<section_entry> some);
    /// Sets the slice to which the next full listing is reduced.
    void setSlice(const section_slice& slice) { m_requestedSlice = slice; }
    const section_slice& slice() const { return m_slice; }
    /// Makes the next synchronization request all entries instead of a difference.
    void requestFullCopy() { m_needsFullCopy = true; }
    /// Marks the copy as incomplete: it is unknown which entries of the slice are missing or were removed.
    void markIncomplete() { m_partial = true; }
    /// Whether the copy has all entries of its slice.
    bool complete() const { return m_section.revision > 0 && !m_partial; }
    /// Whether the copy has all entries of the section.
    bool whole() const { return complete() && m_slice.whole(); }
    /// Applies changes of single entries, up to a revision. Changes that are not newer than the copy are
    /// skipped. Returns whether anything changed.
    bool apply(std::span<const store_event> events, std::int64_t revision);
    /// Applies a peer's update if it is newer than the copy and valid for it. Returns nothing if it was not
    /// applied, otherwise whether anything changed.
    std::optional<bool> apply(const section_update& update);
    /// Records that the section did not change between two revisions of the store: a copy that is at least as
    /// new as `from` is also up to date as of `until`.
    void recordUnchanged(std::int64_t from, std::int64_t until);
    /// The update that brings a copy of a revision up to this one; all entries if the revision is 0. The
    /// slice must be contained in this copy.
    section_update updateSince(std::int64_t revision, const section_slice& slice = {}) const;
    /// Changes since the last call, in the order in which they were applied.
    std::vector<section_change> takePendingChanges() { return std::exchange(m_changes, {}); }
    /// The revision from which a peer is asked for an update; 0 for a full copy, which is needed if this copy
    /// is incomplete or an update did not produce the same keys as the peer has.
    std::int64_t syncFromRevision() const { return m_needsFullCopy || m_partial ? 0 : m_section.revision; }

private:
    struct removed_key {
        std::string key;
        std::int64_t revision = 0; ///< A revision at which the key no longer existed.
    };

    bool set(const section_entry& entry);
    bool remove(const std::string& key, std::int64_t revision);
    void recordRemoval(const std::string& key, std::int64_t revision);
    void reportDifferences(std::span<const section_entry> former);
    void reportRemoved(const section_entry& entry);

    store_section m_section;
    std::vector<section_change> m_changes;
    std::deque<removed_key> m_removals; ///< Ordered by revision.
    std::int64_t m_removalsKnownFrom = 0; ///< m_removals has all removals after this revision.
    bool m_needsFullCopy = false;
    bool m_partial = false; ///< The copy is incomplete, and it is unknown which entries are missing.
    section_slice m_slice;
    std::optional<section_slice> m_requestedSlice;
};

/// A copy of all keys with a prefix.
///
/// The copy is read once and then updated by long polls, called waiting calls here. While the store refuses
/// this process, the copy stays as it is and may be replaced by a newer one from a peer. Copies are ordered
/// by the store's revision, so that a copy never goes back to an older state.
class store_mirror {
public:
    /// Called with the changes after each change of the copy, and after the first read.
    using listener = std::function<void(const store_mirror&, std::span<const section_change>)>;
    /// Whether a listing of the store is complete now. Shortly after an outage of the store entries may be
    /// missing only because their leases lapsed.
    using completeness = std::function<bool()>;

    /// The store charges for each call. From the second change of a burst on, the next waiting call is
    /// therefore delayed by `burstDelay`, so that one call returns all further changes. The second change is
    /// reported without delay like the first: otherwise, of two targets that leave together, the second would
    /// be known to leave 400 ms later.
    store_mirror(event_loop& loop, async_store& store, std::string prefix, milliseconds burstDelay,
        listener changed, completeness listsAreComplete = nullptr);

    enum class read_consistency : std::uint8_t {
        linearizable,
        stale ///< May be seconds old: for a process that soon receives newer changes from peers.
    };

    /// Reads the section, then follows it.
    void start(read_consistency consistency = read_consistency::linearizable);
    /// Starts without a read: the copy comes from peers until the process begins to read or follow the store.
    void startWithoutReading();
    /// Whether to continue with waiting calls. Without them the copy is only updated by peers; a waiting call
    /// in flight is not cancelled.
    void setFollowing(bool following);
    /// Restricts the copy to a slice of the section, selected by the seed, which peers provide. Of a long
    /// section only the first page is read from the store. To be called before start().
    void requestSlice(std::uint32_t seed) { m_sliceSeed = seed; }
    /// Ends the restriction to a slice: the whole section is needed from now on.
    void requireAllEntries();
    /// 0 if the whole section is needed.
    std::uint32_t sliceSeed() const { return m_sliceSeed; }
    /// Sets the upper limit of the delay between retries while the store does not answer.
    void setMaxRetryDelay(milliseconds delay) { m_maxRetryDelay = delay; }
    /// Applies a peer's update if it is newer. Returns whether it was.
    bool applyPeerUpdate(const section_update& update);
    /// Records what a peer knows of its copy. To be called before the update of the same answer is applied,
    /// because listeners call settled().
    void recordStanding(const section_standing& standing);
    /// Whether all entries that are missing from the copy at a revision were really removed, rather than
    /// their leases having lapsed during an outage of the store.
    ///
    /// The result is derived from what the store or any peer reported about that revision. Deriving it only
    /// from the process's own connection to the store, or from one watcher of the zone, kept targets that had
    /// left for up to 10 s although their removal had been received within 6 ms.
    bool settled(std::int64_t revision) const;
    std::int64_t settledRevision() const { return m_settledRevision; }

    /// When this copy was last known to match the store, by the steady clock; the clock's epoch if never. A
    /// pending waiting call proves nothing: a dead connection looks the same as a store without changes.
    steady_time lastConfirmed() const { return m_lastConfirmed; }
    /// Records that a peer's copy of a revision matched the store at a time. If this copy is at least as new,
    /// it did too.
    void recordConfirmation(std::int64_t revision, steady_time when);
    void recordUnchanged(std::int64_t from, std::int64_t until) { m_history.recordUnchanged(from, until); }
    /// Checks with the store, besides the waiting call, whether the copy is up to date: at most every 300 ms,
    /// and less often while the store does not answer. Changes that the waiting call missed are applied, and
    /// the waiting call is then replaced by a new one.
    void requestConfirmation(steady_time now);
    section_standing standing(steady_time now) const;

    const store_section& section() const { return m_history.section(); }
    const section_history& history() const { return m_history; }
    /// Whether there is a copy, from the store or a peer.
    bool known() const { return section().revision > 0; }
    /// Whether the store answered the last call. For a process that follows the store, it must also have
    /// answered since the process began to follow it.
    bool connected() const { return m_connected && (!m_following || m_answeredSinceFailure); }

private:
    void read(read_consistency consistency = read_consistency::linearizable);
    void reread();
    void applyListing(const result<store_listing>& listing, read_consistency consistency);
    void applyFirstPage(std::int64_t revision, std::vector<section_entry> some);
    void follow();
    void onFailure(const failure& error, std::function<void()> retry);
    void onAnswer();
    /// Records the time of a change. Returns whether the change belongs to a burst.
    bool recordChange();
    void recordSettled();
    void applyConfirmation(const result<store_changes>& changes, steady_time sent);
    void notifyChanged();

    event_loop& m_loop;
    async_store& m_store;
    listener m_changed;
    completeness m_completenessCheck;
    section_history m_history;
    std::uint32_t m_sliceSeed = 0;
    std::int64_t m_settledRevision = 0;
    steady_time m_lastConfirmed;
    steady_time m_nextConfirmation;
    unsigned m_unansweredConfirmations = 0; ///< Consecutive confirmation requests without an answer.
    bool m_waitPending = false; ///< A waiting call is in flight.
    milliseconds m_burstDelay;
    steady_time m_lastChangeTime;
    milliseconds m_maxRetryDelay { 1000 };
    loop_timer m_nextCallTimer;
    std::minstd_rand m_random;
    bool m_connected = false;
    /// The store has answered since this process began to follow it, or since its last failure.
    bool m_answeredSinceFailure = false;
    bool m_following = true;
    bool m_idle = false; ///< No call is in flight or scheduled.
    unsigned m_failures = 0;
    std::uint64_t m_callNumber = 0; ///< Answers to calls with an earlier number are dropped.
};

} // namespace yuccachute
