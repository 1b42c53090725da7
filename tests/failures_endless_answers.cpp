#include "event_loop/event_loop.h"
#include "platform_system.h"
#include "raw_target.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <fstream>
#include <map>
#include <set>
#include <thread>

using namespace yuccachute;
using namespace yuccachute::testing;
using nlohmann::json;

namespace {

/// Bounds that the users ask for.
constexpr std::int64_t maxGrowthKb = 16 * 1024;
constexpr milliseconds maxOpen { 3000 };
constexpr double leastServed = 0.97;

constexpr int events = 12;
constexpr int items = 6;
/// Requests come in bursts, since single ones would all find a slot at the same few targets.
constexpr int burst = 12;
constexpr milliseconds burstInterval { 150 };
constexpr milliseconds phaseTime { 2000 };
constexpr milliseconds itemsDue { 15000 };
/// Until a process that was started again has read what it needs.
constexpr milliseconds restartDelay { 500 };
constexpr std::size_t pieceBytes = 64 * 1024;

// --- Endless bytes

std::string repeated(std::string_view unit)
{
    std::string text;
    while (text.size() < pieceBytes)
        text += unit;
    return text;
}

std::function<std::string(std::uint64_t)> always(std::string_view unit)
{
    return [text = repeated(unit)](std::uint64_t) { return text; };
}

std::string asChunk(const std::string& body)
{
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", body.size());
    return size + body + "\r\n";
}

const std::string status = "HTTP/1.1 200 OK\r\n";
const std::string fields = status + "Yuccachute-Request-Id: {id}\r\nContent-Type: text/event-stream\r\n";
const std::string unframedHead = fields + "\r\n";
const std::string chunkedHead = fields + "Transfer-Encoding: chunked\r\n\r\n";
const std::string lengthHead = fields + "Content-Length: 99999999999\r\n\r\n";
const std::string filler(1024, 'x');
const std::string twoEvents = "id: 1\ndata: {id}-1\n\nid: 2\ndata: {id}-2\n\n";

endless_bytes headFields()
{
    return { "a head with fields without end", status, always("X-Field: value\r\n") };
}

endless_bytes headLine()
{
    return { "a head with a line without end", status + "X-Field: ", always(filler) };
}

endless_bytes interimAnswers()
{
    return { "interim answers without end", "", always("HTTP/1.1 100 Continue\r\n\r\n") };
}

endless_bytes hugeLength()
{
    return { "a huge length", lengthHead, always(filler), true };
}

endless_bytes endlessChunks()
{
    return { "chunks without end", chunkedHead, always(asChunk(filler)), true };
}

endless_bytes hugeChunk()
{
    return { "a chunk of a huge stated size", chunkedHead + "fffffffffff\r\n", always(filler), true };
}

endless_bytes chunkExtensions()
{
    return { "extensions of a chunk without end", chunkedHead + "400", always(";name=value") };
}

endless_bytes trailers()
{
    return { "trailers without end", chunkedHead + asChunk(filler) + "0\r\n", always("X-Field: value\r\n") };
}

endless_bytes unframedBody()
{
    return { "neither length nor chunks", unframedHead, always(filler), true };
}

endless_bytes eventLines()
{
    return { "an event with lines without end", unframedHead, always("data: " + filler + "\n"), true };
}

/// Callers have asked for fewer events; all further ones are no part of an answer.
endless_bytes soundEvents()
{
    return { "sound events without end", unframedHead,
        [](std::uint64_t n) {
            constexpr std::uint64_t perPiece = 1000;
            std::string text;
            for (auto i = n * perPiece + 1; i <= (n + 1) * perPiece; ++i)
                text += "id: " + std::to_string(i) + "\ndata: more\n\n";
            return text;
        },
        true, true };
}

/// Callers receive the first two events, and the rest from another target.
endless_bytes middleOfStream()
{
    return { "an event without end after two sound ones", chunkedHead + "fffffffffff\r\n" + twoEvents,
        always("data: " + filler), true };
}

// --- Callers

/// Sends live requests to all entries in turn for a while, most of them streams, and tells which answers are
/// whole at the first attempt.
class live_callers {
public:
    explicit live_callers(platform_system& system)
        : m_client(m_loop, {})
    {
        for (const auto& [name, process] : system.entries)
            m_addresses.push_back("127.0.0.1:" + std::to_string(process.callers));
    }

    struct request {
        std::string id;
        bool plain = false;
        bool ended = false;
        bool served = false;
        unsigned status = 0; ///< 0 without an answer.
        std::string body; ///< The beginning of it.
        std::shared_ptr<client_call> call;
    };

