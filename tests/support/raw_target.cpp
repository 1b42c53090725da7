#include "raw_target.h"

#include "harness.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace yuccachute::testing {

namespace {

/// The acceptor looks this often whether it has to stop.
constexpr int acceptPollMs = 50;
/// A peer that has stopped reading is looked at this often.
constexpr int blockedPollMs = 20;
constexpr std::string_view idPlaceholder = "{id}";
/// Until all processes know a target that was just listed.
constexpr milliseconds listingDelay { 300 };

std::string valueOf(const std::string& head, const std::string& name)
{
    const auto found = head.find("\r\n" + name + ": ");
    if (found == std::string::npos)
        return {};
    const auto begin = found + name.size() + 4;
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

/// Reads up to the end of the head; the body, which is short, stays unread.
std::string readHead(int connection)
{
    std::string head;
    char piece[4096];
    while (head.find("\r\n\r\n") == std::string::npos) {
        const auto count = ::recv(connection, piece, sizeof piece, 0);
        if (count <= 0)
            return {};
        head.append(piece, static_cast<std::size_t>(count));
    }
    return head;
}

std::string withLength(const std::string& id, const std::string& type, const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nConnection: close\r\nYuccachute-Request-Id: " + id + "\r\nContent-Type: "
        + type + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string soundAnswer(const std::string& head, const std::string& id)
{
    if (head.starts_with("GET /report"))
        return withLength(id, "application/json", R"({"running":0,"waiting":0,"runs":[]})");
    if (head.starts_with("GET "))
        return withLength(id, "text/plain", "plain " + id);
    const auto tokens = valueOf(head, "Yuccachute-Token-Count");
    const auto resumed = valueOf(head, "Last-Event-Id");
    std::string events;
    for (int i = resumed.empty() ? 1 : std::stoi(resumed) + 1;
         i <= std::stoi(tokens.substr(tokens.find(',') + 1)); ++i)
        events += "id: " + std::to_string(i) + "\ndata: " + id + "-" + std::to_string(i) + "\n\n";
    return withLength(id, "text/event-stream", events);
}

std::string filledIn(std::string text, const std::string& id)
{
    for (auto at = text.find(idPlaceholder); at != std::string::npos;
         at = text.find(idPlaceholder, at + id.size()))
        text.replace(at, idPlaceholder.size(), id);
    return text;
}

/// Sends all of it; false once the peer has closed the connection or the time is over.
bool sendAll(int connection, std::string_view bytes, steady_time until)
{
    while (!bytes.empty()) {
        const auto count = ::send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count > 0) {
            bytes.remove_prefix(static_cast<std::size_t>(count));
            continue;
        }
        if (errno != EAGAIN && errno != EINTR)
            return false;
        pollfd writable { connection, POLLOUT, 0 };
        ::poll(&writable, 1, blockedPollMs);
        if ((writable.revents & (POLLERR | POLLHUP)) != 0 || std::chrono::steady_clock::now() >= until)
            return false;
    }
    return true;
}

/// Reads the rest of the request, so that the close does not reset the connection under the answer.
void finish(int connection)
{
    ::shutdown(connection, SHUT_WR);
    char piece[4096];
    while (::recv(connection, piece, sizeof piece, 0) > 0) { }
    ::close(connection);
}

/// Sends the answer and ends the connection.
void sendBrokenAnswer(int connection, const broken_answer& answer, const std::string& id)
{
    sendAll(
        connection, filledIn(answer.bytes, id), std::chrono::steady_clock::now() + raw_target::longestAnswer);
    if (!answer.resetAfter)
        return finish(connection);
    std::this_thread::sleep_for(*answer.resetAfter);
    const linger sendReset { 1, 0 };
    ::setsockopt(connection, SOL_SOCKET, SO_LINGER, &sendReset, sizeof sendReset);
    ::close(connection);
}

} // namespace

raw_target::raw_target()
    : m_port(freePort())
    , m_listener(::socket(AF_INET, SOCK_STREAM, 0))
{
    const int reuse = 1;
    ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(m_port);
    if (::bind(m_listener, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0
        || ::listen(m_listener, 128) != 0)
        throw std::runtime_error("the raw target cannot listen");
    m_acceptor = std::thread([this] { accept(); });
}

raw_target::~raw_target()
{
    m_stopped = true;
    m_acceptor.join();
    while (m_open != 0)
        std::this_thread::sleep_for(milliseconds { 5 });
    ::close(m_listener);
}

void raw_target::sendEndless(endless_bytes bytes, answers which)
{
    const std::scoped_lock lock(m_mutex);
    m_bytes = std::move(bytes);
    m_broken.reset();
    m_inRuns = which != answers::reports;
    m_inReports = which != answers::runs;
}

void raw_target::sendBroken(broken_answer answer, answers which)
{
    const std::scoped_lock lock(m_mutex);
    m_broken = std::move(answer);
    m_inRuns = which != answers::reports;
    m_inReports = which != answers::runs;
}

void raw_target::answerSoundly()
{
    const std::scoped_lock lock(m_mutex);
    m_inRuns = m_inReports = false;
}

std::vector<raw_target::endless_answer> raw_target::takeAnswers()
{
    waitUntil("the endless answers are closed", [this] { return m_underWay == 0; });
    const std::scoped_lock lock(m_mutex);
    return std::exchange(m_answers, {});
}

void raw_target::accept()
{
    while (!m_stopped) {
        pollfd readable { m_listener, POLLIN, 0 };
        if (::poll(&readable, 1, acceptPollMs) <= 0)
            continue;
        const int connection = ::accept(m_listener, nullptr, nullptr);
        if (connection < 0)
            continue;
        // Bounds the reads of requests and of their rests.
        const timeval patience { 1, 0 };
        ::setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
        ++m_open;
        std::thread([this, connection] {
            serve(connection);
            --m_open;
        }).detach();
    }
}

void raw_target::serve(int connection)
{
    const auto head = readHead(connection);
    if (head.empty()) {
        ::close(connection);
        return;
    }
    const auto id = valueOf(head, "Yuccachute-Request-Id");
    endless_bytes bytes;
    std::optional<broken_answer> broken;
    bool endless = false;
    {
        const std::scoped_lock lock(m_mutex);
        const bool unsound = head.starts_with("GET /report") ? m_inReports : m_inRuns;
        if (unsound)
            broken = m_broken;
        endless = unsound && !broken;
        bytes = m_bytes;
        m_underWay += endless ? 1 : 0;
    }
    if (broken) {
        ++m_brokenAnswers;
        return sendBrokenAnswer(connection, *broken, id);
    }
    if (endless) {
        sendEndlessly(connection, bytes, { id, head.starts_with("GET "), false, {}, 0 });
        ::close(connection);
        return;
    }
    sendAll(connection, soundAnswer(head, id), std::chrono::steady_clock::now() + longestAnswer);
    finish(connection);
}

void raw_target::sendEndlessly(int connection, const endless_bytes& bytes, endless_answer answer)
{
    const auto began = std::chrono::steady_clock::now();
    const auto until = began + longestAnswer;
    bool open = sendAll(connection, filledIn(bytes.prefix, answer.requestId), until);
    for (std::uint64_t n = 0; open; ++n) {
        const auto piece = bytes.piece(n);
        open = sendAll(connection, piece, until) && std::chrono::steady_clock::now() < until;
        answer.bytes += piece.size();
    }
    const auto ended = std::chrono::steady_clock::now();
    answer.closed = ended < until;
    answer.open = std::chrono::duration_cast<milliseconds>(ended - began);
    const std::scoped_lock lock(m_mutex);
    m_answers.push_back(std::move(answer));
    --m_underWay;
}

listed_raw_targets::listed_raw_targets(
    platform_system& system, unsigned number, std::vector<std::string> zones, int slots)
    : m_system(system)
    , m_zones(std::move(zones))
    , m_slots(slots)
{
    for (unsigned i = 0; i < number; ++i)
        targets.push_back(std::make_unique<raw_target>());
}

void listed_raw_targets::listAnew()
{
    const auto key = [](std::size_t target, int listing) {
        return "servers/raw-" + std::to_string(target) + "-" + std::to_string(listing);
    };
    ++m_listings;
    for (std::size_t i = 0; i < targets.size(); ++i) {
        const nlohmann::json listed { { "service", "llm" }, { "address", targets[i]->address() },
            { "zone", m_zones[i % m_zones.size()] }, { "version", "v1" }, { "slots", m_slots },
            { "state", "ready" }, { "cold_left_ms", 0 }, { "call_seq", 0 } };
        m_system.control("/remove?key=" + key(i, m_listings - 1));
        m_system.control("/put?key=" + key(i, m_listings), listed.dump());
    }
    std::this_thread::sleep_for(listingDelay);
}

} // namespace yuccachute::testing
