#include "front/front.h"

#include "logging/logging.h"
#include "request_drain.h"

#include <algorithm>
#include <charconv>

namespace yuccachute {

namespace {

/// Time from the slot grant to the first event at the caller with a healthy target. Prompt processing, the
/// first step and the way back take 25 ms; this is doubled for a busy VM.
constexpr milliseconds expectedFirstEventDelay { 50 };
/// A target with a free slot sends its first event within about 25 ms, one that is five times slower within
/// 100 ms. After this time without an event the request looks for another target.
constexpr milliseconds firstEventTimeout { 130 };
/// Events arrive every 20 ms, or every 100 ms from a target that is five times slower. With a longer timeout
/// the caller would notice the pause before another target resumes the stream.
constexpr milliseconds nextEventTimeout { 170 };
/// Connecting takes about 1 ms in the network of the VMs; a target that does not accept by then is taken as
/// unreachable.
constexpr milliseconds connectTimeout { 200 };
/// Larger response bodies are streamed to the caller instead of being buffered until they are complete.
constexpr std::size_t maxBufferedBytes = 1u << 20;
/// Reading from the target pauses while the caller has more than this left to receive.
constexpr std::size_t maxUnsentBytes = 256u << 10;
constexpr milliseconds defaultRetryAfter { 1000 };
/// A terminated target refuses connections within a few milliseconds. The result for a target that does not
/// respond takes longer, and the caller is not delayed for it.
constexpr milliseconds examinationTimeout { 20 };
/// The same at the end of a response that has been passed on already, where waiting delays no event.
constexpr milliseconds endConfirmationTimeout { 300 };
/// A caller's attempts together may take longer than the timeout of one request.
constexpr int maxStreamLifetimes = 2;
constexpr unsigned badGateway = 502;
constexpr unsigned gatewayTimeout = 504;
constexpr unsigned firstFailureStatus = 300;
constexpr unsigned firstServerErrorStatus = 500;

std::string joined(const std::vector<std::string>& parts)
{
    std::string text;
    for (const auto& part : parts)
        text += (text.empty() ? "" : ",") + part;
    return text;
}

milliseconds toMilliseconds(steady_time::duration duration)
{
    return std::chrono::duration_cast<milliseconds>(duration);
}

/// Serves one live request: acquires a slot, sends the request and relays the response, with retries and
/// failover to other targets. Runs on the loop's thread.
class live_run final : public drainable_request, public std::enable_shared_from_this<live_run> {
public:
    live_run(live_services& services, std::shared_ptr<http_exchange> caller, live_request request)
        : m_services(services)
        , m_caller(std::move(caller))
        , m_facts(std::move(request.facts))
        , m_table(std::move(request.table))
        , m_route(request.matched)
        , m_callerIdentity(request.identity)
        , m_ageOnArrival(request.age)
        , m_deadlineTimer(services.loop)
        , m_silenceTimer(services.loop)
        , m_examinationTimer(services.loop)
        , m_confirmation(services.loop)
        , m_bodyMemory(services.memory)
        , m_lastEvent(m_facts.lastEvent)
    {
    }

    void start()
    {
        m_self = shared_from_this();
        if (m_services.drain)
            m_services.drain->add(*this);
        auto callerTimeout = m_route.timeout;
        if (m_facts.callerTimeout)
            callerTimeout = std::min(callerTimeout, *m_facts.callerTimeout);
        m_deadline = m_caller->received() + callerTimeout;
        m_objectiveDeadline = m_caller->received() + m_route.objective - m_ageOnArrival;
        m_deadlineTimer.armAt(m_deadline, [this] { onDeadline(); });
        m_caller->onCallerGone([weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->onCallerDisconnected();
        });
        if (const auto refusal = admissionRefusal())
            return refuseOrFail(*refusal);
        if (resumesStream())
            return findOrigin();
        acquireSlot();
    }

    void drain() override
    {
        if (mustNotBegin())
            refuseOrFail(stoppingFailure());
    }

