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

/// Copies of parts of the platform's store that are kept up to date. Layer: transport.
namespace yuccachute {

/// A copy of all keys with a prefix that remembers which keys went, so that a peer with an earlier copy is
/// told what changed and not all of it. In a fleet of 300 processes a list of them is some 75 KB,
/// which each of them would be sent, and read, at each change of one. No I/O.
class section_history {
public:
    explicit section_history(std::string prefix) { m_section.prefix = std::move(prefix); }

    const store_section& section() const { return m_section; }
    /// Takes over a whole copy, of which it keeps its slice. Returns whether any entry is another than
    /// before.
    bool replace(std::int64_t revision, std::vector<section_entry> entries);
    /// Takes over some entries as they were at a revision, in place of what was held. They are something to
    /// go on with, and to follow changes of, until a peer tells all of the section or of a slice.
    void begin(std::int64_t revision, std::vector<section_entry> some);
    /// The next whole copy is taken over in this slice.
    void setSlice(const section_slice& slice) { m_nextSlice = slice; }
    const section_slice& slice() const { return m_slice; }
    /// The next peer that is asked is to send all it has.
    void wantWhole() { m_wantsWhole = true; }
    /// Nobody knows any more which entries of the slice are missing, or have gone.
    void doubt() { m_begun = true; }
    /// Whether it holds all entries of its slice.
    bool complete() const { return m_section.revision > 0 && !m_begun; }
    /// Whether it holds all entries of the section.
    bool whole() const { return complete() && m_slice.whole(); }
    /// Takes over changes of single entries, up to a revision. Older ones than those known are passed over.
    /// Returns whether anything changed.
    bool apply(std::span<const store_event> events, std::int64_t revision);
    /// Takes over a peer's update if it is newer and holds for this copy. Returns nothing if it was not
    /// taken, else whether anything changed.
    std::optional<bool> apply(const section_update& update);
    /// The section has not changed between two revisions of the store. A copy that is as new as the first one
    /// is a copy of the second.
    void noteUnchanged(std::int64_t from, std::int64_t until);
    /// What leads from a copy of a revision to this one; all entries for a copy that is empty. The slice has
    /// to be a part of what is held here.
    section_update since(std::int64_t revision, const section_slice& slice = {}) const;
    /// What has changed since this was called last, in the order in which it did.
    std::vector<section_change> takeChanges() { return std::exchange(m_changes, {}); }
    /// The revision that a peer is to be asked from: 0 if an update has left keys that the peer does not
    /// have.
    std::int64_t askFrom() const { return m_wantsWhole || m_begun ? 0 : m_section.revision; }

private:
    struct removal {
        std::string key;
        std::int64_t revision = 0; ///< By which the key had gone.
    };

    bool set(const section_entry& entry);
    bool remove(const std::string& key, std::int64_t revision);
    void noteRemoval(const std::string& key, std::int64_t revision);
    void noteReplaced(std::span<const section_entry> former);
    void noteRemoved(const section_entry& entry);

    store_section m_section;
    std::vector<section_change> m_changes;
    std::deque<removal> m_removals; ///< In order of their revisions.
    std::int64_t m_completeFrom = 0; ///< All removals after this revision are known.
    bool m_wantsWhole = false;
    bool m_begun = false; ///< Some entries are held, and nobody knows which are missing.
    section_slice m_slice;
    std::optional<section_slice> m_nextSlice;
};

/// A copy of all keys with a prefix.
///
/// It is read once and then followed by waiting calls. While the store turns this process away, the copy
/// stays as it is and may be replaced by a newer one of a peer: the store's revision tells which is newer, so
/// a copy never goes back.
class store_mirror {
public:
    /// Told after each change of the copy, and at its first reading, of what has changed.
    using listener = std::function<void(const store_mirror&, std::span<const section_change>)>;
    /// Whether what the store lists now is all there is. Just after an outage of the store entries may be
    /// missing that have only lapsed.
    using completeness = std::function<bool()>;

    /// After the second of changes that come in a row the next waiting call is sent only after the pause, so
    /// that the others are told by one call: each is priced. The second one is told at once like the first:
    /// two targets that leave together were otherwise known to leave 400 ms apart.
    store_mirror(event_loop& loop, async_store& store, std::string prefix, milliseconds pauseAfterChange,
        listener changed, completeness listsAreComplete = nullptr);

