#pragma once

#include "limits/limits.h"

#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace yuccachute {

/// Simulates a fleet of processes that grant slots. Each process runs the real rate limiter; network links,
/// the store's member list and callers are simulated in steps of 10 ms.
class fleet_simulation {
public:
    struct options {
        std::size_t processes = 12;
        std::size_t zones = 3;
        limit_policy policy = lent_shares {};
        request_limit limit { 82, 82 };
        limit_bounds bounds {};
        std::uint64_t seed = 1;
        milliseconds delay { 8 }; ///< Maximum delay of a message.
    };

    explicit fleet_simulation(options chosen);

    /// Advances the simulation by `time`. `perSecond` is the request rate of each zone.
    void run(milliseconds time, const std::vector<double>& perSecond);

    void kill(std::size_t process);
    /// Starts a process with empty state.
    void start(std::size_t process);
    /// Processes in different partitions cannot reach each other; only those in partition 0 reach the store.
    void moveToPartition(std::size_t process, int partition);
    /// Lets all processes reach each other and the store.
    void healPartitions();
    void setLimit(const request_limit& limit);
    /// Drops all messages to a process; those that it sends still arrive.
    void blockIncoming(std::size_t process, bool blocked);

    std::size_t zoneOf(std::size_t process) const { return process % m_options.zones; }
    std::size_t granted() const { return m_grants.size(); }
    std::size_t refused() const { return m_refused; }
    /// Maximum number of grants in any time span as long as the window.
    std::size_t maxGrantsInWindow();
    double allowed() const;
    /// Largest sum of the shares that running processes held at the same time.
    double maxShareSum() const { return m_maxShareSum; }
    std::size_t messages() const { return m_messages; }

private:
    struct process {
        std::unique_ptr<distributed_rate_limiter> limits; ///< Null while the process is down.
        std::uint64_t incarnation = 0;
        int partition = 0;
        bool incomingBlocked = false;
        steady_time lastRenewal; ///< When its registration was last renewed.
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
    void publishMembers();
    void recordShareSum();
    void sendRequest(std::size_t zone);
    std::size_t dispatcherFor(std::size_t zone, int partition) const;
    void send(std::size_t from, std::size_t to, const limit_message& content);
    bool canReach(std::size_t from, std::size_t to) const;
    customer_directory customers() const;
    static std::string vmOf(std::size_t process) { return "vm-" + std::to_string(process); }

    options m_options;
    std::mt19937_64 m_random;
    steady_time m_now { std::chrono::hours { 1 } };
    std::vector<process> m_processes;
    std::deque<message> m_inFlight;
    std::vector<steady_time> m_grants;
    std::size_t m_refused = 0;
    std::size_t m_messages = 0;
    double m_maxShareSum = 0;
    unsigned m_steps = 0;
};

/// Spreads a request rate evenly over all zones.
std::vector<double> evenRates(double perSecond, std::size_t zones = 3);

struct random_faults_result {
    double maxGrantsInWindow = 0;
    double allowed = 0;
};
/// Simulates twelve random events (restarts, partitions, healed partitions, callers that move to other zones)
/// under a constant load of 5.6 times the limit.
random_faults_result runRandomFaults(std::uint64_t seed);

} // namespace yuccachute