    void cutOff() override
    {
        if (hasNotRun())
            return refuseOrFail(stoppingFailure());
        m_reason = "this process is being stopped";
        failRequest(mayHaveRun(
            failure_kind::incomplete, "this process was stopped before the target's response was complete"));
    }

private:
    steady_time now() const { return std::chrono::steady_clock::now(); }
    bool streaming() const { return m_route.kind == request_kind::streaming; }
    /// Whether no target can have run the request, so far.
    bool hasNotRun() const { return !m_mayHaveRun && m_attempts == 0 && !m_call; }
    /// Whether the process is being stopped and may end before the request, which has not run.
    bool mustNotBegin() const
    {
        return hasNotRun() && m_services.drain && m_services.drain->refuses(m_deadline);
    }

    /// Whether the caller has received a part of the stream with an earlier request.
    bool resumesStream() const { return canBeResumed() && m_facts.lastEvent.has_value(); }
    bool canBeResumed() const { return streaming() && m_route.retryable(); }

    // --- Software versions

    /// Id of the request that received, or will receive, the first event of the stream.
    const std::string& streamId() const { return m_facts.resumes.empty() ? m_facts.id : m_facts.resumes; }

    void findOrigin()
    {
        if (!m_services.origins)
            return refuseOrFail(
                notRun(failure_kind::unavailable, "this process does not know where streams began"));
        origin_query query;
        query.streamId = m_facts.resumes;
        query.service = m_route.pickService(std::hash<std::string> {}(streamId()));
        query.lookback = maxStreamLifetimes * m_route.timeout;
        m_originLookup = m_services.origins->find(query, [this](result<stream_origin> found) {
            m_originLookup.reset();
            onOriginResult(std::move(found));
        });
    }

    void onOriginResult(result<stream_origin> found)
    {
        if (!found)
            return refuseOrFail(found.error());
        m_origin = std::move(found.value());
        if (!m_route.leadsTo(m_origin->service))
            return refuseOrFail(notRun(
                failure_kind::unavailable, "the route no longer leads to the service that began the stream"));
        acquireSlot();
    }

    /// The version at which the stream must begin; unset if it has begun, or if the granted one will do.
    std::optional<std::string> versionToBegin(const std::optional<std::string>& granted) const
    {
        if (m_origin || !canBeResumed() || !m_services.origins)
            return std::nullopt;
        return m_services.origins->versionToBegin(m_service, granted);
    }

    /// The target has sent an event that is about to be passed on: from now on only targets of its software
    /// version can continue the stream.
    void recordOrigin()
    {
        const auto version = versionOf(m_slot);
        if (m_versions.empty() || m_versions.back() != version)
            m_versions.push_back(version);
        if (std::exchange(m_originRecorded, true) || !m_route.retryable() || !m_slot->version)
            return;
        if (!m_origin)
            m_origin = { streamId(), m_service, *m_slot->version };
        if (m_services.origins)
            m_services.origins->record(*m_origin, resumableFor());
    }

    /// For how long the caller may resume the stream.
    milliseconds resumableFor() const
    {
        constexpr milliseconds margin { 1000 };
        const auto callerDeadline = m_caller->received() + m_facts.callerTimeout.value_or(m_route.timeout);
        return toMilliseconds(std::max(callerDeadline, m_deadline) - now()) + margin;
    }

    /// Whether another target may run the request, or the rest of it.
    bool canContinue() const { return !m_replyStarted || (eventStream() && m_origin); }

    static std::string versionOf(const std::optional<held_slot>& slot)
    {
        return slot ? slot->version.value_or("unknown") : "";
    }

    // --- Requests that terminate their targets

    const request_identity& identity()
    {
        if (!m_identity)
            m_identity = identityOf(m_caller->request(), m_callerIdentity.name());
        return *m_identity;
    }

    /// Whether any request or part of prompts at all is suspected of terminating targets.
    bool guardHasSuspects() const { return m_services.guard && m_services.guard->hasSuspects(); }

    guarded_request guardedRequest()
    {
        return { m_services.guard->needsIdentities() ? std::optional(identity()) : std::nullopt,
            m_facts.promptParts };
    }

    std::optional<failure> admissionRefusal()
    {
        if (!guardHasSuspects())
            return std::nullopt;
        auto admission = m_services.guard->admit(guardedRequest(), m_trial);
        m_trial = std::move(admission.runningTrial);
        return admission.refusal;
    }

