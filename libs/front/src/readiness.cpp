#include "front/front.h"

#include <tuple>

namespace yuccachute {

namespace {

http_listener_options listenerOptionsFor(const std::string& address)
{
    http_listener_options options;
    std::tie(options.address, options.port) = splitAddress(address);
    options.limits.maxConnections = 64; // Enough for the platform's probes and a few operators.
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
