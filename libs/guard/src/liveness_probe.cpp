#include "guard/guard.h"

#include <utility>

namespace yuccachute {

namespace {

/// A connection that the target accepts and closes at once, as it does while it terminates, does not show its
/// state. A probe that follows after this time finds it refusing connections.
constexpr milliseconds retryDelay { 5 };
constexpr unsigned maxInterruptions = 4;

target_state stateAfter(const failure& error)
{
    const bool refused = error.ran == verdict::not_run && error.kind == failure_kind::unavailable;
    const bool restarted = error.kind == failure_kind::gone;
    return refused || restarted ? target_state::terminated : target_state::unknown;
}

} // namespace

liveness_probe::liveness_probe(event_loop& loop, load_report_source& loads)
    : m_loop(loop)
    , m_loads(loads)
{
}

void liveness_probe::ask(const executing_target& target, callback done)
{
    send(std::make_shared<question>(question { target, std::move(done), 0, loop_timer(m_loop) }));
}

void liveness_probe::send(const std::shared_ptr<question>& pending)
{
    m_loads.askStart(pending->target.address, pending->target.id,
        [this, pending, alive = std::weak_ptr(m_alive)](const result<load_report>& report) {
            if (alive.expired())
                return;
            if (report)
                return pending->done(target_state::running);
            const bool interrupted = report.error().kind == failure_kind::incomplete;
            if (!interrupted || ++pending->interruptions >= maxInterruptions)
                return pending->done(stateAfter(report.error()));
            pending->retry.arm(retryDelay, [this, pending, alive] {
                if (!alive.expired())
                    send(pending);
            });
        });
}

start_confirmation::start_confirmation(event_loop& loop)
    : m_limit(loop)
{
}

void start_confirmation::ask(
    request_guard& guard, const executing_target& target, milliseconds limit, liveness_probe::callback done)
{
    m_done = std::make_shared<liveness_probe::callback>(std::move(done));
    const auto decide = [this, weak = std::weak_ptr(m_done)](target_state state) {
        // Expires with this object, and when the wait is cancelled or over.
        const auto callback = weak.lock();
        if (!callback)
            return;
        cancel();
        (*callback)(state);
    };
    m_limit.arm(limit, [decide] { decide(target_state::unknown); });
    guard.askWhetherRunning(target, decide);
}

void start_confirmation::cancel()
{
    m_limit.cancel();
    m_done.reset();
}

} // namespace yuccachute
