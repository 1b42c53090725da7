#include "bulk_process/bulk_process.h"

#include "item_run.h"
#include "logging/logging.h"
#include "membership/membership.h"
#include "retirement.h"

#include <algorithm>
#include <csignal>
#include <random>
#include <set>

namespace yuccachute {

namespace {

constexpr milliseconds tickInterval { 50 };
/// Results are committed together: each commit is a priced call, and a caller asks twice a second.
constexpr milliseconds commitAge { 900 };
/// Shortly before it is due a job's results are committed sooner.
constexpr milliseconds commitAgeWhenDue { 150 };
constexpr milliseconds nearlyDue { 3000 };
constexpr milliseconds commitRetry { 200 };
/// The list of open jobs is looked through so often: it finds jobs whose holder has gone, and jobs that were
/// ended elsewhere, which must stop within three seconds.
constexpr milliseconds scanInterval { 2000 };
/// Own results may be told from memory so long after a renewal of the registration that the store confirmed:
/// if another process had taken the job since, its results could not be older than that.
constexpr milliseconds memoryValidity { 1000 };
constexpr registration::times registrationTimes { milliseconds { 2000 }, milliseconds { 400 } };
constexpr std::size_t mostPageBytes = 900u << 10;
constexpr milliseconds retryAfter { 500 };
/// Runs and asks for places at once; each costs a few kilobytes.
constexpr std::size_t mostRuns = 160;
/// What a run takes until some have been seen: a few hundred events, 20 ms each.
constexpr double firstMeanRunMs = 4000;
constexpr double firstMeanEventMs = 20;

constexpr milliseconds stopPoll { 20 };
constexpr milliseconds endMargin { 1000 };
constexpr std::size_t keptPerTarget = 24;
constexpr unsigned accepted = 202;
constexpr unsigned badGateway = 502;
/// When items are given up whose route names no expiry.
constexpr std::chrono::hours defaultExpiry { 24 };

std::string randomToken()
{
    thread_local std::mt19937_64 generator { std::random_device {}() };
    char text[20];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(generator()));
    return text;
}

std::int64_t wallClockMs()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// A caller that waits for a result of a job.
struct waiting_reader {
    std::shared_ptr<http_exchange> caller;
    std::size_t after = 0;
    steady_time until;
};

/// A job that this process holds, or has read after its end.
struct held_job {
    std::unique_ptr<bulk_job> job;
    std::int64_t openRevision = 0; ///< 0: finished or ended, and only read.
    std::map<std::uint32_t, std::unique_ptr<item_run>> runs;
    std::vector<waiting_reader> readers;
    steady_time nextCommit;
    steady_time acceptedAt;
    bool committing = false;
    bool ended = false; ///< By its caller.
};

/// What is seen of one run, for the mean of them.
struct run_figures {
    steady_time begun; ///< First event.
    std::size_t events = 0;
};

class bulk_process {
public:
    bulk_process(const process_settings& settings, const bulk_adapter& adapter,
        const std::function<std::unique_ptr<async_store>(event_loop&, http_client&)>& connect)
        : m_settings(settings)
        , m_adapter(adapter)
        , m_client(m_loop, { keptPerTarget })
        , m_platformStore(connect(m_loop, m_client))
        , m_store(*m_platformStore, m_figures)
        , m_rpc({})
        , m_self(ownRecord(settings))
        , m_fleet(m_loop, m_store, m_rpc, adapter.documents, m_self, { settings.seeds }, listeners())
        , m_registration(m_loop, m_store, m_self, registrationTimes)
        , m_broker(m_loop, m_rpc, { m_self.vm, m_self.zone, "" })
        , m_items { m_loop, m_broker, m_client, adapter.callers }
        , m_keeper(m_loop, m_store, { m_self.vm, m_self.incarnation })
        , m_retirement(m_loop, m_store, adapter.jobs, m_self.vm, [this] { retire(); })
        , m_stopTimer(m_loop)
    {
    }

