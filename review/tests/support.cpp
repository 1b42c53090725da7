#include "support.h"

#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <future>
#include <iomanip>
#include <iostream>
#include <random>
#include <set>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace yuccachute::review {

const std::vector<std::string> zones { "rennes-a", "brest-b", "vannes-c" };
const std::string host = "nony24.example";

namespace {

constexpr std::size_t serverQueue = 24; ///< Requests beyond the slots that a server keeps waiting.
constexpr milliseconds pollInterval { 50 };
constexpr std::uint16_t metricsPort = 9464; ///< Fixed in the templates of the settings.

std::string readFile(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        throw std::runtime_error("cannot read " + path);
    return { std::istreambuf_iterator<char>(file), {} };
}

/// The command of a role in the deploy file.
std::string commandOf(const std::string& role)
{
    std::istringstream lines(readFile("deploy/system.toml"));
    bool inRole = false;
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with('['))
            inRole = line == "[roles." + role + "]";
        if (inRole && line.starts_with("run = \""))
            return line.substr(7, line.rfind('"') - 7);
    }
    throw std::runtime_error("the deploy file has no role " + role);
}

bool isFree(const std::string& ip, std::uint16_t port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const bool free
        = ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0 && ::listen(fd, 1) == 0;
    ::close(fd);
    return free;
}

/// Starts a program with these words and variables; it is killed if this process ends.
pid_t spawn(std::vector<std::string> words, std::vector<std::string> environment, const std::string& log)
{
    const auto pointers = [](std::vector<std::string>& texts) {
        std::vector<char*> all;
        for (auto& text : texts)
            all.push_back(text.data());
        all.push_back(nullptr);
        return all;
    };
    const auto arguments = pointers(words);
    const auto variables = pointers(environment);
    const pid_t parent = ::getpid();
    const pid_t child = ::fork();
    if (child < 0)
        throw std::runtime_error("cannot start a process");
    if (child == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent || !std::freopen(log.c_str(), "a", stdout) || ::dup2(1, 2) < 0)
            ::_exit(126);
        ::execve(arguments.front(), arguments.data(), variables.data());
        ::_exit(127);
    }
    return child;
}

std::string valueOf(const std::map<std::string, std::string>& values, const std::string& name)
{
    const auto found = values.find(name);
    return found == values.end() ? "" : found->second;
}

/// Fills in sections and placeholders of a template as DEPLOY.md describes them, as far as the templates of
/// this project use them.
std::string fillIn(std::string text, const std::map<std::string, std::string>& values)
{
    for (auto begin = text.find("{{#"); begin != std::string::npos; begin = text.find("{{#")) {
        const auto nameEnd = text.find("}}", begin);
        const auto name = text.substr(begin + 3, nameEnd - begin - 3);
        const auto closing = "{{/" + name + "}}";
        const auto end = text.find(closing, nameEnd);
        auto inner = text.substr(nameEnd + 2, end - nameEnd - 2);
        const auto value = valueOf(values, name);
        if (const auto dot = inner.find("{{.}}"); dot != std::string::npos)
            inner.replace(dot, 5, value);
        text.replace(begin, end + closing.size() - begin, value.empty() ? "" : inner);
    }
    for (auto begin = text.find("{{"); begin != std::string::npos; begin = text.find("{{")) {
        const auto end = text.find("}}", begin);
        text.replace(begin, end + 2 - begin, valueOf(values, text.substr(begin + 2, end - begin - 2)));
    }
    return text;
}

std::string base64(const std::string& text)
{
    return standin::encodeBase64(text);
}

} // namespace

record_file::record_file(const std::string& path)
    : m_file(path, std::ios::trunc)
    , m_start(std::chrono::steady_clock::now())
{
    if (!m_file)
        throw std::runtime_error("cannot write " + path);
}

milliseconds record_file::elapsed() const
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - m_start);
}

void record_file::write(const std::string& line)
{
    const auto at = elapsed().count();
    const std::scoped_lock lock(m_mutex);
    m_file << std::setw(7) << at << " ms  " << line << std::endl;
}