    /// Checks whether the target terminated while it ran this request. `done` is called, never within this
    /// call, once the result is known.
    void examineTarget(std::function<void(bool terminated)> done = nullptr)
    {
        if (m_services.guard)
            m_services.guard->aborted(interruptedRun(), std::move(done));
    }

    void reportUnresponsiveTarget()
    {
        if (m_services.guard)
            m_services.guard->targetUnresponsive(interruptedRun());
    }

    interrupted_run interruptedRun()
    {
        return { identity(), m_recordWhenSent, { m_lastTarget, m_lastAddress }, m_facts.promptParts,
            m_timing.events() };
    }

    /// Acquires a slot at another target once it is known whether this request terminated the last one: each
    /// further run might terminate another target and fail all requests that it is serving.
    void acquireSlotWhenExamined()
    {
        if (!m_services.guard)
            return acquireSlot();
        m_awaitingExamination = true;
        m_examinationTimer.arm(examinationTimeout, [this] { onExamined(); });
        examineTarget([weak = weak_from_this()](bool) {
            if (const auto self = weak.lock())
                self->onExamined();
        });
    }

    void onExamined()
    {
        if (!std::exchange(m_awaitingExamination, false))
            return;
        m_examinationTimer.cancel();
        if (requestIsSuspected())
            return failRequest(*m_lastFailure);
        acquireSlot();
    }

    bool requestIsSuspected()
    {
        return guardHasSuspects() && m_services.guard->isSuspected(guardedRequest());
    }

    /// The target has sent a complete response, and so survived the request.
    void reportAnswer()
    {
        if (!m_services.guard || !(m_evidence.framed() || m_evidence.end() == response_end::confirmed))
            return;
        // Only a successful response shows that the target can write one with these parts.
        const auto parts
            = m_replyHead.status < firstFailureStatus ? m_facts.promptParts : std::vector<prompt_part>();
        m_services.guard->answered({ guardedRequest().identity, parts });
    }

    // --- Acquiring a slot

    void acquireSlot()
    {
        m_service = m_origin ? m_origin->service : m_route.pickService(std::hash<std::string> {}(streamId()));
        acquireSlot(versionToBegin(std::nullopt));
    }

    /// `beginAt`: the version at which the stream must begin; unset if any will do.
    void acquireSlot(std::optional<std::string> beginAt)
    {
        if (mustNotBegin())
            return refuseOrFail(stoppingFailure());
        slot_requirements wanted;
        wanted.requestId = m_facts.id;
        wanted.service = m_service;
        wanted.version = m_origin ? std::optional(m_origin->version) : std::move(beginAt);
        wanted.customer = m_callerIdentity.customer ? m_callerIdentity.customer->name : m_route.name;
        if (m_callerIdentity.customer)
            wanted.weight = m_table->customers.weightOf(*m_callerIdentity.customer);
        wanted.begun = m_mayHaveRun;
        wanted.cost = static_cast<double>(1 + m_facts.promptTokens + m_facts.maxOutputTokens);
        wanted.prefixes = m_facts.prefixes;
        wanted.avoid = m_lastTarget;
        wanted.maxEventInterval = m_route.interEventObjective;
        wanted.hold = toMilliseconds(m_deadline - now());
        wanted.age = ageToSend();
        const auto latestOnTimeGrant = m_objectiveDeadline - expectedFirstEventDelay;
        if (wanted.age.count() > 0 && latestOnTimeGrant <= now())
            m_objectiveMissed = true;
        // A request that has begun continues until its deadline. One that has not begun and can no longer
        // meet its objective is refused early, unless it had missed it before this entry could have served
        // it.
        const bool waitsUntilDeadline = m_mayHaveRun || m_objectiveMissed;
        wanted.grantDeadline = waitsUntilDeadline ? m_deadline : std::min(latestOnTimeGrant, m_deadline);
        m_acquiring = true;
        m_acquisition = m_services.slots.acquire(std::move(wanted), [this](result<held_slot> found) {
            m_acquisition.reset();
            m_acquiring = false;
            onSlotResult(std::move(found));
        });
    }

