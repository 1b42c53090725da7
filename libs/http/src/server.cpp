#include "http/http.h"

#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/net/tcpsocket.h>
#include <cxxtools/regex.h>

#include <cstdio>
#include <istream>
#include <stdexcept>
#include <thread>

namespace yuccachute {

namespace {

constexpr std::size_t readBufferBytes = 64u << 10;
constexpr milliseconds lingerTime { 500 };

const char* reasonPhrase(unsigned status)
{
    switch (status) {
    case 200:
        return "OK";
    case 202:
        return "Accepted";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 404:
        return "Not Found";
    case 409:
        return "Conflict";
    case 411:
        return "Length Required";
    case 413:
        return "Content Too Large";
    case 429:
        return "Too Many Requests";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "Status";
    }
}

bool writeAll(cxxtools::net::TcpSocket& socket, std::string_view data)
{
    try {
        while (!data.empty())
            data.remove_prefix(socket.write(data.data(), data.size()));
        return true;
    } catch (const std::exception&) {
        return false; // The caller has gone; its handler is told through the result.
    }
}

std::string headerBlock(unsigned status, const http_headers& headers)
{
    std::string block = "HTTP/1.1 " + std::to_string(status) + ' ' + reasonPhrase(status) + "\r\n";
    for (const auto& [key, value] : headers)
        block += key + ": " + value + "\r\n";
    return block;
}

/// Writes to the library's reply when it is whole, and to the connection itself when it is streamed, because
/// the library's server buffers a reply until its end.
class socket_sink final : public reply_sink {
public:
    socket_sink(cxxtools::net::TcpSocket& socket, std::ostream& out, cxxtools::http::Reply& reply)
        : m_socket(socket)
        , m_out(out)
        , m_reply(reply)
    {
    }

    void send(http_reply reply) override
    {
        m_reply.httpReturn(reply.status, reasonPhrase(reply.status));
        for (const auto& [key, value] : reply.headers)
            m_reply.setHeader(key.c_str(), value.c_str());
        m_out << reply.body;
    }

    bool startStream(unsigned status, const http_headers& headers) override
    {
        m_streaming = true;
        m_alive = writeAll(m_socket,
            headerBlock(status, headers) + "Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n");
        return m_alive;
    }

    bool write(std::string_view chunk) override
    {
        if (!m_alive || chunk.empty())
            return m_alive;
        char size[24];
        std::snprintf(size, sizeof size, "%zx\r\n", chunk.size());
        std::string framed = size;
        framed.append(chunk).append("\r\n");
        m_alive = writeAll(m_socket, framed);
        return m_alive;
    }

    void finish() override
    {
        if (m_alive)
            writeAll(m_socket, "0\r\n\r\n");
    }

    bool streaming() const { return m_streaming; }

private:
    cxxtools::net::TcpSocket& m_socket;
    std::ostream& m_out;
    cxxtools::http::Reply& m_reply;
    bool m_streaming = false;
    bool m_alive = false;
};

class handler_responder final : public cxxtools::http::Responder {
public:
    handler_responder(cxxtools::http::Service& service, const http_handler& handler, std::size_t maxBodyBytes)
        : cxxtools::http::Responder(service)
        , m_handler(handler)
        , m_maxBodyBytes(maxBodyBytes)
    {
    }

    void beginRequest(
        cxxtools::net::TcpSocket& socket, std::istream&, cxxtools::http::Request& request) override
    {
        m_socket = &socket;
        m_request.method = request.method();
        m_request.path = request.url();
        m_request.query = request.qparams();
        for (const auto& field : request.header())
            m_request.headers.emplace_back(trimColon(field.first), field.second);
        m_tooLarge = request.header().contentLength() > m_maxBodyBytes;
        if (findHeader(m_request.headers, "Expect") == "100-continue")
            writeAll(socket, "HTTP/1.1 100 Continue\r\n\r\n");
    }

    std::size_t readBody(std::istream& in) override
    {
        std::size_t total = 0;
        char buffer[readBufferBytes];
        while (in.rdbuf()->in_avail() > 0) {
            const auto count = in.readsome(buffer, sizeof buffer);
            if (count <= 0)
                break;
            total += static_cast<std::size_t>(count);
            if (!m_tooLarge)
                m_request.body.append(buffer, static_cast<std::size_t>(count));
        }
        return total;
    }