// --- Model server

struct model_server::active_request {
    active_request(event_loop& loop, std::shared_ptr<http_exchange> from)
        : caller(std::move(from))
        , timer(loop)
    {
    }

    std::shared_ptr<http_exchange> caller;
    loop_timer timer;
    run_plan plan;
    std::string id;
    int next = 1;
    std::optional<std::size_t> run; ///< Its place among the runs once it has a slot.
    bool begun = false;
    bool gone = false;
};

model_server::model_server(event_loop& loop, standin::platform_store& store, record_file& record,
    std::string service, std::string zone, std::string address, std::size_t slots, bool framed, planner plan)
    : m_loop(loop)
    , m_store(store)
    , m_record(record)
    , m_service(std::move(service))
    , m_zone(std::move(zone))
    , m_address(std::move(address))
    , m_id("i-" + m_service + "-" + m_address)
    , m_slots(slots)
    , m_plan(std::move(plan))
    , m_unlisting(loop)
{
    std::replace(m_id.begin(), m_id.end(), ':', '-');
    http_listener_options options;
    std::tie(options.address, options.port) = splitAddress(m_address);
    options.chunkedResponses = framed;
    m_listener = std::make_unique<http_listener>(
        loop, options, [this](std::shared_ptr<http_exchange> caller) { serve(std::move(caller)); });
    list();
}

void model_server::loseForGood()
{
    constexpr milliseconds threeHeartbeats { 3600 };
    m_record.write("server " + m_id + " is lost for good");
    m_lost = true;
    for (const auto& request : std::set(m_active))
        request->caller->abort();
    m_unlisting.arm(threeHeartbeats, [this] {
        m_store.remove("servers/" + m_id);
        m_record.write("the entry of server " + m_id + " is removed");
    });
}

void model_server::list()
{
    m_store.put("servers/" + m_id,
        { { "service", m_service }, { "address", m_address }, { "zone", m_zone }, { "version", "v1" },
            { "slots", m_slots }, { "state", "ready" }, { "cold_left_ms", 0 }, { "stage", "both" },
            { "models",
                json::array({ { { "name", "m" }, { "version", 1 }, { "adapters", json::array() } } }) },
            { "call_seq", 0 } });
}

void model_server::serve(std::shared_ptr<http_exchange> caller)
{
    if (m_lost)
        return m_unanswered.push_back(std::move(caller));
    const auto& request = caller->request();
    const std::string id(findHeader(request.headers, "Yuccachute-Request-Id"));
    const auto expected = findHeader(request.headers, "Yuccachute-Expect-Instance");
    if (!expected.empty() && expected != m_id)
        return caller->send(
            { 421, { { "Yuccachute-Instance-Id", m_id }, { "Yuccachute-Request-Id", id } }, "" });
    if (request.path == "/report") {
        const json report { { "stage", "both" }, { "busy", false }, { "call_seq", 0 },
            { "waiting", m_waiting.size() }, { "running", m_running }, { "kv_used", 0 },
            { "kv_total", 147261 }, { "handles", 0 } };
        return caller->send({ 200, { { "Content-Type", "application/json" } }, report.dump() });
    }
    if (request.path == "/healthz")
        return caller->send({ 200, { { "Yuccachute-Instance-Id", m_id } }, "" });
    if (id.empty())
        return caller->send({ 400, { { "Yuccachute-Not-Run", "1" } }, "" });
    if (m_running >= m_slots && m_waiting.size() >= serverQueue)
        return caller->send({ 503, { { "Yuccachute-Not-Run", "1" }, { "Yuccachute-Request-Id", id } }, "" });
    auto active = std::make_shared<active_request>(m_loop, caller);
    active->id = id;
    const std::string last(findHeader(request.headers, "Last-Event-Id"));
    active->next = last.empty() ? 1 : std::stoi(last) + 1;
    caller->onCallerGone([this, weak = std::weak_ptr(active)] {
        const auto request = weak.lock();
        if (!request || request->gone)
            return;
        request->gone = true;
        if (request->run)
            end(request, false);
        else
            std::erase(m_waiting, request);
    });
    if (m_running >= m_slots)
        m_waiting.push_back(active);
    else
        begin(active);
}

