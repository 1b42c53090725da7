#include "process.h"

#include <algorithm>
#include <charconv>

namespace yuccachute {

namespace {

/// Results may be served from memory for this long after a confirmed renewal of the registration. If another
/// process has taken the job over since, its results cannot be older than the renewal.
constexpr milliseconds maxMemoryAge { 1000 };
constexpr std::size_t maxPageBytes = 900u << 10;
constexpr unsigned accepted = 202;
/// Memory of a submission besides its body, and how many times the body is held until the job is created: as
/// items, as stored record, and as the call that stores it, whose values are text.
constexpr std::size_t submissionMemory = 16u << 10;
constexpr std::size_t submissionCopies = 4;
/// What loading a record of the largest size takes while it is decoded.
constexpr std::size_t memoryPerLoad = 12u << 20;
constexpr unsigned badGateway = 502;
/// How long a submission waits for the configuration by which an entry admitted it. The store answers within
/// milliseconds, or within 200 ms when it is slow; another batch process may have the configuration.
constexpr milliseconds configurationTimeout { 400 };
/// For a notice to the holder of a job that has ended, and for its connection.
constexpr milliseconds noticeTimeout { 1500 };
constexpr milliseconds noticeConnectTimeout { 300 };

/// Returns 0 if the entry did not send a version.
std::int64_t configurationOf(const http_headers& headers)
{
    const auto text = findHeader(headers, configurationHeader);
    std::int64_t version = 0;
    std::from_chars(text.data(), text.data() + text.size(), version);
    return version;
}

} // namespace

void bulk_process::serve(std::shared_ptr<http_exchange> caller)
{
    auto call = m_adapter.jobs.parseCall(caller->request());
    if (!call)
        return submit(std::move(caller));
    const auto customer = findHeader(caller->request().headers, customerHeader);
    std::visit([&](auto& typed) { typed.jobId = customerScopedId(customer, typed.jobId); }, *call);
    const bool onlyIfHeld = !findHeader(caller->request().headers, onlyIfHeldHeader).empty();
    const auto& id = std::visit([](const auto& typed) -> const std::string& { return typed.jobId; }, *call);
    if (onlyIfHeld && !m_jobs.contains(id))
        return refuse(
            *caller, notRun(failure_kind::unavailable, "this process does not hold the job", retryAfter));
    std::visit([&](const auto& typed) { serve(std::move(caller), typed); }, *call);
}

void bulk_process::replyWithFailure(http_exchange& caller, const failure& error)
{
    logEvent(log_level::warning, "job call failed",
        { { "kind", toString(error.kind) }, { "verdict", toString(error.ran) },
            { "message", error.message } });
    if (error.ran == verdict::not_run)
        return refuse(caller, error);
    caller.send({ badGateway, {}, error.message + "\n" });
}

bool bulk_process::refuseIfStoreUnavailable(http_exchange& caller)
{
    if (!m_store.away())
        return false;
    refuse(caller,
        notRun(failure_kind::unavailable, "this process cannot reach the store; retry later", retryAfter));
    return true;
}

void bulk_process::replyIfMemory(http_exchange& caller, http_reply reply)
{
    if (caller.reserveResponse(reply.body.size()))
        return caller.send(std::move(reply));
    refuse(caller, notRun(failure_kind::unavailable, "there is no memory for the response", retryAfter));
}

void bulk_process::submit(std::shared_ptr<http_exchange> caller)
{
    const auto& request = caller->request();
    const auto customer = std::string(findHeader(request.headers, customerHeader));
    const auto id = customerScopedId(customer, m_adapter.jobs.submittedId(request));
    if (m_jobs.contains(id))
        return caller->send({ accepted, {}, "" });
    if (const auto pending = m_submissions.find(id); pending != m_submissions.end()) {
        caller->releaseBody();
        pending->second.callers.push_back(std::move(caller));
        return;
    }
    memory_share memory(m_memory);
    if (!memory.resize(submissionMemory + request.body.size() * submissionCopies, now()))
        return replyWithFailure(*caller,
            notRun(
                failure_kind::unavailable, "there is no memory for this job now; retry later", retryAfter));
    auto record = m_adapter.jobs.parseSubmission(request);
    if (!record)
        return replyWithFailure(*caller, record.error());
    if (m_leaving || !m_fleet.configuration())
        return replyWithFailure(*caller,
            notRun(failure_kind::unavailable, m_leaving ? "leaving" : "no configuration is known yet",
                retryAfter));
    record.value().acceptedMs = wallClockMs();
    record.value().customer = customer;
    record.value().id = id;
    record.value().configuration = configurationOf(request.headers);
    if (refuseIfStoreUnavailable(*caller))
        return;
    caller->releaseBody();
    m_submissions.emplace(id, pending_submission { { std::move(caller) }, std::move(memory) });
    if (configurationFor(record.value()))
        return accept(std::move(record.value()));
    logEvent(log_level::info, "submission waits for a newer configuration",
        { { "job", id }, { "config", m_fleet.configuration()->version },
            { "entry_config", record.value().configuration } });
    m_waitingSubmissions.push_back({ std::move(record.value()), now() + configurationTimeout });
    m_fleet.requestConfiguration(now());
}

void bulk_process::endSubmission(const std::string& id, const std::function<void(http_exchange&)>& reply)
{
    const auto ended = m_submissions.extract(id);
    if (ended.empty())
        return;
    for (const auto& caller : ended.mapped().callers)
        reply(*caller);
}

void bulk_process::refuseSubmission(const std::string& id, const failure& error)
{
    endSubmission(id, [&](http_exchange& caller) { replyWithFailure(caller, error); });
}

void bulk_process::resumeSubmissions()
{
    const auto time = now();
    for (auto& waiting : std::exchange(m_waitingSubmissions, {})) {
        if (configurationFor(waiting.record))
            accept(std::move(waiting.record));
        else if (m_leaving || time >= waiting.until)
            refuseSubmission(waiting.record.id,
                notRun(failure_kind::unavailable,
                    "this process has configuration " + std::to_string(m_fleet.configuration()->version)
                        + ", the entry has " + std::to_string(waiting.record.configuration) + "; retry",
                    retryAfter));
        else
            m_waitingSubmissions.push_back(std::move(waiting));
    }
    if (!m_waitingSubmissions.empty())
        m_fleet.requestConfiguration(time);
}

void bulk_process::accept(bulk_record given)
{
    const auto table = m_fleet.configuration();
    const auto admittedBy = std::exchange(given.configuration, table->version);
    const auto* submission = routeOfSubmission(*table, given);
    if (!submission)
        // An entry that sends no version may have a newer configuration.
        return refuseSubmission(given.id,
            notRun(admittedBy != 0 ? failure_kind::not_found : failure_kind::unavailable,
                "no batch route matches " + submissionPath(given) + " in configuration "
                    + std::to_string(table->version),
                retryAfter));
    given.completionWindow = submission->completionWindow;
    const auto limit = limitFor(given);
    const auto record = std::make_shared<bulk_record>(std::move(given));
    m_admission.create(*record, limit,
        [this, limit, record, sent = bootClockNow()](result<bulk_job_store::creation> created) {
            const auto id = record->id;
            if (!created) {
                logEvent(log_level::warning, "job submission failed",
                    { { "job", id }, { "verdict", toString(created.error().ran) },
                        { "message", created.error().message } });
                auto error = created.error();
                if (error.kind != failure_kind::too_large && error.kind != failure_kind::limited)
                    error.retryAfter = retryAfter;
                return refuseSubmission(id, error);
            }
            const auto revision = created.value().openRevision;
            logEvent(log_level::info, "job accepted",
                { { "job", id }, { "items", static_cast<std::int64_t>(record->items.size()) },
                    { "revision", revision }, { "existed", std::int64_t { revision == 0 } },
                    { "config", record->configuration } });
            if (const auto pending = m_submissions.find(id); pending != m_submissions.end())
                pending->second.memory.release(); // From here on the held job counts.
            auto claim = claimOf(*record, limit);
            if (revision != 0)
                addHeldJob(
                    { std::move(*record), {}, {}, std::nullopt, std::move(claim), revision, false }, sent);
            else
                // This process may be the holder, if the reply to an earlier creation was lost.
                m_scan.request(bootClockNow());
            endSubmission(id, [](http_exchange& caller) { caller.send({ accepted, {}, "" }); });
        });
}

token_limit bulk_process::limitFor(const bulk_record& record) const
{
    const auto table = m_fleet.configuration();
    const auto* submission = routeOfSubmission(*table, record);
    if (!submission)
        return {};
    const auto* customer = table->customers.byName(record.customer);
    const bool ownLimit = customer && customer->maxPendingTokens > 0;
    return { customerScopedId(record.customer, submission->name),
        ownLimit ? customer->maxPendingTokens : submission->maxPendingTokens };
}

bool bulk_process::isCurrent(const held_job& held) const
{
    if (held.openRevision == 0)
        return true; // A finished or cancelled job no longer changes.
    return m_reconciledGeneration == m_registration.generation()
        && bootClockNow() - m_registration.lastConfirmed() < maxMemoryAge;
}

void bulk_process::serve(std::shared_ptr<http_exchange> caller, const read_results_call& call)
{
    const auto found = m_jobs.find(call.jobId);
    if (found == m_jobs.end() || !isCurrent(found->second))
        return replyFromStore(std::move(caller), call);
    auto& held = found->second;
    const bool wait = held.job->committedResults().size() <= call.after && !held.job->complete()
        && !held.cancelled && call.wait.count() > 0;
    if (wait)
        held.readers.push_back({ std::move(caller), call.after, now() + call.wait });
    else
        replyWithResults(*caller, held, call.after);
}

void bulk_process::replyWithResults(http_exchange& caller, const held_job& held, std::size_t after)
{
    replyIfMemory(caller,
        m_adapter.jobs.writeResults(held.job->record(), held.job->committedResults(), after, maxPageBytes));
}

void bulk_process::replyFromStore(std::shared_ptr<http_exchange> caller, const read_results_call& call)
{
    useStoredJob(
        std::move(caller), call.jobId, [this, after = call.after](http_exchange& to, const bulk_job& job) {
            replyIfMemory(
                to, m_adapter.jobs.writeResults(job.record(), job.committedResults(), after, maxPageBytes));
        });
}

void bulk_process::useStoredJob(std::shared_ptr<http_exchange> caller, const std::string& id, job_reader use)
{
    if (refuseIfStoreUnavailable(*caller))
        return;
    m_lookup.lookUp(
        id, [this, caller, id, use = std::move(use)](result<std::optional<bulk_job_store::open_job>> open) {
            if (!open)
                return replyWithFailure(*caller, open.error());
            const auto known = m_jobs.find(id);
            const bool stillHeld = open.value() && known != m_jobs.end()
                && known->second.openRevision == open.value()->revision;
            if (stillHeld) // No other process can have committed results.
                return use(*caller, *known->second.job);
            const auto address = open.value() ? addressOfLiveHolder(open.value()->holder) : std::string();
            if (!address.empty())
                return caller->send({ 503, { { std::string(jobHolderHeader), address } }, "" });
            loadForCaller(caller, id, open.value(), use);
        });
}

std::string bulk_process::addressOfLiveHolder(const bulk_holder& holder) const
{
    for (const auto& node : m_fleet.registered(node_role::batch)) {
        if (node.vm == holder.vm && node.incarnation == holder.incarnation && node.vm != m_self.vm)
            return node.address;
    }
    return {};
}

void bulk_process::loadForCaller(std::shared_ptr<http_exchange> caller, const std::string& id,
    const std::optional<bulk_job_store::open_job>& open, job_reader use)
{
    const auto reply = [this, caller, id, use = std::move(use)](result<bulk_job_store::stored_job> stored) {
        loadFinished();
        if (!stored)
            return replyWithFailure(*caller, stored.error());
        const bool final = !stored.value().holder;
        auto made = makeHeldJob(std::move(stored.value()));
        use(*caller, *made.job);
        // Kept, because a finished job no longer changes and is likely to be requested again.
        if (final && made.memory.resize(memoryOf(made.job->record()), now()))
            m_jobs.emplace(id, std::move(made));
    };
    startLoad([this, id, open, reply] {
        if (open)
            return m_jobStore.loadResults(id, *open, reply);
        // The job is finished, or was created after the listing. Its holder must therefore be read again,
        // after the record.
        m_jobStore.load(id, reply);
    });
}

void bulk_process::startLoad(std::function<void()> load)
{
    const auto most = std::max<std::size_t>(1, m_memory->total() / memoryPerLoad);
    if (m_runningLoads >= most) {
        m_waitingLoads.push_back(std::move(load));
        return;
    }
    ++m_runningLoads;
    load();
}

void bulk_process::loadFinished()
{
    --m_runningLoads;
    if (m_waitingLoads.empty())
        return;
    m_loop.post([this] {
        if (m_waitingLoads.empty())
            return;
        auto next = std::move(m_waitingLoads.front());
        m_waitingLoads.pop_front();
        startLoad(std::move(next));
    });
}

void bulk_process::serve(std::shared_ptr<http_exchange> caller, const read_item_body_call& call)
{
    const auto reply = [this, itemId = call.itemId](http_exchange& to, const bulk_job& job) {
        for (const auto& item : job.record().items) {
            if (item.id != itemId)
                continue;
            if (job.itemBodiesDropped()) // By an older listing it seems to be held; the store has the body.
                return refuse(to,
                    notRun(failure_kind::unavailable, "the job has just been finished; retry", retryAfter));
            if (!to.reserveResponse(item.body.size()))
                return refuse(
                    to, notRun(failure_kind::unavailable, "there is no memory for the response", retryAfter));
            return to.send({ 200, { { "Content-Type", "application/octet-stream" } }, item.body.str() });
        }
        to.send({ 404, {}, "" });
    };
    const auto found = m_jobs.find(call.jobId);
    if (found != m_jobs.end() && !found->second.job->itemBodiesDropped())
        return reply(*caller, *found->second.job);
    useStoredJob(std::move(caller), call.jobId, reply);
}

void bulk_process::serve(std::shared_ptr<http_exchange> caller, const cancel_job_call& call)
{
    if (!findHeader(caller->request().headers, jobEndedHeader).empty())
        return endedElsewhere(*caller, call.jobId);
    if (refuseIfStoreUnavailable(*caller))
        return;
    using former_holder = std::optional<bulk_holder>;
    m_jobStore.end(call.jobId, [this, caller, id = call.jobId](const result<former_holder>& ended) {
        if (!ended)
            return replyWithFailure(*caller, ended.error());
        logEvent(log_level::info, "job cancelled by its caller", { { "job", id } });
        if (ended.value())
            notifyHolder(*ended.value(), id, caller->request());
        // Not kept as a finished job: a commit whose reply was lost may have stored results that are unknown
        // here. Callers that have read them from another process must see them again.
        if (const auto found = m_jobs.find(id); found != m_jobs.end())
            dropHeldJob(found);
        caller->send({ 200, {}, "" });
    });
}

/// The notice shortens the time until the items stop. It may be lost: what bounds that time is open_job_scan.
void bulk_process::notifyHolder(const bulk_holder& holder, const std::string& id, const http_request& end)
{
    const auto address = addressOfLiveHolder(holder);
    if (address.empty())
        return;
    auto request = end;
    request.headers = endToEndHeaders(end.headers);
    request.headers.emplace_back(jobEndedHeader, "1");
    client_call_options options;
    options.deadline = now() + noticeTimeout;
    options.connectTimeout = noticeConnectTimeout;
    options.reuseTimeout = silentConnectionTimeout;
    options.limits = peerLimits;
    m_client.fetch(address, request, options, [this, id, address](const result<http_reply>& reply) {
        m_metrics.count("yuccachute_job_end_notices_total", "outcome", reply ? "delivered" : "failed");
        if (!reply)
            logEvent(log_level::warning, "the holder of an ended job could not be notified",
                { { "job", id }, { "holder", address }, { "message", reply.error().message } });
    });
}

/// The store decides: a job that is still open there is loaded again after the listing.
void bulk_process::endedElsewhere(http_exchange& caller, const std::string& id)
{
    const auto found = m_jobs.find(id);
    if (found != m_jobs.end() && found->second.openRevision != 0) {
        logEvent(log_level::info, "job ended through another process; dropping it",
            { { "job", id }, { "runs", static_cast<std::int64_t>(found->second.runs.size()) } });
        dropHeldJob(found);
        m_scan.request(bootClockNow());
    }
    caller.send({ 200, {}, "" });
}

} // namespace yuccachute
