#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

/// Clients that keep to no convention, and what a process holds while they are connected.
namespace yuccachute::testing {

/// What one client sends over its connection. After the last byte the connection stays open.
struct client_script {
    /// A text that is sent several times in a row. Clients share texts, so that a crowd needs little memory.
    struct part {
        std::shared_ptr<const std::string> text;
        std::size_t times = 1;
    };

    void add(std::string text, std::size_t times = 1)
    {
        parts.push_back({ std::make_shared<const std::string>(std::move(text)), times });
    }
    void add(std::shared_ptr<const std::string> text, std::size_t times = 1)
    {
        parts.push_back({ std::move(text), times });
    }

    std::vector<part> parts;
    /// Bytes at the end that are sent one at a time and slowly, once all clients have sent what comes before.
    std::size_t slowBytes = 0;
    bool reads = true; ///< Whether the client receives what the server sends.
};

/// Clients on a thread of their own. All connect at once and send in turns.
class unruly_crowd {
public:
    /// `turnBytes`: how much a client sends before the next one's turn.
    unruly_crowd(std::uint16_t port, std::vector<client_script> scripts, std::size_t turnBytes);
    /// Closes all connections.
    ~unruly_crowd();
    unruly_crowd(const unruly_crowd&) = delete;
    unruly_crowd& operator=(const unruly_crowd&) = delete;

    /// Waits until each client has sent all but its slow bytes, or its connection was closed, or nothing has
    /// moved for a while: a server may stop to read.
    void waitSettled();
    /// Also waits until each client that is still connected has received the status of a response.
    void waitAnswered();
    /// Status of the first response to each client; 0 if none has arrived.
    std::vector<unsigned> statuses() const;
    /// Number of connections that the server has not closed.
    std::size_t open() const;

private:
    struct client;

    void run();
    bool send(client& one, bool slowly) const;
    bool receive(client& one) const;

    std::uint16_t m_port;
    std::size_t m_turnBytes;
    std::vector<std::unique_ptr<client>> m_clients;
    mutable std::mutex m_mutex; ///< For what the clients have received.
    std::atomic<bool> m_settled { false };
    std::atomic<bool> m_stopped { false };
    std::thread m_thread;
};

/// Samples what a process holds until it is destroyed.
class holdings_watch {
public:
    /// `port` is that at which the process accepts the connections whose unread bytes count.
    holdings_watch(int process, std::uint16_t port);
    ~holdings_watch();
    holdings_watch(const holdings_watch&) = delete;
    holdings_watch& operator=(const holdings_watch&) = delete;

    /// Most memory at any time: the peak of the resident size, or the resident size and the bytes that have
    /// arrived at its sockets and were not read.
    std::size_t mostMemoryMb() const;
    std::size_t mostUnreadMb() const { return m_mostUnread >> 20; }
    /// Most open descriptors.
    std::size_t mostDescriptors() const { return m_mostDescriptors; }

private:
    void sample();

    int m_process;
    std::uint16_t m_port;
    std::atomic<std::size_t> m_mostMemory { 0 };
    std::atomic<std::size_t> m_mostUnread { 0 };
    std::atomic<std::size_t> m_mostDescriptors { 0 };
    std::atomic<bool> m_stopped { false };
    std::thread m_thread;
};

} // namespace yuccachute::testing
