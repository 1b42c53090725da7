/// Fuzz run of the reader of answers: sound answers in random framing and pieces must arrive whole, and the
/// same answers cut or mutated must neither end the process nor arrive as a longer body than was sent. Usage:
/// fuzz_answers [SECONDS [SEED]]
#include "http/http.h"

#include <boost/asio/io_context.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <random>

using namespace yuccachute;

namespace {

struct answer {
    std::string bytes;
    std::string body;
    bool endsByClose = false;
};

class generator {
public:
    explicit generator(std::uint64_t seed)
        : m_random(seed)
    {
    }

    std::size_t below(std::size_t limit) { return m_random() % limit; }

    std::string text(std::size_t maxLength)
    {
        constexpr std::string_view letters = "0\r\n :;x1data";
        std::string made(below(maxLength + 1), ' ');
        for (auto& letter : made)
            letter = letters[below(letters.size())];
        return made;
    }

    answer next()
    {
        answer made;
        made.body = text(below(4) == 0 ? 20000 : 12);
        for (auto interims = below(3); interims > 0; --interims)
            made.bytes += "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
        made.bytes += "HTTP/1.1 200 OK\r\n";
        const auto framing = below(3);
        if (framing == 0)
            made.bytes += "Content-Length: " + std::to_string(made.body.size()) + "\r\n\r\n" + made.body;
        else if (framing == 1)
            made.bytes += "Transfer-Encoding: chunked\r\n\r\n" + chunked(made.body);
        else
            made.bytes += "\r\n" + made.body;
        made.endsByClose = framing == 2;
        return made;
    }

    std::string mutated(std::string bytes)
    {
        for (auto changes = 1 + below(3); changes > 0 && !bytes.empty(); --changes) {
            const auto at = below(bytes.size());
            const auto what = below(3);
            if (what == 0)
                bytes[at] = static_cast<char>(below(256));
            else if (what == 1)
                bytes.erase(at, 1 + below(8));
            else
                bytes.resize(at);
        }
        return bytes;
    }

private:
    std::string chunked(std::string_view body)
    {
        std::string framed;
        while (!body.empty()) {
            const auto piece = body.substr(0, 1 + below(body.size()));
            body.remove_prefix(piece.size());
            char size[24];
            std::snprintf(size, sizeof size, below(2) ? "%zx" : "%08zx", piece.size());
            framed.append(size).append(below(4) ? "" : ";a=b").append("\r\n").append(piece).append("\r\n");
        }
        return framed + "0\r\n" + (below(3) ? "" : "X-Trailer: value\r\n") + "\r\n";
    }

    std::mt19937_64 m_random;
};

/// A listening socket whose connections are served on the client's thread, so that a seed repeats a run.
class piecewise_server {
public:
    piecewise_server()
        : m_listening(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in local {};
        local.sin_family = AF_INET;
        local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof local;
        if (::bind(m_listening, reinterpret_cast<sockaddr*>(&local), sizeof local) != 0
            || ::listen(m_listening, 1) != 0
            || ::getsockname(m_listening, reinterpret_cast<sockaddr*>(&local), &length) != 0)
            std::exit(2);
        m_address = "127.0.0.1:" + std::to_string(ntohs(local.sin_port));
    }
    ~piecewise_server() { ::close(m_listening); }

    /// Returns the body that the client takes for whole, or nothing if the call failed.
    std::optional<std::string> answer(std::string_view bytes, generator& random)
    {
        event_loop loop;
        http_client client(loop, {});
        client_call_options options;
        options.deadline = std::chrono::steady_clock::now() + milliseconds { 1000 };
        options.acceptUnframed = true;
        std::optional<result<http_reply>> outcome;
        client.fetch(m_address, {}, options, [&](result<http_reply> reply) { outcome = std::move(reply); });
        loop.runFor(milliseconds { 1 });
        const int peer = ::accept(m_listening, nullptr, nullptr);
        const int on = 1;
        ::setsockopt(peer, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        char request[1024]; // Read, because closing a socket with unread bytes resets the connection.
        while (::recv(peer, request, sizeof request, MSG_DONTWAIT) <= 0 && !outcome)
            loop.runFor(milliseconds { 1 });
        const auto maxPiece = bytes.size() < 400 && random.below(2) == 0 ? 1 : 1 + random.below(9000);
        while (!bytes.empty() && !outcome) {
            const auto piece = bytes.substr(0, 1 + random.below(maxPiece));
            if (::send(peer, piece.data(), piece.size(), MSG_NOSIGNAL) < 0)
                break;
            bytes.remove_prefix(piece.size());
            loop.context().restart();
            loop.context().poll();
        }
        ::close(peer);
        while (!outcome)
            loop.runFor(milliseconds { 1 });
        return *outcome ? std::optional(std::move(outcome->value().body)) : std::nullopt;
    }

private:
    int m_listening;
    std::string m_address;
};

} // namespace

int main(int count, char** arguments)
{
    const auto seconds = std::chrono::seconds { count > 1 ? std::atoi(arguments[1]) : 3 };
    const auto seed = count > 2 ? std::strtoull(arguments[2], nullptr, 10) : 1;
    generator random(seed);
    piecewise_server server;
    const auto end = std::chrono::steady_clock::now() + seconds;
    std::size_t answers = 0;
    std::size_t faults = 0;
    for (; std::chrono::steady_clock::now() < end; ++answers) {
        const auto sent = random.next();
        const bool sound = random.below(2) == 0;
        const auto bytes = sound ? sent.bytes : random.mutated(sent.bytes);
        const auto taken = server.answer(bytes, random);
        // A cut answer that ends with its connection looks whole here; its readers ask the target.
        const bool wrong = sound ? taken != sent.body : taken && taken->size() > bytes.size();
        if (wrong && ++faults <= 5)
            std::printf("answer %zu (%s): %zu bytes taken of a body of %zu\n", answers,
                sound ? "sound" : "mutated", taken ? taken->size() : 0, sent.body.size());
    }
    std::printf(
        "seed %llu: %zu answers, %zu faults\n", static_cast<unsigned long long>(seed), answers, faults);
    return faults == 0 ? 0 : 1;
}
