#include "platform_system.h"
#include "unruly_crowd.h"

#include <catch2/catch.hpp>

#include <random>
#include <sys/resource.h>

// Each case is a test of its own in ctest, apart from other load: the bounds are on memory and descriptors.

using namespace yuccachute;
using namespace yuccachute::testing;
using nlohmann::json;

namespace {

constexpr unsigned seed = 76;
/// The memory of the smallest VMs that run the programs, and the largest body that callers may send.
constexpr std::size_t entryMemoryMb = 88;
constexpr std::size_t batchMemoryMb = 130;
constexpr std::size_t maxBody = 4u << 20;
constexpr unsigned fewDescriptors = 1000;
/// Most clients stop short of the end of their request: all but each fifth.
constexpr std::size_t wholeEach = 5;
constexpr std::size_t atOnce = 1u << 20; ///< Sent in one turn.
constexpr std::size_t inPieces = 4u << 10;
constexpr std::size_t shortBy = 50; ///< Bytes that are missing at the end for good.
constexpr std::size_t slowly = 50; ///< Bytes before them that are sent slowly.

/// Text that does not compress.
std::string randomText(std::size_t bytes)
{
    constexpr std::string_view letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::mt19937 random(seed);
    std::string text;
    text.reserve(bytes);
    while (text.size() < bytes)
        text += letters[random() % letters.size()];
    return text;
}

/// One VM of each program, as small as any; the crowd meets them one after the other.
class small_system {
public:
    explicit small_system(unsigned descriptors = fewDescriptors)
        : m_system(layout(descriptors))
        , m_descriptors(descriptors)
    {
        m_system.control("/config?timeout=5000&max_body=" + std::to_string(maxBody));
        waitUntil("bodies of this size are allowed", [&] {
            const auto reply = m_system.call(
                callers(), "POST", "/unsafe/x", platform_system::requestHeaders("large"), randomText(200000));
            return reply && reply.value().status == 200;
        });
        m_entry = std::make_unique<holdings_watch>(m_system.entries.at(entry).running->id(), callers());
        m_batch = std::make_unique<holdings_watch>(m_system.batches.at(batch).running->id(), inner());
    }

    platform_system& operator*() { return m_system; }
    platform_system* operator->() { return &m_system; }
    std::uint16_t callers() const { return m_system.entries.at(entry).callers; }
    std::uint16_t inner() const { return m_system.batches.at(batch).inner; }

    /// Callers try again over a new connection, as often as it takes.
    void requireOrdinaryAnswers()
    {
        const auto number = std::to_string(++m_ordinary);
        waitUntil("a request is answered", [&] {
            const auto reply = m_system.plain(entry, "plain", "plain-" + number);
            return reply && reply.value().status == 200;
        });
        waitUntil("a stream is answered", [&] {
            const auto id = "stream-" + number;
            const auto reply = m_system.stream(entry, "resumable", id, 5);
            return reply && reply.value().body == platform_system::wholeStream(id, 5);
        });
        const auto job = "ordinary-" + number;
        waitUntil("a job is accepted", [&] { return m_system.submit(entry, job, 2, 5) == 202; });
        m_system.allResults(entry, job, 2);
    }

    void checkHoldings()
    {
        auto& entryProcess = *m_system.entries.at(entry).running;
        auto& batchProcess = *m_system.batches.at(batch).running;
        INFO("entry: " << m_entry->mostMemoryMb() << " MB, of it unread " << m_entry->mostUnreadMb() << ", "
                       << m_entry->mostDescriptors() << " descriptors; batch: " << m_batch->mostMemoryMb()
                       << " MB, of it unread " << m_batch->mostUnreadMb() << ", "
                       << m_batch->mostDescriptors() << " descriptors");
        CHECK(entryProcess.running());
        CHECK(batchProcess.running());
        CHECK(m_entry->mostMemoryMb() <= entryMemoryMb);
        CHECK(m_batch->mostMemoryMb() <= batchMemoryMb);
        CHECK(m_entry->mostDescriptors() <= m_descriptors);
        CHECK(m_batch->mostDescriptors() <= m_descriptors);
    }