    /// The dispatcher ranks requests by their age. The age is left out if the request has begun, because the
    /// rest of it is not delayed further, and if its deadline comes before the end of its objective, because
    /// then it is never late.
    milliseconds ageToSend() const
    {
        const bool deadlineFirst = m_deadline <= m_objectiveDeadline;
        if (m_ageOnArrival.count() == 0 || m_mayHaveRun || deadlineFirst)
            return milliseconds { 0 };
        return m_ageOnArrival + toMilliseconds(now() - m_caller->received());
    }

    /// Whether a refused request requests a slot again, as one that has missed its objective: with a known
    /// age, a request that cannot be on time waits until its deadline.
    bool waitsPastObjective(const failure& refusal) const
    {
        return ageToSend().count() > 0 && !m_objectiveMissed && refusal.kind == failure_kind::overloaded
            && now() < m_deadline;
    }

    void onSlotResult(result<held_slot> found)
    {
        if (!found && !m_call && waitsPastObjective(found.error())) {
            m_objectiveMissed = true;
            return acquireSlot();
        }
        if (!found && m_call) {
            // No slot for the failover: stays with the current target.
            m_failoverWanted = false;
            return armSilenceTimer(nextEventTimeout);
        }
        if (!found)
            return refuseOrFail(found.error());
        const bool suspectedSinceSent = (m_call || m_attempts > 0) && requestIsSuspected();
        if (suspectedSinceSent && !m_call) {
            m_services.slots.release(found.value(), { grant_outcome::unused });
            return failRequest(m_lastFailure.value_or(mayHaveRun(failure_kind::incomplete,
                "the targets that ran the request terminated or stopped responding; it is not retried")));
        }
        if (!m_call && m_attempts == 0) {
            // It may have become known while the request waited for the slot.
            if (const auto refusal = admissionRefusal()) {
                m_services.slots.release(found.value(), { grant_outcome::unused });
                return refuseOrFail(*refusal);
            }
        }
        if (m_call && (!m_failoverWanted || suspectedSinceSent)) {
            // The current target responded in the meantime, or the request must not run on another one.
            m_failoverWanted = false;
            m_services.slots.release(found.value(), { grant_outcome::unused });
            return;
        }
        // A dispatcher may know a target of a new version before this process does.
        if (auto needed = found.value().version ? versionToBegin(found.value().version) : std::nullopt) {
            m_services.slots.release(found.value(), { grant_outcome::unused });
            return acquireSlot(std::move(needed));
        }
        // The earlier run is cancelled before the next one begins, so that only one target works on a
        // request.
        if (m_call) {
            reportUnresponsiveTarget();
            cancelCall(grant_outcome::failed);
        }
        send(std::move(found.value()));
    }

    /// Refuses a request that has not run, and fails one that may have run.
    void refuseOrFail(const failure& reason)
    {
        m_reason = reason.message;
        if (m_mayHaveRun)
            return failRequest(m_lastFailure.value_or(reason));
        m_replyHead.status = httpStatus(reason.kind);
        recordOutcome("refused");
        refuse(*m_caller, reason);
        end();
    }

    // --- One attempt at a target

    void send(held_slot slot)
    {
        m_slot = std::move(slot);
        m_lastTarget = m_slot->target;
        m_lastAddress = m_slot->address;
        m_lastVersion = versionOf(m_slot);
        m_recordWhenSent = m_services.guard && m_services.guard->needsIdentities()
            ? m_services.guard->record(identity())
            : strike_record {};
        m_targetsAge = m_services.targetsAge();
        m_waited += m_slot->waited;
        m_confirmation.cancel(); // An earlier run does not decide about this one.
        m_splitter = {};
        m_unsentEvents.clear();
        m_evidence = run_evidence(m_lastEvent);
        m_timing = {};
        m_body.clear();
        m_failoverWanted = false;
        m_sentAt = now();
        target_envelope envelope;
        envelope.targetId = m_slot->target;
        envelope.timeLeft = toMilliseconds(m_deadline - m_sentAt);
        envelope.lastEvent = m_lastEvent;
        if (!m_table->customers.empty())
            envelope.customer = std::string(m_callerIdentity.name());
        client_call_options options;
        options.deadline = m_deadline + milliseconds { 1000 }; // Fallback: m_deadlineTimer fires first.
        options.connectTimeout = connectTimeout;
        options.freshConnection = !m_route.retryable();
        options.acceptUnframed = true;
        options.limits = plainLimits;
        options.answerId = m_facts.id;
        client_call_events events;
        events.head = [this](const http_reply& head) {
            if (!onHead(head))
                return false;
            setAnswerLimits();
            return true;
        };
        events.body = [this](std::string_view piece) { return onBody(piece); };
        events.whole = [this] { onReplyComplete(); };
        events.failed = [this](const failure& error) { onCallFailed(error); };
        ++m_sends;
        m_call = m_services.targets.start(m_slot->address,
            m_services.protocol.forTarget(m_caller->request(), envelope), options, std::move(events));
        armSilenceTimer(firstEventTimeout);
    }

