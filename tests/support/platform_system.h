#pragma once

#include "harness.h"

#include <filesystem>
#include <optional>

/// The programs for the users' platform as real processes on the stand-in of it.
namespace yuccachute::testing {

/// The steady clock's time in ms, which all processes of a machine share.
std::int64_t steadyMs();

/// Processes and servers of one availability zone; its name is one letter.
struct zone_layout {
    std::string zone;
    unsigned entries = 1;
    unsigned batches = 1;
    unsigned servers = 2;
};

struct platform_layout {
    int eventMs = 5; ///< From one event of a stream to the next.
    int slots = 4; ///< Of each server.
    std::vector<zone_layout> zones { { "a", 2, 1, 2 }, { "b", 1, 1, 2 } };
    /// Whether each process reaches the store, and everybody each server, through a route of the fault proxy:
    /// "store-VM" and "server-NUMBER".
    bool proxied = false;
    bool serversProxied = true; ///< With `proxied`; else the servers are reached as they are.
    /// Lines of the section [limits] of each entry and each batch process.
    std::string entryLimits = "descriptors = 1000\n";
    std::string batchLimits = "descriptors = 1000\n";
};

/// A system on the stand-in of the platform. All its processes are killed when it is destroyed, and its
/// folder is removed, unless an exception passes or YUCCACHUTE_KEEP_LOGS is set.
class platform_system {
public:
    /// Starts everything and waits until each entry reaches the batch processes.
    explicit platform_system(platform_layout layout = {});
    platform_system(int eventMs, int slots = 4);
    ~platform_system();
    platform_system(const platform_system&) = delete;
    platform_system& operator=(const platform_system&) = delete;

    struct process {
        std::uint16_t callers = 0;
        std::uint16_t readiness = 0;
        std::uint16_t control = 0;
        std::uint16_t inner = 0;
        std::unique_ptr<child_process> running;
    };

    void startEntry(const std::string& name);
    void startBatch(const std::string& name);
    bool ready(const std::string& name);
    void waitReady(const std::string& name);

    /// The stand-in's control port: faults, orders, and what the servers have run.
    nlohmann::json control(const std::string& path, const std::string& body = "");
    /// Sets the faults of a route of the proxy, as a query string.
    void route(const std::string& name, const std::string& query);
    /// Silences the open connections of a route whose latest request contains the text, while new ones work.
    /// Returns their number.
    std::size_t silenceOpen(const std::string& route, const std::string& text);

    result<http_reply> call(std::uint16_t port, const std::string& method, const std::string& target,
        http_headers headers, std::string body, milliseconds limit = milliseconds { 8000 });
    static http_headers requestHeaders(const std::string& id, int events = 0);
    result<http_reply> stream(
        const std::string& entry, const std::string& route, const std::string& id, int events);
    result<http_reply> plain(const std::string& entry, const std::string& route, const std::string& id);
    /// The answer that a stream must have.
    static std::string wholeStream(const std::string& id, int events);

    /// The body of a submission of items "ID-0", "ID-1" and so on.
    static std::string submission(const std::string& id, int items, int events);
    /// The same with a path for each item.
    static std::string submission(const std::string& id, const std::vector<std::string>& paths, int events);
    /// Submits a job once; the status, or 0 if there was no answer.
    unsigned submit(const std::string& entry, const std::string& id, int items, int events);
    /// The same under a path of its own and with a path for each item.
    unsigned submit(const std::string& entry, const std::string& path, const std::string& id,
        const std::vector<std::string>& itemPaths, int events);
    std::optional<nlohmann::json> results(
        const std::string& entry, const std::string& id, std::size_t after = 0);
    /// Waits for all results; a position that changes or an item that comes twice is an error.
    nlohmann::json allResults(const std::string& entry, const std::string& id, std::size_t items);
    /// Runs of a request or item, as its servers saw them.
    std::vector<nlohmann::json> runsOf(const std::string& id);

    /// Whether the VM is reported to be empty.
    bool reported(const std::string& vm);
    std::string logOf(const std::string& name) const;
    std::string folder() const { return m_folder; }
    unsigned servers() const { return m_servers; }
    /// Keeps the folder with the logs.
    void keepFolder() { m_keep = true; }

    std::map<std::string, process> entries;
    std::map<std::string, process> batches;

private:
    result<http_reply> tryControl(const std::string& path, const std::string& body = "");
    void startPlatform(const platform_layout& layout);
    void write(const std::string& name, const process& one, bool entry) const;

    std::filesystem::path m_folder;
    std::uint16_t m_store = freePort();
    std::uint16_t m_control = freePort();
    std::uint16_t m_proxyControl = freePort();
    std::string m_entryLimits;
    std::string m_batchLimits;
    std::map<std::string, std::uint16_t> m_storeRoutes; ///< Port through which a process reaches the store.
    unsigned m_servers = 0;
    bool m_keep = false;
    std::unique_ptr<child_process> m_platform;
    std::unique_ptr<child_process> m_proxy;
};

} // namespace yuccachute::testing
