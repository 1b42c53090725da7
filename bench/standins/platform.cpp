// Stand-in of the users' platform for integration tests: its store, and model servers that list themselves
// there. A control port injects faults and tells what the servers have run.

#include "platform_store.h"

#include <iostream>
#include <sstream>

using namespace yuccachute;
using namespace yuccachute::standin;
using nlohmann::json;

namespace {

/// Requests that wait for a slot; more are refused.
constexpr std::size_t queueLength = 24;
const std::string firstService = "llm";
const std::string firstVersion = "v1";

/// What the servers have run, for checks.
struct run_record {
    std::string id;
    std::string server;
    std::string lastEvent;
    bool finished = false;
    std::int64_t beganMs = 0; ///< By the steady clock, which all processes of a machine share.
    std::int64_t reachedMs = 0; ///< When the request arrived, by the same clock.
    bool endedServer = false; ///< Its server crashed under it.
    std::string customer; ///< As it was named to the server.
    std::string version; ///< Software version of the server.
    bool keyPassed = false; ///< The caller's key came along.
    bool deadly = false; ///< It crashes each server that begins to run it.
    std::string path = {};
    std::string service = {}; ///< Service that the server belongs to.
    unsigned status = 200;
};

std::int64_t steadyMs()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

/// Requests that crash each server which begins to run them.
struct deadly_requests {
    std::string mark; ///< Their bodies contain it; empty for none.
    /// Their prompts contain one of these parts, and not as the last one.
    std::vector<std::string> parts;
    milliseconds after { 50 }; ///< From their beginning to the crash.
    milliseconds back { 2000 }; ///< From the crash to the server's next start.
    int ends = 0; ///< Each request crashes so many servers, and runs on the next one; 0 for no limit.
    bool liveOnly = false; ///< Items of jobs crash none, whatever their prompts contain.
};

const std::string itemPaths = "/jobs/";

std::vector<std::string> split(const std::string& text, char separator)
{
    std::vector<std::string> pieces;
    std::stringstream stream(text);
    for (std::string piece; std::getline(stream, piece, separator);)
        pieces.push_back(piece);
    return pieces;
}

/// Parts of a prompt that other requests may share: the names of all but the last.
std::vector<std::string> sharedParts(const std::string& prompt)
{
    auto parts = split(prompt, ',');
    if (!parts.empty())
        parts.pop_back();
    for (auto& part : parts)
        part = part.substr(0, part.find(':'));
    return parts;
}

bool isDeadly(const deadly_requests& deadly, const http_request& request)
{
    if (!deadly.mark.empty() && request.body.str().find(deadly.mark) != std::string::npos)
        return true;
    const auto parts = sharedParts(std::string(findHeader(request.headers, "Yuccachute-Prompt-Prefix")));
    return std::any_of(parts.begin(), parts.end(), [&](const auto& part) {
        return std::find(deadly.parts.begin(), deadly.parts.end(), part) != deadly.parts.end();
    });
}

/// After a crash a server's entry stays in the list for three missed heartbeats.
constexpr milliseconds entryLapsesAfter { 3600 };

class model_server {
public:
    model_server(event_loop& loop, platform_store& store, std::vector<run_record>& runs,
        const deadly_requests& deadly, std::string zone, std::string address, std::string listedAddress,
        unsigned slots, milliseconds eventInterval)
        : m_loop(loop)
        , m_store(store)
        , m_runs(runs)
        , m_deadly(deadly)
        , m_zone(std::move(zone))
        , m_address(std::move(address))
        , m_listedAddress(std::move(listedAddress))
        , m_slots(slots)
        , m_interval(eventInterval)
        , m_lapse(loop)
        , m_restart(loop)
        , m_exit(loop)
        , m_listing(loop)
        , m_ticker(loop, m_interval, [this] { tick(); })
    {
        start();
    }

    /// Changes the software version, from the next start on.
    void setVersion(std::string version) { m_nextVersion = std::move(version); }
    /// Changes the service, from the next start on.
    void setService(std::string service) { m_service = std::move(service); }
    /// Answers requests whose path contains this text with a failure; empty for none.
    void failPaths(std::string text, unsigned status)
    {
        m_failingPaths = std::move(text);
        m_failureStatus = status;
    }