    void armSilenceTimer(milliseconds timeout)
    {
        if (!m_route.retryable() || !streaming())
            return;
        m_silenceTimer.arm(timeout, [this] {
            if (m_failoverWanted || m_acquiring || m_attempts + 1 >= m_route.maxAttempts || !canContinue())
                return;
            m_failoverWanted = true;
            m_mayHaveRun = true;
            acquireSlot();
        });
    }

    bool onHead(const http_reply& head)
    {
        m_meaning = m_services.protocol.classify(head, m_facts.id);
        if (m_meaning == answer_meaning::foreign)
            return false;
        // The caller already has the head of an event stream, so a response with another status cannot be
        // passed on as the rest of it.
        m_resumptionFailed
            = m_replyStarted && m_meaning == answer_meaning::own && head.status != m_replyHead.status;
        if (m_meaning == answer_meaning::own && !m_resumptionFailed) {
            m_replyHead.status = head.status;
            // The headers of the first target stay, also when another target resumes the stream.
            if (!m_replyStarted)
                m_replyHead.headers = endToEndHeaders(head.headers);
            m_contentLength = contentLength(head);
            m_evidence.receiveHead(head);
            if (!m_evidence.framed())
                m_services.figures.count("yuccachute_unframed_responses_total", "route", m_route.name);
        }
        return true;
    }

    /// Returns nothing for a value that is not a number or too large for one.
    static std::optional<std::uint64_t> contentLength(const http_reply& head)
    {
        const auto text = findHeader(head.headers, "Content-Length");
        std::uint64_t length = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), length);
        const bool valid = error == std::errc() && end == text.data() + text.size();
        return valid ? std::optional(length) : std::nullopt;
    }

    void setAnswerLimits()
    {
        if (!m_call)
            return;
        if (eventStream() && !m_resumptionFailed)
            m_call->setLimits(streamLimits(m_facts.maxOutputTokens));
        else if (m_meaning != answer_meaning::own || m_resumptionFailed)
            m_call->setLimits(discardedLimits);
    }

    bool eventStream() const
    {
        return streaming() && m_replyHead.status == 200 && m_meaning == answer_meaning::own;
    }

    bool onBody(std::string_view piece)
    {
        if (m_meaning != answer_meaning::own || m_resumptionFailed)
            return true;
        if (!eventStream())
            return bufferBody(piece);
        const auto eventsBefore = m_splitter.events();
        m_unsentEvents += m_splitter.feed(piece);
        const auto count = m_splitter.events() - eventsBefore;
        if (m_splitter.outOfOrder() || !m_evidence.addEvents(count, m_splitter.lastId()))
            return false;
        if (!m_splitter.midEvent() || count > 0)
            m_call->eventsReceived();
        if (count == 0)
            return true; // Comments are passed on with the next event.
        m_timing.record(count, now());
        recordOrigin();
        cancelFailover();
        armSilenceTimer(nextEventTimeout);
        m_lastEvent = m_evidence.lastEvent();
        startReply(std::nullopt);
        writeToCaller(std::exchange(m_unsentEvents, {}));
        return true;
    }

