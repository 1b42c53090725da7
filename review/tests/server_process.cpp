#include "event_loop/event_loop.h"
#include "http/http.h"

#include <iostream>

// A model server as a process of its own. It answers with a stream of events, without length and chunks: the
// end of the connection is the end of the answer. Each event is written at once. Usage: ADDRESS ID SERVICE
// SLOTS EVENTS

using namespace yuccachute;

namespace {

constexpr milliseconds eventInterval { 20 };

struct run {
    run(event_loop& loop, std::shared_ptr<http_exchange> from)
        : caller(std::move(from))
        , timer(loop)
    {
    }

    std::shared_ptr<http_exchange> caller;
    loop_timer timer;
    std::string id;
    int next = 1;
    bool gone = false;
};

class server {
public:
    server(const std::string& address, std::string id, std::string service, int slots, int events)
        : m_id(std::move(id))
        , m_service(std::move(service))
        , m_slots(slots)
        , m_events(events)
    {
        http_listener_options options;
        std::tie(options.address, options.port) = splitAddress(address);
        options.chunkedResponses = false;
        m_listener = std::make_unique<http_listener>(
            m_loop, options, [this](std::shared_ptr<http_exchange> caller) { serve(std::move(caller)); });
    }

    void run() { m_loop.run(); }

private:
    void serve(std::shared_ptr<http_exchange> caller)
    {
        const auto& request = caller->request();
        const std::string id(findHeader(request.headers, "Yuccachute-Request-Id"));
        const auto expected = findHeader(request.headers, "Yuccachute-Expect-Instance");
        if (!expected.empty() && expected != m_id)
            return caller->send(
                { 421, { { "Yuccachute-Instance-Id", m_id }, { "Yuccachute-Request-Id", id } }, "" });
        if (request.path == "/report")
            return caller->send({ 200, { { "Content-Type", "application/json" } },
                "{\"stage\":\"both\",\"waiting\":0,\"running\":" + std::to_string(m_running) + "}" });
        if (m_running >= m_slots)
            return caller->send(
                { 503, { { "Yuccachute-Not-Run", "1" }, { "Yuccachute-Request-Id", id } }, "" });
        const auto begun = std::make_shared<::run>(m_loop, caller);
        begun->id = id;
        const std::string last(findHeader(request.headers, "Last-Event-Id"));
        begun->next = last.empty() ? 1 : std::stoi(last) + 1;
        ++m_running;
        std::cout << "runs " << id << " after event " << begun->next - 1 << std::endl;
        caller->onCallerGone([this, begun] {
            begun->gone = true;
            begun->timer.cancel();
            --m_running;
            std::cout << "drops " << begun->id << " after event " << begun->next - 1
                      << ": its connection was closed" << std::endl;
        });
        caller->startStream(200,
            { { "Yuccachute-Request-Id", id }, { "Yuccachute-Server-Seal", "seal." + m_id },
                { "Content-Type", "text/event-stream" } },
            std::nullopt);
        advance(begun);
    }

    void advance(const std::shared_ptr<::run>& one)
    {
        one->timer.arm(eventInterval, [this, one] {
            if (one->gone)
                return;
            if (one->next > m_events) {
                --m_running;
                std::cout << "has answered " << one->id << " to its end" << std::endl;
                return one->caller->finish();
            }
            const auto number = std::to_string(one->next++);
            one->caller->write(
                "id: " + number + "\ndata: " + m_service + ":" + one->id + ":" + number + "\n\n");
            advance(one);
        });
    }

    event_loop m_loop;
    std::string m_id;
    std::string m_service;
    int m_slots;
    int m_events;
    int m_running = 0;
    std::unique_ptr<http_listener> m_listener;
};

} // namespace

int main(int argc, char** argv)
{
    if (argc != 6)
        return 2;
    server(argv[1], argv[2], argv[3], std::stoi(argv[4]), std::stoi(argv[5])).run();
    return 0;
}
