#include "harness.h"

#include "ini/ini.h"
#include "messages/messages.h"
#include "settings/settings.h"

#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <set>
#include <spawn.h>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

extern char** environ;

namespace yuccachute::testing {

namespace {

constexpr milliseconds pollInterval { 20 };
const std::string binaries = YUCCACHUTE_BINARIES;

void require(bool condition, const std::string& message)
{
    if (!condition)
        throw std::runtime_error(message);
}

/// The settings must name an engine's slots when they are not the default.
std::string slotsLine(const std::vector<std::string>& flags)
{
    const auto found = std::find(flags.begin(), flags.end(), "--slots");
    return found == flags.end() ? "" : "\nslots = " + *std::next(found);
}

std::string local(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

bool listens(std::uint16_t port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    const bool connected = ::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    ::close(fd);
    return connected;
}

} // namespace

child_process::child_process(
    const std::string& program, const std::vector<std::string>& arguments, const std::string& logFile)
{
    std::vector<std::string> words { program };
    words.insert(words.end(), arguments.begin(), arguments.end());
    std::vector<char*> pointers;
    for (auto& word : words)
        pointers.push_back(word.data());
    pointers.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, 2, logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, 2, 1);
    const int failed
        = posix_spawn(&m_id, (binaries + '/' + program).c_str(), &actions, nullptr, pointers.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0)
        throw std::runtime_error("cannot start " + program);
}

child_process::~child_process()
{
    if (!running())
        return;
    ::kill(m_id, SIGKILL);
    ::kill(m_id, SIGCONT);
    wait();
}

void child_process::signal(int number) const
{
    if (!m_ended)
        ::kill(m_id, number);
}

int child_process::wait()
{
    if (m_ended)
        return m_code;
    int status = 0;
    ::waitpid(m_id, &status, 0);
    m_ended = true;
    m_code = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    return m_code;
}

bool child_process::running()
{
    if (m_ended)
        return false;
    int status = 0;
    if (::waitpid(m_id, &status, WNOHANG) == 0)
        return true;
    m_ended = true;
    m_code = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    return false;
}

namespace {

/// Below the range that outgoing connections take their ports from, and apart for each test program.
std::uint16_t firstPort()
{
    return static_cast<std::uint16_t>(11000 + ::getpid() % 200 * 100);
}

std::uint16_t nextPort = firstPort();

} // namespace

void reuseFreePorts()
{
    nextPort = firstPort();
}

std::uint16_t freePort()
{
    for (;;) {
        const auto port = nextPort++;
        const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
        const int reuse = 1;
        ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(port);
        const bool free = ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
        ::close(fd);
        if (free)
            return port;
    }
}

void waitUntil(const std::string& what, const std::function<bool()>& condition, std::chrono::seconds limit)
{
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= deadline)
            throw std::runtime_error("gave up waiting for: " + what);
        std::this_thread::sleep_for(pollInterval);
    }
}

test_system::test_system()
    : m_folder((std::filesystem::temp_directory_path()
        / ("yuccachute-test-" + std::to_string(::getpid()) + "-" + std::to_string(freePort())))
                   .string())
    , m_storePort(freePort())
    , m_storeControl(freePort())
    , m_proxyControl(freePort())
{
    std::filesystem::create_directories(m_folder);
}

test_system::~test_system()
{
    m_nodes.clear();
    m_targets.clear();
    m_proxy.reset();
    m_store.reset();
    if (std::uncaught_exceptions() == 0)
        std::filesystem::remove_all(m_folder);
    else
        std::cerr << "the logs are in " << m_folder << '\n';
}

void test_system::addEngine(
    const std::string& name, const std::string& zone, std::vector<std::string> flags, bool proxied)
{
    m_targets[name] = { "screening", zone, freePort(), proxied ? freePort() : std::uint16_t { 0 },
        std::move(flags), nullptr };
}

void test_system::addPlain(const std::string& name, const std::string& zone, bool proxied)
{
    m_targets[name]
        = { "registry", zone, freePort(), proxied ? freePort() : std::uint16_t { 0 }, {}, nullptr };
}

