#include "process.h"

#include <algorithm>
#include <csignal>
#include <random>

namespace yuccachute {

namespace {

constexpr registration::timing registrationTimes { milliseconds { 2000 }, milliseconds { 400 } };
constexpr milliseconds stopPollInterval { 20 };
constexpr milliseconds stopMargin { 1000 };
constexpr std::size_t maxIdleConnectionsPerTarget = 24;

} // namespace

bulk_process::bulk_process(const process_settings& settings, const bulk_adapter& adapter,
    const std::function<std::unique_ptr<async_store>(http_client&)>& connect)
    : m_settings(settings)
    , m_adapter(adapter)
    , m_memory(
          std::make_shared<memory_budget>(requestMemoryBytes(settings.memoryMb, settings.requestMemoryMb)))
    , m_client(m_loop,
          { .maxIdlePerAddress = maxIdleConnectionsPerTarget, .limitCrossed = answerLimitCounter(m_metrics) })
    , m_platformStore(connect(m_client))
    , m_store(*m_platformStore, m_metrics)
    , m_rpc({})
    , m_self(ownRecord(settings))
    , m_loads(m_client, adapter.loads)
    , m_suspects(m_loop, m_loads, m_metrics, m_rpc, m_store, [this] { return m_fleet.otherEntryAddresses(); })
    , m_fleet(m_loop, m_store, m_suspects.replicator, adapter.documents, m_self, fleetOptions(settings),
          listeners())
    , m_registration(m_loop, m_store, m_self, registrationTimes)
    , m_broker(m_loop, m_rpc, { m_self.vm, m_self.zone, "" })
    , m_itemRunServices { m_loop, m_broker, m_client, adapter.callers, m_suspects.guard }
    , m_jobStore(m_loop, m_store, { m_self.vm, m_self.incarnation }, settings.storeValueBytes)
    , m_lookup(m_loop, m_jobStore)
    , m_admission(m_store, m_jobStore)
    , m_retirement(m_loop, m_store, adapter.jobs, m_self.vm, [this] { releaseJobs(); })
    , m_stopTimer(m_loop)
{
}

int bulk_process::run()
{
    http_listener_options options;
    options.address = m_settings.address;
    options.port = m_settings.innerPort;
    options.limits.maxConnections = m_settings.descriptors / 2;
    options.limits.requestTimeout = m_settings.requestTimeout;
    options.memory = m_memory;
    m_reclaimer = m_memory->addReclaimer([this](std::size_t, steady_time) { return reclaimFinishedJob(); });
    m_listener = std::make_unique<http_listener>(
        m_loop, options, [this](std::shared_ptr<http_exchange> caller) { serve(std::move(caller)); });
    if (m_settings.metricsPort != 0)
        m_metricsListener
            = serveMetrics(m_loop, m_settings.address + ':' + std::to_string(m_settings.metricsPort),
                m_metrics, [this] { refreshMetrics(); });
    m_fleet.start();
    m_fleet.joinFleet();
    m_registration.start();
    m_suspects.archive.load([this] { m_suspects.replicator.publishSnapshot(); });
    m_ticker = std::make_unique<loop_ticker>(m_loop, tickInterval, [this] { tick(); });
    m_loop.onSignals({ SIGTERM, SIGINT, SIGHUP }, [this](int signal) { handleSignal(signal); });
    logEvent(log_level::info, "started",
        { { "address", m_self.address }, { "store", m_settings.store }, { "zone", m_settings.zone },
            { "incarnation", static_cast<std::int64_t>(m_self.incarnation) },
            { "boot_clock", std::int64_t { readBootClock().has_value() } },
            { "revision", buildRevision() } });
    m_loop.run();
    return 0;
}

node_record bulk_process::ownRecord(const process_settings& settings)
{
    node_record self;
    self.vm = settings.vm;
    self.zone = settings.zone;
    self.address = settings.address + ':' + std::to_string(settings.innerPort);
    self.role = node_role::batch;
    self.cores = settings.cores;
    // Random, because two starts can fall into the same millisecond, and clocks can be set back.
    self.incarnation = std::mt19937_64 { std::random_device {}() }() >> 1;
    return self;
}

fleet_watch::listeners bulk_process::listeners()
{
    return { [this] { configurationChanged(); }, [this](auto changes) { targetsChanged(changes); },
        [this] { nodesChanged(); }, [this] { m_retirement.ordersChanged(m_fleet.operatorKeys()); } };
}

void bulk_process::targetsChanged(std::span<const target_change> changes)
{
    const auto time = now();
    m_broker.setTargets(m_fleet.targets(), changes, time);
    m_suspects.guard.setTargets(m_fleet.targets(), changes, time);
}

void bulk_process::nodesChanged()
{
    m_broker.setDispatchers(dispatchersAmong(m_fleet.nodes(node_role::entry)));
    m_scan.request(bootClockNow() + milliseconds { 100 });
}

void bulk_process::tick()
{
    const auto time = now();
    const auto table = m_fleet.configuration();
    for (auto& [id, held] : m_jobs) {
        if (held.openRevision != 0 && table && canDecide(*table, held.job->record()))
            expireItems(held, *table, time);
        notifyReaders(held);
    }
    resumeSubmissions();
    commitDue();
    const bool unchecked = m_reconciledGeneration != m_registration.generation();
    if (unchecked)
        m_scan.request(m_scan.requestedAt() + commitRetryDelay);
    if (m_scan.due(bootClockNow()))
        scan();
    if (time >= m_nextProgressSave)
        saveProgress();
    startRuns();
    removeExpiredJobs(time);
}

void bulk_process::removeExpiredJobs(steady_time time)
{
    for (auto job = m_jobs.begin(); job != m_jobs.end();) {
        const bool old = time - job->second.acceptedAt > m_settings.resultRetention;
        if (!old) {
            ++job;
            continue;
        }
        logEvent(log_level::info, "job removed after its retention period", { { "job", job->first } });
        const auto& held = job->second;
        m_jobStore.remove(held.job->record(), held.job->committedGroups(), held.storedParts);
        job = m_jobs.erase(job);
    }
}

void bulk_process::releaseJobs()
{
    if (m_leaving)
        return;
    m_leaving = true;
    m_registration.leave();
    for (auto& [id, held] : m_jobs)
        held.runs.clear();
    awaitCommits();
}

void bulk_process::awaitCommits()
{
    const bool committing
        = std::any_of(m_jobs.begin(), m_jobs.end(), [](const auto& job) { return job.second.committing; });
    if (committing && now() - m_stopAt < m_settings.grace - stopMargin)
        return m_stopTimer.arm(stopPollInterval, [this] { awaitCommits(); });
    m_retirement.ownJobsReleased();
    if (m_stopping)
        m_stopTimer.arm(stopPollInterval, [this] { finishStop(); });
}

void bulk_process::finishStop()
{
    logEvent(log_level::info, "stopped", {});
    m_registration.end();
    m_stopTimer.arm(stopPollInterval, [this] { m_loop.stop(); });
}

void bulk_process::handleSignal(int signal)
{
    if (signal == SIGHUP) {
        // The settings used by this process (addresses, limits of its VM) cannot change while it runs.
        logEvent(log_level::info, "reload signal ignored: the settings in use cannot change at run time",
            { { "config", m_settings.vm } });
        return;
    }
    if (m_stopping)
        return;
    m_stopping = true;
    m_stopAt = now();
    logEvent(log_level::info, "stopping", { { "jobs", static_cast<std::int64_t>(m_jobs.size()) } });
    if (m_leaving)
        return finishStop();
    releaseJobs();
}

void bulk_process::refreshMetrics()
{
    const auto& slotStats = m_broker.figures();
    m_metrics.set("yuccachute_place_asks", static_cast<double>(slotStats.asks));
    m_metrics.set("yuccachute_place_grants", static_cast<double>(slotStats.grants));
    m_metrics.set("yuccachute_jobs", static_cast<double>(m_jobs.size()));
    reportMemory(m_metrics, *m_memory, m_listener->counters());
    m_metrics.set("yuccachute_item_runs", static_cast<double>(runs()));
    m_metrics.set("yuccachute_log_lines_dropped", static_cast<double>(droppedLogLines()));
    m_metrics.set("yuccachute_store_connected", m_fleet.storeConnected() ? 1 : 0);
    m_metrics.set(
        "yuccachute_configuration_age_ms", static_cast<double>(m_fleet.configurationAge(now()).count()));
    m_metrics.set("yuccachute_targets_age_ms", static_cast<double>(m_fleet.targetsAge(now()).count()));
}

int runBulkProcess(const process_settings& settings, const bulk_adapter& adapter,
    const std::function<std::unique_ptr<async_store>(http_client&)>& connect)
{
    return bulk_process(settings, adapter, connect).run();
}

} // namespace yuccachute
