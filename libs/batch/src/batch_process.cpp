#include "batch/batch.h"

#include "item_runner.h"
#include "job_holder.h"

#include "logging/logging.h"

#include <algorithm>
#include <thread>

namespace yuccachute {

namespace {

constexpr milliseconds maintainInterval { 100 };
constexpr milliseconds idlePollInterval { 20 };
constexpr milliseconds notifyTimeout { 1000 };
constexpr std::size_t supervisorCount = 3;
constexpr milliseconds removalInterval { 5000 };
constexpr std::size_t removalsPerRound = 4;
constexpr std::size_t resultsPageBytes = 1u << 20;

job_view toView(const job_store::stored_job& job, bool existed)
{
    return { job.record.id, job.record.service, std::string(toString(job.progress.state)), job.record.items,
        job.progress.completed, job.progress.failed, job.record.createdMs, job.record.dueMs,
        job.progress.endedMs, existed };
}

} // namespace

struct batch_process::impl final : jobs_handler {
    explicit impl(const process_options& processOptions)
        : options(processOptions)
        , rpc(options.peers)
        , store(connectStore(options.store))
        , jobs(*store)
        , holder(jobs, *store, options.rpc, { options.leaseTtl })
        , follower(rpc, options.seeds, { options.vm, options.rpc, {}, 0 }, settings)
        , grants(
              rpc, [this](const auto& group, const auto& zone) { return follower.owners(group, zone); },
              [this](const auto& address) { follower.reportUnreachable(address); })
        , runner(holder, grants, settings, options.zone, processMetrics)
        , server(options.rpc, options.peers, nullptr, this)
        , maintenance(maintainInterval, [this] { maintain(); })
    {
        http_server_options http;
        std::tie(http.address, http.port) = splitAddress(options.http);
        statusServer = std::make_unique<http_server>(
            http, [this](const http_request& request, reply_sink& sink) { serveStatus(request, sink); });
        for (unsigned i = 0; i < options.workers; ++i)
            workers.emplace_back([this] { runWorker(); });
        logEvent(log_level::info, "started", { { "rpc", options.rpc } });
    }

    ~impl() override
    {
        logEvent(log_level::info, "graceful shutdown begins",
            { { "jobs", static_cast<std::int64_t>(holder.heldJobs()) } });
        holder.stopStarting();
        stopping = true;
        if (!running.waitIdle(options.stopLimit))
            logEvent(log_level::warning, "stop limit reached",
                { { "items", std::int64_t { running.running() } } });
        holder.commitDueJobs(std::chrono::steady_clock::now(), true);
        // Abandons the items that are still running; the next holders of their jobs run them again, unless
        // they are not idempotent.
        holder.releaseAll();
        for (auto& worker : workers)
            worker.join();
        logEvent(log_level::info, "graceful shutdown ends");
    }

    void runWorker()
    {
        while (!stopping) {
            bool ran = false;
            if (settings.version() > 0) {
                const work_counter::token working(running);
                ran = runner.runOne();
            }
            if (!ran)
                std::this_thread::sleep_for(idlePollInterval);
        }
    }

    /// Returns the addresses of the batch processes, ranked by their responsibility for the given key.
    std::vector<std::string> rankedAddresses(const std::string& rankingKey) const
    {
        std::vector<member_info> batches;
        for (const auto& member : follower.members()) {
            if (!member.batchAddress.empty())
                batches.push_back(member);
        }
        std::vector<std::string> addresses;
        for (const auto& member : rankMembers(rankingKey, batches))
            addresses.push_back(member.batchAddress);
        return addresses;
    }

    /// Returns whether this process is among the first `count` in the ranking. True if no batch process is
    /// known, so that the duty is not left undone.
    bool isAmongFirst(const std::string& rankingKey, std::size_t count) const
    {
        const auto order = rankedAddresses(rankingKey);
        const auto end = order.begin() + static_cast<std::ptrdiff_t>(std::min(order.size(), count));
        return order.empty() || std::find(order.begin(), end, options.rpc) != end;
    }

    /// Asks the process responsible for an unheld job to adopt it. Returns false if that is this process, or
    /// if the call fails.
    bool handOver(const std::string& id)
    {
        const auto order = rankedAddresses(id);
        if (order.empty() || order.front() == options.rpc)
            return false;
        return rpc.adopt(order.front(), id, notifyTimeout).has_value();
    }

    void maintain()
    {
        const auto now = std::chrono::steady_clock::now();
        holder.maintain(now);
        holder.commitDueJobs(now, false);
        if (isAmongFirst("job supervisor", supervisorCount))
            holder.supervise([this](const std::string& id) { return handOver(id); }, now);
        if (now >= nextRemoval && isAmongFirst("expiry", 1)) {
            nextRemoval = now + removalInterval;
            (void)jobs.removeExpired(wallClockMs(), removalsPerRound);
        }
    }

    void adopt(std::string_view id) override
    {
        holder.adopt(std::string(id), std::chrono::steady_clock::now());
    }