void test_system::addEntry(const std::string& name, const std::string& zone, const std::string& extraOptions)
{
    m_nodes[name] = { name, zone, freePort(), freePort(), nullptr };
    m_programs[name] = "yuccachute-entry";
    m_extraOptions[name] = extraOptions;
}

void test_system::addBatch(const std::string& name, const std::string& entry, const std::string& extraOptions)
{
    m_nodes[name] = { name, m_nodes.at(entry).zone, freePort(), freePort(), nullptr };
    m_programs[name] = "yuccachute-batch";
    m_companions[name] = entry;
    m_extraOptions[name] = extraOptions;
}

void test_system::addAdmin(const std::string& name, const std::string& entry)
{
    m_nodes[name] = { name, m_nodes.at(entry).zone, freePort(), freePort(), nullptr };
    m_programs[name] = "yuccachute-admin";
    m_companions[name] = entry;
}

std::string test_system::settingsIni() const
{
    std::string ini = "[fleet]\ntimeout_ms = 20000\n\n[service/screening]\nkind = model\n";
    ini += m_serviceSettings + "\n[service/registry]\nkind = plain\n\n";
    for (const auto& [name, target] : m_targets) {
        ini += "[service/" + target.service + "/target/" + name
            + "]\naddress = " + local(target.proxyPort ? target.proxyPort : target.port)
            + "\nzone = " + target.zone + slotsLine(target.flags) + "\n\n";
    }
    for (const char* customer : { "large", "small" })
        ini += "[customer/" + std::string(customer)
            + "]\napi_key_sha256 = " + sha256Hex("key-" + std::string(customer)) + "\n\n";
    return ini + m_extraSettings;
}

void test_system::writeOptions(
    const node& one, const std::string& vm, const std::string& seeds, const std::string& extra) const
{
    std::ofstream file(m_folder + '/' + one.name + ".ini");
    file << "[process]\nvm = " << vm << "\nzone = " << one.zone << "\nhttp = " << local(one.http)
         << "\nrpc = " << local(one.rpc) << "\nstore = " << local(m_storePort) << "\n"
         << writeIniValue("seeds", seeds) << extra;
}

void test_system::startNode(const std::string& name)
{
    auto& one = m_nodes.at(name);
    one.process.reset();
    one.process = std::make_unique<child_process>(m_programs.at(name),
        std::vector<std::string> { "--config", m_folder + '/' + name + ".ini" },
        m_folder + '/' + name + ".log");
}

void test_system::startTarget(const std::string& name)
{
    auto& target = m_targets.at(name);
    target.process.reset();
    std::vector<std::string> arguments { "--port", std::to_string(target.port) };
    arguments.insert(arguments.end(), target.flags.begin(), target.flags.end());
    target.process
        = std::make_unique<child_process>(target.service == "screening" ? "standin-engine" : "standin-plain",
            arguments, m_folder + '/' + name + ".log");
    // On a busy machine a test would ask it before it listens.
    waitUntil(name + " to listen", [&] { return listens(target.port); });
}

