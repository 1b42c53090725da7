#include "front/front.h"

#include "job_forwarder.h"
#include "logging/logging.h"
#include "origin_finder.h"
#include "request_age.h"
#include "request_drain.h"
#include "version_registry.h"
#include "waiting_callers.h"

#include <algorithm>
#include <csignal>
#include <map>
#include <random>

namespace yuccachute {

namespace {

/// The platform's readiness probe must fail twice, a second apart, before the platform routes callers to
/// other entries. Until then new connections still arrive and are served. Requests that callers send more
/// than 3 s after the stop must not be cut off at the end of the grace period: from then on none is passed on
/// that may not be complete by then.
constexpr milliseconds acceptPeriodAfterStop { 2900 };
constexpr milliseconds shutdownPollInterval { 50 };
/// Part of the grace period that is reserved for ending the requests that still run, and the process.
constexpr milliseconds shutdownMargin { 400 };
/// The part of it that is reserved for the process.
constexpr milliseconds exitMargin { 150 };
constexpr milliseconds jobCallTimeout { 3500 };
constexpr milliseconds noConfigurationRetryAfter { 500 };
/// File descriptors reserved for targets, peers, the store and files.
constexpr unsigned reservedDescriptors = 800;
constexpr std::size_t idleConnectionsPerTarget = 24;
constexpr milliseconds storeCheckInterval { 500 };
/// A local copy older than this has not been confirmed by the store or by a peer that is connected to it.
constexpr milliseconds storeLostAfter { 2000 };
constexpr milliseconds shareRemovalInterval { 5000 };
/// Within this time after the start of a whole fleet, all entries know which of them are dispatchers. A
/// process that becomes a dispatcher later learns the load of its targets with the first request.
constexpr milliseconds startupPeriod { 3000 };
/// Resolution of the time that callers wait for the first configuration or list of targets. An empty list is
/// noticed only by this check.
constexpr milliseconds startupCheckInterval { 20 };

group_options groupOptions(const process_settings& settings)
{
    auto options = defaultGroupOptions();
    options.pollsLoadReports = settings.dispatch.loadReports;
    options.waitMargin = settings.dispatch.waitMarginPercent / 100.0;
    options.keptForLive = settings.dispatch.keptForLive;
    options.affinity = settings.dispatch.affinityPercent / 100.0;
    options.targetPace = settings.dispatch.targetPace;
    options.bulkLookahead = settings.dispatch.bulkLookahead;
    options.customerShares = settings.dispatch.customerShares;
    return options;
}

/// The paces of the targets of several groups. The median is the lowest one of the groups.
struct target_paces {
    void add(const group_summary& group)
    {
        slowest = std::min(slowest, group.slowestPace);
        median = std::min(median, group.medianPace);
        fastest = std::max(fastest, group.fastestPace);
        slowTargets += group.slowTargets;
    }