    void start()
    {
        // It may have started again after a crash already.
        m_restart.cancel();
        if (std::exchange(m_listener, nullptr))
            unlist();
        ++m_starts;
        m_version = m_nextVersion;
        if (!m_keepId)
            m_id = "i-" + m_address.substr(m_address.rfind(':') + 1) + "-" + std::to_string(m_starts);
        m_born = std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
                     .count();
        http_listener_options options;
        const auto colon = m_address.rfind(':');
        options.address = m_address.substr(0, colon);
        options.port = static_cast<std::uint16_t>(std::stoi(m_address.substr(colon + 1)));
        options.chunkedResponses = !m_endByClose;
        m_listener = std::make_unique<http_listener>(
            m_loop, options, [this](auto caller) { serve(std::move(caller)); });
        if (m_listedAfter.count() == 0)
            list("ready");
        else
            m_listing.arm(m_listedAfter, [this] { list("ready"); });
    }

    void crash()
    {
        m_running.clear();
        m_listener.reset();
    }

    /// Crashes, and comes back later under another id.
    void crashFor(milliseconds time)
    {
        if (!m_listener)
            return;
        crash();
        if (!m_keepId)
            m_lapse.arm(entryLapsesAfter, [this, id = m_id] { m_store.remove("servers/" + id); });
        m_restart.arm(time, [this] { start(); });
    }

    /// Its process ends, which closes its connections, and from then on its machine does not respond. Its
    /// entry lapses.
    void lose()
    {
        closeConnections();
        m_dark = true;
        m_lapse.arm(entryLapsesAfter, [this, id = m_id] { m_store.remove("servers/" + id); });
    }

    /// Its process ends in order: its connections are closed, and new ones refused.
    void exit()
    {
        closeConnections();
        m_exit.arm(milliseconds { 0 }, [this] { m_listener.reset(); });
    }

    /// Its process ends in order, which closes its connections, and starts again at once.
    void restart()
    {
        closeConnections();
        m_exit.arm(milliseconds { 0 }, [this] {
            m_listener.reset();
            start();
        });
    }

    /// From now on the server keeps its id across starts, reports the time of its start, and is listed this
    /// long after a start.
    void keepId(milliseconds listedAfter)
    {
        m_keepId = true;
        list("ready");
        m_listedAfter = listedAfter;
    }

    void setFirstEventAfter(milliseconds time) { m_firstEventAfter = time; }
    void drain() { list("draining"); }
    void unlist() { m_store.remove("servers/" + m_id); }
    void setDark(bool dark) { m_dark = dark; }
    /// Breaks off each answer to requests whose id begins so.
    void cutAnswersTo(std::string id) { m_cutId = std::move(id); }
    /// Breaks off each answer of so many in its middle; 0 for none.
    void cutEach(unsigned answers) { m_cutEach = answers; }
    /// Whether streams end with their connection, without length and chunks. Starts the server anew.
    void setEndByClose(bool endByClose)
    {
        m_endByClose = endByClose;
        m_store.remove("servers/" + m_id);
        crash();
        start();
    }
    const std::string& id() const { return m_id; }
    std::size_t running() const { return m_running.size(); }
    const std::string& version() const { return m_version; }

private:
    struct stream {
        std::shared_ptr<http_exchange> caller;
        std::shared_ptr<bool> gone;
        run_record run;
        std::optional<std::size_t> begun; ///< Its place among the runs, once it has a slot.
        std::string id;
        int next = 1;
        int last = 0;
        int cutAt = 0; ///< Event before which the answer is broken off; 0 for never.
        steady_time from;
        steady_time endsServerAt = steady_time::max();
        bool deadly = false;
        bool finished = false;
    };

    void closeConnections()
    {
        for (auto& one : m_running) {
            if (!*one.gone)
                one.caller->finish();
        }
        m_running.clear();
    }

