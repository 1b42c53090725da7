#include "front/front.h"

#include "logging/logging.h"

#include <algorithm>

namespace yuccachute {

namespace {

/// From a grant to the first event at the caller on a target that works: prompt, first step and the way back
/// take 25 ms; twice that leaves room for a busy VM.
constexpr milliseconds firstEventTime { 50 };
/// A target with a free place makes its first event within about 25 ms, one that is slowed fivefold within
/// 100. After this silence the request is tried elsewhere too.
constexpr milliseconds firstEventPatience { 130 };
/// Events come every 20 ms, every 100 ms from a target that is slowed fivefold. Later a pause would show at
/// the caller before another target has gone on.
constexpr milliseconds nextEventPatience { 170 };
/// Within the VMs' network a connection takes a millisecond; a target that does not answer is not there.
constexpr milliseconds connectTimeout { 200 };
/// Answers of this size are passed on as they come instead of being kept until they are whole.
constexpr std::size_t mostKeptBytes = 1u << 20;
/// A caller that takes its answer more slowly than the target makes it holds the target back beyond this.
constexpr std::size_t mostUnsentBytes = 256u << 10;
constexpr milliseconds defaultRetryAfter { 1000 };
/// A target that has ended refuses a connection within a few milliseconds. One that does not answer is dark,
/// and its callers are not kept for what is only learnt of it later.
constexpr milliseconds settlePatience { 20 };
constexpr unsigned badGateway = 502;
constexpr unsigned gatewayTimeout = 504;
constexpr unsigned serverErrors = 500;

milliseconds toMs(steady_time::duration duration)
{
    return std::chrono::duration_cast<milliseconds>(duration);
}

/// One request on its way. All on the loop's thread.
class live_run : public std::enable_shared_from_this<live_run> {
public:
    live_run(live_services& services, std::shared_ptr<http_exchange> caller, live_request request)
        : m_services(services)
        , m_caller(std::move(caller))
        , m_facts(std::move(request.facts))
        , m_table(std::move(request.table))
        , m_route(request.matched)
        , m_callerIdentity(request.identity)
        , m_limit(services.loop)
        , m_silence(services.loop)
        , m_settle(services.loop)
        , m_lastEvent(m_facts.lastEvent)
    {
    }

    void start()
    {
        m_self = shared_from_this();
        auto patience = m_route.timeout;
        if (m_facts.patience)
            patience = std::min(patience, *m_facts.patience);
        m_deadline = m_caller->received() + patience;
        m_onTimeUntil = m_caller->received() + m_route.objective;
        m_limit.armAt(m_deadline, [this] { outOfTime(); });
        m_caller->onCallerGone([weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->callerGone();
        });
        if (const auto refusal = admitted())
            return unplaced(*refusal);
        seek();
    }

private:
    steady_time now() const { return std::chrono::steady_clock::now(); }
    bool streaming() const { return m_route.kind == request_kind::streaming; }

    // --- Requests that end their targets

    const request_identity& identity()
    {
        if (!m_identity)
            m_identity = identityOf(m_caller->request(), m_callerIdentity.name());
        return *m_identity;
    }

    /// Whether anything is known against any request.
    bool guarded() const { return m_services.guard && m_services.guard->hasSuspects(); }

    std::optional<failure> admitted()
    {
        if (!guarded())
            return std::nullopt;
        auto admission = m_services.guard->admit(identity());
        m_trial = std::move(admission.runningTrial);
        return admission.refusal;
    }

    /// The target may have ended under this request. `settled` is called, later, when that is known.
    void examineTarget(std::function<void()> settled = nullptr)
    {
        if (m_services.guard)
            m_services.guard->aborted(
                identity(), m_recordWhenSent, { m_lastTarget, m_lastAddress }, std::move(settled));
    }

    void targetSilent()
    {
        if (m_services.guard)
            m_services.guard->targetUnresponsive(
                identity(), m_recordWhenSent, { m_lastTarget, m_lastAddress });
    }