    void serveStatus(const http_request& request, reply_sink& sink)
    {
        if (request.path == "/healthz")
            return sink.send({ 200, { { "Content-Type", "text/plain" } }, "ok\n" });
        const bool ready = !stopping && settings.version() > 0;
        if (request.path == "/readyz")
            return sink.send({ ready ? 200u : 503u, { { "Content-Type", "text/plain" } },
                ready ? "ready\n" : "not ready\n" });
        if (request.path != "/metrics")
            return sink.send({ 404, { { "Content-Type", "text/plain" } },
                "not found; the paths are /healthz, /readyz and /metrics\n" });
        processMetrics.set("yuccachute_jobs_held", static_cast<double>(holder.heldJobs()));
        processMetrics.set("yuccachute_results_dropped", static_cast<double>(holder.droppedResults()));
        sink.send({ 200, { { "Content-Type", "text/plain; version=0.0.4" } }, processMetrics.text() });
    }

    result<job_view> submit(submit_request request) override
    {
        const auto tree = settings.current();
        if (stopping || tree->tree.version == 0)
            return notRun(failure_kind::unavailable,
                stopping ? "this process is shutting down; submit the job to another one"
                         : "this process has not received its settings yet; submit the job again later",
                milliseconds { 1000 });
        const auto service = findService(tree->tree, request.service);
        if (!service || !service->model)
            return notRun(failure_kind::not_found,
                "query parameter \"service\": there is no model service \"" + request.service + '"');
        BOOST_OUTCOME_TRY(auto items, parseItems(request.items));
        const auto id = sha256Hex(request.customer + '\0' + request.idempotencyKey).substr(0, 32);
        const auto effective = resolveRequest(tree->tree, request.customer, request.service, id);
        const auto chunks = packItems(items);
        job_record record;
        record.id = id;
        record.customer = request.customer;
        record.service = request.service;
        record.token = randomId();
        record.itemsHash = hashItems(request.items);
        record.items = static_cast<std::uint32_t>(items.size());
        record.chunks = static_cast<std::uint32_t>(chunks.size());
        record.createdMs = wallClockMs();
        record.dueMs = record.createdMs + (request.due.count() > 0 ? request.due : effective.jobDue).count();
        record.retentionMs = std::chrono::duration_cast<milliseconds>(effective.jobRetention).count();
        record.attempts = effective.jobAttempts;
        BOOST_OUTCOME_TRY(auto created, jobs.create(std::move(record), chunks));
        if (!created.existed)
            holder.adopt(id, std::chrono::steady_clock::now());
        return toView(created.job, created.existed);
    }

    /// Reads a job of a customer. A job of another customer is reported as not found.
    result<job_store::stored_job> readForCustomer(std::string_view customer, std::string_view id)
    {
        BOOST_OUTCOME_TRY(auto job, jobs.read(id));
        if (job.record.customer != customer)
            return notRun(failure_kind::not_found, "there is no job " + std::string(id));
        return job;
    }

    result<job_view> describe(std::string_view customer, std::string_view id) override
    {
        BOOST_OUTCOME_TRY(auto job, readForCustomer(customer, id));
        return toView(job, true);
    }

    result<results_page> results(
        std::string_view customer, std::string_view id, std::uint64_t cursor) override
    {
        BOOST_OUTCOME_TRY(auto job, readForCustomer(customer, id));
        results_page page;
        page.nextCursor = cursor;
        while (page.nextCursor < job.progress.resultChunks && page.lines.size() < resultsPageBytes) {
            BOOST_OUTCOME_TRY(auto lines, jobs.readResults(id, static_cast<std::uint32_t>(page.nextCursor)));
            if (!lines)
                return notRun(failure_kind::gone, "the results of job " + std::string(id) + " have expired");
            page.lines += *lines;
            ++page.nextCursor;
        }
        page.end = job.progress.state != job_state::running && page.nextCursor >= job.progress.resultChunks;
        return page;
    }

    result<job_view> cancel(std::string_view customer, std::string_view id) override
    {
        BOOST_OUTCOME_TRY(auto before, readForCustomer(customer, id));
        const auto owner = jobs.holder(id);
        BOOST_OUTCOME_TRY(auto job, jobs.cancel(id, randomId(), wallClockMs()));
        holder.drop(std::string(id));
        // Notify the holder so that it stops the job now. If the call fails, the holder finds the job
        // cancelled at its next commit or scan.
        if (owner && owner.value() && *owner.value() != options.rpc
            && before.progress.state == job_state::running)
            (void)rpc.cancel(*owner.value(), customer, id, notifyTimeout);
        return toView(job, true);
    }

    process_options options;
    settings_cell settings;
    metrics processMetrics;
    std::atomic<bool> stopping { false };
    work_counter running;
    rpc_client rpc;
    std::unique_ptr<config_store> store;
    job_store jobs;
    job_holder holder;
    entry_follower follower;
    grant_client grants;
    item_runner runner;
    steady_time nextRemoval;
    std::unique_ptr<http_server> statusServer;
    std::vector<std::thread> workers;
    rpc_server server;
    periodic_thread maintenance;
};

batch_process::batch_process(const process_options& options)
    : m_impl(std::make_unique<impl>(options))
{
}

batch_process::~batch_process() = default;

} // namespace yuccachute