    void list(const std::string& state)
    {
        json entry { { "service", m_service }, { "address", m_listedAddress }, { "zone", m_zone },
            { "version", m_version }, { "slots", m_slots }, { "state", state }, { "cold_left_ms", 0 },
            { "call_seq", 0 } };
        if (m_keepId)
            entry["born"] = m_born;
        m_store.put("servers/" + m_id, entry);
    }

    void serve(std::shared_ptr<http_exchange> caller)
    {
        const auto& headers = caller->request().headers;
        const std::string id(findHeader(headers, "Yuccachute-Request-Id"));
        const auto expected = findHeader(headers, "Yuccachute-Expect-Instance");
        if (!expected.empty() && expected != m_id)
            return caller->send({ 421, { { "Yuccachute-Instance-Id", m_id } }, "" });
        if (m_dark) {
            m_silent.push_back(std::move(caller));
            return;
        }
        if (caller->request().path == "/report")
            return caller->send({ 200, { { "Content-Type", "application/json" } }, report().dump() });
        if (!m_cutId.empty() && id.starts_with(m_cutId)) {
            caller->startStream(200, { { "Yuccachute-Request-Id", id } }, std::nullopt);
            return caller->abort();
        }
        if (m_running.size() >= m_slots + queueLength)
            return caller->send(
                { 503, { { "Yuccachute-Not-Run", "1" }, { "Yuccachute-Request-Id", id } }, "" });
        run_record run { id, m_id, std::string(findHeader(headers, "Last-Event-Id")), false, 0, steadyMs(),
            false, std::string(findHeader(headers, "Yuccachute-Tenant")), m_version,
            !findHeader(headers, "Api-Key").empty() };
        run.path = caller->request().path;
        run.service = m_service;
        const http_headers head { { "Yuccachute-Request-Id", id },
            { "Yuccachute-Server-Seal", "seal-" + m_id } };
        if (!m_failingPaths.empty() && run.path.find(m_failingPaths) != std::string::npos) {
            run.beganMs = steadyMs();
            run.status = m_failureStatus;
            m_runs.push_back(run);
            return caller->send({ m_failureStatus, head, "" });
        }
        if (caller->request().method == "GET") {
            m_runs.push_back(run);
            m_runs.back().beganMs = steadyMs();
            m_runs.back().finished = true;
            return caller->send({ 200, head, "plain " + id });
        }
        stream one;
        one.caller = caller;
        one.gone = std::make_shared<bool>(false);
        caller->onCallerGone([gone = one.gone] { *gone = true; });
        one.run = run;
        one.id = id;
        const std::string tokens(findHeader(headers, "Yuccachute-Token-Count"));
        one.last = std::stoi(tokens.substr(tokens.find(',') + 1));
        one.deadly = isDeadly(m_deadly, caller->request()) && mayEndServer(one.run);
        one.run.deadly = one.deadly;
        if (!run.lastEvent.empty())
            one.next = std::stoi(run.lastEvent) + 1;
        if (m_cutEach != 0 && ++m_answers % m_cutEach == 0)
            one.cutAt = (one.next + one.last) / 2;
        auto streamHead = head;
        streamHead.emplace_back("Content-Type", "text/event-stream");
        caller->startStream(200, streamHead, std::nullopt);
        m_running.push_back(std::move(one));
    }

    /// Load as of now; it needs no slot.
    json report() const
    {
        auto runs = json::array();
        const auto running = std::min<std::size_t>(m_running.size(), m_slots);
        for (std::size_t i = 0; i < running; ++i)
            runs.push_back({ m_running[i].id, 0, m_running[i].next - 1, 0 });
        json report { { "running", running }, { "waiting", m_running.size() - running },
            { "runs", std::move(runs) } };
        if (m_keepId)
            report["born"] = m_born;
        return report;
    }

    void tick()
    {
        const auto now = std::chrono::steady_clock::now();
        for (std::size_t i = 0; i < std::min<std::size_t>(m_running.size(), m_slots); ++i) {
            if (!*m_running[i].gone && !m_dark)
                advance(m_running[i], now);
        }
        endUnderDeadly(now);
        std::erase_if(m_running, [](const auto& one) { return *one.gone || one.finished; });
    }