    /// Goes on elsewhere once it is known whether the request may: each of its runs may end one more target,
    /// with all that this answers.
    void seekWhenSettled()
    {
        if (!m_services.guard)
            return seek();
        m_settling = true;
        m_settle.arm(settlePatience, [this] { settled(); });
        examineTarget([weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->settled();
        });
    }

    void settled()
    {
        if (!std::exchange(m_settling, false))
            return;
        m_settle.cancel();
        if (endsTargets())
            return giveUp(*m_lastFailure);
        seek();
    }

    bool endsTargets() { return guarded() && m_services.guard->isSuspected(identity()); }

    // --- Finding a place

    void seek()
    {
        slot_requirements wanted;
        wanted.requestId = m_facts.id;
        wanted.service = m_route.pickService(std::hash<std::string> {}(m_facts.id));
        wanted.customer = m_callerIdentity.customer ? m_callerIdentity.customer->name : m_route.name;
        if (m_callerIdentity.customer)
            wanted.weight = m_table->customers.weightOf(*m_callerIdentity.customer);
        wanted.begun = m_begun;
        wanted.cost = static_cast<double>(1 + m_facts.promptTokens + m_facts.mostOutputTokens);
        wanted.prefixes = m_facts.prefixes;
        wanted.avoid = m_lastTarget;
        wanted.hold = toMs(m_deadline - now());
        const auto onTime = m_onTimeUntil - firstEventTime;
        // A request that has begun goes on while it can; a new one that could only be late is better told so.
        wanted.grantDeadline = m_begun ? m_deadline : std::min(onTime, m_deadline);
        m_seeking = true;
        m_ask = m_services.places.acquire(std::move(wanted), [this](result<held_slot> found) {
            m_ask.reset();
            m_seeking = false;
            placed(std::move(found));
        });
    }

    void placed(result<held_slot> found)
    {
        if (!found && m_call) {
            // A second target was wanted in case the first one is dead: that one has to do for now.
            m_wantsMove = false;
            return watchSilence(nextEventPatience);
        }
        if (!found)
            return unplaced(found.error());
        const bool endedSome = (m_call || m_attempts > 0) && endsTargets();
        if (endedSome && !m_call) {
            m_services.places.release(found.value(), grant_outcome::unused, milliseconds { 0 });
            return giveUp(m_lastFailure.value_or(
                mayHaveRun(failure_kind::incomplete, "its targets have ended or fallen silent")));
        }
        if (m_call && (!m_wantsMove || endedSome)) {
            // The target has answered meanwhile, or none other shall get the request.
            m_wantsMove = false;
            m_services.places.release(found.value(), grant_outcome::unused, milliseconds { 0 });
            return;
        }
        // The former run is closed before the next begins: nobody works on a request twice.
        if (m_call) {
            targetSilent();
            dropCall(grant_outcome::failed);
        }
        send(std::move(found.value()));
    }

    void unplaced(const failure& reason)
    {
        m_reason = reason.message;
        if (m_begun)
            return giveUp(m_lastFailure.value_or(reason));
        m_head.status = httpStatus(reason.kind);
        finish("refused");
        refuse(*m_caller, reason);
        end();
    }

    // --- One attempt at a target

    void send(held_slot taken)
    {
        m_place = std::move(taken);
        m_lastTarget = m_place->target;
        m_lastAddress = m_place->address;
        m_recordWhenSent = guarded() ? m_services.guard->record(identity()) : strike_record {};
        m_targetsAge = m_services.targetsAge();
        m_waited += m_place->waited;
        m_splitter.restart();
        m_body.clear();
        m_wantsMove = false;
        m_sentAt = now();
        target_envelope envelope;
        envelope.targetId = m_place->target;
        envelope.timeLeft = toMs(m_deadline - m_sentAt);
        envelope.lastEvent = m_lastEvent;
        if (!m_table->customers.empty())
            envelope.customer = std::string(m_callerIdentity.name());
        client_call_options options;
        options.deadline = m_deadline + milliseconds { 1000 }; // The run's own limit comes first.
        options.connectTimeout = connectTimeout;
        options.freshConnection = !m_route.retryable();
        options.acceptUnframed = true;
        client_call_events events;
        events.head = [this](const http_reply& head) { return takeHead(head); };
        events.body = [this](std::string_view piece) { return takeBody(piece); };
        events.whole = [this] { takeWhole(); };
        events.failed = [this](const failure& error) { takeFailure(error); };
        ++m_sends;
        m_call = m_services.targets.start(m_place->address,
            m_services.protocol.forTarget(m_caller->request(), envelope), options, std::move(events));
        watchSilence(firstEventPatience);
    }