    int run()
    {
        http_listener_options options;
        options.address = m_settings.address;
        options.port = m_settings.innerPort;
        options.limits.maxConnections = m_settings.descriptors / 2;
        m_listener = std::make_unique<http_listener>(
            m_loop, options, [this](std::shared_ptr<http_exchange> caller) { serve(std::move(caller)); });
        if (m_settings.metricsPort != 0)
            m_metrics
                = serveMetrics(m_loop, m_settings.address + ':' + std::to_string(m_settings.metricsPort),
                    m_figures, [this] { refreshFigures(); });
        m_fleet.start();
        m_registration.start();
        m_ticker = std::make_unique<loop_ticker>(m_loop, tickInterval, [this] { tick(); });
        m_loop.onSignals({ SIGTERM, SIGINT, SIGHUP }, [this](int signal) { signalled(signal); });
        logEvent(log_level::info, "started",
            { { "address", m_self.address }, { "store", m_settings.store }, { "zone", m_settings.zone },
                { "incarnation", static_cast<std::int64_t>(m_self.incarnation) } });
        m_loop.run();
        return 0;
    }

private:
    static node_record ownRecord(const process_settings& settings)
    {
        node_record self;
        self.vm = settings.vm;
        self.zone = settings.zone;
        self.address = settings.address + ':' + std::to_string(settings.innerPort);
        self.role = node_role::batch;
        // Two starts in the same millisecond must differ, and clocks may jump back.
        self.incarnation = std::mt19937_64 { std::random_device {}() }() >> 1;
        return self;
    }

    fleet_watch::listeners listeners()
    {
        return { [] {}, [this] { m_broker.setTargets(m_fleet.targets().targets(), now()); },
            [this] { nodesChanged(); }, [this] { m_retirement.ordersChanged(m_fleet.orders()); } };
    }

    static steady_time now() { return std::chrono::steady_clock::now(); }

    void nodesChanged()
    {
        std::vector<dispatcher_info> dispatchers;
        for (const auto& node : m_fleet.nodes(node_role::entry))
            dispatchers.push_back({ node.vm, node.zone, node.address });
        m_broker.setDispatchers(std::move(dispatchers));
        m_nextScan = std::min(m_nextScan, now() + milliseconds { 100 });
    }

    // --- Calls of callers

    void serve(std::shared_ptr<http_exchange> caller)
    {
        const auto call = m_adapter.jobs.parseCall(caller->request());
        if (!call)
            return submit(std::move(caller));
        std::visit([&](const auto& typed) { serve(std::move(caller), typed); }, *call);
    }

    void answer(http_exchange& caller, const failure& error)
    {
        logEvent(log_level::warning, "job call failed",
            { { "kind", toString(error.kind) }, { "verdict", toString(error.ran) },
                { "message", error.message } });
        if (error.ran == verdict::not_run)
            return refuse(caller, error);
        caller.send({ badGateway, {}, error.message + "\n" });
    }

    /// While the store turns this process away, each question of a caller would be one more priced call that
    /// fails, up to thousands a second, and wait for its timeout if the store is silent. The caller is told
    /// at once, and its entry asks another process; this one notices the store's return by its own renewals.
    bool refusedWhileStoreAway(http_exchange& caller)
    {
        if (!m_store.away())
            return false;
        refuse(
            caller, notRun(failure_kind::unavailable, "the store does not answer this process", retryAfter));
        return true;
    }