    /// Returns once all requests have ended.
    std::vector<std::unique_ptr<request>> run(const std::string& name, milliseconds time)
    {
        std::vector<std::unique_ptr<request>> sent;
        const auto until = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < until) {
            const auto next = std::chrono::steady_clock::now() + burstInterval;
            for (int i = 0; i < burst; ++i) {
                sent.push_back(std::make_unique<request>());
                start(*sent.back(), name + "-" + std::to_string(sent.size()), sent.size());
            }
            while (std::chrono::steady_clock::now() < next)
                m_loop.runFor(milliseconds { 2 });
        }
        const auto running = [&] {
            return std::any_of(sent.begin(), sent.end(), [](const auto& one) { return !one->ended; });
        };
        while (running())
            m_loop.runFor(milliseconds { 5 });
        return sent;
    }

private:
    void start(request& one, std::string id, std::size_t number)
    {
        one.id = std::move(id);
        one.plain = number % 4 == 0;
        http_request sent;
        sent.method = one.plain ? "GET" : "POST";
        sent.target = one.plain ? "/plain/x" : "/resumable/x";
        sent.headers = platform_system::requestHeaders(one.id, events);
        sent.headers.emplace_back("Host", "test.example");
        // Requests whose prompts begin alike would all go to the target that has run the first of them.
        std::erase_if(
            sent.headers, [](const auto& field) { return field.first == "Yuccachute-Prompt-Prefix"; });
        sent.body = one.plain ? "" : "prompt of " + one.id;
        client_call_events received;
        received.head = [&one](const http_reply& head) {
            one.status = head.status;
            return true;
        };
        received.body = [&one](std::string_view piece) {
            if (one.body.size() < pieceBytes)
                one.body.append(piece);
            return true;
        };
        received.whole = [&one] {
            const auto due = one.plain ? "plain " + one.id : platform_system::wholeStream(one.id, events);
            one.ended = true;
            one.served = one.status == 200 && one.body == due;
        };
        received.failed = [&one](const failure&) { one.ended = true; };
        client_call_options options;
        options.deadline = std::chrono::steady_clock::now() + milliseconds { 7000 };
        one.call
            = m_client.start(m_addresses[number % m_addresses.size()], sent, options, std::move(received));
    }

    event_loop m_loop;
    http_client m_client;
    std::vector<std::string> m_addresses;
};

// --- The system with raw targets

std::int64_t statusKb(int process, const std::string& name)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with(name + ":"))
            return std::stoll(line.substr(name.size() + 1));
    }
    return 0;
}

/// Six entries, two batch processes and six targets, of which the given number are raw ones.
class endless_system {
public:
    explicit endless_system(unsigned rawTargets)
        : m_system(layout(rawTargets))
        , m_raw(m_system, rawTargets, { "a", "b" }, 4)
    {
        m_raw.listAnew();
        // All processes have served by then, so that what they hold does not count as growth.
        live_callers(m_system).run("warm-up", milliseconds { 1500 });
        checkItems("warm-up");
        forEach([&](const std::string& name, platform_system::process& process) {
            m_memoryKb[name] = statusKb(process.running->id(), "VmRSS");
        });
    }

    /// The raw targets send these bytes in turn, and are sound again afterwards.
    void phase(const std::vector<endless_bytes>& kinds, raw_target::answers which)
    {
        m_raw.listAnew();
        forEach([](const std::string&, platform_system::process& process) { resetPeak(process); });
        const auto name = "p" + std::to_string(++m_phases);
        std::string kindNames;
        for (std::size_t i = 0; i < m_raw.targets.size(); ++i) {
            const auto& kind = kinds[i % kinds.size()];
            kindNames += (i == 0 ? "" : "; ") + kind.name;
            m_raw.targets[i]->sendEndless(kind, which);
        }
        INFO("the targets send " << kindNames);
        CHECK(m_system.submit("entry-a-1", name + "-job", items, events) == 202);
        const auto requests = live_callers(m_system).run(name, phaseTime);
        std::set<std::string> excused;
        for (std::size_t i = 0; i < m_raw.targets.size(); ++i) {
            m_raw.targets[i]->answerSoundly();
            const auto& kind = kinds[i % kinds.size()];
            const auto answers = m_raw.targets[i]->takeAnswers();
            CHECK(!answers.empty());
            for (const auto& answer : answers) {
                CAPTURE(answer.requestId, answer.plain, answer.bytes, answer.open.count());
                CHECK(answer.closed);
                CHECK(answer.open <= maxOpen);
                if (answer.plain ? kind.plainReachesCaller : kind.streamReachesCaller)
                    excused.insert(answer.requestId);
            }
        }
        checkServed(requests, excused);
        checkItems(name + "-job");
        checkProcesses();
    }

private:
    static platform_layout layout(unsigned rawTargets)
    {
        platform_layout made;
        made.zones = { { "a", 3, 1, 3 - (rawTargets + 1) / 2 }, { "b", 3, 1, 3 - rawTargets / 2 } };
        return made;
    }

    template <typename Function> void forEach(Function function)
    {
        for (auto* group : { &m_system.entries, &m_system.batches }) {
            for (auto& [name, process] : *group)
                function(name, process);
        }
    }

