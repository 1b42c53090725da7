#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace yuccachute {

/// TCP connection, plain or with TLS. Buffers must stay valid until the handler is called.
class byte_stream {
public:
    using transfer_handler = std::function<void(const boost::system::error_code&, std::size_t)>;
    using done_handler = std::function<void(const boost::system::error_code&)>;

    virtual ~byte_stream() = default;
    /// Performs the server side of the TLS handshake. On a plain stream the handler runs immediately.
    virtual void accept(done_handler done) = 0;
    virtual void readSome(boost::asio::mutable_buffer into, transfer_handler done) = 0;
    using received_handler = std::function<void(const boost::system::error_code&, std::string_view)>;
    /// Waits for input and passes it on; the bytes are valid only during the call. Unlike readSome(), a plain
    /// stream uses the buffer only once input has arrived, so that waiting connections can share one.
    virtual void receive(boost::asio::mutable_buffer shared, received_handler done) = 0;
    /// Sets how many bytes the system may hold for this stream until they are read.
    virtual void setReceiveBuffer(int bytes) = 0;
    /// Whether input, the end of file or an error has arrived that no call of readSome() has received yet.
    virtual bool hasUnreadInput() = 0;
    virtual void writeAll(boost::asio::const_buffer from, transfer_handler done) = 0;
    /// Shuts down the sending direction, so that the peer reads end of file.
    virtual void finishSending() = 0;
    virtual void close() = 0;
    /// Closes the connection so that the peer does not read the end of what was sent as a regular one.
    virtual void reset() = 0;
};

std::unique_ptr<byte_stream> plainStream(boost::asio::ip::tcp::socket socket);
std::unique_ptr<byte_stream> tlsStream(
    boost::asio::ip::tcp::socket socket, boost::asio::ssl::context& context);

/// Disables Nagle's algorithm and enables detection of peers that lost power or are behind a network
/// partition and so never close their connection: unacknowledged data fails the connection after a few
/// seconds, and idle connections are probed.
void setSocketOptions(boost::asio::ip::tcp::socket& socket);

/// Parses "host:port". The port defaults to 80. The host must be an IP address; names are not resolved.
boost::asio::ip::tcp::endpoint parseEndpoint(std::string_view address, boost::system::error_code& error);

} // namespace yuccachute