    /// Whether a request that crashes servers crashes this one too.
    bool mayEndServer(const run_record& run) const
    {
        if (m_deadly.liveOnly && run.path.starts_with(itemPaths))
            return false;
        const auto ended = std::count_if(m_runs.begin(), m_runs.end(),
            [&](const auto& earlier) { return earlier.id == run.id && earlier.endedServer; });
        return m_deadly.ends == 0 || ended < m_deadly.ends;
    }

    /// The server crashes if a request that does so has run for long enough.
    void endUnderDeadly(steady_time now)
    {
        const auto found = std::find_if(m_running.begin(), m_running.end(),
            [&](const auto& one) { return now >= one.endsServerAt && !*one.gone; });
        if (found == m_running.end())
            return;
        m_runs[*found->begun].endedServer = true;
        found->caller->write("id: 1\nda"); // It had begun to write the answer.
        m_loop.post([this] { crashFor(m_deadly.back); });
    }

    /// One step of a request that has a slot.
    void advance(stream& one, steady_time now)
    {
        if (!one.begun) {
            one.begun = m_runs.size();
            m_runs.push_back(one.run);
            m_runs.back().beganMs = steadyMs();
            one.from = now + m_firstEventAfter;
            if (one.deadly)
                one.endsServerAt = now + m_deadly.after;
        }
        if (now < one.from || one.deadly)
            return;
        if (one.cutAt != 0 && one.next == one.cutAt) {
            one.finished = true;
            return one.caller->abort();
        }
        if (one.next <= one.last) {
            const auto number = std::to_string(one.next++);
            one.caller->write("id: " + number + "\ndata: " + one.id + "-" + number + originMark() + "\n\n");
        }
        if (one.next > one.last) {
            m_runs[*one.begun].finished = true;
            one.finished = true;
            one.caller->finish();
        }
    }

    /// Names the version and the service in each event, unless they are the first ones.
    std::string originMark() const
    {
        return (m_version == firstVersion ? "" : "@" + m_version)
            + (m_service == firstService ? "" : "#" + m_service);
    }