    void watchSilence(milliseconds patience)
    {
        if (!m_route.retryable() || !streaming())
            return;
        m_silence.arm(patience, [this] {
            if (m_wantsMove || m_seeking || m_attempts + 1 >= m_route.maxAttempts)
                return;
            m_wantsMove = true;
            m_begun = true;
            seek();
        });
    }

    bool takeHead(const http_reply& head)
    {
        m_meaning = m_services.protocol.classify(head, m_facts.id);
        if (m_meaning == answer_meaning::foreign)
            return false;
        // The caller has the head of an event stream: what another target says in its place is no part of it.
        m_failedOnRest = m_headPassed && m_meaning == answer_meaning::own && head.status != m_head.status;
        if (m_meaning == answer_meaning::own && !m_failedOnRest) {
            m_head.status = head.status;
            // The answer keeps the headers of its first target, also when it goes on at another one.
            if (!m_headPassed)
                m_head.headers = endToEndHeaders(head.headers);
            m_length = contentLength(head);
            m_framed = m_length || !findHeader(head.headers, "Transfer-Encoding").empty();
        }
        return true;
    }

    static std::optional<std::uint64_t> contentLength(const http_reply& head)
    {
        const auto text = findHeader(head.headers, "Content-Length");
        if (text.empty())
            return std::nullopt;
        return std::stoull(std::string(text));
    }

    bool eventStream() const
    {
        return streaming() && m_head.status == 200 && m_meaning == answer_meaning::own;
    }

    bool takeBody(std::string_view piece)
    {
        if (m_meaning != answer_meaning::own || m_failedOnRest)
            return true;
        if (!eventStream())
            return keepBody(piece);
        const auto events = m_splitter.feed(piece);
        if (m_splitter.disordered())
            return false;
        if (events.empty())
            return true;
        cancelMove();
        watchSilence(nextEventPatience);
        if (m_splitter.lastId())
            m_lastEvent = m_splitter.lastId();
        passHead(std::nullopt);
        pass(events);
        return true;
    }

    bool keepBody(std::string_view piece)
    {
        if (m_headPassed) {
            pass(piece);
            return true;
        }
        m_body.append(piece);
        if (m_body.size() <= mostKeptBytes || m_length == std::nullopt)
            return m_body.size() <= 64 * mostKeptBytes;
        passHead(m_length);
        pass(std::exchange(m_body, {}));
        return true;
    }

    void passHead(std::optional<std::uint64_t> length)
    {
        if (m_headPassed)
            return;
        m_headPassed = true;
        m_firstEvent = toMs(now() - m_caller->received());
        m_firstEventAtTarget = toMs(now() - m_sentAt);
        m_caller->startStream(m_head.status, m_head.headers, length);
    }

    void pass(std::string_view bytes)
    {
        m_caller->write(bytes);
        if (m_caller->unsentBytes() < mostUnsentBytes)
            return;
        m_call->pause();
        m_silence.cancel();
        m_caller->onDrained([weak = weak_from_this()] {
            const auto self = weak.lock();
            if (!self || !self->m_call)
                return;
            self->watchSilence(nextEventPatience);
            self->m_call->resume();
        });
    }

    void cancelMove()
    {
        m_wantsMove = false;
        if (m_seeking) {
            m_ask.reset();
            m_seeking = false;
        }
    }