    /// Lets the crowd do what it does; it stays connected while ordinary callers come.
    void meet(std::uint16_t port, const std::vector<client_script>& scripts, std::size_t turnBytes)
    {
        {
            unruly_crowd crowd(port, scripts, turnBytes);
            crowd.waitSettled();
            requireOrdinaryAnswers();
        }
        requireOrdinaryAnswers();
        checkHoldings();
    }

    static constexpr const char* entry = "entry-a-1";
    static constexpr const char* batch = "batch-a-1";

private:
    static platform_layout layout(unsigned descriptors)
    {
        platform_layout layout;
        layout.zones = { { "a", 1, 1, 2 } };
        const auto common = "descriptors = " + std::to_string(descriptors) + "\nmemory_mb = ";
        layout.entryLimits = common + std::to_string(entryMemoryMb) + "\n";
        layout.batchLimits = common + std::to_string(batchMemoryMb) + "\n";
        return layout;
    }

    platform_system m_system;
    unsigned m_descriptors;
    unsigned m_ordinary = 0;
    std::unique_ptr<holdings_watch> m_entry;
    std::unique_ptr<holdings_watch> m_batch;
};

std::string head(const std::string& target, std::size_t number, const std::string& framing)
{
    return "POST " + target + " HTTP/1.1\r\nHost: test.example\r\nContent-Type: application/json\r\n"
        + "Yuccachute-Deadline-Ms: 5000\r\nYuccachute-Token-Count: 100,3\r\nYuccachute-Request-Id: unruly-"
        + std::to_string(number) + "\r\n" + framing + "\r\n\r\n";
}

std::string withLength(std::size_t bytes)
{
    return "Content-Length: " + std::to_string(bytes);
}

const std::string inChunks = "Transfer-Encoding: chunked";
const std::string lastChunk = "0\r\n\r\n";

std::string chunkOf(const std::string& text)
{
    std::array<char, 16> size;
    std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
    return size.data() + text + "\r\n";
}

using script_maker = std::function<client_script(std::size_t number)>;

std::vector<client_script> scripts(std::size_t count, const script_maker& make)
{
    std::vector<client_script> all;
    for (std::size_t number = 0; number < count; ++number)
        all.push_back(make(number));
    return all;
}

/// The same crowd for an entry, with requests that are served at once, and for a batch process, with jobs.
void meetBoth(
    const std::function<std::vector<client_script>(const std::string& target)>& make, std::size_t turnBytes)
{
    small_system system;
    system.meet(system.callers(), make("/unsafe/x"), turnBytes);
    system.meet(system.inner(), make("/jobs/1"), turnBytes);
}

client_script bodyWithLength(
    const std::string& target, std::size_t number, const std::shared_ptr<const std::string>& unit)
{
    client_script one;
    one.add(head(target, number, withLength(maxBody)));
    one.add(unit, maxBody / unit->size() - 1);
    const bool whole = number % wholeEach == 0;
    one.add(unit->substr(0, whole ? unit->size() : unit->size() - shortBy));
    one.slowBytes = whole ? 0 : slowly;
    return one;
}

client_script bodyInChunks(const std::string& target, std::size_t number,
    const std::shared_ptr<const std::string>& chunk, std::size_t chunks)
{
    client_script one;
    one.add(head(target, number, inChunks));
    one.add(chunk, chunks);
    if (number % wholeEach == 0)
        one.add(lastChunk);
    return one;
}

std::shared_ptr<const std::string> shared(std::string text)
{
    return std::make_shared<const std::string>(std::move(text));
}

/// A job of as many bytes as a body may have. The texts between the ids are shared.
client_script largeJob(
    const std::string& id, const std::shared_ptr<const std::string>& itemBody, std::size_t items)
{
    const std::string fields
        = R"(","path":"/jobs/1","headers":{"Yuccachute-Token-Count":"100,3"},"tokens":103,"body":")";
    const auto itemHead = [&](std::size_t item) {
        return (item == 0 ? "" : ",") + (R"({"id":")" + id + "-" + std::to_string(item)) + fields;
    };
    const std::string begin = R"({"items":[)";
    const std::string end = "]}";
    std::size_t bytes = begin.size() + end.size();
    for (std::size_t item = 0; item < items; ++item)
        bytes += itemHead(item).size() + itemBody->size() + 2;
    client_script one;
    one.add("POST /jobs/1 HTTP/1.1\r\nHost: test.example\r\nContent-Type: "
            "application/json\r\nYuccachute-Deadline-Ms: 5000\r\n"
            "Yuccachute-Request-Id: "
        + id + "\r\n" + withLength(bytes) + "\r\n\r\n" + begin);
    const auto itemEnd = shared(R"("})");
    for (std::size_t item = 0; item < items; ++item) {
        one.add(itemHead(item));
        one.add(itemBody);
        one.add(itemEnd);
    }
    one.add(end);
    return one;
}