    event_loop& m_loop;
    platform_store& m_store;
    std::vector<run_record>& m_runs;
    const deadly_requests& m_deadly;
    std::string m_zone;
    std::string m_address;
    std::string m_listedAddress; ///< Where callers reach it; a proxy may stand there.
    unsigned m_slots;
    milliseconds m_interval;
    std::string m_id;
    int m_starts = 0;
    std::string m_version;
    std::string m_nextVersion = firstVersion;
    std::string m_service = firstService;
    std::string m_failingPaths;
    unsigned m_failureStatus = 500;
    milliseconds m_firstEventAfter { 10 };
    bool m_dark = false;
    bool m_keepId = false;
    std::int64_t m_born = 0; ///< Unix time of the start in milliseconds.
    milliseconds m_listedAfter { 0 };
    bool m_endByClose = false;
    std::string m_cutId;
    unsigned m_cutEach = 0;
    unsigned m_answers = 0;
    std::vector<stream> m_running;
    std::vector<std::shared_ptr<http_exchange>> m_silent;
    std::unique_ptr<http_listener> m_listener;
    loop_timer m_lapse;
    loop_timer m_restart;
    loop_timer m_exit;
    loop_timer m_listing;
    loop_ticker m_ticker;
};

/// Customers as "NAME:RATE:BURST:KEY;KEY", separated by commas.
json customersOf(const std::string& text)
{
    auto customers = json::array();
    std::stringstream list(text);
    for (std::string one; std::getline(list, one, ',');) {
        std::stringstream fields(one);
        std::string name;
        std::string rate;
        std::string burst;
        std::getline(fields, name, ':');
        std::getline(fields, rate, ':');
        std::getline(fields, burst, ':');
        auto keys = json::array();
        for (std::string key; std::getline(fields, key, ';');)
            keys.push_back(key);
        customers.push_back({ { "name", name }, { "rate_per_s", std::stod(rate) },
            { "burst", std::stod(burst) }, { "api_keys", keys } });
    }
    return customers;
}

/// With a route "/stepN/" for each step up to the given one, by which callers tell how far a process is.
json configuration(std::int64_t version, int timeoutMs, bool extraRoute, int steps)
{
    const auto routeOf = [&](std::string name, std::string prefix, std::string kind, json more) {
        json route { { "name", name }, { "host", "test.example" }, { "prefix", prefix }, { "kind", kind },
            { "timeout_ms", timeoutMs }, { "target_latency_ms", 300 }, { "priority", 0 },
            { "service", firstService }, { "max_attempts", 2 } };
        route.update(more);
        return route;
    };
    auto routes = json::array({ routeOf("resumable", "/resumable/", "streaming", { { "resumable", true } }),
        routeOf("once", "/once/", "streaming", { { "resumable", false } }),
        routeOf("plain", "/plain/", "safe", json::object()),
        routeOf("unsafe", "/unsafe/", "unsafe", json::object()),
        routeOf("jobs", "/jobs/", "batch",
            { { "result_due_ms", 18000 }, { "expiry_s", 60 }, { "max_attempts", 3 },
                { "timeout_ms", 15000 } }) });
    for (int step = 1; step <= steps; ++step) {
        const auto name = "step" + std::to_string(step);
        routes.push_back(routeOf(name, "/" + name + "/", "safe", json::object()));
    }
    if (extraRoute)
        routes.push_back(routeOf("extra", "/extra/", "safe", json::object()));
    return { { "version", version }, { "routes", routes },
        { "services", json::array({ { { "name", firstService }, { "engine", { { "slots", 4 } } } } }) },
        { "limits",
            { { "max_header_bytes", 16384 }, { "max_body_bytes", 100000 }, { "header_timeout_ms", 3000 },
                { "idle_timeout_ms", 15000 } } } };
}

class platform {
public:
    platform(event_loop& loop, const std::string& address, const std::string& control)
        : m_loop(loop)
        , m_store(loop, address)
    {
        http_listener_options options;
        const auto colon = control.rfind(':');
        options.address = control.substr(0, colon);
        options.port = static_cast<std::uint16_t>(std::stoi(control.substr(colon + 1)));
        m_control = std::make_unique<http_listener>(loop, options, [this](auto caller) {
            caller->send({ 200, { { "Content-Type", "application/json" } }, command(*caller).dump() });
        });
        m_store.put("op/config", configuration(m_version, 5000, false, 0));
    }