    void submit(std::shared_ptr<http_exchange> caller)
    {
        auto record = m_adapter.jobs.parseSubmission(caller->request());
        if (!record)
            return answer(*caller, record.error());
        if (m_leaving || !m_fleet.configuration())
            return answer(*caller,
                notRun(failure_kind::unavailable, m_leaving ? "leaving" : "no configuration is known yet",
                    retryAfter));
        record.value().acceptedMs = wallClockMs();
        if (encodeRecord(record.value()).size() > m_settings.storeValueBytes)
            return answer(*caller,
                notRun(failure_kind::too_large, "the job is larger than a value of the store may be"));
        const auto id = record.value().id;
        const auto known = m_jobs.find(id);
        if (known != m_jobs.end())
            return caller->send({ accepted, {}, "" });
        if (refusedWhileStoreAway(*caller))
            return;
        m_keeper.create(record.value(),
            [this, caller, record = record.value(), id](result<job_keeper::creation> created) {
                if (!created) {
                    logEvent(log_level::warning, "job not accepted",
                        { { "job", id }, { "verdict", toString(created.error().ran) },
                            { "message", created.error().message } });
                    auto error = created.error();
                    error.retryAfter = retryAfter;
                    return answer(*caller, error);
                }
                const auto revision = created.value().openRevision;
                logEvent(log_level::info, "job accepted",
                    { { "job", id }, { "items", static_cast<std::int64_t>(record.items.size()) },
                        { "revision", revision }, { "existed", std::int64_t { revision == 0 } } });
                if (revision != 0)
                    hold({ record, {}, std::nullopt, revision, false });
                else
                    m_nextScan = now(); // It may be an own one, created by a call whose answer was lost.
                caller->send({ accepted, {}, "" });
            });
    }

    /// Whether what this process knows of a job is what the store knows.
    bool current(const held_job& held) const
    {
        if (held.openRevision == 0)
            return true; // Finished or ended: it cannot change any more.
        return m_checkedGeneration == m_registration.generation()
            && bootTime() - m_registration.confirmed() < memoryValidity;
    }

    void serve(std::shared_ptr<http_exchange> caller, const read_results_call& call)
    {
        const auto found = m_jobs.find(call.jobId);
        if (found == m_jobs.end() || !current(found->second))
            return readFromStore(std::move(caller), call);
        auto& held = found->second;
        const bool wait = held.job->listed().size() <= call.after && !held.job->complete() && !held.ended
            && call.wait.count() > 0;
        if (wait)
            held.readers.push_back({ std::move(caller), call.after, now() + call.wait });
        else
            answerPage(*caller, held, call.after);
    }

    void answerPage(http_exchange& caller, const held_job& held, std::size_t after)
    {
        caller.send(
            m_adapter.jobs.writeResults(held.job->record(), held.job->listed(), after, mostPageBytes));
    }

    void readFromStore(std::shared_ptr<http_exchange> caller, const read_results_call& call)
    {
        withStored(std::move(caller), call.jobId,
            [this, after = call.after](http_exchange& to, const bulk_job& job) {
                to.send(m_adapter.jobs.writeResults(job.record(), job.listed(), after, mostPageBytes));
            });
    }

    using job_reader = std::function<void(http_exchange&, const bulk_job&)>;

    /// Answers from the store what this process does not know, or cannot be sure of.
    void withStored(std::shared_ptr<http_exchange> caller, const std::string& id, job_reader use)
    {
        if (refusedWhileStoreAway(*caller))
            return;
        m_keeper.holderOf(
            id, [this, caller, id, use = std::move(use)](result<std::optional<job_keeper::open_job>> open) {
                if (!open)
                    return answer(*caller, open.error());
                const auto known = m_jobs.find(id);
                const bool stillHeld = open.value() && known != m_jobs.end()
                    && known->second.openRevision == open.value()->revision;
                if (stillHeld) // Nobody else can have committed anything.
                    return use(*caller, *known->second.job);
                const auto address = open.value() ? liveHolder(open.value()->holder) : std::string();
                if (!address.empty())
                    return caller->send({ 503, { { std::string(jobHolderHeader), address } }, "" });
                loadFor(caller, id, use);
            });
    }

    /// Address of another process that holds a job, if it lives.
    std::string liveHolder(const bulk_holder& holder) const
    {
        for (const auto& node : m_fleet.registered(node_role::batch)) {
            if (node.vm == holder.vm && node.incarnation == holder.incarnation && node.vm != m_self.vm)
                return node.address;
        }
        return {};
    }