    double slowest = 1;
    double median = 1;
    double fastest = 1;
    unsigned slowTargets = 0;
};

/// Last part of the name of the metric for revocations with this reason.
std::string metricSuffix(revocation_reason reason)
{
    std::string suffix(toString(reason));
    std::replace(suffix.begin(), suffix.end(), ' ', '_');
    return suffix;
}

limit_bounds limitBounds(const limit_settings& settings)
{
    return { std::chrono::duration<double> { settings.windowSeconds }, settings.overshoot, settings.slack };
}

limit_policy limitPolicy(const limit_settings& settings)
{
    if (settings.policy == "even")
        return even_shares {};
    return lent_shares {};
}

class broker_slot_source final : public slot_source {
public:
    explicit broker_slot_source(slot_broker& broker)
        : m_broker(broker)
    {
    }
    std::shared_ptr<slot_acquisition> acquire(
        slot_requirements request, std::function<void(result<held_slot>)> done) override
    {
        return m_broker.acquire(std::move(request), std::move(done));
    }
    void release(const held_slot& taken, const slot_usage& usage) override { m_broker.release(taken, usage); }

private:
    slot_broker& m_broker;
};

class http_targets final : public target_client {
public:
    explicit http_targets(http_client& client)
        : m_client(client)
    {
    }
    std::shared_ptr<client_call> start(std::string_view address, const http_request& request,
        const client_call_options& options, client_call_events events) override
    {
        return m_client.start(address, request, options, std::move(events));
    }

private:
    http_client& m_client;
};

class front_process final : public peer_handler {
public:
    front_process(const process_settings& settings, const platform_adapter& adapter,
        const std::function<std::unique_ptr<async_store>(http_client&)>& connect)
        : m_settings(settings)
        , m_adapter(adapter)
        , m_memory(std::make_shared<memory_budget>(
              requestMemoryBytes(settings.memoryMb, settings.requestMemoryMb)))
        , m_client(m_loop,
              { .maxIdlePerAddress = idleConnectionsPerTarget,
                  .limitCrossed = answerLimitCounter(m_figures) })
        , m_platformStore(connect(m_client))
        , m_store(*m_platformStore, m_figures)
        , m_rpc({})
        , m_self(ownRecord(settings))
        , m_loads(m_client, adapter.loads)
        , m_suspects(
              m_loop, m_loads, m_figures, m_rpc, m_store, [this] { return m_fleet.otherEntryAddresses(); })
        , m_fleet(m_loop, m_store, m_suspects.replicator, adapter.documents, m_self, fleetOptions(settings),
              listeners())
        , m_registration(m_loop, m_store, m_self, {})
        , m_limits(m_self.vm, m_self.incarnation, limitPolicy(settings.customerLimits),
              limitBounds(settings.customerLimits))
        , m_broker(m_loop, m_rpc, { m_self.vm, m_self.zone, m_self.address }, &m_loads,
              groupOptions(settings), &m_limits)
        , m_slots(m_broker)
        , m_targets(m_client)
        , m_versions(m_store)
        , m_origins(m_loop, m_broker, m_versions, m_figures)
        , m_live { m_loop, m_slots, m_targets, adapter.callers, m_figures,
            [this] { return m_fleet.targetsAge(std::chrono::steady_clock::now()); }, &m_suspects.guard,
            &m_origins, m_memory, &m_drain }
        , m_jobs(
              m_loop, m_client, adapter.callers, settings.zone,
              [this] { return m_fleet.nodes(node_role::batch); }, m_figures, m_memory, &m_drain)
        , m_registrationTimer(m_loop)
        , m_storeTicker(m_loop, storeCheckInterval, [this] { checkStore(); })
        , m_stopTimer(m_loop)
        , m_startupTimer(m_loop)
        , m_random(std::random_device {}())
    {
    }

    int run()
    {
        nodesChanged();
        m_readiness = serveReadiness(m_loop, m_settings.readiness, [this] { return ready() && !m_stopping; });
        if (m_settings.metricsPort != 0)
            m_metrics
                = serveMetrics(m_loop, m_settings.address + ':' + std::to_string(m_settings.metricsPort),
                    m_figures, [this] { refreshMetrics(); });
        m_peers = std::make_unique<rpc_server>(m_settings.control, rpc_security {}, this, nullptr);
        http_listener_options options;
        std::tie(options.address, options.port) = splitAddress(m_settings.callers);
        options.limits = limits({});
        options.memory = m_memory;
        m_callers = std::make_unique<http_listener>(
            m_loop, options, [this](std::shared_ptr<http_exchange> caller) { serve(std::move(caller)); });
        m_fleet.start();
        scheduleRegistration();
        m_loop.onSignals({ SIGTERM, SIGINT, SIGHUP }, [this](int signal) { onSignal(signal); });
        logEvent(log_level::info, "started",
            { { "callers", m_settings.callers }, { "control", m_settings.control },
                { "store", m_settings.store }, { "zone", m_settings.zone },
                { "revision", buildRevision() } });
        m_loop.run();
        return 0;
    }