    void addServer(std::string zone, const std::string& address, const std::string& listedAddress,
        unsigned slots, milliseconds interval)
    {
        m_servers.push_back(std::make_unique<model_server>(
            m_loop, m_store, m_runs, m_deadly, std::move(zone), address, listedAddress, slots, interval));
    }

private:
    json command(http_exchange& caller)
    {
        const auto& request = caller.request();
        const auto value = [&](const char* name) { return queryParameter(request.query, name); };
        const auto number = [&](const char* name) {
            const auto text = value(name);
            return text.empty() ? 0 : std::stoi(text);
        };
        if (request.path == "/store") {
            auto& faults = m_store.faults;
            faults.down = number("down") != 0;
            faults.busy = number("busy") != 0;
            faults.lapse = number("lapse") != 0;
            faults.delayMs = number("delay");
            faults.silentPrefix = value("silent");
            faults.loseAnswers = number("lose_percent") / 100.0;
            faults.executeLaterMs = number("later");
            if (number("revoke") != 0)
                m_store.revokeAll();
            if (number("compact") != 0)
                m_store.compact();
        }
        if (request.path == "/config") {
            ++m_version;
            // A body holds the routes and services of a configuration of the test's own.
            auto next = request.body.empty()
                ? configuration(m_version, number("timeout"), number("extra") != 0, number("steps"))
                : json::parse(request.body.str());
            next["version"] = m_version;
            if (const auto maxBody = number("max_body"); maxBody != 0)
                next["limits"]["max_body_bytes"] = maxBody;
            if (const auto customers = value("customers"); !customers.empty())
                next["tenants"] = customersOf(customers);
            m_store.put("op/config", next);
            return { { "version", m_version } };
        }
        if (request.path == "/order")
            m_store.put(value("key"), { { "duration_s", 10 } });
        if (request.path == "/cut") {
            for (auto& server : m_servers)
                server->cutAnswersTo(value("id"));
        }
        if (request.path == "/fail") {
            for (auto& server : m_servers)
                server->failPaths(value("paths"), static_cast<unsigned>(number("status")));
        }
        if (request.path == "/deadly")
            m_deadly = { value("mark"), split(value("parts"), ','), milliseconds { number("after") },
                milliseconds { number("back") }, number("ends"), number("live_only") != 0 };
        if (request.path == "/put")
            m_store.put(value("key"), json::parse(request.body.str()));
        if (request.path == "/put_raw")
            m_store.putBytes(value("key"), request.body.str());
        if (request.path == "/remove")
            m_store.remove(value("key"));
        if (request.path == "/key")
            return m_store.get(value("key"));
        if (request.path == "/server") {
            auto& server = *m_servers.at(static_cast<std::size_t>(number("number")));
            const auto what = value("do");
            if (what == "crash")
                server.crash();
            if (what == "crash_for")
                server.crashFor(milliseconds { number("ms") });
            if (what == "cut_each")
                server.cutEach(static_cast<unsigned>(number("answers")));
            if (what == "end_by_close")
                server.setEndByClose(number("on") != 0);
            if (const auto version = value("version"); !version.empty())
                server.setVersion(version);
            if (const auto service = value("service"); !service.empty())
                server.setService(service);
            if (what == "start")
                server.start();
            if (what == "exit")
                server.exit();
            if (what == "lose")
                server.lose();
            if (what == "restart")
                server.restart();
            if (what == "keep_id")
                server.keepId(milliseconds { number("listed_after") });
            if (what == "first_event")
                server.setFirstEventAfter(milliseconds { number("ms") });
            if (what == "drain")
                server.drain();
            if (what == "unlist")
                server.unlist();
            if (what == "dark")
                server.setDark(number("on") != 0);
            return { { "id", server.id() }, { "running", server.running() },
                { "version", server.version() } };
        }
        auto runs = json::array();
        for (const auto& run : m_runs)
            runs.push_back({ { "id", run.id }, { "server", run.server }, { "last", run.lastEvent },
                { "finished", run.finished }, { "version", run.version }, { "ended_server", run.endedServer },
                { "deadly", run.deadly }, { "began_ms", run.beganMs }, { "reached_ms", run.reachedMs },
                { "customer", run.customer }, { "key_passed", run.keyPassed }, { "path", run.path },
                { "service", run.service }, { "status", run.status } });
        return { { "runs", runs }, { "calls", m_store.calls() },
            { "open", m_store.count("yuccachute/open/") },
            { "nodes", m_store.count("yuccachute/node/entry/") + m_store.count("yuccachute/node/batch/") } };
    }

    event_loop& m_loop;
    platform_store m_store;
    std::int64_t m_version = 3;
    std::vector<run_record> m_runs;
    deadly_requests m_deadly;
    std::vector<std::unique_ptr<model_server>> m_servers;
    std::unique_ptr<http_listener> m_control;
};

} // namespace

// Usage: standin-platform STORE CONTROL EVENT-MS SLOTS [ZONE=ADDRESS[@LISTED] ...]
int main(int argc, char** argv)
{
    if (argc < 5) {
        std::cerr << "usage: standin-platform STORE CONTROL EVENT-MS SLOTS [ZONE=ADDRESS[@LISTED] ...]\n";
        return 2;
    }
    event_loop loop;
    platform stand(loop, argv[1], argv[2]);
    for (int i = 5; i < argc; ++i) {
        const std::string text = argv[i];
        const auto equals = text.find('=');
        const auto address = text.substr(equals + 1);
        const auto at = address.find('@');
        stand.addServer(text.substr(0, equals), address.substr(0, at),
            at == std::string::npos ? address : address.substr(at + 1),
            static_cast<unsigned>(std::stoi(argv[4])), milliseconds { std::stoi(argv[3]) });
    }
    loop.run();
    return 0;
}
