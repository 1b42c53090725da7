// TCP proxy that injects faults into named routes: delay, cut, silence, and the loss of replies after N
// bytes.
//
// fault-proxy --control PORT --route NAME:LISTENPORT:HOST:PORT ...
// POST /routes/NAME?mode=pass|cut|reset|silent|silent_up|silent_down[&delay_ms=N][&drop_reply_after=N]
//     [&drop_by=close|reset]: how connections end after drop_reply_after
//     [&silence_open=TEXT]: open connections whose latest request contains the text go silent for good

#include "flags.h"
#include "http/http.h"

#include <boost/asio.hpp>

#include <atomic>
#include <future>
#include <iostream>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

namespace {

using namespace yuccachute;
namespace asio = boost::asio;
using asio::ip::tcp;

enum class route_mode : int {
    pass,
    cut, ///< Close what is open and every new connection.
    reset, ///< Reset what is open, and let new connections pass.
    silent, ///< Accept, keep and forward nothing: a network partition as TCP sees it.
    silent_up, ///< Forward nothing to the target: a partition one way.
    silent_down ///< Forward nothing to the caller.
};

route_mode modeOf(const std::string& text)
{
    static const std::map<std::string, route_mode> modes { { "cut", route_mode::cut },
        { "reset", route_mode::reset }, { "silent", route_mode::silent },
        { "silent_up", route_mode::silent_up }, { "silent_down", route_mode::silent_down } };
    const auto found = modes.find(text);
    return found == modes.end() ? route_mode::pass : found->second;
}

class connection;

struct route {
    std::string name;
    tcp::endpoint target;
    std::unique_ptr<tcp::acceptor> acceptor;
    std::atomic<route_mode> mode { route_mode::pass };
    std::atomic<int> delayMs { 0 };
    std::atomic<long> dropReplyAfter {
        -1
    }; ///< Connections are closed after so many reply bytes; -1 for never.
    std::atomic<bool> dropByReset { false };
    std::atomic<unsigned> epoch { 0 }; ///< Grows with each cut: connections of earlier epochs close.
    std::atomic<std::uint64_t> bytes { 0 };
    std::atomic<std::uint64_t> connections { 0 };
    std::list<std::weak_ptr<connection>> open; ///< On the network's thread.
};

/// One forwarded connection. Both directions read, wait out the route's state, and write.
class connection : public std::enable_shared_from_this<connection> {
public:
    connection(route& through, tcp::socket client)
        : m_route(through)
        , m_epoch(through.epoch)
        , m_client(std::move(client))
        , m_target(m_client.get_executor())
    {
    }

    void start()
    {
        m_target.async_connect(m_route.target, [self = shared_from_this()](const auto& error) {
            if (error)
                return self->close();
            self->m_client.set_option(tcp::no_delay(true));
            self->m_target.set_option(tcp::no_delay(true));
            self->pump(self->m_client, self->m_target, self->m_upward, false);
            self->pump(self->m_target, self->m_client, self->m_downward, true);
        });
    }

    /// With a reset instead of an orderly end if asked for.
    void cut(bool reset)
    {
        boost::system::error_code ignored;
        if (reset) {
            m_client.set_option(asio::socket_base::linger(true, 0), ignored);
            m_target.set_option(asio::socket_base::linger(true, 0), ignored);
        }
        close();
    }

    /// From now on this connection forwards nothing, if its latest request contains the text.
    bool silenceIf(std::string_view text)
    {
        m_silenced = m_silenced || m_lastRequest.find(text) != std::string::npos;
        return m_silenced;
    }

private:
    using buffer = std::array<char, 16384>;

    bool silent(bool reply) const
    {
        if (m_silenced)
            return true;
        const auto mode = m_route.mode.load();
        return mode == route_mode::silent
            || mode == (reply ? route_mode::silent_down : route_mode::silent_up);
    }

    void pump(tcp::socket& from, tcp::socket& to, buffer& data, bool reply)
    {
        from.async_read_some(asio::buffer(data),
            [self = shared_from_this(), &from, &to, &data, reply](const auto& error, std::size_t count) {
                if (error)
                    return self->close();
                if (!reply)
                    self->m_lastRequest.assign(data.data(), count);
                self->forward(from, to, data, count, reply);
            });
    }

    void forward(tcp::socket& from, tcp::socket& to, buffer& data, std::size_t count, bool reply)
    {
        if (m_epoch != m_route.epoch)
            return close();
        const bool held = silent(reply);
        const int delay = held ? 50 : m_route.delayMs.load();
        const auto timer
            = std::make_shared<asio::steady_timer>(from.get_executor(), std::chrono::milliseconds(delay));
        if (held)
            return timer->async_wait([self = shared_from_this(), timer, &from, &to, &data, count, reply](
                                         const auto&) { self->forward(from, to, data, count, reply); });
        if (delay > 0)
            return timer->async_wait([self = shared_from_this(), timer, &from, &to, &data, count, reply](
                                         const auto&) { self->write(from, to, data, count, reply); });
        write(from, to, data, count, reply);
    }

    void write(tcp::socket& from, tcp::socket& to, buffer& data, std::size_t count, bool reply)
    {
        const long limit = m_route.dropReplyAfter;
        if (reply && limit >= 0) {
            const auto left = std::max(0L, limit - static_cast<long>(m_replied));
            if (static_cast<long>(count) > left) {
                boost::system::error_code ignored;
                asio::write(to, asio::buffer(data.data(), static_cast<std::size_t>(left)), ignored);
                return cut(m_route.dropByReset);
            }
        }
        m_replied += reply ? count : 0;
        m_route.bytes += count;
        asio::async_write(to, asio::buffer(data.data(), count),
            [self = shared_from_this(), &from, &to, &data, reply](const auto& error, std::size_t) {
                if (error)
                    return self->close();
                self->pump(from, to, data, reply);
            });
    }

