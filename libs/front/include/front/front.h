#pragma once

#include "authentication/authentication.h"
#include "event_loop/event_loop.h"
#include "fleet/fleet.h"
#include "guard/guard.h"
#include "http/http.h"
#include "metrics/metrics.h"
#include "places/places.h"
#include "process_settings/process_settings.h"
#include "serving/serving.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

/// The entry process of a platform deployment: accepts callers' requests, acquires a slot at a target for
/// each and relays the responses. Layer: processes.
namespace yuccachute {

/// A caller's request that concerns an existing batch job.
struct job_call {
    std::string jobId;
    milliseconds wait { 0 }; ///< Long polling: longest delay of the response while there is nothing new.
};

/// Set by a batch process in its response to an entry: host:port of the batch process that holds the job.
constexpr std::string_view jobHolderHeader = "X-Job-Holder";

/// Set by an entry in a request to a batch process, which then responds from memory or refuses at once. An
/// entry that does not know the holder of a job first queries the likely ones this way, before one of them
/// has to read the store.
constexpr std::string_view onlyIfHeldHeader = "X-Only-If-Held";

/// Set by a batch process in the request that ends a job, which it passes on to the job's holder once the
/// store has executed the end.
constexpr std::string_view jobEndedHeader = "X-Job-Ended";

/// Set by an entry in a request to a batch process: the customer that the caller's key belongs to. It
/// replaces the key.
constexpr std::string_view customerHeader = "X-Customer";
/// Set by an entry in a submission to a batch process: the version of the configuration by which it admitted
/// the job. A batch process with an older one cannot distinguish a new route from one that has ended.
constexpr std::string_view configurationHeader = "X-Configuration-Version";

/// Recognises requests that concern existing batch jobs. Stateless.
class job_call_protocol {
public:
    virtual ~job_call_protocol() = default;
    /// Returns nullopt if the request does not concern an existing job.
    virtual std::optional<job_call> recognise(const http_request& request) const = 0;
};

/// Acquires slots for requests. Implemented by the slot broker and by test doubles.
class slot_source {
public:
    virtual ~slot_source() = default;
    virtual std::shared_ptr<slot_acquisition> acquire(
        slot_requirements request, std::function<void(result<held_slot>)> done)
        = 0;
    virtual void release(const held_slot& taken, const slot_usage& usage) = 0;
};

/// Sends requests to targets. Implemented by the HTTP client and by test doubles.
class target_client {
public:
    virtual ~target_client() = default;
    virtual std::shared_ptr<client_call> start(std::string_view address, const http_request& request,
        const client_call_options& options, client_call_events events)
        = 0;
};

/// A pending lookup of the origin of a stream. Destroying this object ends it.
class origin_lookup {
public:
    virtual ~origin_lookup() = default;
};

/// Knows where streams began, so that they are continued only by targets of the same software version.
class stream_origins {
public:
    virtual ~stream_origins() = default;
    /// The first event of a stream is about to be passed on. The stream can be resumed for `validFor` at
    /// most.
    virtual void record(const stream_origin& origin, milliseconds validFor) = 0;
    /// The software version at which a stream of the service must begin, because it could not be resumed
    /// safely at another one; unset if that of the granted target will do, or, before a slot is granted, any.
    virtual std::optional<std::string> versionToBegin(
        const std::string& service, const std::optional<std::string>& granted)
        = 0;
    /// Looks up where a stream began. `done` is called exactly once, asynchronously and within 200 ms, unless
    /// the returned object is destroyed before. A failure says whether it is worthwhile to try again.
    virtual std::shared_ptr<origin_lookup> find(
        const origin_query& query, std::function<void(result<stream_origin>)> done)
        = 0;
};

class request_drain;

/// Services shared by all requests of an entry.
struct live_services {
    event_loop& loop;
    slot_source& slots;
    target_client& targets;
    const caller_protocol& protocol;
    metrics& figures;
    /// Age of the target list, for the request log.
    std::function<milliseconds()> targetsAge = [] { return milliseconds { 0 }; };
    request_guard* guard = nullptr; ///< May be null.
    stream_origins* origins = nullptr; ///< If null, callers cannot resume streams.
    std::shared_ptr<memory_budget> memory = nullptr; ///< For responses that are buffered; null: no limit.
    request_drain* drain = nullptr; ///< If null, the process is never stopped.
};

/// An authenticated request that matched a live route.
struct live_request {
    request_facts facts;
    std::shared_ptr<const routing_table> table; ///< Owns the route and the customer.
    const route& matched;
    caller_identity identity;
    milliseconds age { 0 }; ///< Time spent by the caller before the request arrived; 0 if unknown.
};

/// Serves one request of a live route. Returns at once; the request's state is kept alive until it completes.
void serveLive(live_services& services, std::shared_ptr<http_exchange> caller, live_request request);

/// Converts the entries' node records to the form in which the slot broker takes its dispatchers.
std::vector<dispatcher_info> dispatchersAmong(std::span<const node_record> entries);

/// Responds to a request that has not run: status, message and, if `reason` has a delay, Retry-After.
void refuse(http_exchange& caller, const failure& reason);

/// Serves the platform's readiness probe: 200 if `ready` returns true, 503 otherwise.
std::unique_ptr<http_listener> serveReadiness(
    event_loop& loop, const std::string& address, std::function<bool()> ready);

/// Serves the metrics in the Prometheus text format. `refresh` is called before each response.
std::unique_ptr<http_listener> serveMetrics(
    event_loop& loop, const std::string& address, metrics& figures, std::function<void()> refresh);

/// Sets the metrics of the memory that requests hold and of what a listener did about connections without
/// progress.
void reportMemory(metrics& figures, const memory_budget& memory, const http_listener_counters& counters);

/// Returns a function that counts the answers that crossed a limit, for http_client_options.
std::function<void(std::string_view)> answerLimitCounter(metrics& figures);

/// Encodes load requests to targets and decodes their reports. Stateless.
class load_protocol {
public:
    virtual ~load_protocol() = default;
    /// Returns the request for a load report. Only the start with this target id may respond; any, if it is
    /// empty.
    virtual http_request loadRequest(std::string_view target) const = 0;
    /// `target` is the id that the request named. The failure names the invalid field. Its kind is
    /// failure_kind::gone if another start has responded than the one named.
    virtual result<load_report> readLoad(const http_reply& reply, std::string_view target) const = 0;
};

/// Requests load reports from targets over HTTP. Must be used on the loop's thread.
class target_loads final : public load_report_source {
public:
    target_loads(http_client& client, const load_protocol& protocol);
    void ask(const std::string& address, callback done) override;
    void askStart(const std::string& address, const std::string& target, callback done) override;

private:
    /// `target` is the only start that may respond; any, if it is empty.
    void send(const std::string& address, const std::string& target, callback done);

    http_client& m_client;
    const load_protocol& m_protocol;
};

/// The platform-specific codecs that an entry needs.
struct platform_adapter {
    const fleet_codec& documents;
    const caller_protocol& callers;
    const job_call_protocol& jobs;
    const load_protocol& loads;
};

/// Runs the entry process until a signal stops it. Returns the exit code.
int runFront(const process_settings& settings, const platform_adapter& adapter,
    const std::function<std::unique_ptr<async_store>(http_client&)>& connect);

} // namespace yuccachute
