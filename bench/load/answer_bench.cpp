/// Measures how fast answers are read: a stream of ordinary events through http_client and event_splitter,
/// and single large events through event_splitter alone. Prints one line a case: bytes a second.
#include "serving/serving.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <thread>

using namespace yuccachute;

namespace {

constexpr std::size_t streamEvents = 300'000;
constexpr std::size_t pieceBytes = 8u << 10; ///< As http_client reads them.

/// Processor time of the calling thread, which the load of a shared machine distorts less than elapsed time.
double threadSeconds()
{
    timespec spent {};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
    return static_cast<double>(spent.tv_sec) + static_cast<double>(spent.tv_nsec) / 1e9;
}

void print(const char* name, std::size_t bytes, double seconds)
{
    std::printf("%s %.1f MB/s\n", name, static_cast<double>(bytes) / seconds / 1e6);
}

/// An answer in chunks of one event each, as targets send them.
std::string chunkedAnswer()
{
    std::string text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (std::size_t id = 1; id <= streamEvents; ++id) {
        const auto event = "id: " + std::to_string(id)
            + "\ndata: {\"token\":\"word\",\"index\":" + std::to_string(id) + ",\"finish\":null}\n\n";
        char size[24];
        std::snprintf(size, sizeof size, "%zx\r\n", event.size());
        text.append(size).append(event).append("\r\n");
    }
    return text + "0\r\n\r\n";
}

void measureStream()
{
    const auto answer = chunkedAnswer();
    const int listening = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof address;
    if (::bind(listening, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0
        || ::listen(listening, 1) != 0
        || ::getsockname(listening, reinterpret_cast<sockaddr*>(&address), &length) != 0)
        std::exit(1);
    std::thread server([&] {
        const int peer = ::accept(listening, nullptr, nullptr);
        char request[1024];
        (void)::recv(peer, request, sizeof request, 0);
        for (std::size_t sent = 0; sent < answer.size();) {
            const auto count = ::send(peer, answer.data() + sent, answer.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                break;
            sent += static_cast<std::size_t>(count);
        }
        ::close(peer);
    });

    event_loop loop;
    http_client client(loop, {});
    event_splitter splitter;
    client_call_options options;
    options.deadline = std::chrono::steady_clock::now() + std::chrono::seconds { 60 };
    client_call_events events;
    events.body = [&](std::string_view piece) {
        splitter.feed(piece);
        return true;
    };
    events.whole = [&] { loop.stop(); };
    events.failed = [&](const failure& error) {
        std::printf("failed: %s\n", error.message.c_str());
        loop.stop();
    };
    const auto begin = threadSeconds();
    const auto call = client.start(
        "127.0.0.1:" + std::to_string(ntohs(address.sin_port)), {}, options, std::move(events));
    loop.run();
    const auto spent = threadSeconds() - begin;
    server.join();
    ::close(listening);
    if (splitter.events() != streamEvents)
        std::exit(1);
    print("stream of ordinary events:", answer.size(), spent);
}

void measureEvent(std::size_t megabytes)
{
    const auto event = "data: " + std::string(megabytes << 20, 'x') + "\n\n";
    event_splitter splitter;
    const auto begin = threadSeconds();
    for (std::string_view rest = event; !rest.empty(); rest.remove_prefix(std::min(pieceBytes, rest.size())))
        splitter.feed(rest.substr(0, pieceBytes));
    const auto spent = threadSeconds() - begin;
    if (splitter.events() != 1)
        std::exit(1);
    print(("one event of " + std::to_string(megabytes) + " MB:").c_str(), event.size(), spent);
}

} // namespace

int main()
{
    measureStream();
    for (const std::size_t megabytes : { 1, 4, 16 })
        measureEvent(megabytes);
}
