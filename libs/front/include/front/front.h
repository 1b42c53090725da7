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

/// The entry process on a platform: takes callers' requests, finds places for them, relays the answers.
/// Layer: processes.
namespace yuccachute {

/// A caller's call on a batch job that exists.
struct job_call {
    std::string jobId;
    milliseconds wait { 0 }; ///< How long an answer may be held back until there is something to tell.
};

/// In an answer of a batch process to an entry: host:port of the one that holds the job.
constexpr std::string_view jobHolderHeader = "X-Job-Holder";

/// In a call of an entry to a batch process: to be answered from memory, or refused at once. An entry that
/// does not know which process has a job asks those that may, before one of them asks the store.
constexpr std::string_view onlyIfHeldHeader = "X-Only-If-Held";

/// In a call of an entry to a batch process: the customer whose key the caller holds, in place of the key.
constexpr std::string_view customerHeader = "X-Customer";

/// Recognises the callers' calls on batch jobs. Stateless.
class job_call_protocol {
public:
    virtual ~job_call_protocol() = default;
    /// Nothing if the request is no call on a job.
    virtual std::optional<job_call> recognise(const http_request& request) const = 0;
};

/// Finds places for requests; the broker, or a mock.
class place_source {
public:
    virtual ~place_source() = default;
    virtual std::shared_ptr<slot_acquisition> acquire(
        slot_requirements request, std::function<void(result<held_slot>)> done)
        = 0;
    virtual void release(const held_slot& taken, grant_outcome outcome, milliseconds firstToken) = 0;
};

/// Sends requests to targets; the HTTP client, or a mock.
class target_client {
public:
    virtual ~target_client() = default;
    virtual std::shared_ptr<client_call> start(std::string_view address, const http_request& request,
        const client_call_options& options, client_call_events events)
        = 0;
};

/// What the requests of an entry share.
struct live_services {
    event_loop& loop;
    place_source& places;
    target_client& targets;
    const caller_protocol& protocol;
    metrics& figures;
    /// How old the list of targets is, for the log.
    std::function<milliseconds()> targetsAge = [] { return milliseconds { 0 }; };
    request_guard* guard = nullptr; ///< May be null.
};

/// A request of a live route that has been let in.
struct live_request {
    request_facts facts;
    std::shared_ptr<const routing_table> table; ///< Keeps the route and the customer alive.
    const route& matched;
    caller_identity identity;
};

/// Serves one request of a live route to its end. It keeps itself alive until then.
void serveLive(live_services& services, std::shared_ptr<http_exchange> caller, live_request request);

/// The entries that may be dispatcher, as the broker wants them.
std::vector<dispatcher_info> dispatchersAmong(std::span<const node_record> entries);

/// Answers a request that has not run, and says when to come back.
void refuse(http_exchange& caller, const failure& reason);

/// Answers the platform's question whether the process takes requests: 200 if so, else 503.
std::unique_ptr<http_listener> serveReadiness(
    event_loop& loop, const std::string& address, std::function<bool()> ready);

/// Serves the metrics in the Prometheus text format. `refresh` is called before each answer.
std::unique_ptr<http_listener> serveMetrics(
    event_loop& loop, const std::string& address, metrics& figures, std::function<void()> refresh);

/// How targets are asked for their load. Stateless.
class load_protocol {
public:
    virtual ~load_protocol() = default;
    virtual http_request loadRequest() const = 0;
    /// The failure names the field that is wrong.
    virtual result<load_report> readLoad(const http_reply& reply) const = 0;
};

/// Asks targets for their load over HTTP. On the loop's thread.
class target_loads final : public load_report_source {
public:
    target_loads(http_client& client, const load_protocol& protocol);
    void ask(const std::string& address, callback done) override;

private:
    http_client& m_client;
    const load_protocol& m_protocol;
};

/// Everything that an entry needs from the platform's adapter.
struct platform_adapter {
    const fleet_codec& documents;
    const caller_protocol& callers;
    const job_call_protocol& jobs;
    const load_protocol& loads;
};

/// Runs the entry process until it is told to stop. Returns the exit code.
int runFront(const process_settings& settings, const platform_adapter& adapter,
    const std::function<std::unique_ptr<async_store>(http_client&)>& connect);

} // namespace yuccachute