    // peer_handler. Called on threads of the RPC transport.
    void sessionOpened(std::uint64_t session, std::function<void(envelope)> send) override
    {
        m_broker.sessionOpened(session, std::move(send));
    }
    void sessionReceived(std::uint64_t session, envelope message) override
    {
        m_broker.sessionReceived(session, std::move(message));
    }
    void sessionClosed(std::uint64_t session) override { m_broker.sessionClosed(session); }
    sync_answer sync(const sync_question& question) override
    {
        auto answer = m_fleet.answer(question.known);
        m_suspects.replicator.answer(question, answer);
        return answer;
    }

private:
    static node_record ownRecord(const process_settings& settings)
    {
        node_record self;
        self.vm = settings.vm;
        self.zone = settings.zone;
        self.address = settings.control;
        self.role = node_role::entry;
        self.cores = settings.cores;
        self.incarnation = static_cast<std::uint64_t>(
            std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
                .count());
        return self;
    }

    fleet_watch::listeners listeners()
    {
        return { [this] { configurationChanged(); }, [this](auto changes) { targetsChanged(changes); },
            [this] { nodesChanged(); }, nullptr };
    }

    http_limits limits(const caller_limits& given) const
    {
        http_limits limits;
        limits.maxHeaderBytes = given.maxHeaderBytes;
        limits.maxBodyBytes = given.maxBodyBytes;
        limits.headerTimeout = given.headerTimeout;
        limits.idleTimeout = given.idleTimeout;
        limits.requestTimeout = m_settings.requestTimeout;
        limits.maxConnections = m_settings.descriptors > 2 * reservedDescriptors
            ? m_settings.descriptors - reservedDescriptors
            : m_settings.descriptors / 2;
        return limits;
    }

    startup_state startupState() const
    {
        return { m_fleet.configuration() != nullptr, m_fleet.hasTargetList() };
    }
    bool ready() const { return satisfied(startup_need::target_list, startupState()); }

    void configurationChanged()
    {
        const auto table = m_fleet.configuration();
        if (m_callers)
            m_callers->setLimits(limits(table->limits));
        m_limits.setCustomers(table->customers, std::chrono::steady_clock::now());
        m_broker.limitsChanged();
        m_broker.setObjectives(longestObjectives(*table));
        m_loop.post([this] { resumeWaitingCallers(); });
    }

    void targetsChanged(std::span<const target_change> changes)
    {
        const auto now = std::chrono::steady_clock::now();
        m_broker.setTargets(m_fleet.targets(), changes, now);
        m_versions.targetsChanged(changes, now);
        updateVersions(now);
        m_suspects.guard.setTargets(m_fleet.targets(), changes, now);
        prepareGroups(now);
        m_loop.post([this] { resumeWaitingCallers(); });
    }

    void nodesChanged()
    {
        const auto entries = m_fleet.nodes(node_role::entry);
        m_broker.setDispatchers(dispatchersAmong(entries));
        m_versions.setRecorded(m_fleet.recordedVersions());
        setLimitMembers();
        prepareGroups(std::chrono::steady_clock::now());
        // Renews the registration left by an earlier start of this process, since others may rely on it.
        if (!m_fleet.hasJoined() && m_fleet.listed())
            return registerEntry();
        if (m_initialDelayElapsed)
            considerRegistration();
    }

    /// Only an entry that has joined the fleet knows all targets of its zone, and only with a list of entries
    /// does it know whether another one is the primary dispatcher.
    void prepareGroups(steady_time now)
    {
        const bool starting = m_settings.dispatch.startup && now - m_startedAt < startupPeriod;
        if (starting && m_fleet.hasJoined() && !m_fleet.registered(node_role::entry).empty())
            m_broker.prepareGroups(now);
    }