void model_server::begin(const request_ptr& request)
{
    ++m_running;
    request->plan = m_plan(request->caller->request());
    request->run = m_runs.size();
    m_runs.push_back({ request->id, m_service, m_id, request->caller->request().path, request->plan.status,
        request->next - 1, m_record.elapsed(), milliseconds { 0 }, false });
    m_record.write("server " + m_id + " runs " + request->id + " path " + request->caller->request().path
        + " after event " + std::to_string(request->next - 1));
    const http_headers head { { "Yuccachute-Request-Id", request->id },
        { "Yuccachute-Server-Seal", "seal." + m_id } };
    if (request->plan.status != 200) {
        request->caller->send({ request->plan.status, head, "failed\n" });
        m_record.write(
            "server " + m_id + " answers " + std::to_string(request->plan.status) + " to " + request->id);
        return end(request, true);
    }
    auto streamHead = head;
    streamHead.emplace_back("Content-Type", "text/event-stream");
    request->caller->startStream(200, streamHead, std::nullopt);
    advance(request);
}

void model_server::advance(const request_ptr& request)
{
    const bool first = !std::exchange(request->begun, true);
    request->timer.arm(
        first ? request->plan.firstEvent : request->plan.interval, [this, weak = std::weak_ptr(request)] {
            const auto request = weak.lock();
            if (!request || request->gone)
                return;
            if (request->next > request->plan.events) {
                request->caller->finish();
                return end(request, true);
            }
            const auto number = std::to_string(request->next++);
            m_runs[*request->run].lastEvent = request->next - 1;
            request->caller->write(
                "id: " + number + "\ndata: " + m_service + ":" + request->id + ":" + number + "\n\n");
            advance(request);
        });
    // The timer belongs to the request, so the list of running ones keeps it.
    m_active.insert(request);
}

void model_server::end(const request_ptr& request, bool whole)
{
    auto& run = m_runs[*request->run];
    run.ended = m_record.elapsed();
    run.whole = whole;
    if (!whole)
        m_record.write("server " + m_id + " drops " + request->id + " after event "
            + std::to_string(run.lastEvent) + ": its connection was closed");
    request->gone = true;
    // Posted: this may run within the request's own timer.
    m_loop.post([this, request] {
        m_active.erase(request);
        --m_running;
        if (m_waiting.empty() || m_running >= m_slots)
            return;
        const auto next = m_waiting.front();
        m_waiting.pop_front();
        begin(next);
    });
}

// --- Deployment

deployment::deployment(record_file& record, unsigned entriesPerZone)
    : m_record(record)
{
    std::random_device random;
    const auto pid = static_cast<unsigned>(::getpid());
    m_folder
        = (std::filesystem::temp_directory_path() / ("yuccachute-review-" + std::to_string(pid))).string();
    std::filesystem::create_directories(m_folder);
    m_network = "127." + std::to_string(1 + random() % 250) + '.' + std::to_string(1 + random() % 250) + '.';
    std::uint16_t port = static_cast<std::uint16_t>(12000 + random() % 15000);
    for (auto& one : m_ports) {
        while (!isFree(m_network + "1", port))
            ++port;
        one = port++;
    }
    if (!isFree(m_network + "1", metricsPort))
        throw std::runtime_error("the port for metrics is taken");
    m_storeAddress = newIp() + ':' + std::to_string(m_ports[4]);
    m_store = std::make_unique<standin::platform_store>(m_loop, m_storeAddress);
    for (const auto& zone : zones) {
        for (unsigned i = 1; i <= entriesPerZone; ++i)
            m_machines.push_back(std::make_unique<machine>(
                machine { "edge-" + zone + "-" + std::to_string(i), zone, "entry", newIp() }));
        m_machines.push_back(
            std::make_unique<machine>(machine { "store-" + zone + "-1", zone, "batch", newIp() }));
    }
    m_thread = std::thread([this] { m_loop.run(); });
}