    /// From now on VmHWM is the largest size since this moment.
    static void resetPeak(const platform_system::process& process)
    {
        std::ofstream("/proc/" + std::to_string(process.running->id()) + "/clear_refs") << "5\n";
    }

    static void checkServed(const std::vector<std::unique_ptr<live_callers::request>>& requests,
        const std::set<std::string>& excused)
    {
        std::size_t counted = 0;
        std::size_t served = 0;
        std::string statusOfOthers;
        for (const auto& one : requests) {
            if (!one->served && excused.contains(one->id))
                continue;
            ++counted;
            served += one->served ? 1 : 0;
            if (!one->served)
                statusOfOthers += std::to_string(one->status) + (one->plain ? " plain, " : " stream, ");
        }
        CAPTURE(served, counted, excused.size(), statusOfOthers);
        CHECK(counted > requests.size() / 2);
        CHECK(static_cast<double>(served) >= leastServed * static_cast<double>(counted));
    }

    void checkItems(const std::string& job)
    {
        if (job == "warm-up")
            CHECK(m_system.submit("entry-a-1", job, items, events) == 202);
        const auto until = std::chrono::steady_clock::now() + itemsDue;
        std::size_t done = 0;
        std::string listed;
        while (done < items && std::chrono::steady_clock::now() < until) {
            std::this_thread::sleep_for(milliseconds { 50 });
            const auto page = m_system.results("entry-a-1", job);
            if (!page)
                continue;
            listed = (*page)["results"].dump().substr(0, 2000);
            done = static_cast<std::size_t>(std::count_if((*page)["results"].begin(),
                (*page)["results"].end(), [](const auto& one) { return one["state"] == "done"; }));
        }
        CAPTURE(job, listed);
        CHECK(done == items);
    }

    /// Processes that have ended are started again, so that the next phase has a whole system.
    void checkProcesses()
    {
        std::vector<std::string> ended;
        forEach([&](const std::string& name, platform_system::process& process) {
            const bool running = process.running->running();
            CAPTURE(name, running ? 0 : process.running->wait());
            CHECK(running);
            if (!running)
                return ended.push_back(name);
            const auto grownKb = statusKb(process.running->id(), "VmHWM") - m_memoryKb[name];
            CHECK(grownKb < maxGrowthKb);
        });
        for (const auto& name : ended) {
            const bool entry = m_system.entries.contains(name);
            entry ? m_system.startEntry(name) : m_system.startBatch(name);
            if (entry)
                m_system.waitReady(name);
            std::this_thread::sleep_for(restartDelay);
            const auto& process = entry ? m_system.entries.at(name) : m_system.batches.at(name);
            m_memoryKb[name] = statusKb(process.running->id(), "VmRSS");
        }
    }

    platform_system m_system;
    listed_raw_targets m_raw;
    std::map<std::string, std::int64_t> m_memoryKb;
    int m_phases = 0;
};

} // namespace

// Guards against an answer that is read for ever, because its head or the interim answers before it do not
// end.
TEST_CASE("a target whose answers have heads without end costs no other request")
{
    endless_system system(1);
    for (const auto& kind : { headFields(), headLine(), interimAnswers() })
        system.phase({ kind }, raw_target::answers::runs);
}

// Guards against memory reserved for what a length or a chunk states, which ends the process that reads it,
// and for bodies that do not end.
TEST_CASE("targets whose answers have bodies without end cost no other request")
{
    endless_system system(2);
    system.phase({ hugeLength(), chunkExtensions() }, raw_target::answers::runs);
    system.phase({ hugeChunk(), trailers() }, raw_target::answers::runs);
    system.phase({ endlessChunks(), unframedBody() }, raw_target::answers::runs);
}

// Guards against events that are buffered and searched without end, and against a whole process that is busy
// with one stream.
TEST_CASE("a target whose streams have no end costs no other request")
{
    endless_system system(1);
    for (const auto& kind : { eventLines(), soundEvents(), middleOfStream() })
        system.phase({ kind }, raw_target::answers::runs);
}

// Guards against the same in load reports, which all processes read, also to learn whether a target still
// runs.
TEST_CASE("targets whose load reports have no end cost no request")
{
    endless_system system(2);
    system.phase({ headFields(), interimAnswers() }, raw_target::answers::reports);
    system.phase({ hugeLength(), hugeChunk() }, raw_target::answers::reports);
    system.phase({ endlessChunks(), chunkExtensions() }, raw_target::answers::reports);
    system.phase({ trailers(), unframedBody() }, raw_target::answers::reports);
}

// Guards against bounds that hold for one such target only, or that a target in trouble as a whole escapes.
TEST_CASE("several targets whose answers have no end cost no other request")
{
    endless_system system(3);
    system.phase({ hugeLength(), interimAnswers(), eventLines() }, raw_target::answers::all);
    system.phase({ middleOfStream(), headLine(), endlessChunks() }, raw_target::answers::all);
}