    /// Updates the members that may own shares of the limits. Until this entry has registered it owns no
    /// share, whatever records an earlier start left.
    void setLimitMembers()
    {
        std::map<std::string, limit_member> members;
        for (const auto& owner : m_fleet.shareRecords())
            members[owner.vm] = { owner.vm, owner.zone, false, false, owner.address };
        for (const auto& node : m_fleet.registered(node_role::entry))
            members[node.vm] = { node.vm, node.zone, node.leaving, true, node.address };
        for (const auto& node : m_fleet.nodes(node_role::entry)) {
            const bool registered = node.vm != m_self.vm || m_fleet.listed();
            members[node.vm] = { node.vm, node.zone, false, registered, node.address };
        }
        if (!m_fleet.hasJoined())
            members.erase(m_self.vm);
        std::vector<limit_member> all;
        all.reserve(members.size());
        for (auto& [vm, member] : members)
            all.push_back(std::move(member));
        m_limits.setMembers(all, std::chrono::steady_clock::now());
        m_broker.setLimitMembers(all);
    }

    /// Other processes find an entry as a seed or by its registration. Seeds register at once, other entries
    /// only if more registered entries are needed.
    void scheduleRegistration()
    {
        const auto& seeds = m_settings.seeds;
        const bool seed = std::find(seeds.begin(), seeds.end(), m_self.address) != seeds.end();
        if (seed || !m_settings.followPeers)
            return registerEntry();
        m_registrationTimer.arm(initialRegistrationDelay(m_self.cores), [this] {
            m_initialDelayElapsed = true;
            considerRegistration();
        });
    }

    /// Every process that follows the store records versions: one of them alone could be dead or cut off.
    void updateVersions(steady_time now)
    {
        if (m_fleet.hasJoined() && m_fleet.storeContact().watches && m_store.reachable())
            m_versions.update(now);
    }

    void checkStore()
    {
        const auto now = std::chrono::steady_clock::now();
        updateVersions(now);
        m_limits.setStoreReachable(m_fleet.targetsAge(now) <= storeLostAfter, now);
        const auto lost = m_limits.takeExpiredMembers();
        if (m_fleet.storeContact().watches) {
            for (const auto& vm : lost)
                removeShareRecord(vm);
        }
        const auto owners = m_fleet.shareRecords();
        const bool staleRecord = std::any_of(
            owners.begin(), owners.end(), [&](const auto& owner) { return owner.vm == m_self.vm; });
        if (staleRecord && m_initialDelayElapsed && !m_fleet.hasJoined() && now >= m_nextShareRemoval) {
            m_nextShareRemoval = now + shareRemovalInterval;
            removeShareRecord(m_self.vm);
        }
    }

    /// Removes the record only if its entry is not registered: the store call may take effect late, when the
    /// entry has registered again.
    void removeShareRecord(const std::string& vm)
    {
        store_transaction transaction;
        node_record entry;
        entry.vm = vm;
        transaction.conditions.push_back({ store_condition::kind::absent, nodeKey(entry), 0 });
        transaction.removals.push_back({ shareKey(vm), false });
        m_store.commit(transaction, [vm](result<commit_outcome> outcome) {
            if (!outcome)
                logEvent(log_level::info, "limit share record not removed from the store",
                    { { "vm", vm }, { "reason", outcome.error().message } });
        });
    }

    registration_need currentNeed() const
    {
        return registrationNeed(m_self, m_fleet.registered(node_role::entry));
    }

    void considerRegistration()
    {
        const auto seen = currentNeed();
        const bool alreadyPending = m_registrationTimer.armed() && m_pendingNeed >= seen;
        if (m_fleet.hasJoined() || seen == registration_need::none || alreadyPending)
            return;
        m_pendingNeed = seen;
        m_registrationTimer.arm(jitter(maxRegistrationDelay(seen, m_self.cores)), [this] {
            if (currentNeed() >= m_pendingNeed)
                registerEntry();
            else // Other entries registered first. A spare one may still be needed.
                considerRegistration();
        });
    }

