#include "retirement.h"

#include "logging/logging.h"

#include <set>

namespace yuccachute {

namespace {

constexpr milliseconds tickInterval { 500 };
/// A live process reports for its own VM within some hundred milliseconds; other processes report for it
/// after this time. If it is down, its registration has expired by then, and it no longer holds its jobs.
constexpr milliseconds reportOtherVmsAfter { 3500 };

} // namespace

retirement::retirement(event_loop& loop, async_store& store, const bulk_protocol& protocol, std::string vm,
    std::function<void()> releaseOwnJobs)
    : m_store(store)
    , m_protocol(protocol)
    , m_vm(std::move(vm))
    , m_releaseOwnJobs(std::move(releaseOwnJobs))
    , m_ticker(loop, tickInterval, [this] {
        const auto now = std::chrono::steady_clock::now();
        for (auto& [name, order] : m_orders) {
            if (!order.reported && name != m_vm && now - order.since > reportOtherVmsAfter)
                report(name, true);
        }
    })
{
}

void retirement::ordersChanged(const store_section& orders)
{
    std::set<std::string> ordered;
    for (const auto& order : m_protocol.retirements(orders)) {
        ordered.insert(order.vm);
        auto& current = m_orders[order.vm];
        if (current.revision == order.revision)
            continue;
        current = { std::chrono::steady_clock::now(), order.revision, false };
        logEvent(log_level::info, "VM to be emptied",
            { { "vm_ordered", order.vm }, { "revision", order.revision } });
        if (order.vm != m_vm)
            continue;
        m_ownVmOrdered = true;
        if (m_ownJobsReleased)
            report(m_vm, true);
        else
            m_releaseOwnJobs();
    }
    std::erase_if(m_orders, [&](const auto& entry) { return !ordered.contains(entry.first); });
}

void retirement::ownJobsReleased()
{
    m_ownJobsReleased = true;
    if (m_ownVmOrdered)
        report(m_vm, true);
}

void retirement::report(const std::string& vm, bool done)
{
    auto& order = m_orders[vm];
    order.reported = true;
    store_transaction reporting;
    reporting.writes.push_back(m_protocol.retirementReport(vm, done));
    m_store.commit(reporting, [this, vm, revision = order.revision](result<commit_outcome> outcome) {
        logEvent(outcome ? log_level::info : log_level::warning, "retirement report sent",
            { { "vm_ordered", vm }, { "message", outcome ? std::string_view() : outcome.error().message } });
        const auto found = m_orders.find(vm);
        if (outcome || found == m_orders.end() || found->second.revision != revision)
            return;
        found->second.reported = false; // Retried with the next tick, or below for this VM.
        if (vm == m_vm)
            report(vm, true);
    });
}

} // namespace yuccachute
