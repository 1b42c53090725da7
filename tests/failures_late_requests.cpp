#include "platform_system.h"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <csignal>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace yuccachute;
using namespace yuccachute::testing;

namespace {

constexpr int eventMs = 10;
/// A run of this many events takes longer than what is left of the grace period of 6 s, and less than the
/// deadline.
constexpr int longRun = 900;
constexpr int shortRun = 3;
constexpr milliseconds longDeadline { 20000 };
constexpr milliseconds shortDeadline { 600 };
/// Users stop a process by SIGTERM, and kill it after its grace period.
constexpr milliseconds gracePeriod { 6000 };

/// One request over a connection of its own, which can be sent in two parts.
class raw_request {
public:
    raw_request(std::uint16_t port, std::string id, const std::string& head, std::string body)
        : id(std::move(id))
        , m_head(head)
        , m_body(std::move(body))
        , m_socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(::connect(m_socket, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
    }
    ~raw_request() { ::close(m_socket); }
    raw_request(const raw_request&) = delete;
    raw_request& operator=(const raw_request&) = delete;

    void begin() { write(m_head + m_body.substr(0, m_body.size() / 2)); }
    void finish() { write(m_body.substr(m_body.size() / 2)); }
    void send()
    {
        begin();
        finish();
    }

    /// Reads until the connection ends.
    void receive()
    {
        const timeval patience { 10, 0 };
        ::setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
        char piece[16384];
        for (ssize_t count = 1; count > 0;) {
            count = ::recv(m_socket, piece, sizeof piece, 0);
            if (count > 0)
                response.append(piece, static_cast<std::size_t>(count));
        }
    }

    unsigned status() const
    {
        return response.starts_with("HTTP/1.1 ") ? static_cast<unsigned>(std::stoul(response.substr(9, 3)))
                                                 : 0;
    }
    bool chunked() const { return response.find("Transfer-Encoding: chunked") != std::string::npos; }
    /// Whether all that its framing announces has come.
    bool whole() const
    {
        if (chunked())
            return response.ends_with("0\r\n\r\n");
        const auto body = response.find("\r\n\r\n");
        const auto length = response.find("Content-Length: ");
        return body != std::string::npos && length < body
            && response.size() - body - 4 == std::stoul(response.substr(length + 16));
    }

    const std::string id;
    std::string response;

private:
    void write(const std::string& bytes) { ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL); }

    std::string m_head;
    std::string m_body;
    int m_socket;
};

/// Two entries, one of which is stopped.
class stopped_entry {
public:
    stopped_entry()
        : system(layout())
    {
        system.control("/config?timeout=" + std::to_string(longDeadline.count()));
        std::this_thread::sleep_for(milliseconds { 1000 });
    }

    std::unique_ptr<raw_request> open(const std::string& route, const std::string& id, int events,
        milliseconds deadline, const std::string& body = std::string(2000, 'b'))
    {
        const auto head = "POST /" + route + "/x HTTP/1.1\r\nHost: test.example\r\nYuccachute-Request-Id: "
            + id + "\r\nYuccachute-Deadline-Ms: " + std::to_string(deadline.count())
            + "\r\nYuccachute-Token-Count: 100," + std::to_string(events)
            + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        return std::make_unique<raw_request>(port(), id, head, body);
    }

    std::uint16_t port() { return system.entries.at("entry-a-1").callers; }

    void stop()
    {
        system.entries.at("entry-a-1").running->signal(SIGTERM);
        m_stoppedMs = steadyMs();
    }

    /// Waits until so long after the signal.
    void waitUntilMs(std::int64_t time) const
    {
        std::this_thread::sleep_for(
            milliseconds { std::max<std::int64_t>(m_stoppedMs + time - steadyMs(), 0) });
    }

    /// The process must have ended by itself within its grace period.
    void checkEnded()
    {
        CHECK(system.entries.at("entry-a-1").running->wait() == 0);
        CHECK(milliseconds { steadyMs() - m_stoppedMs } < gracePeriod);
    }

    platform_system system;

private:
    static platform_layout layout()
    {
        platform_layout made;
        made.eventMs = eventMs;
        made.slots = 24;
        made.zones = { { "a", 2, 1, 2 } };
        return made;
    }

    std::int64_t m_stoppedMs = 0;
};

/// Whether the response says that the request has not run, and no target has run it.
bool refused(stopped_entry& entry, const raw_request& request)
{
    return request.status() == 503 && request.whole() && entry.system.runsOf(request.id).empty();
}

} // namespace