    void registerEntry()
    {
        if (m_fleet.hasJoined() || m_stopping)
            return;
        m_registrationTimer.cancel();
        m_fleet.joinFleet();
        setLimitMembers();
        m_registration.start();
        // Publishes the stored suspects to the entries that follow peers instead of the store.
        m_suspects.archive.load([this] { m_suspects.replicator.publishSnapshot(); });
    }

    /// Random delay that keeps the entries of a zone from deciding at the same moment.
    milliseconds jitter(milliseconds most)
    {
        return milliseconds { m_random() % static_cast<unsigned>(most.count() + 1) };
    }

    /// A live request that can be served.
    struct admitted_request {
        std::shared_ptr<http_exchange> caller;
        live_request live;
    };

    void serve(std::shared_ptr<http_exchange> caller)
    {
        if (auto admitted = admit(std::move(caller), m_settings.dispatch.startup))
            start(std::move(*admitted));
    }

    void start(admitted_request request)
    {
        request.live.age = ageOf(request.live.facts, request.live.matched);
        serveLive(m_live, std::move(request.caller), std::move(request.live));
    }

    /// Returns whether the request waits for the first configuration or list of targets.
    bool waitsForStartup(const std::shared_ptr<http_exchange>& caller, startup_need need, steady_time end)
    {
        const bool waits = std::chrono::steady_clock::now() < end && m_waiting.add(caller, need, end);
        m_figures.count("yuccachute_startup_waits_total", "outcome", waits ? "waiting" : "no room");
        if (waits && !m_startupTimer.armed())
            m_startupTimer.arm(startupCheckInterval, [this] { resumeWaitingCallers(); });
        return waits;
    }

    /// Refuses the requests that wait for the first configuration or list of targets.
    void endWaitingCallers() { releaseWaitingCallers(steady_time::max()); }

    void resumeWaitingCallers() { releaseWaitingCallers(std::chrono::steady_clock::now()); }

    /// Serves the requests that can be served, and refuses those that do not wait until after `until`.
    void releaseWaitingCallers(steady_time until)
    {
        if (m_waiting.empty())
            return;
        m_startupTimer.cancel();
        const auto now = std::chrono::steady_clock::now();
        std::vector<admitted_request> admitted;
        steady_time::duration longest { 0 };
        std::int64_t expired = 0;
        auto released = m_waiting.take(startupState(), until);
        for (auto& [caller, tooLate] : released) {
            longest = std::max(longest, now - caller->received());
            expired += tooLate ? 1 : 0;
            m_figures.count("yuccachute_startup_waits_total", "outcome", tooLate ? "expired" : "resumed");
            if (auto one = admit(std::move(caller), !tooLate))
                admitted.push_back(std::move(*one));
        }
        // All are recorded before the first is served: together they show which of them are first attempts.
        for (auto& one : admitted)
            start(std::move(one));
        if (!released.empty())
            logEvent(log_level::info,
                "requests that arrived before the first configuration or list of targets",
                { { "resumed", static_cast<std::int64_t>(released.size()) - expired }, { "expired", expired },
                    { "still_waiting", static_cast<std::int64_t>(m_waiting.size()) },
                    { "longest_wait_ms", std::chrono::duration_cast<milliseconds>(longest).count() } });
        if (!m_waiting.empty() && !m_startupTimer.armed())
            m_startupTimer.arm(startupCheckInterval, [this] { resumeWaitingCallers(); });
    }

