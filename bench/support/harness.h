#pragma once

#include "http/http.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

/// Real processes for integration tests and measurements: starts them on free ports, stops them, and talks to
/// them. Whatever goes wrong is a std::runtime_error.
namespace yuccachute::testing {

/// A started program. It is killed when this is destroyed.
class child_process {
public:
    child_process(
        const std::string& program, const std::vector<std::string>& arguments, const std::string& logFile);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    void signal(int number) const;
    /// Waits for the end; returns the exit code, or minus the signal's number.
    int wait();
    bool running();
    int id() const { return m_id; }

private:
    int m_id = -1;
    bool m_ended = false;
    int m_code = 0;
};

/// Reserves a port of the loopback interface that nobody listens on.
std::uint16_t freePort();

/// Lets freePort() begin its range anew: a program that starts one system after the other must not run into
/// the range of another program.
void reuseFreePorts();

/// Waits until the condition holds; fails after the limit.
void waitUntil(const std::string& what, const std::function<bool()>& condition,
    std::chrono::seconds limit = std::chrono::seconds { 30 });

/// A whole system with stand-ins. Members are set up before start().
class test_system {
public:
    struct node {
        std::string name;
        std::string zone;
        std::uint16_t http = 0;
        std::uint16_t rpc = 0;
        std::unique_ptr<child_process> process;
    };

    test_system();
    ~test_system();

    /// Adds a target of the service "screening" (an engine) or "registry" (a plain service). With a proxy the
    /// system reaches it through the fault proxy's route of that name.
    void addEngine(const std::string& name, const std::string& zone, std::vector<std::string> flags = {},
        bool proxied = false);
    void addPlain(const std::string& name, const std::string& zone, bool proxied = false);
    void addEntry(const std::string& name, const std::string& zone, const std::string& extraOptions = {});
    /// Adds a batch process on the VM of an entry.
    void addBatch(const std::string& name, const std::string& entry, const std::string& extraOptions = {});
    void addAdmin(const std::string& name, const std::string& entry);
    /// Lines for the settings tree, besides targets, customers "large" and "small", and services.
    void setExtraSettings(std::string ini) { m_extraSettings = std::move(ini); }
    /// Lines for [service/screening].
    void setServiceSettings(std::string ini) { m_serviceSettings = std::move(ini); }

    /// Starts everything, applies the settings, and waits until every entry and batch process is ready.
    void start();
    void startNode(const std::string& name);
    void startTarget(const std::string& name);
    node& at(const std::string& name) { return m_nodes.at(name); }
    child_process& target(const std::string& name) { return *m_targets.at(name).process; }

    /// Faults of the key-value service and of the proxy's routes, as query strings.
    nlohmann::json store(const std::string& query = {});
    void route(const std::string& name, const std::string& query);
    nlohmann::json targetJson(const std::string& name, const std::string& path);

    /// Calls a node's HTTP interface as a customer with the key "key-NAME".
    result<http_reply> call(const std::string& node, http_request request,
        std::chrono::seconds limit = std::chrono::seconds { 60 }, const std::string& customer = "small");
    result<http_reply> get(
        const std::string& node, const std::string& path, const std::string& customer = "small");
    /// Runs a completion, streamed or whole; the text only if the answer was whole.
    struct completion {
        bool whole = false;
        std::string text;
        std::string error; ///< Body of the error.
        unsigned status = 0;
    };
    completion complete(const std::string& node, const std::string& prompt, unsigned tokens,
        bool stream = true, const std::string& customer = "small", http_headers headers = {});
    http_request submission(const std::string& items, const std::string& key) const;
    /// All result lines so far, by item id; a second result of one item is an error.
    std::map<std::string, nlohmann::json> results(
        const std::string& node, const std::string& job, const std::string& customer = "small");
    nlohmann::json job(const std::string& node, const std::string& id, const std::string& customer = "small");

    /// Accepts an edit through the admin process; returns the reply.
    http_reply edit(
        const std::string& admin, const std::string& path, const std::map<std::string, std::string>& set);
    /// host:port of a node's HTTP interface, and of a target behind the proxy.
    std::string address(const std::string& node) const;
    std::string rpcAddress(const std::string& node) const;
    /// The harness speaks no TLS: start() does not wait for this entry.
    void setSecureEntry(const std::string& name) { m_secureEntry = name; }
    std::string targetAddress(const std::string& target) const;
    std::string folder() const { return m_folder; }

private:
    struct target_entry {
        std::string service;
        std::string zone;
        std::uint16_t port = 0;
        std::uint16_t proxyPort = 0;
        std::vector<std::string> flags;
        std::unique_ptr<child_process> process;
    };

    std::string settingsIni() const;
    void writeOptions(
        const node& one, const std::string& vm, const std::string& seeds, const std::string& extra) const;

    std::string m_folder;
    std::string m_extraSettings;
    std::string m_serviceSettings;
    std::string m_secureEntry;
    std::uint16_t m_storePort;
    std::uint16_t m_storeControl;
    std::uint16_t m_proxyControl;
    std::map<std::string, target_entry> m_targets;
    std::map<std::string, node> m_nodes;
    std::map<std::string, std::string> m_programs;
    std::map<std::string, std::string> m_companions; ///< The entry on whose VM a process runs.
    std::map<std::string, std::string> m_extraOptions;
    std::unique_ptr<child_process> m_store;
    std::unique_ptr<child_process> m_proxy;
};

} // namespace yuccachute::testing
