#include "byte_stream.h"

#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/write.hpp>

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <charconv>
#include <vector>

namespace yuccachute {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// Longer than retransmissions over a lossy link take, and shorter than the timeouts of callers.
constexpr int userTimeoutMs = 5000;
constexpr int keepaliveIdleSeconds = 2;
constexpr int keepaliveIntervalSeconds = 1;
constexpr int maxKeepaliveProbes = 3;

/// Lets the socket send a reset when it is closed.
void setReset(tcp::socket& socket)
{
    boost::system::error_code ignored; // A connection that has failed needs no reset.
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
}

bool hasUnread(tcp::socket& socket)
{
    char byte = 0;
    const auto count = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

/// The window that is offered to the peer stays what it was when the connection was made, unless it is set
/// too.
void setBuffer(tcp::socket& socket, int bytes)
{
    boost::system::error_code ignored; // The connection works with any buffer.
    socket.set_option(asio::socket_base::receive_buffer_size(bytes), ignored);
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_WINDOW_CLAMP, &bytes, sizeof bytes);
}

class plain_stream final : public byte_stream {
public:
    explicit plain_stream(tcp::socket socket)
        : m_socket(std::move(socket))
    {
    }

    void accept(done_handler done) override { done({}); }

    void readSome(asio::mutable_buffer into, transfer_handler done) override
    {
        m_socket.async_read_some(into, std::move(done));
    }

    void receive(asio::mutable_buffer shared, received_handler done) override
    {
        boost::system::error_code ignored; // Reading reports any failure.
        if (!m_socket.non_blocking())
            m_socket.non_blocking(true, ignored);
        m_socket.async_wait(tcp::socket::wait_read,
            [this, shared, done = std::move(done)](const boost::system::error_code& error) mutable {
                if (error)
                    return done(error, {});
                boost::system::error_code readError;
                const auto count = m_socket.read_some(shared, readError);
                if (readError == asio::error::would_block || readError == asio::error::try_again)
                    return receive(shared, std::move(done));
                done(readError, { static_cast<const char*>(shared.data()), count });
            });
    }

    void setReceiveBuffer(int bytes) override { setBuffer(m_socket, bytes); }

    bool hasUnreadInput() override { return hasUnread(m_socket); }

    void writeAll(asio::const_buffer from, transfer_handler done) override
    {
        asio::async_write(m_socket, from, std::move(done));
    }

    void finishSending() override
    {
        boost::system::error_code ignored; // The peer may have closed the connection already.
        m_socket.shutdown(tcp::socket::shutdown_send, ignored);
    }

    void close() override
    {
        boost::system::error_code ignored; // A failed close cannot be handled.
        m_socket.close(ignored);
    }

    void reset() override
    {
        setReset(m_socket);
        close();
    }

private:
    tcp::socket m_socket;
};

class tls_stream final : public byte_stream {
public:
    tls_stream(tcp::socket socket, asio::ssl::context& context)
        : m_stream(std::move(socket), context)
    {
    }

    void accept(done_handler done) override
    {
        m_stream.async_handshake(asio::ssl::stream_base::server, std::move(done));
    }

    void readSome(asio::mutable_buffer into, transfer_handler done) override
    {
        m_stream.async_read_some(into, std::move(done));
    }

    /// Decryption needs a buffer while it waits.
    void receive(asio::mutable_buffer /*shared*/, received_handler done) override
    {
        if (m_buffer.empty())
            m_buffer.resize(ownBufferBytes);
        m_stream.async_read_some(asio::buffer(m_buffer),
            [this, done = std::move(done)](const boost::system::error_code& error, std::size_t count) {
                done(error, { m_buffer.data(), count });
            });
    }

    void setReceiveBuffer(int bytes) override { setBuffer(m_stream.next_layer(), bytes); }

    bool hasUnreadInput() override { return hasUnread(m_stream.next_layer()); }

    void writeAll(asio::const_buffer from, transfer_handler done) override
    {
        asio::async_write(m_stream, from, std::move(done));
    }

    void finishSending() override
    {
        boost::system::error_code ignored; // Ignored for the same reason as in plain_stream.
        m_stream.next_layer().shutdown(tcp::socket::shutdown_send, ignored);
    }

    void close() override
    {
        boost::system::error_code ignored; // Ignored for the same reason as in plain_stream.
        m_stream.next_layer().close(ignored);
    }

    void reset() override
    {
        setReset(m_stream.next_layer());
        close();
    }

private:
    static constexpr std::size_t ownBufferBytes = 8u << 10;

    asio::ssl::stream<tcp::socket> m_stream;
    std::vector<char> m_buffer;
};

} // namespace

std::unique_ptr<byte_stream> plainStream(tcp::socket socket)
{
    return std::make_unique<plain_stream>(std::move(socket));
}

std::unique_ptr<byte_stream> tlsStream(tcp::socket socket, asio::ssl::context& context)
{
    return std::make_unique<tls_stream>(std::move(socket), context);
}

void setSocketOptions(tcp::socket& socket)
{
    boost::system::error_code ignored; // The connection works without these options.
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    const auto set = [&](int option, int value) {
        ::setsockopt(socket.native_handle(), IPPROTO_TCP, option, &value, sizeof value);
    };
    set(TCP_USER_TIMEOUT, userTimeoutMs);
    set(TCP_KEEPIDLE, keepaliveIdleSeconds);
    set(TCP_KEEPINTVL, keepaliveIntervalSeconds);
    set(TCP_KEEPCNT, maxKeepaliveProbes);
}

tcp::endpoint parseEndpoint(std::string_view address, boost::system::error_code& error)
{
    const auto colon = address.rfind(':');
    std::uint16_t port = 80;
    if (colon != std::string_view::npos) {
        const auto digits = address.substr(colon + 1);
        const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
        if (parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size())
            error = asio::error::invalid_argument;
    }
    const auto host = asio::ip::make_address(std::string(address.substr(0, colon)), error);
    return { host, port };
}

} // namespace yuccachute