    /// Refuses the request, forwards it, or lets it wait if it `mayWait`, and returns it otherwise.
    std::optional<admitted_request> admit(std::shared_ptr<http_exchange> caller, bool mayWait)
    {
        const auto table = m_fleet.configuration();
        if (!table) {
            if (!mayWait
                || !waitsForStartup(
                    caller, startup_need::configuration, configurationWaitEnd(caller->received())))
                refuse(*caller,
                    notRun(failure_kind::unavailable, "this entry has not received a configuration yet",
                        noConfigurationRetryAfter));
            return std::nullopt;
        }
        const auto& request = caller->request();
        auto facts = m_adapter.callers.describe(request);
        if (!facts) {
            refuseCall(*caller, facts.error());
            return std::nullopt;
        }
        const auto key = std::exchange(facts.value().key, {});
        if (const auto call = m_adapter.jobs.recognise(request)) {
            const auto identity = authenticateJobCall(*table, facts.value().host, key);
            if (!identity)
                refuseCall(*caller, identity.error());
            else
                m_jobs.forward(caller,
                    { call->jobId, customerOf(*table, identity.value()),
                        job_forwarder::call_kind::existing_job, jobCallTimeout + call->wait, call->wait, 0 });
            return std::nullopt;
        }
        const auto* matched = table->match(facts.value().host, request.path);
        if (!matched) {
            refuseCall(
                *caller, notRun(failure_kind::not_found, "no route matches host and path " + request.path));
            return std::nullopt;
        }
        const auto identity = authenticate(*table, *matched, key);
        if (!identity) {
            refuseCall(*caller, identity.error());
            return std::nullopt;
        }
        if (matched->kind == request_kind::batch) {
            const auto callerTimeout = facts.value().callerTimeout.value_or(jobCallTimeout);
            m_jobs.forward(caller,
                { facts.value().id, customerOf(*table, identity.value()),
                    job_forwarder::call_kind::submission, callerTimeout, milliseconds { 0 },
                    table->version });
            return std::nullopt;
        }
        const bool lacksTargets = mayWait && !m_fleet.hasTargetList();
        if (lacksTargets
            && waitsForStartup(caller, startup_need::target_list,
                targetListWaitEnd(caller->received(), matched->objective, facts.value().callerTimeout)))
            return std::nullopt;
        recordCallerTime(facts.value(), *matched);
        return admitted_request { std::move(caller),
            { std::move(facts.value()), table, *matched, identity.value() } };
    }

    /// A request that resumes a stream has no age: its first event may have been on time, and the objective
    /// for pauses applies to it instead.
    static bool hasAge(const request_facts& facts) { return facts.callerTimeout && !facts.lastEvent; }

    void recordCallerTime(const request_facts& facts, const route& matched)
    {
        if (hasAge(facts))
            m_ages.record(
                matched.name, matched.timeout, *facts.callerTimeout, std::chrono::steady_clock::now());
    }

    milliseconds ageOf(const request_facts& facts, const route& matched) const
    {
        return hasAge(facts)
            ? m_ages.ageOf(matched.name, *facts.callerTimeout, std::chrono::steady_clock::now())
            : milliseconds { 0 };
    }

    /// Returns nullopt in a deployment without customers, where callers' headers are passed on unchanged.
    static std::optional<std::string> customerOf(const routing_table& table, const caller_identity& identity)
    {
        if (table.customers.empty())
            return std::nullopt;
        return std::string(identity.name());
    }

    void refuseCall(http_exchange& caller, const failure& reason)
    {
        m_figures.count("yuccachute_requests_total", "outcome", toString(reason.kind));
        logEvent(log_level::warning, "request",
            { { "outcome", toString(reason.kind) }, { "reason", reason.message },
                { "config", m_fleet.configuration()->version } });
        refuse(caller, reason);
    }