deployment::~deployment()
{
    for (auto& one : m_machines) {
        if (one->pid <= 0)
            continue;
        ::kill(one->pid, SIGKILL);
        ::waitpid(one->pid, nullptr, 0);
    }
    for (const auto& server : m_serverProcesses) {
        if (server.pid <= 0)
            continue;
        ::kill(server.pid, SIGKILL);
        ::waitpid(server.pid, nullptr, 0);
    }
    m_loop.stop();
    m_thread.join();
    if (!std::getenv("KEEP_LOGS"))
        std::filesystem::remove_all(m_folder);
    else
        std::cerr << "logs are in " << m_folder << '\n';
}

std::string deployment::newIp()
{
    return m_network + std::to_string(m_nextHost++);
}

void deployment::onLoop(const std::function<void()>& work)
{
    std::promise<void> done;
    m_loop.post([&] {
        work();
        done.set_value();
    });
    done.get_future().wait();
}

void deployment::addServers(const std::string& service, std::size_t perZone, std::size_t slots,
    const model_server::planner& plan, bool framed)
{
    onLoop([&] {
        for (const auto& zone : zones) {
            for (std::size_t i = 0; i < perZone; ++i)
                m_servers.push_back(std::make_unique<model_server>(m_loop, *m_store, m_record, service, zone,
                    newIp() + ':' + std::to_string(m_ports[5]), slots, framed, plan));
        }
    });
}

void deployment::startServerProcesses(
    const std::string& service, std::size_t perZone, std::size_t slots, int events)
{
    for (const auto& zone : zones) {
        for (std::size_t i = 0; i < perZone; ++i) {
            const auto address = newIp() + ':' + std::to_string(m_ports[5]);
            server_process one { "i-" + std::to_string(m_serverProcesses.size() + 1), "", -1 };
            one.log = m_folder + '/' + one.id + ".log";
            one.pid = spawn({ "review/out/server_process", address, one.id, service, std::to_string(slots),
                                std::to_string(events) },
                {}, one.log);
            m_serverProcesses.push_back(one);
            onLoop([&] {
                m_store->put("servers/" + one.id,
                    { { "service", service }, { "address", address }, { "zone", zone }, { "version", "v1" },
                        { "slots", slots }, { "state", "ready" }, { "cold_left_ms", 0 }, { "call_seq", 0 } });
            });
        }
    }
}

void deployment::killServer(server_process& server)
{
    constexpr milliseconds threeHeartbeats { 3600 };
    m_record.write("SIGKILL to the process of server " + server.id);
    ::kill(server.pid, SIGKILL);
    ::waitpid(server.pid, nullptr, 0);
    server.pid = -1;
    onLoop([&] {
        m_unlisting.emplace_back(m_loop).arm(threeHeartbeats, [this, id = server.id] {
            m_store->remove("servers/" + id);
            m_record.write("the entry of server " + id + " is removed");
        });
    });
}

void deployment::recordServerLogs()
{
    for (const auto& server : m_serverProcesses) {
        std::ifstream file(server.log);
        for (std::string line; std::getline(file, line);)
            m_record.write("log of server " + server.id + ": " + line);
    }
}

std::vector<server_run> deployment::runs()
{
    std::vector<server_run> all;
    onLoop([&] {
        for (const auto& server : m_servers)
            all.insert(all.end(), server->runs().begin(), server->runs().end());
    });
    std::sort(
        all.begin(), all.end(), [](const auto& left, const auto& right) { return left.began < right.began; });
    return all;
}

milliseconds deployment::configure(const json& configuration)
{
    onLoop([&] { m_store->put("op/config", configuration); });
    m_record.write("operator: configuration " + configuration.at("version").dump() + " acknowledged; routes "
        + configuration.at("routes").dump());
    return m_record.elapsed();
}