    bool bufferBody(std::string_view piece)
    {
        if (m_replyStarted) {
            writeToCaller(piece);
            return true;
        }
        m_body.append(piece);
        // Without memory, the response is passed on as the caller reads it.
        if (m_body.size() <= maxBufferedBytes && m_bodyMemory.resize(m_body.capacity(), now()))
            return true;
        m_bodyMemory.release();
        startReply(m_contentLength);
        writeToCaller(std::exchange(m_body, {}));
        return true;
    }

    void startReply(std::optional<std::uint64_t> length)
    {
        if (m_replyStarted)
            return;
        m_replyStarted = true;
        m_firstEvent = toMilliseconds(now() - m_caller->received());
        m_firstEventAtTarget = toMilliseconds(now() - m_sentAt);
        m_caller->startStream(m_replyHead.status, m_replyHead.headers, length);
    }

    void writeToCaller(std::string_view bytes)
    {
        m_caller->write(bytes);
        if (m_caller->unsentBytes() < maxUnsentBytes)
            return;
        m_call->pause();
        m_timing.pause();
        m_silenceTimer.cancel();
        m_caller->onDrained([weak = weak_from_this()] {
            const auto self = weak.lock();
            if (!self || !self->m_call)
                return;
            self->armSilenceTimer(nextEventTimeout);
            self->m_call->resume();
        });
    }

    void cancelFailover()
    {
        m_failoverWanted = false;
        if (m_acquiring) {
            m_acquisition.reset();
            m_acquiring = false;
        }
    }

    void onReplyComplete()
    {
        m_call.reset();
        m_silenceTimer.cancel();
        switch (m_meaning) {
        case answer_meaning::not_run:
            return tryOtherTarget(
                grant_outcome::refused, "the target refused the request; trying another target");
        case answer_meaning::other_target:
            return tryOtherTarget(
                grant_outcome::failed, "the address now belongs to another target; trying another target");
        case answer_meaning::foreign:
        case answer_meaning::own:
            break;
        }
        ++m_attempts;
        if (m_resumptionFailed)
            return onInterrupted(mayHaveRun(failure_kind::incomplete,
                "the target responded with a failure instead of the rest of the stream"));
        if (m_replyHead.status >= firstFailureStatus)
            return completeReply();
        switch (eventStream() ? m_evidence.endStream(m_splitter.midEvent()) : m_evidence.endPlain()) {
        case run_evidence::completeness::whole:
            return completeReply();
        case run_evidence::completeness::cut:
            return onInterrupted(mayHaveRun(failure_kind::incomplete,
                m_splitter.midEvent()
                    ? "the stream from the target ended within an event"
                    : "the stream from the target ended with its connection, without an event"));
        case run_evidence::completeness::unconfirmed:
            return confirmEnd();
        }
    }

    /// The response is whole if the start of the target that sent it runs. If that stays open, a stream is
    /// resumed at another target, which has nothing left to send if it is whole.
    void confirmEnd()
    {
        cancelFailover();
        const bool empty = eventStream() && m_timing.events() == 0;
        const auto interrupted = mayHaveRun(failure_kind::incomplete,
            "the response ended with its connection, and its target does not respond any more");
        if (!m_services.guard)
            return empty ? onInterrupted(interrupted) : completeReply();
        m_confirmation.ask(*m_services.guard, { m_lastTarget, m_lastAddress },
            empty && !m_replyStarted ? examinationTimeout : endConfirmationTimeout,
            [this, interrupted](target_state state) {
                const auto found = m_evidence.confirm(state == target_state::running);
                if (found == run_evidence::completeness::whole)
                    completeReply();
                else
                    onInterrupted(interrupted);
            });
    }

    void completeReply()
    {
        reportAnswer();
        const bool retryAfterError
            = m_replyHead.status >= firstServerErrorStatus && m_route.retryable() && !m_replyStarted;
        if (retryAfterError && m_attempts < m_route.maxAttempts && now() < m_deadline) {
            m_mayHaveRun = true;
            releaseSlot(grant_outcome::failed);
            return acquireSlot();
        }
        cancelFailover();
        releaseSlot(m_replyHead.status >= firstServerErrorStatus ? grant_outcome::failed : grant_outcome::ok);
        m_body += std::exchange(m_unsentEvents, {});
        m_bodyMemory.release(); // From here on it is output.
        startReply(m_body.size());
        m_caller->write(m_body);
        m_caller->finish();
        recordOutcome(m_replyHead.status < firstFailureStatus ? "served" : "failed at target");
        end();
    }