    void close()
    {
        boost::system::error_code ignored;
        m_client.close(ignored);
        m_target.close(ignored);
    }

    route& m_route;
    unsigned m_epoch;
    tcp::socket m_client;
    tcp::socket m_target;
    buffer m_upward;
    buffer m_downward;
    std::size_t m_replied = 0;
    std::string m_lastRequest; ///< Bytes of the caller that were read last.
    bool m_silenced = false;
};

/// Keeps the open connections so that a cut reaches idle ones, too.
class proxy {
public:
    void addRoute(const std::string& text)
    {
        const auto first = text.find(':');
        const auto second = text.find(':', first + 1);
        const auto third = text.rfind(':');
        auto added = std::make_unique<route>();
        added->name = text.substr(0, first);
        added->target = { asio::ip::make_address(text.substr(second + 1, third - second - 1)),
            static_cast<unsigned short>(std::stoi(text.substr(third + 1))) };
        added->acceptor = std::make_unique<tcp::acceptor>(m_context,
            tcp::endpoint(asio::ip::address_v4::loopback(),
                static_cast<unsigned short>(std::stoi(text.substr(first + 1, second - first - 1)))));
        accept(*added);
        m_routes[added->name] = std::move(added);
    }

    void run() { m_context.run(); }
    void stop() { m_context.stop(); }

    std::string control(const http_request& request)
    {
        constexpr std::string_view prefix = "/routes/";
        const auto found = request.path.starts_with(prefix)
            ? m_routes.find(request.path.substr(prefix.size()))
            : m_routes.end();
        if (found == m_routes.end())
            return {};
        auto& chosen = *found->second;
        if (const auto value = queryParameter(request.query, "delay_ms"); !value.empty())
            chosen.delayMs = std::stoi(value);
        if (const auto value = queryParameter(request.query, "drop_reply_after"); !value.empty())
            chosen.dropReplyAfter = std::stol(value);
        if (const auto value = queryParameter(request.query, "drop_by"); !value.empty())
            chosen.dropByReset = value == "reset";
        if (const auto value = queryParameter(request.query, "mode"); !value.empty()) {
            chosen.mode = modeOf(value);
            if (chosen.mode == route_mode::cut || chosen.mode == route_mode::reset)
                cutAll(chosen, chosen.mode == route_mode::reset);
        }
        std::size_t silenced = 0;
        if (const auto text = queryParameter(request.query, "silence_open"); !text.empty())
            silenced = silenceOpen(chosen, text);
        return "{\"bytes\":" + std::to_string(chosen.bytes) + ",\"silenced\":" + std::to_string(silenced)
            + ",\"connections\":" + std::to_string(chosen.connections) + "}\n";
    }

private:
    void accept(route& through)
    {
        through.acceptor->async_accept([this, &through](const auto& error, tcp::socket client) {
            if (!error && through.mode != route_mode::cut) {
                ++through.connections;
                auto opened = std::make_shared<connection>(through, std::move(client));
                opened->start();
                std::erase_if(through.open, [](const auto& one) { return one.expired(); });
                through.open.push_back(opened);
            }
            accept(through);
        });
    }

    /// Silences open connections by their latest request; new ones work. Returns their number.
    std::size_t silenceOpen(route& through, const std::string& text)
    {
        std::promise<std::size_t> counted;
        asio::post(m_context, [&] {
            std::size_t silenced = 0;
            for (const auto& one : through.open) {
                if (const auto alive = one.lock())
                    silenced += alive->silenceIf(text) ? 1 : 0;
            }
            counted.set_value(silenced);
        });
        return counted.get_future().get();
    }

    void cutAll(route& through, bool reset)
    {
        ++through.epoch;
        asio::post(m_context, [&through, reset] {
            for (const auto& one : std::exchange(through.open, {})) {
                if (const auto alive = one.lock())
                    alive->cut(reset);
            }
        });
    }

    asio::io_context m_context;
    std::map<std::string, std::unique_ptr<route>> m_routes;
};

} // namespace

int main(int argc, char** argv)
{
    const auto signals = standin::blockStopSignals();
    TCLAP::CmdLine line("TCP proxy that injects faults", ' ', "1");
    TCLAP::ValueArg<int> controlPort("", "control", "HTTP port for faults", false, 7200, "port", line);
    TCLAP::MultiArg<std::string> routes("", "route", "NAME:LISTENPORT:HOST:PORT", true, "route", line);
    line.parse(argc, argv);
    try {
        proxy forwarding;
        for (const auto& text : routes.getValue())
            forwarding.addRoute(text);
        std::thread network([&] { forwarding.run(); });
        http_server_options options;
        options.port = static_cast<std::uint16_t>(controlPort.getValue());
        http_server control(options, [&](const http_request& request, reply_sink& sink) {
            const auto body = forwarding.control(request);
            sink.send({ body.empty() ? 404u : 200u, { { "Content-Type", "application/json" } }, body });
        });
        standin::waitForStop(signals);
        forwarding.stop();
        network.join();
    } catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
        return 1;
    }
    return 0;
}
