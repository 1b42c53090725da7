#include "platform_system.h"

#include <fstream>
#include <set>
#include <stdexcept>
#include <unistd.h>

namespace yuccachute::testing {

using nlohmann::json;

namespace {

/// The list of runs is long after a while, and the machine may be busy.
constexpr milliseconds controlLimit { 10000 };

std::string local(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

std::string base64Of(const std::string& text)
{
    // Bodies of these tests have a length that needs no padding.
    static const std::string digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string encoded;
    for (std::size_t i = 0; i + 2 < text.size(); i += 3) {
        const unsigned bits = static_cast<unsigned char>(text[i]) << 16
            | static_cast<unsigned char>(text[i + 1]) << 8 | static_cast<unsigned char>(text[i + 2]);
        for (int shift = 18; shift >= 0; shift -= 6)
            encoded += digits[bits >> shift & 63];
    }
    return encoded;
}

std::filesystem::path newFolder()
{
    static int made = 0;
    return std::filesystem::temp_directory_path()
        / ("yuccachute-platform-" + std::to_string(::getpid()) + "-" + std::to_string(++made));
}

platform_layout layoutOf(int eventMs, int slots)
{
    platform_layout layout;
    layout.eventMs = eventMs;
    layout.slots = slots;
    return layout;
}

} // namespace

std::int64_t steadyMs()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

platform_system::platform_system(int eventMs, int slots)
    : platform_system(layoutOf(eventMs, slots))
{
}

platform_system::platform_system(platform_layout layout)
    : m_folder(newFolder())
    , m_entryLimits(layout.entryLimits)
    , m_batchLimits(layout.batchLimits)
{
    std::filesystem::create_directories(m_folder);
    for (const auto& zone : layout.zones) {
        for (unsigned i = 1; i <= zone.entries; ++i)
            entries["entry-" + zone.zone + "-" + std::to_string(i)]
                = { freePort(), freePort(), freePort(), freePort(), nullptr };
        for (unsigned i = 1; i <= zone.batches; ++i)
            batches["batch-" + zone.zone + "-" + std::to_string(i)] = { 0, 0, 0, freePort(), nullptr };
    }
    startPlatform(layout);
    for (const auto& [name, process] : entries)
        startEntry(name);
    for (const auto& [name, process] : batches)
        startBatch(name);
    for (const auto& [name, process] : entries)
        waitReady(name);
    waitUntil("all processes are registered",
        [&] { return control("/runs")["nodes"] == entries.size() + batches.size(); });
    // An entry learns of a batch process a moment after it has registered; until then it refuses jobs,
    // truthfully.
    for (const auto& entry : entries)
        waitUntil(entry.first + " reaches the batch processes", [&] {
            const auto reply = call(entry.second.callers, "GET", "/lots/nobody?after=0", {}, "");
            return reply && reply.value().status == 404;
        });
}

platform_system::~platform_system()
{
    entries.clear();
    batches.clear();
    m_proxy.reset();
    m_platform.reset();
    if (!m_keep && std::uncaught_exceptions() == 0 && !std::getenv("YUCCACHUTE_KEEP_LOGS"))
        std::filesystem::remove_all(m_folder);
}

void platform_system::startPlatform(const platform_layout& layout)
{
    std::vector<std::string> arguments { local(m_store), local(m_control), std::to_string(layout.eventMs),
        std::to_string(layout.slots) };
    std::vector<std::string> routes { "--control", std::to_string(m_proxyControl) };
    const auto addRoute = [&](const std::string& name, std::uint16_t target) {
        const auto port = freePort();
        routes.insert(routes.end(), { "--route", name + ":" + std::to_string(port) + ":" + local(target) });
        return port;
    };
    for (const auto& zone : layout.zones) {
        for (unsigned i = 0; i < zone.servers; ++i) {
            const auto port = freePort();
            auto argument = zone.zone + "=" + local(port);
            if (layout.proxied && layout.serversProxied)
                argument += "@" + local(addRoute("server-" + std::to_string(m_servers), port));
            arguments.push_back(argument);
            ++m_servers;
        }
    }
    if (layout.proxied) {
        for (const auto* group : { &entries, &batches }) {
            for (const auto& [name, process] : *group)
                m_storeRoutes[name] = addRoute("store-" + name, m_store);
        }
        m_proxy = std::make_unique<child_process>("fault-proxy", routes, m_folder / "proxy.log");
    }
    m_platform = std::make_unique<child_process>("standin-platform", arguments, m_folder / "platform.log");
    waitUntil(
        "the platform", [&] { return bool(tryControl("/runs")); }, std::chrono::seconds { 10 });
}

void platform_system::startEntry(const std::string& name)
{
    auto& one = entries.at(name);
    write(name, one, true);
    one.running = std::make_unique<child_process>("yuccachute-platform-entry",
        std::vector<std::string> { "--config", m_folder / (name + ".ini") }, m_folder / (name + ".log"));
}

void platform_system::startBatch(const std::string& name)
{
    auto& one = batches.at(name);
    write(name, one, false);
    one.running = std::make_unique<child_process>("yuccachute-platform-batch",
        std::vector<std::string> { "--config", m_folder / (name + ".ini") }, m_folder / (name + ".log"));
}

bool platform_system::ready(const std::string& name)
{
    const auto reply = call(entries.at(name).readiness, "GET", "/readyz", {}, "", milliseconds { 1000 });
    return reply && reply.value().status == 200;
}

void platform_system::waitReady(const std::string& name)
{
    waitUntil(name + " is ready", [&] { return ready(name); });
}

json platform_system::control(const std::string& path, const std::string& body)
{
    const auto reply = tryControl(path, body);
    if (!reply)
        throw std::runtime_error(
            "the stand-in of the platform does not answer " + path + ": " + reply.error().message);
    return json::parse(reply.value().body);
}

void platform_system::route(const std::string& name, const std::string& query)
{
    const auto reply = call(m_proxyControl, "POST", "/routes/" + name + "?" + query, {}, "");
    if (!reply || reply.value().status != 200)
        throw std::runtime_error("the fault proxy does not take " + query + " for " + name);
}

std::size_t platform_system::silenceOpen(const std::string& route, const std::string& text)
{
    const auto reply = call(m_proxyControl, "POST", "/routes/" + route + "?silence_open=" + text, {}, "");
    if (!reply || reply.value().status != 200)
        throw std::runtime_error("the fault proxy cannot silence " + route);
    return json::parse(reply.value().body)["silenced"];
}

result<http_reply> platform_system::call(std::uint16_t port, const std::string& method,
    const std::string& target, http_headers headers, std::string body, milliseconds limit)
{
    http_request request;
    request.method = method;
    request.target = target;
    request.headers = std::move(headers);
    request.headers.emplace_back("Host", "test.example");
    request.body = std::move(body);
    http_call_options options;
    options.deadline = std::chrono::steady_clock::now() + limit;
    return httpCall(local(port), request, options);
}

http_headers platform_system::requestHeaders(const std::string& id, int events)
{
    return { { "Yuccachute-Request-Id", id }, { "Yuccachute-Deadline-Ms", "5000" },
        { "Yuccachute-Token-Count", "100," + std::to_string(events) },
        { "Yuccachute-Prompt-Prefix", "ab:50,cd:50" } };
}

result<http_reply> platform_system::stream(
    const std::string& entry, const std::string& route, const std::string& id, int events)
{
    return call(entries.at(entry).callers, "POST", "/" + route + "/x", requestHeaders(id, events), "prompt");
}

result<http_reply> platform_system::plain(
    const std::string& entry, const std::string& route, const std::string& id)
{
    return call(entries.at(entry).callers, "GET", "/" + route + "/x", requestHeaders(id), "");
}

std::string platform_system::wholeStream(const std::string& id, int events)
{
    std::string text;
    for (int i = 1; i <= events; ++i)
        text += "id: " + std::to_string(i) + "\ndata: " + id + "-" + std::to_string(i) + "\n\n";
    return text;
}

std::string platform_system::submission(const std::string& id, int items, int events)
{
    return submission(id, std::vector<std::string>(static_cast<std::size_t>(items), "/jobs/1"), events);
}

std::string platform_system::submission(
    const std::string& id, const std::vector<std::string>& paths, int events)
{
    auto list = json::array();
    for (std::size_t i = 0; i < paths.size(); ++i)
        list.push_back({ { "id", id + "-" + std::to_string(i) }, { "path", paths[i] },
            { "headers", { { "Yuccachute-Token-Count", "100," + std::to_string(events) } } },
            { "body", base64Of("abc" + std::to_string(100 + i)) }, { "tokens", 100 + events } });
    return json { { "items", list } }.dump();
}

unsigned platform_system::submit(const std::string& entry, const std::string& id, int items, int events)
{
    const auto reply = call(
        entries.at(entry).callers, "POST", "/jobs/1", requestHeaders(id), submission(id, items, events));
    return reply ? reply.value().status : 0;
}

unsigned platform_system::submit(const std::string& entry, const std::string& path, const std::string& id,
    const std::vector<std::string>& itemPaths, int events)
{
    const auto reply = call(
        entries.at(entry).callers, "POST", path, requestHeaders(id), submission(id, itemPaths, events));
    return reply ? reply.value().status : 0;
}

std::optional<json> platform_system::results(
    const std::string& entry, const std::string& id, std::size_t after)
{
    const auto reply = call(entries.at(entry).callers, "GET",
        "/lots/" + id + "?after=" + std::to_string(after), { { "Yuccachute-Wait-Ms", "300" } }, "");
    if (!reply || reply.value().status != 200)
        return std::nullopt;
    return json::parse(reply.value().body);
}

json platform_system::allResults(const std::string& entry, const std::string& id, std::size_t items)
{
    const auto require = [&](bool condition, const std::string& what) {
        if (!condition)
            throw std::runtime_error("results of " + id + ": " + what);
    };
    json known = json::array();
    waitUntil("the results of " + id, [&] {
        const auto page = results(entry, id);
        if (!page)
            return false;
        require((*page)["total"] == items, "wrong total");
        const auto& listed = (*page)["results"];
        for (std::size_t i = 0; i < std::min(known.size(), listed.size()); ++i)
            require(known[i] == listed[i], "position " + std::to_string(i) + " has changed");
        if (listed.size() > known.size())
            known = listed;
        return known.size() == items;
    });
    std::set<std::string> ids;
    for (const auto& listed : known)
        require(ids.insert(listed["id"]).second, "an item is listed twice");
    return known;
}

std::vector<json> platform_system::runsOf(const std::string& id)
{
    std::vector<json> found;
    const auto all = control("/runs");
    for (const auto& run : all["runs"]) {
        if (run["id"] == id)
            found.push_back(run);
    }
    return found;
}

bool platform_system::reported(const std::string& vm)
{
    const auto status = control("/key?key=status/retire/" + vm);
    return status.is_object() && status["state"] == "done";
}

std::string platform_system::logOf(const std::string& name) const
{
    std::ifstream file(m_folder / (name + ".log"));
    return { std::istreambuf_iterator<char>(file), {} };
}

result<http_reply> platform_system::tryControl(const std::string& path, const std::string& body)
{
    return call(m_control, body.empty() ? "GET" : "POST", path, {}, body, controlLimit);
}

void platform_system::write(const std::string& name, const process& one, bool entry) const
{
    const auto store = m_storeRoutes.find(name);
    std::ofstream file(m_folder / (name + ".ini"));
    file << "[process]\nvm = " << name << "\nzone = " << name.substr(6, 1)
         << "\naddress = 127.0.0.1\ngrace_ms = 6000\n[listen]\n";
    if (entry)
        file << "callers = " << local(one.callers) << "\nreadiness = " << local(one.readiness)
             << "\ncontrol = " << local(one.control) << "\n";
    file << "inner_port = " << one.inner << "\n[peers]\nseeds = " << local(entries.begin()->second.control)
         << "\n[store]\naddress = " << local(store == m_storeRoutes.end() ? m_store : store->second)
         << "\n[limits]\n"
         << (entry ? m_entryLimits : m_batchLimits);
}

} // namespace yuccachute::testing