std::string deployment::render(const machine& one, const std::string& file) const
{
    const auto at = [&](std::size_t port) { return one.ip + ':' + std::to_string(m_ports.at(port)); };
    std::string seeds;
    for (const auto& other : m_machines) {
        const bool first = other->role == "entry" && other->name.ends_with("-1");
        if (first)
            seeds += (seeds.empty() ? "" : ",") + other->ip + ':' + std::to_string(m_ports[2]);
    }
    const bool entry = one.role == "entry";
    return fillIn(readFile(file),
        { { "node_name", one.name }, { "zone", one.zone }, { "ip", one.ip }, { "bounds.grace_s", "8" },
            { "bounds.status_s", "120" }, { "bounds.quota_overshoot", "0.1" }, { "listen.front", at(0) },
            { "listen.ready", at(1) }, { "listen.control", at(2) },
            { "port_range.0", std::to_string(m_ports[3]) }, { "seeds", seeds },
            { "platform.address", m_storeAddress }, { "platform.value_bytes", "1048576" },
            { "limits.cpu_share", entry ? "0.25" : "0.5" }, { "limits.max_fds", entry ? "4200" : "8200" } });
}

void deployment::start(machine& one)
{
    const auto settings = m_folder + "/" + one.name + ".ini";
    std::ofstream(settings) << render(one, "deploy/" + one.role + ".ini");
    const auto command = commandOf(one.role);
    const auto log = m_folder + "/" + one.name + ".log";
    one.pid = spawn({ command }, { "YUCCACHUTE_CONFIG=" + settings }, log);
    m_record.write("start of " + command + " on " + one.name);
}

std::vector<machine*> deployment::machines(const std::string& role)
{
    std::vector<machine*> found;
    for (auto& one : m_machines) {
        if (one->role == role)
            found.push_back(one.get());
    }
    return found;
}

std::string deployment::front(const machine& entry) const
{
    return entry.ip + ':' + std::to_string(m_ports[0]);
}

result<http_reply> deployment::call(const machine& entry, const std::string& method,
    const std::string& target, const http_headers& headers, const std::string& body, milliseconds limit)
{
    http_request request;
    request.method = method;
    request.target = target;
    request.headers = headers;
    request.headers.emplace_back("Host", host);
    request.body = body;
    http_call_options options;
    options.deadline = std::chrono::steady_clock::now() + limit;
    return httpCall(front(entry), request, options);
}

bool deployment::ready(const machine& entry)
{
    http_request request;
    request.target = "/readyz";
    http_call_options options;
    options.deadline = std::chrono::steady_clock::now() + milliseconds { 500 };
    const auto reply = httpCall(entry.ip + ':' + std::to_string(m_ports[1]), request, options);
    return reply && reply.value().status == 200;
}

void deployment::startAll()
{
    for (auto& one : m_machines)
        start(*one);
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds { 20 };
    const auto wait = [&](const std::string& what, const std::function<bool()>& condition) {
        while (!condition()) {
            if (std::chrono::steady_clock::now() > limit)
                throw std::runtime_error(what);
            std::this_thread::sleep_for(pollInterval);
        }
    };
    for (auto* entry : machines("entry")) {
        wait(entry->name + " is not ready", [&] { return ready(*entry); });
        wait(entry->name + " reaches no batch process", [&] {
            const auto reply = call(*entry, "GET", "/lots/0?after=0", {}, "", milliseconds { 2000 });
            return reply && reply.value().status == 404;
        });
    }
    // Within contact_ms of its start no machine is in touch.
    std::this_thread::sleep_for(std::chrono::seconds { 4 });
    m_record.write("all machines serve");
}

// --- Documents and clients

json routeOf(const std::string& name, const std::string& prefix, const std::string& kind,
    const std::string& service, const json& more)
{
    json route { { "name", name }, { "host", host }, { "prefix", prefix }, { "kind", kind },
        { "timeout_ms", 5000 }, { "target_latency_ms", 300 }, { "priority", 0 }, { "service", service },
        { "max_attempts", 1 }, { "sticky", true } };
    route.update(more);
    return route;
}