    /// The request has not run at this target.
    void tryOtherTarget(grant_outcome outcome, std::string reason)
    {
        m_reason = std::move(reason);
        releaseSlot(outcome);
        if (m_acquiring)
            return; // The pending acquisition finds another target.
        constexpr unsigned maxSends
            = 8; // Each costs a round trip; after these a refusal serves the caller better.
        if (m_sends >= maxSends)
            return refuseOrFail(notRun(failure_kind::overloaded,
                "every target that was tried refused the request or was unreachable", defaultRetryAfter));
        acquireSlot();
    }

    void onCallFailed(const failure& error)
    {
        m_call.reset();
        m_silenceTimer.cancel();
        if (error.ran == verdict::not_run)
            return tryOtherTarget(grant_outcome::failed, error.message);
        ++m_attempts;
        onInterrupted(error);
    }

    /// The target may have run the request, wholly or in part.
    void onInterrupted(const failure& error)
    {
        m_mayHaveRun = true;
        m_lastFailure = error;
        m_reason = error.message;
        releaseSlot(grant_outcome::failed);
        if (m_acquiring)
            return examineTarget();
        if (m_route.retryable() && canContinue() && m_attempts < m_route.maxAttempts && now() < m_deadline)
            return acquireSlotWhenExamined();
        examineTarget();
        failRequest(error);
    }

    // --- Completion

    /// Fails a request that may have run: with an error status, or by aborting the response if it has
    /// started.
    void failRequest(const failure& error)
    {
        if (!m_replyStarted)
            m_replyHead.status = error.kind == failure_kind::timeout ? gatewayTimeout : badGateway;
        recordOutcome("broken");
        if (m_replyStarted)
            m_caller->abort();
        else
            m_caller->send(
                { m_replyHead.status, { { "Content-Type", "text/plain" } }, error.message + "\n" });
        end();
    }

    void onDeadline()
    {
        m_reason = "the request's deadline passed";
        if (m_call)
            reportUnresponsiveTarget();
        if (m_sends > 0)
            return failRequest(mayHaveRun(
                failure_kind::timeout, "no complete response from the target before the request's deadline"));
        refuseOrFail(notRun(failure_kind::overloaded, "no slot was granted before the request's deadline",
            defaultRetryAfter));
    }

    void onCallerDisconnected()
    {
        recordOutcome("caller gone");
        end();
    }

    void releaseSlot(grant_outcome outcome)
    {
        if (!m_slot)
            return;
        m_services.slots.release(
            *m_slot, { outcome, m_firstEventAtTarget, m_timing.events(), m_timing.interval(outcome, now()) });
        m_slot.reset();
    }

    void cancelCall(grant_outcome outcome)
    {
        ++m_attempts;
        m_silenceTimer.cancel();
        if (m_call)
            m_call->cancel();
        m_call.reset();
        releaseSlot(outcome);
    }

    void end()
    {
        if (m_services.drain)
            m_services.drain->remove(*this);
        m_deadlineTimer.cancel();
        m_silenceTimer.cancel();
        m_examinationTimer.cancel();
        m_confirmation.cancel();
        m_awaitingExamination = false;
        m_originLookup.reset();
        m_acquisition.reset();
        if (m_call)
            m_call->cancel();
        m_call.reset();
        releaseSlot(grant_outcome::abandoned);
        // Destroyed later: a callback of one of the objects released above may be running.
        m_services.loop.post([self = std::move(m_self)] {});
    }