constexpr std::size_t itemsOfJob = 10;

/// Base64 of so many bytes that a job of some items just fits into a body.
std::shared_ptr<const std::string> largeItemBody(std::size_t items = itemsOfJob)
{
    constexpr std::size_t restOfItem = 400;
    return shared(randomText((maxBody / items - restOfItem) / 4 * 4));
}

constexpr unsigned accepted = 202;

} // namespace

// Guards against an end by lack of memory: many bodies of legal size are announced with their length and sent
// at once, and most stop short of their end.
TEST_CASE("bodies with a length that are sent at once")
{
    const auto unit = shared(randomText(64u << 10));
    meetBoth(
        [&](const auto& target) {
            return scripts(40, [&](auto number) { return bodyWithLength(target, number, unit); });
        },
        atOnce);
}

// Guards against the same with bodies that come in small pieces and whose last bytes trickle.
TEST_CASE("bodies with a length that are sent in pieces")
{
    const auto unit = shared(randomText(64u << 10));
    meetBoth(
        [&](const auto& target) {
            return scripts(40, [&](auto number) { return bodyWithLength(target, number, unit); });
        },
        inPieces);
}

// Guards against the same with bodies whose length is not announced.
TEST_CASE("bodies in large chunks")
{
    const auto chunk = shared(chunkOf(randomText((64u << 10) - 16)));
    meetBoth(
        [&](const auto& target) {
            return scripts(
                40, [&](auto number) { return bodyInChunks(target, number, chunk, maxBody / (64u << 10)); });
        },
        atOnce);
}

// Guards against the same with bodies whose framing is far larger than they are.
TEST_CASE("bodies in chunks of one byte")
{
    const auto chunk = shared(chunkOf("x"));
    meetBoth(
        [&](const auto& target) {
            return scripts(150, [&](auto number) { return bodyInChunks(target, number, chunk, 640u << 10); });
        },
        256u << 10);
}

// Guards against bodies that are read though their announced length is far over the limit.
TEST_CASE("bodies that are announced far over the limit")
{
    const auto unit = shared(randomText(64u << 10));
    const auto make = [&](const std::string& target) {
        return scripts(60, [&](std::size_t number) {
            client_script one;
            one.add(head(target, number, withLength(100 * maxBody)));
            one.add(unit, 2 * maxBody / unit->size());
            return one;
        });
    };
    meetBoth(make, atOnce);
}

// Guards against bodies far over the limit that are kept up to it.
TEST_CASE("bodies that are sent far over the limit")
{
    const auto chunk = shared(chunkOf(randomText((64u << 10) - 16)));
    meetBoth(
        [&](const auto& target) {
            return scripts(60,
                [&](auto number) { return bodyInChunks(target, number, chunk, 2 * maxBody / (64u << 10)); });
        },
        64u << 10);
}

