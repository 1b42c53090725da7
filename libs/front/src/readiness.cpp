#include "front/front.h"

#include <tuple>

namespace yuccachute {

namespace {

http_listener_options listenerOptionsFor(const std::string& address)
{
    http_listener_options options;
    std::tie(options.address, options.port) = splitAddress(address);
    options.limits.maxConnections = 64; // Enough for the platform's probes and a few operators.
    options.limits.maxBodyBytes = 4u << 10; // Probes and scrapes need none.
    return options;
}

} // namespace

std::unique_ptr<http_listener> serveReadiness(
    event_loop& loop, const std::string& address, std::function<bool()> ready)
{
    return std::make_unique<http_listener>(loop, listenerOptionsFor(address),
        [ready = std::move(ready)](std::shared_ptr<http_exchange> exchange) {
            exchange->send({ ready() ? 200u : 503u, {}, "" });
        });
}

void reportMemory(metrics& figures, const memory_budget& memory, const http_listener_counters& counters)
{
    const auto set = [&](const char* name, std::uint64_t value) {
        figures.set(std::string("yuccachute_request_memory_") + name, static_cast<double>(value));
    };
    set("limit_bytes", memory.total());
    set("used_bytes", memory.used());
    set("peak_bytes", memory.peak());
    set("refusals", memory.refusals());
    set("reclaimed_connections", counters.reclaimed);
    figures.set("yuccachute_requests_refused_for_memory", static_cast<double>(counters.refusedForMemory));
    figures.set("yuccachute_connections_replaced", static_cast<double>(counters.replaced));
    figures.set("yuccachute_request_timeouts", static_cast<double>(counters.timedOut));
}

std::function<void(std::string_view)> answerLimitCounter(metrics& figures)
{
    return [&figures](
               std::string_view limit) { figures.count("yuccachute_answer_limits_total", "limit", limit); };
}

std::unique_ptr<http_listener> serveMetrics(
    event_loop& loop, const std::string& address, metrics& figures, std::function<void()> refresh)
{
    return std::make_unique<http_listener>(loop, listenerOptionsFor(address),
        [&figures, refresh = std::move(refresh)](std::shared_ptr<http_exchange> exchange) {
            refresh();
            exchange->send({ 200, { { "Content-Type", "text/plain; version=0.0.4" } }, figures.text() });
        });
}

} // namespace yuccachute
