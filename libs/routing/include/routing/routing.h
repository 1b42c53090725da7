#pragma once

#include "verdict/verdict.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// Routing: maps requests to services, and services to their targets. Layer: state. No I/O.
namespace yuccachute {

/// How the requests of a route are run and retried.
enum class request_kind : std::uint8_t {
    safe, ///< May run more than once.
    unsafe, ///< Runs at most once.
    streaming, ///< Answered by an event stream; unsafe unless the route is resumable.
    batch ///< Submits a batch job.
};

std::string_view toString(request_kind kind);

/// One of the services among which a route's requests are split, and its weight.
struct service_share {
    std::string service;
    unsigned weight = 1;
};

struct route {
    std::string name;
    std::string host;
    std::string prefix; ///< Begins and ends with a slash.
    request_kind kind = request_kind::safe;
    milliseconds timeout { 0 }; ///< Maximum duration of a request, as seen by its caller.
    milliseconds objective { 0 }; ///< Latency objective for an answer, or a stream's first event.
    milliseconds interEventObjective { 0 }; ///< Latency objective between two events of a stream.
    unsigned priority = 0; ///< 0 is the highest.
    unsigned maxAttempts = 1; ///< Maximum number of targets that may run one request.
    bool resumable = false; ///< Whether a broken stream may be continued at another target.
    bool allowsAnonymous = false; ///< Whether callers need no key.
    std::vector<service_share> shares;
    milliseconds completionWindow { 0 }; ///< Batch: time from the first submission to the last result.
    milliseconds expiry { 0 }; ///< Batch: age after which an item may be abandoned.
    std::uint64_t maxPendingTokens = 0; ///< Batch: tokens of accepted items without a result; 0 for no limit.

    /// Whether a request may run again after an unknown outcome.
    bool retryable() const
    {
        return kind == request_kind::safe || (kind == request_kind::streaming && resumable);
    }
    /// Selects the service for a request by weight. The same number always selects the same service.
    const std::string& pickService(std::uint64_t number) const;
    /// Whether the service is one of those among which the requests are split.
    bool leadsTo(std::string_view service) const;
};

struct service_description {
    std::string name;
    unsigned slots = 1; ///< Number of requests that a target runs concurrently.
};

/// Limits on callers' connections and requests.
struct caller_limits {
    std::size_t maxHeaderBytes = 16u << 10;
    std::size_t maxBodyBytes = 4u << 20;
    milliseconds headerTimeout { 3000 };
    milliseconds idleTimeout { 15000 };
};

/// A customer and its limits, which apply to all processes together.
struct customer_description {
    std::string name;
    unsigned priority = 0; ///< 0 is the highest.
    double requestsPerSecond = 0; ///< 0 for no limit.
    double burst = 0; ///< Requests allowed in addition to the rate.
    std::uint64_t maxPendingTokens = 0; ///< Limit for batch items on each route; 0 for the route's own limit.
};

/// The customers and their keys. Keys are secrets and must not leave this class.
class customer_directory {
public:
    /// Adds a customer. A key that is already in use stays with the customer that was added first.
    void add(customer_description customer, std::span<const std::string> keys);
    bool empty() const { return m_customers.empty(); }
    /// Returns null if the key belongs to no customer.
    const customer_description* byKey(std::string_view key) const;
    const customer_description* byName(std::string_view name) const;
    std::span<const customer_description> all() const { return m_customers; }
    /// Weight of a customer when capacity is scarce: its rate limit, or the largest one if it has no limit.
    double weightOf(const customer_description& customer) const;

private:
    struct text_hash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const { return std::hash<std::string_view> {}(text); }
    };
    using index_map = std::unordered_map<std::string, std::size_t, text_hash, std::equal_to<>>;

    std::vector<customer_description> m_customers;
    double m_largestRate = 1;
    index_map m_byKey;
    index_map m_byName;
};