    void takeWhole()
    {
        m_call.reset();
        m_silence.cancel();
        switch (m_meaning) {
        case answer_meaning::not_run:
            return tryElsewhere(grant_outcome::refused, "the target refused");
        case answer_meaning::other_target:
            return tryElsewhere(grant_outcome::failed, "another target has the address");
        case answer_meaning::foreign:
        case answer_meaning::own:
            break;
        }
        ++m_attempts;
        if (m_failedOnRest)
            return broken(
                mayHaveRun(failure_kind::incomplete, "the target failed on the rest of the stream"));
        if (eventStream() && m_splitter.midEvent())
            return broken(mayHaveRun(failure_kind::incomplete, "the stream ended within an event"));
        // Whatever it says, the target has lived; without a length that is not sure.
        if (m_framed && guarded())
            m_services.guard->answered(identity());
        const bool failedThere = m_head.status >= serverErrors && m_route.retryable() && !m_headPassed;
        if (failedThere && m_attempts < m_route.maxAttempts && now() < m_deadline) {
            m_begun = true;
            releasePlace(grant_outcome::failed);
            return seek();
        }
        cancelMove();
        releasePlace(m_head.status >= serverErrors ? grant_outcome::failed : grant_outcome::ok);
        passHead(m_body.size());
        m_caller->write(m_body);
        m_caller->finish();
        finish(m_head.status < 300 ? "served" : "failed at target");
        end();
    }

    /// The request has not run at this target.
    void tryElsewhere(grant_outcome outcome, std::string why)
    {
        m_reason = std::move(why);
        releasePlace(outcome);
        if (m_seeking)
            return; // Another place is already on its way.
        constexpr unsigned mostSends = 8; // Each costs a round trip: a caller is better told by then.
        if (m_sends >= mostSends)
            return unplaced(notRun(failure_kind::overloaded, "all targets refuse", defaultRetryAfter));
        seek();
    }

    void takeFailure(const failure& error)
    {
        m_call.reset();
        m_silence.cancel();
        if (error.ran == verdict::not_run)
            return tryElsewhere(grant_outcome::failed, error.message);
        ++m_attempts;
        broken(error);
    }

    /// The request may have run, or ran in part.
    void broken(const failure& error)
    {
        m_begun = true;
        m_lastFailure = error;
        m_reason = error.message;
        releasePlace(grant_outcome::failed);
        if (m_seeking)
            return examineTarget();
        const bool resumable = !m_headPassed || eventStream();
        if (m_route.retryable() && resumable && m_attempts < m_route.maxAttempts && now() < m_deadline)
            return seekWhenSettled();
        examineTarget();
        giveUp(error);
    }

    // --- Ends

    /// What was begun cannot be brought to its end.
    void giveUp(const failure& error)
    {
        if (!m_headPassed)
            m_head.status = error.kind == failure_kind::timeout ? gatewayTimeout : badGateway;
        finish("broken");
        if (m_headPassed)
            m_caller->abort();
        else
            m_caller->send({ m_head.status, { { "Content-Type", "text/plain" } }, error.message + "\n" });
        end();
    }

    void outOfTime()
    {
        m_reason = "the time is over";
        if (m_call)
            targetSilent();
        if (m_sends > 0)
            return giveUp(mayHaveRun(failure_kind::timeout, "no whole answer in time"));
        unplaced(notRun(failure_kind::overloaded, "no place in time", defaultRetryAfter));
    }

    void callerGone()
    {
        finish("caller gone");
        end();
    }

    void releasePlace(grant_outcome outcome)
    {
        if (!m_place)
            return;
        m_services.places.release(*m_place, outcome, m_firstEventAtTarget);
        m_place.reset();
    }

    void dropCall(grant_outcome outcome)
    {
        ++m_attempts;
        m_silence.cancel();
        if (m_call)
            m_call->cancel();
        m_call.reset();
        releasePlace(outcome);
    }

    void end()
    {
        m_limit.cancel();
        m_silence.cancel();
        m_settle.cancel();
        m_settling = false;
        m_ask.reset();
        if (m_call)
            m_call->cancel();
        m_call.reset();
        releasePlace(grant_outcome::abandoned);
        // Later: this may run inside one of the calls just ended.
        m_services.loop.post([self = std::move(m_self)] {});
    }