    void loadFor(std::shared_ptr<http_exchange> caller, const std::string& id, job_reader use)
    {
        m_keeper.load(id, [this, caller, id, use = std::move(use)](result<job_keeper::stored_job> stored) {
            if (!stored)
                return answer(*caller, stored.error());
            const bool final = !stored.value().holder;
            auto made = build(std::move(stored.value()));
            use(*caller, *made.job);
            // What is final is kept: it will be asked for again.
            if (final)
                m_jobs.emplace(id, std::move(made));
        });
    }

    void serve(std::shared_ptr<http_exchange> caller, const read_body_call& call)
    {
        const auto tell = [itemId = call.itemId](http_exchange& to, const bulk_job& job) {
            for (const auto& item : job.record().items) {
                if (item.id == itemId)
                    return to.send({ 200, { { "Content-Type", "application/octet-stream" } }, item.body });
            }
            to.send({ 404, {}, "" });
        };
        const auto found = m_jobs.find(call.jobId);
        if (found != m_jobs.end())
            return tell(*caller, *found->second.job);
        withStored(std::move(caller), call.jobId, tell);
    }

    void serve(std::shared_ptr<http_exchange> caller, const end_job_call& call)
    {
        if (refusedWhileStoreAway(*caller))
            return;
        m_keeper.end(call.jobId, [this, caller, id = call.jobId](result<bool> ended) {
            if (!ended)
                return answer(*caller, ended.error());
            logEvent(log_level::info, "job ended by its caller", { { "job", id } });
            if (const auto found = m_jobs.find(id); found != m_jobs.end())
                stopJob(found->second);
            caller->send({ 200, {}, "" });
        });
    }

    // --- Jobs

    bulk_limits limitsOf(const bulk_record& record, milliseconds age) const
    {
        bulk_limits limits;
        limits.expiry = now() + defaultExpiry;
        const auto table = m_fleet.configuration();
        const auto* matched
            = table && !record.items.empty() ? table->match(record.host, record.items.front().path) : nullptr;
        if (!matched)
            return limits;
        limits.maxAttempts = std::max(1u, matched->maxAttempts);
        if (matched->expiry.count() > 0)
            limits.expiry = now() + matched->expiry - age;
        return limits;
    }

    steady_time dueOf(const bulk_record& record, milliseconds age) const
    {
        const auto table = m_fleet.configuration();
        const auto* matched
            = table && !record.items.empty() ? table->match(record.host, record.items.front().path) : nullptr;
        return now() + (matched ? matched->resultsDue : milliseconds { 0 }) - age;
    }

    held_job build(job_keeper::stored_job stored)
    {
        // Clocks of VMs differ, and may jump: an age is believed only as far as it is possible.
        const auto age = std::clamp(milliseconds { wallClockMs() - stored.record.acceptedMs },
            milliseconds { 0 }, m_settings.resultRetention);
        held_job held;
        held.openRevision = stored.holder || stored.openRevision != 0 ? stored.openRevision : 0;
        held.ended = stored.ended;
        held.acceptedAt = now() - age;
        const auto limits = limitsOf(stored.record, age);
        const auto due = dueOf(stored.record, age);
        held.job = std::make_unique<bulk_job>(std::move(stored.record), limits, due);
        for (const auto& group : stored.groups)
            held.job->committed(group);
        return held;
    }

    void hold(job_keeper::stored_job stored)
    {
        const auto id = stored.record.id;
        const auto known = m_jobs.find(id);
        if (known != m_jobs.end() && known->second.openRevision >= stored.openRevision)
            return;
        if (known != m_jobs.end())
            dropJob(known);
        m_jobs.emplace(id, build(std::move(stored)));
        pump();
    }

    using job_map = std::map<std::string, held_job, std::less<>>;

    void dropJob(job_map::iterator job)
    {
        for (auto& reader : job->second.readers)
            refuse(*reader.caller, notRun(failure_kind::unavailable, "the job changes hands", retryAfter));
        m_jobs.erase(job);
    }

    /// Its caller has ended it: nothing of it runs any more.
    void stopJob(held_job& held)
    {
        held.ended = true;
        held.openRevision = 0;
        held.runs.clear();
        held.committing = false;
        notifyReaders(held, true);
    }