    void refreshMetrics()
    {
        const auto now = std::chrono::steady_clock::now();
        const auto& places = m_broker.figures();
        m_figures.set("yuccachute_place_asks", static_cast<double>(places.asks));
        m_figures.set("yuccachute_place_grants", static_cast<double>(places.grants));
        m_figures.set("yuccachute_place_grants_elsewhere", static_cast<double>(places.grantsInOtherZones));
        m_figures.set("yuccachute_place_refusals", static_cast<double>(places.refusals));
        m_figures.set("yuccachute_dispatchers_silent", static_cast<double>(places.unresponsiveDispatchers));
        m_figures.set("yuccachute_caller_connections", static_cast<double>(m_callers->connections()));
        m_figures.set("yuccachute_caller_connections_closed_unread",
            static_cast<double>(m_callers->connectionsClosedUnread()));
        reportMemory(m_figures, *m_memory, m_callers->counters());
        m_figures.set(
            "yuccachute_target_connections_opened", static_cast<double>(m_client.connectionsOpened()));
        m_figures.set("yuccachute_configuration_version",
            m_fleet.configuration() ? static_cast<double>(m_fleet.configuration()->version) : 0);
        m_figures.set("yuccachute_log_lines_dropped", static_cast<double>(droppedLogLines()));
        m_figures.set("yuccachute_store_connected", m_fleet.storeConnected() ? 1 : 0);
        m_figures.set(
            "yuccachute_configuration_age_ms", static_cast<double>(m_fleet.configurationAge(now).count()));
        m_figures.set("yuccachute_targets_age_ms", static_cast<double>(m_fleet.targetsAge(now).count()));
        m_figures.set("yuccachute_suspected_requests", static_cast<double>(m_suspects.guard.known().size()));
        m_figures.set(
            "yuccachute_suspected_prompt_parts", static_cast<double>(m_suspects.guard.knownParts().size()));
        if (m_limits.hasLimits()) {
            m_figures.set("yuccachute_limit_part", m_limits.share(now));
            m_figures.set("yuccachute_limit_refusals", static_cast<double>(m_limits.refused()));
            m_figures.set("yuccachute_limit_late_refusals", static_cast<double>(m_limits.refusedLate()));
            m_figures.set("yuccachute_limit_part_refusals", static_cast<double>(m_limits.refusedForPart()));
        }
        target_paces paces;
        std::map<revocation_reason, std::uint64_t> revocations;
        std::uint64_t startsHeldBack = 0;
        for (const auto& [name, group] : m_broker.summaries(now)) {
            for (const auto& [reason, number] : group.revocations)
                revocations[reason] += number;
            startsHeldBack += group.startsHeldBack;
            m_figures.set("yuccachute_group_live", group.live);
            m_figures.set("yuccachute_group_bulk", group.bulk);
            m_figures.set("yuccachute_group_live_waiting", static_cast<double>(group.liveWaiting));
            m_figures.set(
                "yuccachute_group_live_past_objective", static_cast<double>(group.liveWaitingPastObjective));
            m_figures.set("yuccachute_group_usable_targets", group.usableTargets);
            paces.add(group);
        }
        // Relative to the nominal speed of a group; over all groups that this process is a dispatcher of.
        m_figures.set("yuccachute_target_pace_slowest", paces.slowest);
        m_figures.set("yuccachute_target_pace_median", paces.median);
        m_figures.set("yuccachute_target_pace_fastest", paces.fastest);
        m_figures.set("yuccachute_slow_targets", paces.slowTargets);
        for (const auto& [reason, number] : revocations)
            m_figures.set("yuccachute_bulk_revocations_" + metricSuffix(reason), static_cast<double>(number));
        m_figures.set("yuccachute_bulk_starts_held_back", static_cast<double>(startsHeldBack));
    }

    void onSignal(int signal)
    {
        if (signal == SIGHUP) {
            // The process settings (addresses and limits of the VM) are read only at the start.
            logEvent(log_level::info, "reload signal ignored: the settings in use cannot change at run time",
                { { "config", m_settings.vm } });
            return;
        }
        if (m_stopping)
            return;
        m_stopping = true;
        m_stopAt = std::chrono::steady_clock::now();
        m_limits.leave(m_stopAt);
        logEvent(log_level::info, "stopping",
            { { "running", static_cast<std::int64_t>(m_callers->exchanges()) } });
        m_registration.leave();
        m_stopTimer.arm(acceptPeriodAfterStop, [this] { drain(); });
    }