    void finish(std::string_view outcome)
    {
        const auto took = now() - m_caller->received();
        const metric_labels labels { m_route.name, "live" };
        m_services.figures.count("yuccachute_requests_total", "outcome", outcome);
        m_services.figures.observe("yuccachute_request_seconds", labels, took);
        if (m_headPassed)
            m_services.figures.observe("yuccachute_first_event_seconds", labels, m_firstEvent);
        logEvent(outcome == "served" ? log_level::info : log_level::warning, "request",
            { { "request_id", m_facts.id }, { "route", m_route.name },
                { "customer", m_callerIdentity.name() }, { "config", m_table->version },
                { "outcome", outcome }, { "status", std::int64_t { m_head.status } },
                { "target", m_lastTarget }, { "targets_age_ms", m_targetsAge.count() },
                { "sends", std::int64_t { m_sends } }, { "objective_ms", m_route.objective.count() },
                { "waited_ms", m_waited.count() }, { "first_event_ms", m_firstEvent.count() },
                { "took_ms", toMs(took).count() },
                { "identity", m_identity ? toString(*m_identity) : std::string() }, { "reason", m_reason } });
    }

    live_services& m_services;
    std::shared_ptr<http_exchange> m_caller;
    request_facts m_facts;
    std::optional<request_identity> m_identity; ///< Made when it is needed.
    strike_record m_recordWhenSent; ///< What was known against the request at its last send.
    std::shared_ptr<request_guard::trial> m_trial;
    std::shared_ptr<const routing_table> m_table; ///< Keeps the route alive.
    const route& m_route;
    const caller_identity m_callerIdentity;
    loop_timer m_limit;
    loop_timer m_silence;
    loop_timer m_settle;
    std::shared_ptr<live_run> m_self;
    steady_time m_deadline;
    steady_time m_onTimeUntil;
    steady_time m_sentAt;
    milliseconds m_targetsAge { 0 }; ///< When the last target was chosen.
    std::shared_ptr<slot_acquisition> m_ask;
    std::optional<held_slot> m_place;
    std::shared_ptr<client_call> m_call;
    event_splitter m_splitter;
    std::optional<std::uint64_t> m_lastEvent;
    answer_meaning m_meaning = answer_meaning::own;
    http_reply m_head;
    std::optional<std::uint64_t> m_length;
    bool m_framed = false; ///< The answer's end can be told from a cut connection.
    std::string m_body;
    std::string m_lastTarget;
    std::string m_lastAddress;
    std::string m_reason;
    std::optional<failure> m_lastFailure;
    milliseconds m_waited { 0 };
    milliseconds m_firstEvent { 0 };
    milliseconds m_firstEventAtTarget { 0 };
    unsigned m_sends = 0;
    unsigned m_attempts = 0; ///< Targets on which it may have run, before the present one.
    bool m_begun = false; ///< It may have run somewhere: "not run" cannot be said any more.
    bool m_headPassed = false;
    bool m_failedOnRest
        = false; ///< The present target answers a failure after the caller has the head of a stream.
    bool m_wantsMove = false;
    bool m_seeking = false;
    bool m_settling = false; ///< It goes on once it is known whether its last target has ended.
};

} // namespace

void serveLive(live_services& services, std::shared_ptr<http_exchange> caller, live_request request)
{
    std::make_shared<live_run>(services, std::move(caller), std::move(request))->start();
}

void refuse(http_exchange& caller, const failure& reason)
{
    http_reply reply;
    reply.status = httpStatus(reason.kind);
    reply.headers.emplace_back("Content-Type", "text/plain");
    if (reason.retryAfter.count() > 0) {
        char seconds[32];
        std::snprintf(seconds, sizeof seconds, "%.3f", static_cast<double>(reason.retryAfter.count()) / 1000);
        reply.headers.emplace_back("Retry-After", seconds);
    }
    reply.body = reason.message + "\n";
    caller.send(std::move(reply));
}

} // namespace yuccachute