json configurationOf(int version, const json& routes, const std::vector<std::string>& services)
{
    auto described = json::array();
    for (const auto& service : services)
        described.push_back(
            { { "name", service }, { "health_path", "/healthz" }, { "max_conns", 360 }, { "protocol", "h1" },
                { "tls", false }, { "engine", { { "slots", 8 }, { "kv_capacity_tokens", 147261 } } } });
    return { { "version", version }, { "routes", routes }, { "services", described },
        { "limits",
            { { "max_header_bytes", 16384 }, { "max_body_bytes", 4194304 }, { "header_timeout_ms", 3000 },
                { "idle_timeout_ms", 15000 } } } };
}

std::string submissionOf(const std::vector<batch_item>& items)
{
    auto list = json::array();
    for (const auto& item : items)
        list.push_back({ { "id", item.id }, { "path", item.path },
            { "headers",
                { { "Yuccachute-Model", "m" }, { "Yuccachute-Token-Count", "540,400" },
                    { "Yuccachute-Prompt-Prefix", "9c2e41:300," + item.id + ":240" } } },
            { "body", base64("prompt of " + item.id) }, { "tokens", 940 } });
    return json { { "items", list } }.dump();
}

bool submit(deployment& system, record_file& record, const std::string& jobId, const std::string& path,
    const std::string& body)
{
    const auto entries = system.machines("entry");
    constexpr unsigned maxAttempts = 20;
    for (unsigned attempt = 0; attempt < maxAttempts; ++attempt) {
        const auto& entry = *entries[attempt % entries.size()];
        const auto reply = system.call(entry, "POST", path,
            { { "Yuccachute-Request-Id", jobId }, { "Content-Type", "application/json" },
                { "Yuccachute-Deadline-Ms", "4000" } },
            body, milliseconds { 4000 });
        const auto status = reply ? reply.value().status : 0;
        record.write("client: batch job " + jobId + " sent to " + entry.name + ", answer "
            + (reply ? std::to_string(status) : reply.error().message));
        if (status == 202)
            return true;
        std::this_thread::sleep_for(milliseconds { 300 });
    }
    return false;
}

std::map<std::string, std::string> readResults(deployment& system, record_file& record,
    const std::string& jobId, std::size_t total, milliseconds limit,
    std::map<std::string, std::string>* texts)
{
    std::map<std::string, std::string> states;
    const auto entries = system.machines("entry");
    const auto until = std::chrono::steady_clock::now() + limit;
    std::size_t after = 0;
    for (unsigned attempt = 0; states.size() < total && std::chrono::steady_clock::now() < until; ++attempt) {
        const auto& entry = *entries[attempt % entries.size()];
        const auto reply = system.call(entry, "GET", "/lots/" + jobId + "?after=" + std::to_string(after), {},
            "", milliseconds { 2500 });
        if (reply && reply.value().status == 200) {
            const auto page = json::parse(reply.value().body);
            for (const auto& listed : page.at("results")) {
                const auto state = listed.at("state").get<std::string>();
                states[listed.at("id")] = state;
                const auto text = listed.at("text").get<std::string>();
                if (texts)
                    (*texts)[listed.at("id")] = text;
                record.write("client: batch job " + jobId + " lists item "
                    + listed.at("id").get<std::string>() + " as " + state
                    + (text.empty() ? "" : ", text begins " + text.substr(0, text.find('\n'))));
            }
            after = page.at("next");
        }
        std::this_thread::sleep_for(milliseconds { 250 });
    }
    return states;
}

bool withTrouble()
{
    const char* trouble = std::getenv("TROUBLE");
    return !trouble || std::string(trouble) != "0";
}

int runCase(int argc, char** argv, const std::function<int(record_file&)>& body)
{
    if (argc != 2) {
        std::cerr << "usage: " << argv[0] << " RECORD-FILE\n";
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    try {
        record_file record(argv[1]);
        try {
            const int code = body(record);
            record.write(code == 0 ? "RESULT: the rule held"
                    : code == 1    ? "RESULT: the rule was broken"
                                   : "RESULT: the case could not run");
            std::cout << (code == 0 ? "held" : code == 1 ? "broken" : "could not run") << '\n';
            return code;
        } catch (const std::exception& error) {
            record.write(std::string("RESULT: the case could not run: ") + error.what());
            throw;
        }
    } catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
}

} // namespace yuccachute::review