// Guards against requests whose last bytes come late in a stop: they were passed on, however little of the
// grace period was left, and at its end their connections were closed without a response.
TEST_CASE("a request that is complete late in a stop is refused before it is passed on, or answered")
{
    stopped_entry entry;
    struct late_request {
        std::unique_ptr<raw_request> request;
        std::int64_t beginMs;
        std::int64_t endMs;
    };
    std::vector<late_request> late;
    const auto add = [&](const std::string& route, std::int64_t beginMs, std::int64_t endMs) {
        const auto id = route + "-" + std::to_string(beginMs);
        late.push_back({ entry.open(route, id, longRun, longDeadline), beginMs, endMs });
    };
    for (const std::string route : { "unsafe", "once", "resumable" }) {
        add(route, 2200, 4500);
        add(route, 2500, 5300);
        add(route, 2700, 5500);
        add(route, 2800, 3300);
    }
    late.push_back({ entry.open("jobs", "late-job", shortRun, longDeadline,
                         platform_system::submission("late-job", 2, shortRun)),
        2600, 4800 });
    // What is left of the grace period is enough for these.
    std::vector<std::unique_ptr<raw_request>> quick;
    for (int i = 0; i < 4; ++i)
        quick.push_back(entry.open("unsafe", "quick-" + std::to_string(i), shortRun, shortDeadline));
    const auto quickJob = entry.open(
        "jobs", "quick-job", shortRun, longDeadline, platform_system::submission("quick-job", 2, shortRun));
    entry.stop();
    std::vector<std::thread> callers;
    for (auto& one : late)
        callers.emplace_back([&] {
            entry.waitUntilMs(one.beginMs);
            one.request->begin();
            entry.waitUntilMs(one.endMs);
            one.request->finish();
            one.request->receive();
        });
    entry.waitUntilMs(2600);
    for (auto& one : quick)
        one->begin();
    quickJob->begin();
    entry.waitUntilMs(3300);
    quickJob->finish();
    quickJob->receive();
    for (auto& one : quick) {
        one->finish();
        one->receive();
    }
    for (auto& caller : callers)
        caller.join();
    entry.checkEnded();
    for (const auto& one : late) {
        CAPTURE(one.request->id, one.request->response.substr(0, 200));
        CHECK(refused(entry, *one.request));
    }
    const auto job = entry.system.call(
        entry.system.entries.at("entry-a-2").callers, "GET", "/lots/late-job?after=0", {}, "");
    REQUIRE(job);
    CHECK(job.value().status == 404);
    CAPTURE(quickJob->response.substr(0, 200));
    CHECK(quickJob->status() == 202);
    entry.system.allResults("entry-a-2", "quick-job", 2);
    int served = 0;
    for (const auto& one : quick) {
        CAPTURE(one->response.substr(0, 200));
        CHECK(one->whole());
        CHECK((one->status() == 200 || refused(entry, *one)));
        served += one->status() == 200 ? 1 : 0;
    }
    CHECK(served > 0);
}

// Guards against connections that are closed without a response at the end of a stop, although a target may
// have run their requests.
TEST_CASE("requests that still run at the end of a stop get a response that promises nothing")
{
    stopped_entry entry;
    const auto plain = entry.open("unsafe", "plain", longRun, longDeadline);
    const auto stream = entry.open("once", "stream", longRun, longDeadline);
    REQUIRE(entry.system.submit("entry-a-2", "job", 1, longRun) == 202);
    raw_request read(entry.port(), "read",
        "GET /lots/job?after=0 HTTP/1.1\r\nHost: test.example\r\nYuccachute-Wait-Ms: 20000\r\n\r\n", "");
    entry.stop();
    entry.waitUntilMs(2000);
    for (auto* request : { plain.get(), stream.get(), &read })
        request->send();
    for (auto* request : { plain.get(), stream.get(), &read })
        request->receive();
    entry.checkEnded();
    CAPTURE(plain->response.substr(0, 200), stream->response.substr(0, 300), read.response.substr(0, 200));
    // A busy machine may refuse them for want of a slot.
    if (!refused(entry, *plain)) {
        CHECK((plain->status() == 502 || plain->status() == 504));
        CHECK(plain->whole());
        CHECK(entry.system.runsOf("plain").size() == 1);
    }
    if (!refused(entry, *stream)) {
        CHECK(stream->status() == 200);
        CHECK(!stream->whole());
    }
    CHECK(((read.status() == 200 || read.status() >= 500) && read.whole()));
}