void test_system::start()
{
    m_store = std::make_unique<child_process>("standin-keyvalue",
        std::vector<std::string> {
            "--listen", local(m_storePort), "--control", std::to_string(m_storeControl) },
        m_folder + "/store.log");
    std::vector<std::string> routes { "--control", std::to_string(m_proxyControl) };
    for (const auto& [name, target] : m_targets) {
        startTarget(name);
        if (target.proxyPort == 0)
            continue;
        routes.emplace_back("--route");
        routes.push_back(name + ':' + std::to_string(target.proxyPort) + ':' + local(target.port));
    }
    if (routes.size() > 2)
        m_proxy = std::make_unique<child_process>("fault-proxy", routes, m_folder + "/proxy.log");
    std::string seeds;
    for (const auto& [name, one] : m_nodes) {
        if (!m_companions.contains(name))
            seeds += (seeds.empty() ? "" : ", ") + local(one.rpc);
    }
    for (const auto& [name, one] : m_nodes) {
        const auto companion = m_companions.find(name);
        const bool entry = companion == m_companions.end();
        const auto first = entry ? std::string() : local(m_nodes.at(companion->second).rpc) + ", ";
        writeOptions(one, entry ? name : companion->second, first + seeds, m_extraOptions[name]);
        startNode(name);
    }
    addAdmin("setup-admin", m_nodes.begin()->first);
    const auto edits = readIni("settings", settingsIni());
    require(edits.has_value(), "the settings are malformed");
    nlohmann::json body { { "edits", nlohmann::json::array() } };
    for (const auto& edit : edits.value())
        body["edits"].push_back({ { "path", edit.path },
            { "set",
                nlohmann::json(std::map<std::string, std::string>(edit.set.begin(), edit.set.end())) } });
    // The first settings need an admin process; any node's admin would do.
    auto& admin = m_nodes.at("setup-admin");
    writeOptions(admin, "setup", seeds, {});
    startNode("setup-admin");
    http_request request;
    request.method = "POST";
    request.path = "/admin/edits";
    request.body = body.dump();
    waitUntil("the settings to be accepted", [&] {
        const auto reply = call("setup-admin", request);
        return reply && reply.value().status == 200;
    });
    for (const auto& [name, one] : m_nodes) {
        if (name == m_secureEntry)
            continue;
        waitUntil(name + " to be ready", [&, name = name] {
            const auto reply = get(name, "/readyz");
            return reply && reply.value().status == 200;
        });
    }
    // Every entry has met every other, so that all agree on who is responsible for what.
    std::size_t entries = 0;
    std::size_t batches = 0;
    for (const auto& [name, program] : m_programs) {
        entries += program == "yuccachute-entry";
        batches += program == "yuccachute-batch";
    }
    for (const auto& [name, program] : m_programs) {
        if (program != "yuccachute-entry" || name == m_secureEntry)
            continue;
        waitUntil(name + " to know the others", [&, name = name] {
            const auto members = nlohmann::json::parse(get(name, "/status").value().body)["members"];
            std::size_t knownBatches = 0;
            for (const auto& member : members)
                knownBatches += !member["batch"].get<std::string>().empty();
            return members.size() == entries && knownBatches == batches;
        });
    }
}

std::string test_system::address(const std::string& node) const
{
    return local(m_nodes.at(node).http);
}

std::string test_system::rpcAddress(const std::string& node) const
{
    return local(m_nodes.at(node).rpc);
}

std::string test_system::targetAddress(const std::string& target) const
{
    return local(m_targets.at(target).port);
}

nlohmann::json test_system::store(const std::string& query)
{
    http_request request;
    request.method = "POST";
    request.path = "/control";
    request.query = query;
    http_call_options options;
    options.deadline = std::chrono::steady_clock::now() + std::chrono::seconds { 10 };
    return nlohmann::json::parse(httpCall(local(m_storeControl), request, options).value().body);
}

void test_system::route(const std::string& name, const std::string& query)
{
    http_request request;
    request.method = "POST";
    request.path = "/routes/" + name;
    request.query = query;
    http_call_options options;
    options.deadline = std::chrono::steady_clock::now() + std::chrono::seconds { 10 };
    const auto reply = httpCall(local(m_proxyControl), request, options);
    require(reply.has_value(), "no answer");
    require(reply.value().status == 200, reply.value().body);
}

nlohmann::json test_system::targetJson(const std::string& name, const std::string& path)
{
    http_request request;
    const auto question = path.find('?');
    request.path = path.substr(0, question);
    request.query = question == std::string::npos ? "" : path.substr(question + 1);
    http_call_options options;
    options.deadline = std::chrono::steady_clock::now() + std::chrono::seconds { 10 };
    const auto reply = httpCall(local(m_targets.at(name).port), request, options);
    require(reply.has_value(), "no answer");
    return nlohmann::json::parse(reply.value().body);
}