/// The routes and services in force; immutable once built.
struct routing_table {
    std::int64_t version = 0; ///< Increases monotonically.
    std::vector<route> routes;
    std::map<std::string, service_description, std::less<>> services;
    caller_limits limits;
    customer_directory customers; ///< Empty if callers need no keys.

    /// Returns the route of the host with the longest prefix that matches the path; null if there is none.
    const route* match(std::string_view host, std::string_view path) const;
    const route* findRoute(std::string_view name) const;
};

/// Latency objectives by service.
using service_objectives = std::map<std::string, milliseconds, std::less<>>;

/// The longest latency objective of the live routes of each service: a request that is older can meet none.
service_objectives longestObjectives(const routing_table& table);

/// A target as listed by the platform.
struct listed_target {
    /// Identifies one start of the target. A restarted target has a new id, because it has lost its state.
    /// The address is not sufficient, because it may be reused by another target.
    std::string id;
    std::string service;
    std::string address;
    std::string zone;
    unsigned slots = 1;
    bool draining = false;
    std::string instance; ///< Name of the target that remains the same after a restart.
    std::int64_t started = 0; ///< Increases with each start of an instance; 0 if unknown.
    /// Version of its software, which is fixed for the id. A stream can be continued only by a target of the
    /// version that began it.
    std::string version;
};

/// A process stores each target once and shares it among its components.
using target_ptr = std::shared_ptr<const listed_target>;
using target_map = std::map<std::string, target_ptr, std::less<>>; ///< By id.

/// A target before and after a change; null if it did not or does not exist.
struct target_change {
    target_ptr before;
    target_ptr after;
    /// Whether the target may still be listed and this process merely no longer tracks it.
    bool released = false;
};

/// The usable targets, derived from lists that may be temporarily wrong.
///
/// During an outage of the platform's store, the entries of running targets may lapse; the targets register
/// again within about two seconds after the outage. Relying on the lists of that time would refuse all
/// requests. A target that is missing from a list is therefore kept until lists can be trusted again. A
/// target that is missing from a trusted list is removed at once, even if many are missing together.
///
/// Input and output are changes, so that the cost of an update depends on the number of changes and not on
/// the number of targets.
class target_directory {
public:
    /// Applies changes of the list's entries. Lists can be trusted from `trustedFrom` on, which may be in the
    /// past or, during an outage of the store, in the far future. Returns the changes that affect the
    /// selection of targets.
    std::vector<target_change> apply(
        std::span<const target_change> listed, steady_time trustedFrom, steady_time now);
    /// Removes all missing targets if lists can be trusted now, and otherwise those missing for too long.
    std::vector<target_change> expire(steady_time trustedFrom, steady_time now);

    /// Whether any targets are kept although they are missing from the list.
    bool hasMissingTargets() const { return !m_missingSince.empty(); }
    /// Ids of the missing targets, and since when they are missing.
    const std::map<std::string, steady_time, std::less<>>& missing() const { return m_missingSince; }

    /// Whether this directory contains only some of the platform's targets.
    bool partial() const { return m_partial; }
    void setPartial(bool partial) { m_partial = partial; }

    const target_map& targets() const { return m_targets; }
    /// Returns null if there is no such target.
    const listed_target* find(std::string_view id) const;

private:
    using change_list = std::vector<target_change>;

    void unlist(const target_ptr& target);
    void reconcileInstance(std::string_view instance, change_list& changes);
    void activate(const target_ptr& target, change_list& changes);
    void remove(std::string_view id, change_list& changes, bool released = false);
    void markMissing(
        const target_ptr& target, steady_time trustedFrom, steady_time now, change_list& changes);
    /// Whether a later start of the target's instance is listed.
    bool superseded(const listed_target& target) const;
    bool listed(const listed_target& target) const;

    target_map m_targets;
    /// The listed targets by instance. The keys refer to strings of the targets.
    std::multimap<std::string_view, target_ptr> m_listed;
    std::map<std::string, steady_time, std::less<>> m_missingSince;
    bool m_partial = false;
};

} // namespace yuccachute
