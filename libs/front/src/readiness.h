#pragma once

#include "event_loop/event_loop.h"
#include "http/http.h"
#include "metrics/metrics.h"

#include <functional>
#include <memory>
#include <string>

namespace yuccachute {

/// Answers the platform's question whether the process takes requests: 200 if so, else 503.
std::unique_ptr<http_listener> serveReadiness(
    event_loop& loop, const std::string& address, std::function<bool()> ready);

/// Serves the metrics in the Prometheus text format. `refresh` is called before each answer.
std::unique_ptr<http_listener> serveMetrics(
    event_loop& loop, const std::string& address, metrics& figures, std::function<void()> refresh);

} // namespace yuccachute
