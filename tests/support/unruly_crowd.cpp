#include "unruly_crowd.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <optional>
#include <sstream>

namespace yuccachute::testing {

using namespace std::chrono_literals;

namespace {

constexpr auto slowInterval = 200ms;
/// A server that has not read or closed a connection for so long does not intend to.
constexpr auto stillTime = 2s;
constexpr auto mostTime = 60s;
constexpr auto sampleInterval = 25ms;

int connectTo(std::uint16_t port)
{
    const int one = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    (void)::connect(one, reinterpret_cast<sockaddr*>(&address), sizeof address);
    return one;
}

std::size_t sizeOf(const client_script& script)
{
    std::size_t bytes = 0;
    for (const auto& part : script.parts)
        bytes += part.text->size() * part.times;
    return bytes;
}

/// Appends the bytes of the script from an offset on, at most `most`.
void copyBytes(const client_script& script, std::size_t offset, std::size_t most, std::string& into)
{
    for (const auto& part : script.parts) {
        const auto all = part.text->size() * part.times;
        if (offset >= all) {
            offset -= all;
            continue;
        }
        while (offset < all && into.size() < most) {
            const auto begin = offset % part.text->size();
            const auto count = std::min(part.text->size() - begin, most - into.size());
            into.append(*part.text, begin, count);
            offset += count;
        }
        offset = 0;
        if (into.size() == most)
            return;
    }
}

} // namespace

struct unruly_crowd::client {
    explicit client(client_script given)
        : script(std::move(given))
        , total(sizeOf(script))
        , prompt(total - std::min(total, script.slowBytes))
    {
    }

