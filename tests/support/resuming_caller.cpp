#include "resuming_caller.h"

#include "event_loop/event_loop.h"
#include "platform_system.h"
#include "serving/serving.h"

#include <sstream>

namespace yuccachute::testing {

received_stream readStream(std::uint16_t port, const std::string& path, http_headers headers,
    std::uint64_t leaveAfter, milliseconds limit)
{
    event_loop loop;
    http_client client(loop, {});
    http_request request;
    request.method = "POST";
    request.target = path;
    request.headers = std::move(headers);
    request.headers.emplace_back("Host", "test.example");
    request.body = "prompt";
    received_stream received;
    event_splitter splitter;
    bool ended = false;
    client_call_events events;
    events.head = [&](const http_reply& head) {
        received.status = head.status;
        received.retryAfter = findHeader(head.headers, "Retry-After");
        return true;
    };
    events.body = [&](std::string_view piece) {
        if (received.status == 200)
            received.events += splitter.feed(piece);
        received.lastEvent = splitter.lastId().value_or(0);
        return true;
    };
    events.whole = [&] { ended = received.whole = true; };
    events.failed = [&](const failure&) { ended = true; };
    client_call_options options;
    options.deadline = std::chrono::steady_clock::now() + limit;
    auto running = client.start("127.0.0.1:" + std::to_string(port), request, options, std::move(events));
    while (!ended && received.lastEvent < leaveAfter)
        loop.runFor(milliseconds { 2 });
    running.reset();
    loop.runFor(milliseconds { 1 });
    return received;
}

http_headers resumingHeaders(
    const std::string& id, int events, const std::string& first, std::uint64_t lastEvent)
{
    auto headers = platform_system::requestHeaders(id, events);
    headers.emplace_back("Resumes", first);
    headers.emplace_back("Last-Event-Id", std::to_string(lastEvent));
    return headers;
}

std::set<std::string> versionsIn(std::string_view text)
{
    std::set<std::string> versions;
    std::istringstream lines { std::string(text) };
    for (std::string line; std::getline(lines, line);) {
        if (line.empty() || line.starts_with("id: "))
            continue;
        const auto mark = line.find('@');
        versions.insert(mark == std::string::npos ? "v1" : line.substr(mark + 1));
    }
    return versions;
}

std::string withoutVersions(std::string_view text)
{
    std::string plain;
    while (!text.empty()) {
        const auto mark = text.find('@');
        plain += text.substr(0, mark);
        if (mark == std::string_view::npos)
            break;
        const auto end = text.find('\n', mark);
        text.remove_prefix(end == std::string_view::npos ? text.size() : end);
    }
    return plain;
}

} // namespace yuccachute::testing