    void notifyReaders(held_job& held, bool all)
    {
        std::vector<waiting_reader> kept;
        const auto time = now();
        for (auto& reader : held.readers) {
            const bool told = all || held.job->listed().size() > reader.after || reader.until <= time;
            if (!told)
                kept.push_back(std::move(reader));
            else if (current(held))
                answerPage(*reader.caller, held, reader.after);
            else
                refuse(*reader.caller,
                    notRun(failure_kind::unavailable, "the store is not in reach", retryAfter));
        }
        held.readers = std::move(kept);
    }

    // --- Running items

    std::size_t runs() const
    {
        std::size_t count = 0;
        for (const auto& [id, held] : m_jobs)
            count += held.runs.size();
        return count;
    }

    /// Starts what may start: the job that is due first goes first, but one that can only be late goes last.
    /// Under overload, the earliest due alone would finish everything a little too late.
    void pump()
    {
        if (m_leaving)
            return;
        const auto table = m_fleet.configuration();
        if (!table)
            return;
        std::vector<held_job*> order;
        for (auto& [id, held] : m_jobs) {
            if (held.openRevision != 0 && !held.ended && held.job->waiting() > 0)
                order.push_back(&held);
        }
        std::sort(order.begin(), order.end(), [this, time = now()](const auto* left, const auto* right) {
            const bool leftHopeless = hopeless(*left->job, time);
            if (leftHopeless != hopeless(*right->job, time))
                return !leftHopeless;
            return left->job->due() < right->job->due();
        });
        auto running = runs();
        for (auto* held : order) {
            while (running < mostRuns && startItem(*held, *table))
                ++running;
        }
    }

    /// Whether the job's next item can only be late, by what items have taken lately.
    bool hopeless(const bulk_job& job, steady_time time) const
    {
        const double left = m_meanRunMs - static_cast<double>(job.nextProgress()) * m_meanEventMs;
        return job.due() < time + milliseconds { static_cast<std::int64_t>(std::max(0.0, left)) };
    }

    /// Follows how long an undisturbed run takes, in all and by event.
    void noteRun(const run_figures& run)
    {
        constexpr double keep = 0.9;
        const double took = std::chrono::duration<double, std::milli>(now() - run.begun).count();
        if (run.events == 0)
            return;
        m_meanRunMs = keep * m_meanRunMs + (1 - keep) * took;
        m_meanEventMs = keep * m_meanEventMs + (1 - keep) * took / static_cast<double>(run.events);
    }

    bool startItem(held_job& held, const routing_table& table)
    {
        auto& job = *held.job;
        if (job.waiting() == 0)
            return false;
        const auto& record = job.record();
        const auto* matched = table.match(record.host, record.items.front().path);
        if (!matched) {
            logEvent(log_level::warning, "route of a job is gone",
                { { "job", record.id }, { "config", table.version } });
            job.giveUpWaiting(now());
            return false;
        }
        const bool late = hopeless(job, now());
        const auto next = job.next();
        const auto& item = record.items[next->index];
        item_order order;
        order.itemId = item.id;
        order.request = m_adapter.jobs.itemRequest(record, item);
        order.service = matched->pickService(std::hash<std::string> {}(item.id));
        order.customer = matched->name;
        order.cost = static_cast<double>(item.tokens);
        // To dispatchers a hopeless item is overdue already.
        order.due = late ? now() : job.due();
        order.expiry = now() + defaultRunTime;
        order.lastEvent = next->lastEvent;
        item_events events;
        const auto id = record.id;
        const auto index = next->index;
        const auto figures = std::make_shared<run_figures>();
        events.event = [this, id, index, figures](std::optional<std::uint64_t> event, std::string data) {
            if (figures->events++ == 0)
                figures->begun = now();
            const auto found = m_jobs.find(id);
            return found != m_jobs.end() && found->second.job->event(index, event, std::move(data));
        };
        events.ended
            = [this, id, index, figures, fresh = !next->lastEvent](run_end how, std::string_view reason) {
                  if (how == run_end::whole && fresh)
                      noteRun(*figures);
                  itemEnded(id, index, how, reason);
              };
        held.runs[index] = runItem(m_items, std::move(order), std::move(events));
        return true;
    }

