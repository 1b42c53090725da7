#pragma once

#include "../../bench/standins/platform_store.h"
#include "event_loop/event_loop.h"
#include "http/http.h"

#include <nlohmann/json.hpp>

#include <array>
#include <atomic>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

/// A small deployment for the cases of the review: the project's programs as separate processes, and
/// stand-ins of the platform's store and of model servers on one event loop.
namespace yuccachute::review {

using nlohmann::json;

/// What was sent, answered and run, with the time since the start. Thread-safe.
class record_file {
public:
    explicit record_file(const std::string& path);
    void write(const std::string& line);
    milliseconds elapsed() const;

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    steady_time m_start;
};

/// How a model server runs one request.
struct run_plan {
    unsigned status = 200;
    int events = 10;
    milliseconds interval { 20 };
    milliseconds firstEvent { 20 }; ///< From the head of the answer to the first event.
};

/// A request that a model server has begun to run.
struct server_run {
    std::string id;
    std::string service;
    std::string server;
    std::string path;
    unsigned status = 0;
    int lastEvent = 0;
    milliseconds began { 0 };
    milliseconds ended { 0 };
    bool whole = false; ///< Its answer was sent completely.
};

/// One model server, as PROTOCOL.md describes it: it lists itself in the store, has slots and a short queue,
/// rejects what is meant for another one with 421, and drops a request whose connection closes. All calls on
/// the loop's thread.
class model_server {
public:
    using planner = std::function<run_plan(const http_request&)>;

    model_server(event_loop& loop, standin::platform_store& store, record_file& record, std::string service,
        std::string zone, std::string address, std::size_t slots, bool framed, planner plan);

    const std::string& id() const { return m_id; }
    const std::deque<server_run>& runs() const { return m_runs; }
    /// Is lost for good: its process ends, which closes its connections, and from then on its machine does
    /// not respond. Its entry is removed after three heartbeat intervals of silence.
    void loseForGood();

private:
    struct active_request;
    using request_ptr = std::shared_ptr<active_request>;

    void list();
    void serve(std::shared_ptr<http_exchange> caller);
    void begin(const request_ptr& request);
    void advance(const request_ptr& request);
    void end(const request_ptr& request, bool whole);

    event_loop& m_loop;
    standin::platform_store& m_store;
    record_file& m_record;
    std::string m_service;
    std::string m_zone;
    std::string m_address;
    std::string m_id;
    std::size_t m_slots;
    planner m_plan;
    std::size_t m_running = 0;
    std::set<request_ptr> m_active;
    std::deque<request_ptr> m_waiting;
    std::deque<server_run> m_runs;
    std::unique_ptr<http_listener> m_listener;
    std::vector<std::shared_ptr<http_exchange>> m_unanswered; ///< Since the server was lost.
    bool m_lost = false;
    loop_timer m_unlisting;
};

/// A virtual machine that runs one program of the project.
struct machine {
    std::string name;
    std::string zone;
    std::string role; ///< Of the deploy file: entry or batch.
    std::string ip;
    pid_t pid = -1;
};

/// A model server that is a process of its own.
struct server_process {
    std::string id;
    std::string log;
    pid_t pid = -1;
};

/// The whole deployment. Its processes are killed when it is destroyed.
class deployment {
public:
    /// The three zones have so many entries each, and one batch process each.
    deployment(record_file& record, unsigned entriesPerZone);
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    /// Runs the function on the thread of the stand-ins and waits for it.
    void onLoop(const std::function<void()>& work);
    event_loop& loop() { return m_loop; }
    /// An address that nobody else in the deployment has.
    std::string newIp();

    /// Servers whose answers are not framed send neither a length nor chunks and end with their connection.
    void addServers(const std::string& service, std::size_t perZone, std::size_t slots,
        const model_server::planner& plan, bool framed = true);
    /// On the loop's thread.
    const std::vector<std::unique_ptr<model_server>>& servers() const { return m_servers; }
    /// Servers that are processes of their own and answer without length and chunks.
    void startServerProcesses(const std::string& service, std::size_t perZone, std::size_t slots, int events);
    std::vector<server_process>& serverProcesses() { return m_serverProcesses; }
    /// Kills a server's process. Its entry is removed after three heartbeat intervals of silence.
    void killServer(server_process& server);
    /// Copies what the processes of servers have written to the record.
    void recordServerLogs();
    std::vector<server_run> runs();
    /// Writes a configuration as the operator does; the time of its acknowledgement.
    milliseconds configure(const json& configuration);

    void start(machine& one);
    /// Starts all machines and waits until they serve. Throws std::runtime_error if they do not.
    void startAll();
    std::vector<machine*> machines(const std::string& role);

    result<http_reply> call(const machine& entry, const std::string& method, const std::string& target,
        const http_headers& headers, const std::string& body, milliseconds limit);
    bool ready(const machine& entry);
    std::string front(const machine& entry) const;

private:
    std::string render(const machine& one, const std::string& file) const;

    record_file& m_record;
    std::string m_folder;
    std::string m_network;
    unsigned m_nextHost = 1;
    std::array<std::uint16_t, 6> m_ports {}; ///< front, ready, control, inner, store, servers.
    event_loop m_loop;
    std::unique_ptr<standin::platform_store> m_store;
    std::string m_storeAddress;
    std::vector<std::unique_ptr<model_server>> m_servers;
    std::vector<std::unique_ptr<machine>> m_machines;
    std::vector<server_process> m_serverProcesses;
    std::vector<loop_timer> m_unlisting;
    std::thread m_thread;
};

extern const std::vector<std::string> zones;
extern const std::string host;

json routeOf(const std::string& name, const std::string& prefix, const std::string& kind,
    const std::string& service, const json& more);
json configurationOf(int version, const json& routes, const std::vector<std::string>& services);

struct batch_item {
    std::string id;
    std::string path;
};
std::string submissionOf(const std::vector<batch_item>& items);
/// Hands in a batch job as a client does: again at another entry until it is accepted.
bool submit(deployment& system, record_file& record, const std::string& jobId, const std::string& path,
    const std::string& body);
/// Reads the results of a batch job until all are there or the time is over: state by item, and text by item.
std::map<std::string, std::string> readResults(deployment& system, record_file& record,
    const std::string& jobId, std::size_t total, milliseconds limit,
    std::map<std::string, std::string>* texts = nullptr);

/// Whether the case's disruption takes place: not with TROUBLE=0.
bool withTrouble();
/// Runs a case with its record file and maps errors to the exit code 2.
int runCase(int argc, char** argv, const std::function<int(record_file&)>& body);

} // namespace yuccachute::review