    enum class first_read : std::uint8_t {
        exact,
        stale ///< May be seconds old: for one that hears of newer changes from peers within a moment.
    };

    /// Begins to read and follow.
    void start(first_read how = first_read::exact);
    /// Begins without a reading: peers tell, until the process starts to read or to follow the store.
    void startFromPeers();
    /// Whether to go on with waiting calls. Without them only a peer's copies bring news; a call that waits
    /// already is left to end.
    void setFollowing(bool following);
    /// A slice of the section is enough, drawn by this number, and peers tell it: of a long section the store
    /// is asked for the first entries alone. To be called before start().
    void takeSlice(std::uint32_t seed) { m_sliceSeed = seed; }
    /// From now on all of the section is needed.
    void takeWhole();
    /// 0 if all of the section is needed.
    std::uint32_t sliceSeed() const { return m_sliceSeed; }
    /// How long to wait at most before the next call while the store does not answer.
    void setLongestPause(milliseconds pause) { m_longestPause = pause; }
    /// Takes over what a peer tells if it is newer. Returns whether it was.
    bool offer(const section_update& update);
    /// Takes over what a peer knows of its copy. To be told before the update of the same answer, as whoever
    /// hears of the change asks for settled().
    void noteStanding(const section_standing& standing);
    /// Whether what was missing from the copy at a revision has gone, and has not only lapsed.
    ///
    /// It goes by what is known of that revision, from the store itself or from whichever peer: a process
    /// that judged by its own contact with the store, or by its zone's watcher alone, kept targets that had
    /// left for up to 10 s although it had heard of their removal within 6 ms.
    bool settled(std::int64_t revision) const;
    std::int64_t settledRevision() const { return m_settledRevision; }

    /// When this copy was last known to be what the store held, by the steady clock; the clock's beginning if
    /// never. A call that waits proves nothing: a connection that has died is as silent as a store without
    /// news.
    steady_time lastConfirmed() const { return m_confirmedAt; }
    /// A peer's copy was known to be right at a moment. If this copy is as new, so was this one.
    void noteConfirmed(std::int64_t revision, steady_time when);
    void noteUnchanged(std::int64_t from, std::int64_t until) { m_history.noteUnchanged(from, until); }
    /// Asks the store beside the waiting call whether the copy is what it holds, at most every 300 ms, and
    /// less often while it does not answer. What the waiting call has missed is taken over, and another takes
    /// its place.
    void confirm(steady_time now);
    section_standing standing(steady_time now) const;

    const store_section& section() const { return m_history.section(); }
    const section_history& history() const { return m_history; }
    /// Whether there is a copy, from the store or a peer.
    bool known() const { return section().revision > 0; }
    /// Whether the store's last call was answered; for a process that follows the store, also since it began
    /// to do so or last failed.
    bool connected() const { return m_connected && (!m_following || m_confirmed); }

private:
    void read(first_read how = first_read::exact);
    void readAnew();
    void take(const result<store_listing>& listing, first_read how);
    void takeFirst(std::int64_t revision, std::vector<section_entry> some);
    void follow();
    void failed(const failure& error, std::function<void()> again);
    void answered();
    /// A change has been told. Whether the one before was a moment ago.
    bool inRow();
    void noteSettled();
    void takeConfirmation(const result<store_changes>& changes, steady_time sent);
    void tellChanged();

    event_loop& m_loop;
    async_store& m_store;
    listener m_changed;
    completeness m_listsAreComplete;
    section_history m_history;
    std::uint32_t m_sliceSeed = 0;
    std::int64_t m_settledRevision = 0;
    steady_time m_confirmedAt;
    steady_time m_nextConfirmation;
    unsigned m_unconfirmed = 0; ///< Confirmations in a row that were asked for and have not come.
    bool m_waits = false; ///< A call that waits for changes is under way.
    milliseconds m_pauseAfterChange;
    steady_time m_lastChange;
    milliseconds m_longestPause { 1000 };
    loop_timer m_pause;
    std::minstd_rand m_random;
    bool m_connected = false;
    bool m_confirmed
        = false; ///< The store has answered since this process began to follow it, or last failed.
    bool m_following = true;
    bool m_idle = false; ///< No call is under way or planned.
    unsigned m_failures = 0;
    std::uint64_t m_round = 0; ///< Answers to calls of earlier rounds are dropped.
};

} // namespace yuccachute