    void itemEnded(const std::string& id, std::uint32_t index, run_end how, std::string_view reason)
    {
        const auto found = m_jobs.find(id);
        if (found == m_jobs.end())
            return;
        auto& held = found->second;
        const auto run = held.runs.find(index);
        const std::string target = run == held.runs.end() ? "" : run->second->target();
        const bool placed = !target.empty();
        held.runs.erase(index);
        held.job->ended(index, how, now());
        m_figures.count("yuccachute_item_runs_total", "end",
            how == run_end::whole        ? "whole"
                : how == run_end::broken ? (placed ? "broken" : "no place")
                : how == run_end::failed ? "failed"
                                         : "impossible");
        if (placed)
            logEvent(how == run_end::whole ? log_level::info : log_level::warning, "item run",
                { { "job", id }, { "item", held.job->record().items[index].id }, { "target", target },
                    { "end", static_cast<std::int64_t>(how) }, { "reason", reason } });
        pump();
    }

    // --- Committing

    void commitDue(const std::string& id, held_job& held)
    {
        const auto time = now();
        const bool all = held.job->uncommitted() > 0
            && held.job->uncommitted() + held.job->listed().size() == held.job->record().items.size();
        const bool due
            = held.job->uncommitted() > 0 && (all || time - held.job->uncommittedSince() >= commitAge);
        if (held.committing || held.openRevision == 0 || !due || time < held.nextCommit)
            return;
        held.committing = true;
        const auto& group = held.job->nextGroup(randomToken());
        m_keeper.commit(id, held.job->groups(), group, held.openRevision, held.job->completes(group),
            [this, id, revision = held.openRevision](
                result<job_keeper::commit_result> outcome) { committed(id, revision, outcome); });
    }

    void committed(
        const std::string& id, std::int64_t revision, const result<job_keeper::commit_result>& outcome)
    {
        const auto found = m_jobs.find(id);
        if (found == m_jobs.end() || found->second.openRevision != revision)
            return; // Dropped, ended or taken anew meanwhile.
        auto& held = found->second;
        held.committing = false;
        if (!outcome) {
            logEvent(log_level::warning, "results not committed",
                { { "job", id }, { "message", outcome.error().message } });
            held.nextCommit = now() + commitRetry;
            return;
        }
        if (outcome.value() == job_keeper::commit_result::lost) {
            logEvent(log_level::warning, "job lost", { { "job", id }, { "revision", revision } });
            dropJob(found);
            m_nextScan = now();
            return;
        }
        const auto group = held.job->nextGroup("");
        held.job->committed(group);
        for (const auto& entry : group.results)
            logEvent(entry.done ? log_level::info : log_level::warning, "item listed",
                { { "job", id }, { "item", held.job->record().items[entry.index].id },
                    { "done", std::int64_t { entry.done } },
                    { "late_ms",
                        std::chrono::duration_cast<milliseconds>(now() - held.job->due()).count() } });
        if (held.job->complete()) {
            held.openRevision = 0;
            held.runs.clear();
        }
        notifyReaders(held, false);
    }

    // --- Jobs of others

    void scan()
    {
        if (m_scanning)
            return;
        m_scanning = true;
        m_lastScan = now();
        m_keeper.listOpen(
            [this, generation = m_registration.generation()](result<job_keeper::open_jobs> open) {
                m_scanning = false;
                m_nextScan = now() + scanInterval;
                if (!open)
                    return;
                compare(open.value());
                // A frozen process wakes, registers anew and believes that it holds what another has taken
                // meanwhile: from here on it knows what it holds under this registration.
                m_checkedGeneration = generation;
            });
    }

