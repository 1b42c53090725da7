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

/// A connection, plain or with TLS. The buffers must live until the handler is called.
class byte_stream {
public:
    using transfer_handler = std::function<void(const boost::system::error_code&, std::size_t)>;
    using done_handler = std::function<void(const boost::system::error_code&)>;

    virtual ~byte_stream() = default;
    /// Server side of the TLS handshake; a plain stream is ready at once.
    virtual void accept(done_handler done) = 0;
    virtual void readSome(boost::asio::mutable_buffer into, transfer_handler done) = 0;
    virtual void writeAll(boost::asio::const_buffer from, transfer_handler done) = 0;
    /// Tells the peer that nothing more will come.
    virtual void finishSending() = 0;
    virtual void close() = 0;
};

std::unique_ptr<byte_stream> plainStream(boost::asio::ip::tcp::socket socket);
std::unique_ptr<byte_stream> tlsStream(
    boost::asio::ip::tcp::socket socket, boost::asio::ssl::context& context);

/// Without these options a peer that has lost its power, or is behind a partition, shows only as silence:
/// sends are then given up after some seconds, and an idle connection is probed.
void setSocketOptions(boost::asio::ip::tcp::socket& socket);

/// "host:port" as numbers; port 80 if there is none. The host is an IP address: no names are looked up.
boost::asio::ip::tcp::endpoint parseEndpoint(std::string_view address, boost::system::error_code& error);

} // namespace yuccachute
