#pragma once

#include "event_loop/event_loop.h"
#include "messages/messages.h"
#include "store/store.h"

#include <functional>
#include <memory>
#include <random>
#include <string>

/// Copies of parts of the platform's store that are kept up to date. Layer: transport.
namespace yuccachute {

/// A copy of all keys with a prefix.
///
/// It is read once and then followed by waiting calls. While the store turns this process away, the copy
/// stays as it is and may be replaced by a newer one of a peer: the store's revision tells which is newer, so
/// a copy never goes back.
class store_mirror {
public:
    /// Told after each change of the copy, and at its first reading.
    using listener = std::function<void(const store_mirror&)>;

    /// After a change the next waiting call is sent only after the pause, so that changes that come in a row
    /// are told by one call: each is priced.
    store_mirror(event_loop& loop, async_store& store, std::string prefix, milliseconds pauseAfterChange,
        listener changed);

    /// Begins to read and follow.
    void start();
    /// Whether to go on with waiting calls. Without them only a peer's copies bring news; a call that waits
    /// already is left to end.
    void setFollowing(bool following);
    /// How long to wait at most before the next call while the store does not answer.
    void setLongestPause(milliseconds pause) { m_longestPause = pause; }
    /// Takes over a peer's copy if it is newer. Returns whether it was.
    bool offer(const store_section& copy);

    const store_section& section() const { return m_section; }
    /// Whether there is a copy, from the store or a peer.
    bool known() const { return m_section.revision > 0; }
    /// Whether the store's last call was answered.
    bool connected() const { return m_connected; }

private:
    void read();
    void follow();
    void failed(const failure& error, std::function<void()> again);
    void apply(const store_changes& changes);
    void answered();

    event_loop& m_loop;
    async_store& m_store;
    listener m_changed;
    store_section m_section;
    milliseconds m_pauseAfterChange;
    milliseconds m_longestPause { 1000 };
    loop_timer m_pause;
    std::minstd_rand m_random;
    bool m_connected = false;
    bool m_following = true;
    bool m_idle = false; ///< No call is under way or planned.
    unsigned m_failures = 0;
    std::uint64_t m_round = 0; ///< Answers to calls of earlier rounds are dropped.
};

} // namespace yuccachute