    void compare(const job_keeper::open_jobs& open)
    {
        std::set<std::string, std::less<>> listed;
        for (const auto& job : open.jobs) {
            listed.insert(job.id);
            const auto held = m_jobs.find(job.id);
            const bool mine = job.holder == bulk_holder { m_self.vm, m_self.incarnation };
            if (held != m_jobs.end() && held->second.openRevision == job.revision)
                continue;
            if (held != m_jobs.end() && held->second.openRevision != 0
                && job.revision > held->second.openRevision && !mine) {
                logEvent(log_level::warning, "job taken by another",
                    { { "job", job.id }, { "holder", job.holder.vm }, { "revision", job.revision } });
                dropJob(held);
                continue;
            }
            if (mine && !m_leaving)
                loadOwn(job);
            else if (!mine && mayTake(job))
                takeOver(job);
        }
        for (auto job = m_jobs.begin(); job != m_jobs.end();) {
            const auto current = job++;
            const auto& held = current->second;
            const bool missing = held.openRevision != 0 && held.openRevision <= open.revision
                && !listed.contains(current->first);
            if (!missing || held.committing)
                continue; // Its last commit may be what has removed it.
            // Its caller has ended it, or another process has taken and finished it while this one was
            // frozen. Only the store knows its results.
            logEvent(log_level::info, "job finished elsewhere", { { "job", current->first } });
            dropJob(current);
        }
    }

    /// Whether a job's holder has gone and this process is the one to take it.
    bool mayTake(const job_keeper::open_job& job) const
    {
        if (m_leaving || !m_fleet.nodesSettled(now()) || m_taking.contains(job.id))
            return false;
        auto nodes = m_fleet.registered(node_role::batch);
        const bool holderLives = std::any_of(nodes.begin(), nodes.end(), [&](const auto& node) {
            return !node.leaving && node.vm == job.holder.vm && node.incarnation == job.holder.incarnation;
        });
        std::erase_if(nodes, [](const auto& node) { return node.leaving; });
        if (holderLives || nodes.empty())
            return false;
        const auto seed = hashText(job.id);
        const auto first
            = std::max_element(nodes.begin(), nodes.end(), [&](const auto& left, const auto& right) {
                  return hashText(left.vm, seed) < hashText(right.vm, seed);
              });
        return first->vm == m_self.vm;
    }

    void takeOver(const job_keeper::open_job& job)
    {
        logEvent(log_level::info, "job without holder",
            { { "job", job.id }, { "holder", job.holder.vm }, { "revision", job.revision } });
        m_taking.insert(job.id);
        m_keeper.take(job, [this, id = job.id](result<std::int64_t> revision) {
            m_taking.erase(id);
            if (revision && revision.value() != 0)
                loadOwn({ id, {}, revision.value() });
        });
    }

    void loadOwn(const job_keeper::open_job& job)
    {
        if (!m_taking.insert(job.id).second)
            return;
        m_keeper.load(job.id, [this, id = job.id](result<job_keeper::stored_job> stored) {
            m_taking.erase(id);
            if (!stored) {
                logEvent(log_level::warning, "job not loaded",
                    { { "job", id }, { "message", stored.error().message } });
                m_nextScan = std::min(m_nextScan, now() + commitRetry);
                return;
            }
            const bool mine = stored.value().holder == bulk_holder { m_self.vm, m_self.incarnation };
            if (!mine || m_leaving)
                return;
            logEvent(log_level::info, "job taken",
                { { "job", id }, { "revision", stored.value().openRevision },
                    { "groups", static_cast<std::int64_t>(stored.value().groups.size()) } });
            hold(std::move(stored.value()));
        });
    }

    // --- Time and signals

    void tick()
    {
        const auto time = now();
        for (auto& [id, held] : m_jobs) {
            if (held.openRevision != 0)
                held.job->expire(time);
            commitDue(id, held);
            notifyReaders(held, false);
        }
        const bool unchecked = m_checkedGeneration != m_registration.generation();
        if (time >= m_nextScan || (unchecked && time - m_lastScan >= commitRetry))
            scan();
        pump();
        removeOld(time);
    }