    void reply(std::ostream& out, cxxtools::http::Request&, cxxtools::http::Reply& reply) override
    {
        // The library does not read chunked request bodies: the body would arrive empty and its chunks
        // would be taken for the next request on the connection (request smuggling). Refuse and close.
        if (!findHeader(m_request.headers, "Transfer-Encoding").empty())
            return refuseAndClose(411, "send the body with Content-Length instead of Transfer-Encoding");
        if (m_tooLarge)
            return refuseAndClose(
                413, "the body is larger than " + std::to_string(m_maxBodyBytes) + " bytes");
        socket_sink sink(*m_socket, out, reply);
        m_handler(m_request, sink);
        if (sink.streaming())
            closeAfterPeer();
    }

private:
    static std::string trimColon(std::string_view key)
    {
        if (!key.empty() && key.back() == ':')
            key.remove_suffix(1);
        return std::string(key);
    }

    /// Lets the peer close first. A peer that uses the same library misses the last chunk when the end of the
    /// connection arrives together with it, and would take a whole answer for a cut one.
    void closeAfterPeer()
    {
        try {
            char buffer[256];
            m_socket->setTimeout(cxxtools::Milliseconds(lingerTime.count()));
            while (m_socket->read(buffer, sizeof buffer) > 0) { }
        } catch (const std::exception&) {
            // The peer kept the connection longer than that, or reset it.
        }
        m_socket->close();
    }

    void refuseAndClose(unsigned status, const std::string& message)
    {
        const std::string body
            = R"({"error":{"code":"bad_request","verdict":"not_run","message":")" + message + "\"}}\n";
        writeAll(*m_socket,
            headerBlock(status,
                { { "Content-Type", "application/json" }, { "Content-Length", std::to_string(body.size()) },
                    { "Connection", "close" } })
                + "\r\n" + body);
        closeAfterPeer();
    }

    const http_handler& m_handler;
    std::size_t m_maxBodyBytes;
    cxxtools::net::TcpSocket* m_socket = nullptr;
    http_request m_request;
    bool m_tooLarge = false;
};

class handler_service final : public cxxtools::http::Service {
public:
    handler_service(http_handler handler, std::size_t maxBodyBytes)
        : m_handler(std::move(handler))
        , m_maxBodyBytes(maxBodyBytes)
    {
    }

protected:
    cxxtools::http::Responder* createResponder(const cxxtools::http::Request&) override
    {
        return new handler_responder(*this, m_handler, m_maxBodyBytes);
    }

    void releaseResponder(cxxtools::http::Responder* responder) override { delete responder; }

private:
    http_handler m_handler;
    std::size_t m_maxBodyBytes;
};

} // namespace

struct http_server::impl {
    impl(const http_server_options& options, http_handler handler)
        : service(std::move(handler), options.maxBodyBytes)
        , server(loop)
    {
        server.minThreads(8);
        server.maxThreads(options.maxThreads);
        server.readTimeout(cxxtools::Milliseconds(static_cast<double>(options.readTimeout.count())));
        server.keepAliveTimeout(
            cxxtools::Milliseconds(static_cast<double>(options.keepAliveTimeout.count())));
        server.addService(cxxtools::Regex(".*"), service);
        server.listen(options.address, options.port, options.certificateFile, options.privateKeyFile);
        thread = std::thread([this] { loop.run(); });
    }

    ~impl()
    {
        loop.exit();
        thread.join();
    }

    cxxtools::EventLoop loop;
    handler_service service;
    cxxtools::http::Server server;
    std::thread thread;
};

http_server::http_server(http_server_options options, http_handler handler)
{
    try {
        m_impl = std::make_unique<impl>(options, std::move(handler));
    } catch (const std::exception& error) {
        throw std::runtime_error(
            "cannot listen on " + options.address + ':' + std::to_string(options.port) + ": " + error.what());
    }
}

http_server::~http_server() = default;

} // namespace yuccachute
