#include "platform_system.h"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <atomic>
#include <mutex>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace yuccachute;
using namespace yuccachute::testing;

namespace {

constexpr int events = 12;
/// Share of the requests served before that must still be served.
constexpr double leastServed = 0.75;
constexpr milliseconds requestInterval { 25 };
constexpr milliseconds connectionInterval { 8 };
constexpr milliseconds calmTime { 3000 };
constexpr milliseconds crowdTime { 7000 };

/// Connections that each bring one request and then stay open.
class kept_connections {
public:
    ~kept_connections()
    {
        for (const int one : m_sockets)
            ::close(one);
    }

    void open(std::uint16_t port)
    {
        const int one = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (::connect(one, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0) {
            const std::string request
                = "GET /plain/x HTTP/1.1\r\nHost: test.example\r\nYuccachute-Request-Id: kept-"
                + std::to_string(m_sockets.size()) + "\r\nYuccachute-Deadline-Ms: 2000\r\n\r\n";
            (void)::send(one, request.data(), request.size(), MSG_NOSIGNAL);
        }
        m_sockets.push_back(one);
    }
    std::size_t size() const { return m_sockets.size(); }

private:
    std::vector<int> m_sockets;
};

/// Streams that are sent at an interval, each over a new connection, to an entry that `choose` names.
struct stream_load {
    std::atomic<int> sent { 0 };
    std::atomic<int> served { 0 };

    void run(platform_system& system, milliseconds time, const std::string& name,
        const std::function<std::uint16_t(int)>& choose)
    {
        std::vector<std::thread> running;
        const auto until = std::chrono::steady_clock::now() + time;
        for (int number = 0; std::chrono::steady_clock::now() < until; ++number) {
            const auto id = name + "-" + std::to_string(number);
            running.emplace_back([this, &system, id, port = choose(number)] {
                ++sent;
                const auto reply = system.call(port, "POST", "/resumable/x",
                    platform_system::requestHeaders(id, events), "prompt", milliseconds { 2000 });
                if (reply && reply.value().body == platform_system::wholeStream(id, events))
                    ++served;
            });
            std::this_thread::sleep_for(requestInterval);
        }
        for (auto& thread : running)
            thread.join();
    }
    double share() const { return static_cast<double>(served) / sent; }
};

} // namespace

// Guards against requests that are not read, and calls between processes that wait, while most new
// connections come to one entry and stay open.
TEST_CASE("an entry that gets most new connections of the fleet serves them, and the others go on")
{
    platform_layout layout;
    layout.zones = { { "a", 3, 1, 6 }, { "b", 3, 1, 6 } };
    platform_system system(layout);
    std::vector<std::uint16_t> ports;
    for (const auto& [name, process] : system.entries)
        ports.push_back(process.callers);
    const auto anyPort = [&](int number) { return ports[static_cast<std::size_t>(number) % ports.size()]; };
    stream_load calm;
    calm.run(system, calmTime, "calm", anyPort);

    const auto crowded = ports.front();
    stream_load atOne;
    stream_load elsewhere;
    kept_connections kept;
    std::atomic<bool> stopped { false };
    std::thread opener([&] {
        while (!stopped) {
            kept.open(crowded);
            std::this_thread::sleep_for(connectionInterval);
        }
    });
    std::thread others([&] {
        elsewhere.run(system, crowdTime, "elsewhere", [&](int number) { return ports[1 + number % 5]; });
    });
    atOne.run(system, crowdTime, "crowd", [&](int) { return crowded; });
    others.join();
    stopped = true;
    opener.join();
    CAPTURE(calm.sent, calm.served, atOne.sent, atOne.served, elsewhere.sent, elsewhere.served, kept.size());
    CHECK(calm.share() > 0.9);
    CHECK(atOne.share() >= leastServed * calm.share());
    CHECK(elsewhere.share() >= leastServed * calm.share());
    // More than an entry has room for: 500 by the descriptors of this layout.
    CHECK(kept.size() > 550);
}