    void removeOld(steady_time time)
    {
        for (auto job = m_jobs.begin(); job != m_jobs.end();) {
            const bool old = time - job->second.acceptedAt > m_settings.resultRetention;
            if (!old) {
                ++job;
                continue;
            }
            logEvent(log_level::info, "job removed", { { "job", job->first } });
            m_keeper.remove(job->first, job->second.job->groups());
            job = m_jobs.erase(job);
        }
    }

    /// Gives up all jobs: the others take them as soon as this process has left the list.
    void retire()
    {
        if (m_leaving)
            return;
        m_leaving = true;
        m_registration.leave();
        for (auto& [id, held] : m_jobs)
            held.runs.clear();
        awaitCommits();
    }

    void awaitCommits()
    {
        const bool committing = std::any_of(
            m_jobs.begin(), m_jobs.end(), [](const auto& job) { return job.second.committing; });
        if (committing && now() - m_stopAt < m_settings.grace - endMargin)
            return m_stopTimer.arm(stopPoll, [this] { awaitCommits(); });
        m_retirement.selfEmptied();
        if (m_stopping)
            m_stopTimer.arm(stopPoll, [this] { stopNow(); });
    }

    void stopNow()
    {
        logEvent(log_level::info, "stopped", {});
        m_registration.end();
        m_stopTimer.arm(stopPoll, [this] { m_loop.stop(); });
    }

    void signalled(int signal)
    {
        if (signal == SIGHUP) {
            // The settings that this process uses cannot change while it runs: addresses and limits of its
            // VM.
            logEvent(log_level::info, "reload asked for", { { "config", m_settings.vm } });
            return;
        }
        if (m_stopping)
            return;
        m_stopping = true;
        m_stopAt = now();
        logEvent(log_level::info, "stopping", { { "jobs", static_cast<std::int64_t>(m_jobs.size()) } });
        if (m_leaving)
            return stopNow();
        retire();
    }

    void refreshFigures()
    {
        const auto& places = m_broker.figures();
        m_figures.set("yuccachute_place_asks", static_cast<double>(places.asks));
        m_figures.set("yuccachute_place_grants", static_cast<double>(places.grants));
        m_figures.set("yuccachute_jobs", static_cast<double>(m_jobs.size()));
        m_figures.set("yuccachute_item_runs", static_cast<double>(runs()));
        m_figures.set("yuccachute_log_lines_dropped", static_cast<double>(droppedLogLines()));
        m_figures.set("yuccachute_store_connected", m_fleet.storeConnected() ? 1 : 0);
    }

    /// The deadline that a run's target is given; most runs take a few seconds.
    static constexpr std::chrono::seconds defaultRunTime { 60 };

    process_settings m_settings;
    const bulk_adapter& m_adapter;
    event_loop m_loop;
    metrics m_figures;
    http_client m_client;
    std::unique_ptr<async_store> m_platformStore;
    observed_store m_store;
    rpc_client m_rpc;
    node_record m_self;
    fleet_watch m_fleet;
    registration m_registration;
    place_broker m_broker;
    item_services m_items;
    job_keeper m_keeper;
    retirement m_retirement;
    loop_timer m_stopTimer;
    job_map m_jobs;
    std::set<std::string> m_taking; ///< Jobs that are being taken or loaded.
    std::unique_ptr<loop_ticker> m_ticker;
    std::unique_ptr<http_listener> m_listener;
    std::unique_ptr<http_listener> m_metrics;
    steady_time m_nextScan;
    steady_time m_lastScan;
    std::uint64_t m_checkedGeneration = 0; ///< Of the registration at the last look at the open jobs.
    steady_time m_stopAt;
    double m_meanRunMs = firstMeanRunMs;
    double m_meanEventMs = firstMeanEventMs;
    bool m_scanning = false;
    bool m_leaving = false;
    bool m_stopping = false;
};

} // namespace

int runBulk(const process_settings& settings, const bulk_adapter& adapter,
    const std::function<std::unique_ptr<async_store>(event_loop&, http_client&)>& connect)
{
    return bulk_process(settings, adapter, connect).run();
}

} // namespace yuccachute