// Guards against heads that take many times their size once they are parsed.
TEST_CASE("heads of many small fields without a body")
{
    std::string fields = withLength(1000);
    while (fields.size() < 15000)
        fields += "\r\na:b";
    const auto make = [&](const std::string& target) {
        return scripts(400, [&](std::size_t number) {
            client_script one;
            one.add(head(target, number, fields) + "xxxx");
            return one;
        });
    };
    meetBoth(make, inPieces);
}

// Guards against heads that never end, over as many connections as the smallest VMs have descriptors.
TEST_CASE("heads that stop short of their end")
{
    constexpr unsigned descriptors = 4100;
    rlimit limit {};
    ::getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &limit);
    small_system system(descriptors);
    std::string fields = "Accept: text/plain";
    while (fields.size() < 16000)
        fields += "\r\nX-Field: some longer value of a field";
    const auto make = [&](std::size_t number) {
        client_script one;
        auto text = head("/unsafe/x", number, fields);
        text.pop_back();
        one.add(std::move(text));
        return one;
    };
    system.meet(system.callers(), scripts(4300, make), inPieces);
}

// Guards against clients that keep all places of an entry by requests that they send as slowly as allowed, so
// that nobody else is served.
TEST_CASE("short requests that trickle over more connections than there are")
{
    small_system system;
    const auto make = [&](std::size_t number) {
        client_script one;
        one.add(head("/unsafe/x", number, withLength(1000)) + std::string(900, 'x'));
        one.slowBytes = 800;
        return one;
    };
    system.meet(system.callers(), scripts(900, make), inPieces);
}

// Guards against requests that are read before it is their turn, of clients that read no response.
TEST_CASE("requests that are sent without waiting for responses")
{
    constexpr unsigned descriptors = 4100;
    small_system system(descriptors);
    const auto unit = shared(randomText(60000));
    const auto make = [&](std::size_t number) {
        client_script one;
        const auto request = shared(head("/unsafe/x", number, withLength(unit->size())));
        for (int i = 0; i < 10; ++i) {
            one.add(request);
            one.add(unit);
        }
        one.reads = false;
        return one;
    };
    system.meet(system.callers(), scripts(1500, make), 64u << 10);
}

// Guards against jobs that are accepted beyond the memory of the batch process, and against accepted ones
// that are dropped for it.
TEST_CASE("whole jobs of the largest size")
{
    small_system system;
    const auto body = largeItemBody();
    std::vector<std::string> ids;
    const auto make = [&](std::size_t number) {
        ids.push_back("large-" + std::to_string(number));
        return largeJob(ids.back(), body, itemsOfJob);
    };
    std::vector<unsigned> statuses;
    {
        unruly_crowd crowd(system.callers(), scripts(40, make), atOnce);
        crowd.waitAnswered();
        statuses = crowd.statuses();
        system.requireOrdinaryAnswers();
    }
    for (std::size_t number = 0; number < ids.size(); ++number) {
        if (statuses[number] == accepted)
            system->allResults(system.entry, ids[number], itemsOfJob);
    }
    system.requireOrdinaryAnswers();
    system.checkHoldings();
}

// Guards against a job that takes its size anew each time it is submitted.
TEST_CASE("one job that is submitted many times at once")
{
    small_system system;
    const auto body = largeItemBody();
    for (const auto port : { system.callers(), system.inner() }) {
        const auto id = port == system.inner() ? std::string("again-inner") : std::string("again");
        std::vector<unsigned> statuses;
        {
            unruly_crowd crowd(
                port, scripts(40, [&](std::size_t) { return largeJob(id, body, itemsOfJob); }), atOnce);
            crowd.waitAnswered();
            statuses = crowd.statuses();
            system.requireOrdinaryAnswers();
        }
        if (std::find(statuses.begin(), statuses.end(), accepted) != statuses.end())
            system->allResults(system.entry, id, itemsOfJob);
    }
    system.requireOrdinaryAnswers();
    system.checkHoldings();
}