    void recordOutcome(std::string_view outcome)
    {
        const auto took = now() - m_caller->received();
        const metric_labels labels { m_route.name, "live" };
        m_services.figures.count("yuccachute_requests_total", "outcome", outcome);
        m_services.figures.observe("yuccachute_request_seconds", labels, took);
        if (m_replyStarted)
            m_services.figures.observe("yuccachute_first_event_seconds", labels, m_firstEvent);
        logEvent(outcome == "served" ? log_level::info : log_level::warning, "request",
            { { "request_id", m_facts.id }, { "route", m_route.name }, { "service", m_service },
                { "customer", m_callerIdentity.name() }, { "config", m_table->version },
                { "outcome", outcome }, { "status", std::int64_t { m_replyHead.status } },
                { "target", m_lastTarget }, { "target_version", m_lastVersion },
                { "stream_versions", joined(m_versions) }, { "resumes", m_facts.resumes },
                { "resumed_after", m_facts.lastEvent ? static_cast<std::int64_t>(*m_facts.lastEvent) : -1 },
                { "targets_age_ms", m_targetsAge.count() }, { "sends", std::int64_t { m_sends } },
                { "objective_ms", m_route.objective.count() }, { "age_ms", m_ageOnArrival.count() },
                { "waited_ms", m_waited.count() }, { "first_event_ms", m_firstEvent.count() },
                { "took_ms", toMilliseconds(took).count() },
                { "identity", m_identity ? toString(*m_identity) : std::string() },
                { "prompt_parts", toString(m_facts.promptParts) },
                { "events", static_cast<std::int64_t>(m_timing.events()) },
                { "first_event", static_cast<std::int64_t>(m_evidence.firstEvent()) },
                { "last_event", static_cast<std::int64_t>(m_evidence.lastEvent()) },
                { "framed", m_evidence.framed() ? 1 : 0 },
                { "response_end", std::string(toString(m_evidence.end())) }, { "reason", m_reason } });
    }

    live_services& m_services;
    std::shared_ptr<http_exchange> m_caller;
    request_facts m_facts;
    std::optional<request_identity> m_identity; ///< Computed on first use.
    strike_record m_recordWhenSent; ///< The strikes against the request at its last send.
    std::shared_ptr<request_guard::trial> m_trial;
    std::shared_ptr<const routing_table> m_table; ///< Owns the route.
    const route& m_route;
    const caller_identity m_callerIdentity;
    const milliseconds m_ageOnArrival; ///< 0 if unknown.
    loop_timer m_deadlineTimer;
    loop_timer m_silenceTimer;
    loop_timer m_examinationTimer;
    start_confirmation m_confirmation;
    std::shared_ptr<live_run> m_self;
    steady_time m_deadline;
    steady_time m_objectiveDeadline;
    steady_time m_sentAt;
    milliseconds m_targetsAge { 0 }; ///< Age of the target list when the last target was chosen.
    std::shared_ptr<origin_lookup> m_originLookup;
    std::optional<stream_origin> m_origin; ///< Set once the stream has begun, here or at an earlier request.
    bool m_originRecorded = false;
    std::string m_service;
    std::shared_ptr<slot_acquisition> m_acquisition;
    std::optional<held_slot> m_slot;
    std::shared_ptr<client_call> m_call;
    event_splitter m_splitter;
    std::string m_unsentEvents; ///< Comments that no event has followed yet.
    run_evidence m_evidence; ///< Of the current run at a target, as is the timing.
    event_timing m_timing;
    std::optional<std::uint64_t> m_lastEvent;
    answer_meaning m_meaning = answer_meaning::own;
    http_reply m_replyHead;
    std::optional<std::uint64_t> m_contentLength;
    std::string m_body;
    memory_share m_bodyMemory;
    std::string m_lastTarget;
    std::string m_lastAddress;
    std::string m_lastVersion;
    std::vector<std::string> m_versions; ///< Software versions that sent events of this response, in order.
    std::string m_reason;
    std::optional<failure> m_lastFailure;
    milliseconds m_waited { 0 };
    milliseconds m_firstEvent { 0 };
    milliseconds m_firstEventAtTarget { 0 };
    unsigned m_sends = 0;
    unsigned m_attempts = 0; ///< Targets that may have run the request, before the current one.
    bool m_objectiveMissed = false; ///< By its age, it can no longer be on time for its caller.
    bool m_mayHaveRun = false; ///< Some target may have run it, so it cannot be reported as not run.
    bool m_replyStarted = false;
    bool m_resumptionFailed = false; ///< The target responds with a failure where a stream was to be resumed.
    bool m_failoverWanted = false;
    bool m_acquiring = false;
    bool m_awaitingExamination = false; ///< Waiting to know whether the last target terminated.
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
