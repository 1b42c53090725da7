#pragma once

#include "limits/limits.h"

#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace yuccachute {

/// A fleet of processes that grant places, each with the real decisions; links, the store's list of processes
/// and callers are played. One step is 10 ms.
class model_limits {
public:
    struct options {
        std::size_t processes = 12;
        std::size_t zones = 3;
        limit_policy policy = lent_shares {};
        request_limit limit { 82, 82 };
        limit_bounds bounds {};
        std::uint64_t seed = 1;
        milliseconds delay { 8 }; ///< Longest, of a message.
    };

    explicit model_limits(options chosen);

    /// Plays on for so long. `perSecond` is the callers' rate by zone.
    void run(milliseconds time, const std::vector<double>& perSecond);

    void kill(std::size_t process);
    /// The process starts anew and knows nothing.
    void start(std::size_t process);
    /// Processes of different islands do not reach each other; only island 0 reaches the store.
    void moveTo(std::size_t process, int island);
    /// All processes reach each other and the store.
    void returnAll();
    void setLimit(const request_limit& limit);
    /// Nothing reaches the process, while what it sends arrives.
    void deafen(std::size_t process, bool deaf);

    std::size_t zoneOf(std::size_t process) const { return process % m_options.zones; }
    std::size_t granted() const { return m_grants.size(); }
    std::size_t refused() const { return m_refused; }
    /// Most grants in any span of the window, since the beginning or the last call.
    std::size_t busiestWindow();
    double allowed() const;
    /// The largest sum of the parts that living processes could grant from at the same time.
    double mostParts() const { return m_mostParts; }
    std::size_t messages() const { return m_messages; }

private:
    struct process {
        std::unique_ptr<distributed_rate_limiter> limits; ///< Null while it is dead.
        std::uint64_t incarnation = 0;
        int island = 0;
        bool deaf = false;
        steady_time lastInStore; ///< When its registration was last renewed.
    };
    struct message {
        steady_time due;
        std::size_t from;
        std::size_t to;
        limit_message content;
    };

    void step(const std::vector<double>& perSecond);
    void deliver();
    void tick(std::size_t process);
    void list();
    void sumParts();
    void callAt(std::size_t zone);
    std::size_t dispatcherFor(std::size_t zone, int island) const;
    void send(std::size_t from, std::size_t to, const limit_message& content);
    bool reaches(std::size_t from, std::size_t to) const;
    customer_directory customers() const;
    static std::string vmOf(std::size_t process) { return "vm-" + std::to_string(process); }

    options m_options;
    std::mt19937_64 m_random;
    steady_time m_now { std::chrono::hours { 1 } };
    std::vector<process> m_processes;
    std::deque<message> m_onTheWay;
    std::vector<steady_time> m_grants;
    std::size_t m_refused = 0;
    std::size_t m_messages = 0;
    double m_mostParts = 0;
    unsigned m_steps = 0;
};

/// Callers at all zones alike.
std::vector<double> evenly(double perSecond, std::size_t zones = 3);

/// Twelve restarts, cuts, returns and moves of callers, at 5.6 times the limit all the while.
struct random_faults {
    double busiestWindow = 0;
    double allowed = 0;
};
random_faults playRandomFaults(std::uint64_t seed);

} // namespace yuccachute