result<http_reply> test_system::call(
    const std::string& node, http_request request, std::chrono::seconds limit, const std::string& customer)
{
    if (!customer.empty())
        request.headers.emplace_back("Authorization", "Bearer key-" + customer);
    http_call_options options;
    options.deadline = std::chrono::steady_clock::now() + limit;
    return httpCall(local(m_nodes.at(node).http), request, options);
}

result<http_reply> test_system::get(
    const std::string& node, const std::string& path, const std::string& customer)
{
    http_request request;
    const auto question = path.find('?');
    request.path = path.substr(0, question);
    request.query = question == std::string::npos ? "" : path.substr(question + 1);
    return call(node, request, std::chrono::seconds { 10 }, customer);
}

test_system::completion test_system::complete(const std::string& node, const std::string& prompt,
    unsigned tokens, bool stream, const std::string& customer, http_headers headers)
{
    http_request request;
    request.method = "POST";
    request.path = "/v1/completions";
    request.headers = std::move(headers);
    request.headers.emplace_back("Authorization", "Bearer key-" + customer);
    request.body = writeCompletion({ "screening", prompt, tokens, stream });
    completion outcome;
    event_reader reader;
    std::string raw;
    http_call_options options;
    options.deadline = std::chrono::steady_clock::now() + std::chrono::seconds { 60 };
    options.onHead = [&](const http_reply& head) {
        outcome.status = head.status;
        return true;
    };
    options.onBody = [&](std::string_view piece) {
        raw += piece;
        if (stream && outcome.status == 200) {
            for (const auto& event : reader.feed(piece))
                outcome.text += event.text;
        }
        return true;
    };
    const auto reply = httpCall(local(m_nodes.at(node).http), request, options);
    outcome.error = reply ? raw : reply.error().message + raw;
    if (stream) {
        outcome.whole = reader.whole();
        return outcome;
    }
    const auto document = nlohmann::json::parse(raw, nullptr, false);
    outcome.whole = reply && outcome.status == 200 && document.is_object();
    if (outcome.whole)
        outcome.text = document["choices"][0]["text"].get<std::string>();
    return outcome;
}

http_request test_system::submission(const std::string& items, const std::string& key) const
{
    http_request request;
    request.method = "POST";
    request.path = "/v1/batches";
    request.query = "service=screening";
    request.headers.emplace_back("Idempotency-Key", key);
    request.body = items;
    return request;
}

std::map<std::string, nlohmann::json> test_system::results(
    const std::string& node, const std::string& job, const std::string& customer)
{
    std::map<std::string, nlohmann::json> all;
    std::string cursor = "0";
    for (bool more = true; more;) {
        const auto reply = get(node, "/v1/batches/" + job + "/results?cursor=" + cursor, customer);
        require(reply.has_value(), "no answer");
        require(reply.value().status == 200, reply.value().body);
        const std::string next(findHeader(reply.value().headers, "X-Next-Cursor"));
        more = next != cursor;
        cursor = next;
        std::string_view lines = reply.value().body;
        while (!lines.empty()) {
            const auto end = lines.find('\n');
            auto line = nlohmann::json::parse(lines.substr(0, end));
            const auto id = line["id"].get<std::string>();
            if (!all.emplace(id, std::move(line)).second)
                throw std::runtime_error("a second result of " + id);
            lines.remove_prefix(end + 1);
        }
    }
    return all;
}

nlohmann::json test_system::job(const std::string& node, const std::string& id, const std::string& customer)
{
    const auto reply = get(node, "/v1/batches/" + id, customer);
    if (!reply || reply.value().status != 200)
        return nlohmann::json { { "state", "unknown" },
            { "counts", { { "completed", 0 }, { "failed", 0 }, { "total", 0 } } } };
    return nlohmann::json::parse(reply.value().body);
}

http_reply test_system::edit(
    const std::string& admin, const std::string& path, const std::map<std::string, std::string>& set)
{
    http_request request;
    request.method = "POST";
    request.path = "/admin/edits";
    request.body = nlohmann::json { { "edits", { { { "path", path }, { "set", set } } } } }.dump();
    return call(admin, request).value();
}

} // namespace yuccachute::testing
