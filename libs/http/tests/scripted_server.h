#pragma once

#include "http/http.h"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

/// A server whose answers are given byte by byte.
namespace yuccachute::testing {

/// Accepts one connection, reads the request and runs the script, which returns when sending fails.
class scripted_server {
public:
    using script = std::function<void(int fd)>;

    explicit scripted_server(script answer)
        : m_listening(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in local {};
        local.sin_family = AF_INET;
        local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(::bind(m_listening, reinterpret_cast<sockaddr*>(&local), sizeof local) == 0);
        REQUIRE(::listen(m_listening, 1) == 0);
        socklen_t length = sizeof local;
        ::getsockname(m_listening, reinterpret_cast<sockaddr*>(&local), &length);
        address = "127.0.0.1:" + std::to_string(ntohs(local.sin_port));
        m_thread = std::thread([this, answer = std::move(answer)] {
            const int peer = ::accept(m_listening, nullptr, nullptr);
            char request[4096];
            if (peer >= 0 && ::recv(peer, request, sizeof request, 0) > 0)
                answer(peer);
            ::close(peer);
        });
    }

    ~scripted_server()
    {
        ::shutdown(m_listening, SHUT_RDWR);
        m_thread.join();
        ::close(m_listening);
    }

    std::string address;

private:
    int m_listening;
    std::thread m_thread;
};

inline bool sendText(int fd, std::string_view text)
{
    while (!text.empty()) {
        const auto count = ::send(fd, text.data(), text.size(), MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        text.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

/// Sends the beginning and then the piece again and again, until the client closes the connection.
inline scripted_server::script endless(
    std::string begin, std::string piece, milliseconds pause = milliseconds { 0 })
{
    return [=](int fd) {
        for (bool open = sendText(fd, begin); open; open = sendText(fd, piece))
            std::this_thread::sleep_for(pause);
    };
}

/// Sends the pieces one by one, each as a segment of its own, and closes the connection.
inline scripted_server::script inPieces(std::vector<std::string> pieces)
{
    return [=](int fd) {
        for (const auto& piece : pieces) {
            sendText(fd, piece);
            std::this_thread::sleep_for(milliseconds { 10 });
        }
    };
}

struct outcome {
    result<http_reply> reply = notRun(failure_kind::internal, "the call did not end");
    milliseconds took { 0 };
};

/// Runs one call on its own loop and collects the answer.
inline outcome fetchFrom(const scripted_server& server, client_call_options options = {},
    http_client_options clientOptions = {}, const http_request& request = {})
{
    event_loop loop;
    http_client client(loop, clientOptions);
    const auto begin = std::chrono::steady_clock::now();
    options.deadline = begin + milliseconds { 6000 };
    outcome seen;
    client.fetch(server.address, request, options, [&](result<http_reply> reply) {
        seen.reply = std::move(reply);
        loop.stop();
    });
    loop.run();
    seen.took = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - begin);
    return seen;
}

} // namespace yuccachute::testing