// Guards against submissions whose parsed document is many times as large as their text.
TEST_CASE("submissions of a million values")
{
    small_system system;
    const std::string value = "{},";
    const auto values = shared(std::string(R"({"notes":[)"));
    const std::string end = "{}]}";
    const auto count = (maxBody - values->size() - end.size()) / value.size();
    const auto length = values->size() + count * value.size() + end.size();
    const auto make = [&](std::size_t number) {
        client_script one;
        one.add(head("/jobs/1", number, withLength(length)));
        one.add(values);
        one.add(value, count);
        one.add(end);
        return one;
    };
    system.meet(system.callers(), scripts(10, make), atOnce);
    system.meet(system.inner(), scripts(10, make), atOnce);
}

// Guards against large responses that wait for callers who do not read them.
TEST_CASE("bodies of items that nobody reads")
{
    small_system system;
    const std::string id = "read";
    const auto body = largeItemBody(1);
    {
        unruly_crowd submitter(
            system.callers(), scripts(1, [&](std::size_t) { return largeJob(id, body, 1); }), atOnce);
        submitter.waitAnswered();
        REQUIRE(submitter.statuses().front() == accepted);
    }
    const auto make = [&](std::size_t) {
        client_script one;
        one.add("GET /items/" + id + "?id=" + id + "-0 HTTP/1.1\r\nHost: test.example\r\n\r\n");
        one.reads = false;
        return one;
    };
    system.meet(system.callers(), scripts(60, make), inPieces);
    system.meet(system.inner(), scripts(60, make), inPieces);
}

// Guards the project's own entry, which allows larger bodies, against the same crowd.
TEST_CASE("bodies at an entry of a deployment of its own")
{
    constexpr std::size_t memoryMb = 256;
    constexpr std::size_t bodyBytes = 16u << 20;
    test_system system;
    system.addEngine("engine-1", "a");
    system.addEntry("entry-1", "a", "memory_mb = " + std::to_string(memoryMb) + "\n");
    system.start();
    auto& node = system.at("entry-1");
    const holdings_watch watch(node.process->id(), node.http);
    const auto unit = shared(randomText(64u << 10));
    const auto make = [&](std::size_t) {
        client_script one;
        one.add("POST /v1/completions HTTP/1.1\r\nHost: test.example\r\nAuthorization: Bearer key-small\r\n"
            + withLength(bodyBytes) + "\r\n\r\n");
        one.add(unit, bodyBytes / unit->size() - 1);
        return one;
    };
    const auto requireAnswer = [&] {
        waitUntil("a request is answered", [&] { return system.complete("entry-1", "prompt", 5).whole; });
    };
    {
        unruly_crowd crowd(node.http, scripts(30, make), atOnce);
        crowd.waitSettled();
        requireAnswer();
    }
    requireAnswer();
    INFO("entry: " << watch.mostMemoryMb() << " MB, " << watch.mostDescriptors() << " descriptors");
    CHECK(node.process->running());
    CHECK(watch.mostMemoryMb() <= memoryMb);
    CHECK(watch.mostDescriptors() <= fewDescriptors);
}

// Guards against limits that a single caller meets: the largest body, with and without a length, and the
// largest job, at VMs as small as any.
TEST_CASE("the largest requests are served in calm")
{
    small_system system;
    const auto unit = shared(randomText(64u << 10));
    const auto chunk = shared(chunkOf(randomText((64u << 10) - 16)));
    const auto served = [&](const client_script& one, unsigned status) {
        unruly_crowd single(system.callers(), { one }, atOnce);
        single.waitAnswered();
        CHECK(single.statuses().front() == status);
    };
    served(bodyWithLength("/unsafe/x", 0, unit), 200);
    served(bodyInChunks("/unsafe/x", 0, chunk, maxBody / (64u << 10)), 200);
    for (const std::size_t items : { 1, 10, 200 }) {
        const auto id = "calm-" + std::to_string(items);
        served(largeJob(id, largeItemBody(items), items), accepted);
        CHECK(system->allResults(system.entry, id, items).size() == items);
    }
    system.requireOrdinaryAnswers();
    system.checkHoldings();
}