    /// Accepts no more connections, closes idle ones and lets running requests finish.
    void drain()
    {
        m_callers->stopAccepting();
        m_callers->closeAfterAnswers();
        m_drain.begin(graceEnd(shutdownMargin));
        awaitConnectionsClosed();
    }

    /// When the given part of the grace period is left.
    steady_time graceEnd(milliseconds margin) const { return m_stopAt + m_settings.grace - margin; }

    void awaitConnectionsClosed()
    {
        const bool overdue = std::chrono::steady_clock::now() > graceEnd(shutdownMargin);
        if (m_callers->connections() > 0 && !overdue)
            return m_stopTimer.arm(shutdownPollInterval, [this] { awaitConnectionsClosed(); });
        logEvent(log_level::info, "stopped",
            { { "unfinished", static_cast<std::int64_t>(m_callers->exchanges()) } });
        m_registration.end();
        endWaitingCallers();
        m_drain.cutOffAll();
        awaitResponsesWritten();
    }

    void awaitResponsesWritten()
    {
        const bool overdue = std::chrono::steady_clock::now() > graceEnd(exitMargin);
        if (m_callers->exchanges() > 0 && !overdue)
            return m_stopTimer.arm(shutdownPollInterval, [this] { awaitResponsesWritten(); });
        m_stopTimer.arm(shutdownPollInterval, [this] { m_loop.stop(); });
    }

    process_settings m_settings;
    const platform_adapter& m_adapter;
    std::shared_ptr<memory_budget> m_memory; ///< For requests of callers.
    event_loop m_loop;
    metrics m_figures;
    http_client m_client;
    std::unique_ptr<async_store> m_platformStore;
    observed_store m_store;
    rpc_client m_rpc;
    node_record m_self;
    target_loads m_loads;
    shared_guard m_suspects;
    fleet_watch m_fleet;
    registration m_registration;
    distributed_rate_limiter m_limits;
    slot_broker m_broker;
    broker_slot_source m_slots;
    http_targets m_targets;
    version_registry m_versions;
    origin_finder m_origins;
    request_drain m_drain;
    live_services m_live;
    request_ages m_ages;
    job_forwarder m_jobs;
    loop_timer m_registrationTimer;
    loop_ticker m_storeTicker;
    loop_timer m_stopTimer;
    loop_timer m_startupTimer; ///< Armed while callers wait for the first configuration or list of targets.
    waiting_callers m_waiting;
    std::minstd_rand m_random;
    std::unique_ptr<http_listener> m_callers;
    std::unique_ptr<http_listener> m_readiness;
    std::unique_ptr<http_listener> m_metrics;
    std::unique_ptr<rpc_server> m_peers;
    steady_time m_startedAt = std::chrono::steady_clock::now();
    steady_time m_stopAt;
    steady_time m_nextShareRemoval;
    bool m_initialDelayElapsed = false; ///< The delay that lets larger VMs register first has passed.
    registration_need m_pendingNeed
        = registration_need::none; ///< The need that m_registrationTimer was armed for.
    bool m_stopping = false;
};

} // namespace

std::vector<dispatcher_info> dispatchersAmong(std::span<const node_record> entries)
{
    std::map<std::string_view, double> mostCores; // Of the largest VM, by zone.
    for (const auto& node : entries) {
        auto& most = mostCores[node.zone];
        most = std::max(most, node.cores);
    }
    std::vector<dispatcher_info> dispatchers;
    dispatchers.reserve(entries.size());
    for (const auto& node : entries)
        dispatchers.push_back({ node.vm, node.zone, node.address, isLarge(node, mostCores[node.zone]) });
    return dispatchers;
}

int runFront(const process_settings& settings, const platform_adapter& adapter,
    const std::function<std::unique_ptr<async_store>(http_client&)>& connect)
{
    return front_process(settings, adapter, connect).run();
}

} // namespace yuccachute