    client_script script;
    std::size_t total;
    std::size_t prompt; ///< Bytes that are sent without delay.
    std::size_t sent = 0;
    int socket = -1;
    std::string head; ///< First bytes received.
    unsigned status = 0;
};

unruly_crowd::unruly_crowd(std::uint16_t port, std::vector<client_script> scripts, std::size_t turnBytes)
    : m_port(port)
    , m_turnBytes(turnBytes)
{
    for (auto& script : scripts)
        m_clients.push_back(std::make_unique<client>(std::move(script)));
    m_thread = std::thread([this] { run(); });
}

unruly_crowd::~unruly_crowd()
{
    m_stopped = true;
    m_thread.join();
    for (const auto& one : m_clients) {
        if (one->socket >= 0)
            ::close(one->socket);
    }
}

/// Returns whether any byte was sent.
bool unruly_crowd::send(client& one, bool slowly) const
{
    const auto end = slowly ? one.total : one.prompt;
    if (one.sent >= end)
        return false;
    std::string bytes;
    copyBytes(one.script, one.sent, slowly ? 1 : std::min(m_turnBytes, end - one.sent), bytes);
    const auto count = ::send(one.socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (count > 0)
        one.sent += static_cast<std::size_t>(count);
    return count > 0;
}

/// Returns false once the connection has ended.
bool unruly_crowd::receive(client& one) const
{
    std::array<char, 65536> buffer;
    const auto count = ::recv(one.socket, buffer.data(), buffer.size(), 0);
    if (count <= 0)
        return count < 0 && (errno == EAGAIN || errno == EINTR);
    constexpr std::size_t statusEnd = 12; // "HTTP/1.1 200"
    const std::scoped_lock lock(m_mutex);
    if (one.head.size() < statusEnd)
        one.head.append(buffer.data(), std::min<std::size_t>(statusEnd, static_cast<std::size_t>(count)));
    if (one.status == 0 && one.head.size() >= statusEnd)
        one.status = static_cast<unsigned>(std::stoi(one.head.substr(9, 3)));
    return true;
}

void unruly_crowd::run()
{
    using clock = std::chrono::steady_clock;
    for (const auto& one : m_clients)
        one->socket = connectTo(m_port);
    const auto started = clock::now();
    auto moved = started;
    auto nextSlow = started;
    std::vector<pollfd> polled(m_clients.size());
    while (!m_stopped) {
        const auto now = clock::now();
        const bool slowly = m_settled && now >= nextSlow;
        if (slowly)
            nextSlow = now + slowInterval;
        bool unfinished = false;
        for (std::size_t i = 0; i < m_clients.size(); ++i) {
            const auto& one = *m_clients[i];
            const bool sends = one.socket >= 0 && (one.sent < one.prompt || (slowly && one.sent < one.total));
            unfinished = unfinished || (one.socket >= 0 && one.sent < one.prompt);
            // Without events, poll() still tells that a connection was reset.
            polled[i] = { one.socket,
                static_cast<short>((one.script.reads ? POLLIN : 0) | (sends ? POLLOUT : 0)), 0 };
        }
        m_settled = m_settled || !unfinished || now - moved > stillTime || now - started > mostTime;
        ::poll(polled.data(), polled.size(), 20);
        for (std::size_t i = 0; i < m_clients.size(); ++i) {
            auto& one = *m_clients[i];
            const auto events = polled[i].revents;
            if (one.socket < 0 || events == 0)
                continue;
            if ((events & POLLOUT) && send(one, one.sent >= one.prompt))
                moved = clock::now();
            const bool ended = (events & (POLLERR | POLLHUP)) && !(events & POLLIN);
            if (ended || ((events & POLLIN) && !receive(one))) {
                ::close(one.socket);
                const std::scoped_lock lock(m_mutex);
                one.socket = -1;
            }
        }
    }
}

void unruly_crowd::waitSettled()
{
    while (!m_settled)
        std::this_thread::sleep_for(sampleInterval);
}

void unruly_crowd::waitAnswered()
{
    waitSettled();
    const auto until = std::chrono::steady_clock::now() + mostTime;
    const auto waits = [&] {
        const std::scoped_lock lock(m_mutex);
        return std::any_of(m_clients.begin(), m_clients.end(),
            [](const auto& one) { return one->socket >= 0 && one->status == 0; });
    };
    while (waits() && std::chrono::steady_clock::now() < until)
        std::this_thread::sleep_for(sampleInterval);
}

std::vector<unsigned> unruly_crowd::statuses() const
{
    const std::scoped_lock lock(m_mutex);
    std::vector<unsigned> all;
    for (const auto& one : m_clients)
        all.push_back(one->status);
    return all;
}

std::size_t unruly_crowd::open() const
{
    const std::scoped_lock lock(m_mutex);
    return static_cast<std::size_t>(
        std::count_if(m_clients.begin(), m_clients.end(), [](const auto& one) { return one->socket >= 0; }));
}

// --- Holdings

namespace {

/// A field of /proc/PID/status, in bytes.
std::size_t statusField(int process, const std::string& name)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(file, line);) {
        if (line.rfind(name + ':', 0) == 0)
            return std::stoul(line.substr(name.size() + 1)) << 10;
    }
    return 0;
}

/// Bytes that have arrived at the connections of this port and were not read.
std::size_t unreadBytes(std::uint16_t port)
{
    std::array<char, 8> wanted;
    std::snprintf(wanted.data(), wanted.size(), ":%04X", port);
    constexpr const char* listening = "0A";
    std::ifstream file("/proc/net/tcp");
    std::string line;
    std::getline(file, line);
    std::size_t bytes = 0;
    while (std::getline(file, line)) {
        std::istringstream fields(line);
        std::string number;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues;
        fields >> number >> local >> remote >> state >> queues;
        if (local.ends_with(wanted.data()) && state != listening)
            bytes += std::stoul(queues.substr(queues.find(':') + 1), nullptr, 16);
    }
    return bytes;
}

std::size_t openDescriptors(int process)
{
    std::error_code error;
    const std::filesystem::directory_iterator all("/proc/" + std::to_string(process) + "/fd", error);
    return error ? 0 : static_cast<std::size_t>(std::distance(begin(all), end(all)));
}

void raise(std::atomic<std::size_t>& most, std::size_t value)
{
    most = std::max(most.load(), value);
}

} // namespace

holdings_watch::holdings_watch(int process, std::uint16_t port)
    : m_process(process)
    , m_port(port)
{
    sample();
    m_thread = std::thread([this] {
        while (!m_stopped) {
            sample();
            std::this_thread::sleep_for(sampleInterval);
        }
    });
}

holdings_watch::~holdings_watch()
{
    m_stopped = true;
    m_thread.join();
}

void holdings_watch::sample()
{
    const auto unread = unreadBytes(m_port);
    raise(m_mostUnread, unread);
    raise(m_mostMemory, statusField(m_process, "VmRSS") + unread);
    raise(m_mostDescriptors, openDescriptors(m_process));
}

std::size_t holdings_watch::mostMemoryMb() const
{
    return std::max(m_mostMemory.load(), statusField(m_process, "VmHWM")) >> 20;
}

} // namespace yuccachute::testing
