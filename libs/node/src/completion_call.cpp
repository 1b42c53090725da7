#include "node/node.h"

#include <algorithm>
#include <thread>

namespace yuccachute {

namespace {

constexpr int maxResumes = 2;
constexpr milliseconds cancelTimeout { 500 };
constexpr milliseconds resumeDelay { 50 };

/// State of one attempt, across its first stream and the resumed ones.
class attempt_driver {
public:
    explicit attempt_driver(const completion_attempt& attempt)
        : m_attempt(attempt)
    {
    }

    attempt_outcome run()
    {
        const auto started = std::chrono::steady_clock::now();
        m_started = started;
        auto failed = stream(firstRequest());
        for (int resume = 0; failed && canResume(*failed) && resume < maxResumes; ++resume) {
            std::this_thread::sleep_for(resumeDelay);
            failed = stream(resumeRequest());
        }
        m_outcome.whole = !failed;
        if (failed) {
            m_outcome.error = std::move(*failed);
            // A refused resume only means that the resume was not run; the request itself was.
            if (m_streamStarted && m_outcome.error.ran == verdict::not_run)
                m_outcome.error.ran = verdict::may_have_run;
        }
        return std::move(m_outcome);
    }

private:
    http_request firstRequest() const
    {
        http_request request;
        request.method = "POST";
        request.path = "/v1/completions";
        request.headers = { { "Content-Type", "application/json" }, { "X-Request-Id", m_attempt.requestId } };
        auto wanted = m_attempt.request;
        wanted.stream = true;
        request.body = writeCompletion(wanted);
        return request;
    }

    http_request resumeRequest() const
    {
        http_request request;
        request.path = "/v1/streams/" + m_attempt.requestId;
        request.query = "offset=" + std::to_string(m_outcome.events);
        return request;
    }

    bool canResume(const failure& error) const
    {
        return m_streamStarted
            && (error.kind == failure_kind::incomplete || error.kind == failure_kind::unavailable)
            && std::chrono::steady_clock::now() < m_attempt.deadline;
    }

    /// Receives one stream to its end. Returns why it is incomplete, or nothing.
    std::optional<failure> stream(const http_request& request)
    {
        event_reader reader;
        std::string errorBody;
        unsigned status = 0;
        bool stopped = false;
        http_call_options options;
        options.deadline = m_attempt.deadline;
        options.idleTimeout = m_attempt.idleTimeout;
        options.abandon = m_attempt.abandon;
        options.onHead = [&](const http_reply& head) {
            status = head.status;
            return true;
        };
        options.onBody = [&](std::string_view piece) {
            if (status != 200) {
                errorBody.append(piece);
                return true;
            }
            m_streamStarted = true;
            for (const auto& event : reader.feed(piece)) {
                if (!forwardEvent(event))
                    stopped = true;
            }
            return !stopped;
        };
        const auto reply = httpCall(m_attempt.address, request, options);
        if (status != 0 && status != 200)
            return refusal(status, errorBody);
        if (!reply)
            return stopped
                ? mayHaveRun(failure_kind::cancelled, "the receiver of the events cancelled the attempt")
                : reply.error();
        if (reader.broken())
            return mayHaveRun(failure_kind::incomplete, "the target sent a malformed event");
        if (!reader.whole())
            return mayHaveRun(failure_kind::incomplete, "the stream ended without its final event");
        m_outcome.finishReason = reader.finishReason();
        if (m_outcome.finishReason == "cancelled")
            return mayHaveRun(failure_kind::cancelled, "the target cancelled the request");
        return std::nullopt;
    }

    bool forwardEvent(const completion_event& event)
    {
        // An event without text carries only the finish reason.
        if (event.text.empty())
            return true;
        if (m_outcome.events++ == 0)
            m_outcome.firstToken = std::max(milliseconds { 1 },
                std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - m_started));
        return m_attempt.onEvent(event);
    }

    /// A target that reports that it has not run the request is believed; after any other error the request
    /// may have run.
    failure refusal(unsigned status, const std::string& body)
    {
        const auto reportedVerdict = readVerdict(body);
        const auto message = "the target answered with status " + std::to_string(status);
        m_outcome.refused = reportedVerdict == verdict::not_run && !m_streamStarted;
        if (reportedVerdict == verdict::not_run)
            return notRun(failure_kind::unavailable, message);
        if (status == 404) // On a resume: the target no longer knows the stream.
            return mayHaveRun(failure_kind::not_found, message);
        return { reportedVerdict.value_or(verdict::may_have_run), failure_kind::internal, message,
            milliseconds { 0 } };
    }

    const completion_attempt& m_attempt;
    attempt_outcome m_outcome;
    steady_time m_started;
    bool m_streamStarted = false;
};

} // namespace

attempt_outcome runCompletion(const completion_attempt& attempt)
{
    return attempt_driver(attempt).run();
}

grant_outcome judgeTarget(const attempt_outcome& outcome)
{
    if (outcome.whole)
        return grant_outcome::ok;
    if (outcome.refused)
        return grant_outcome::refused;
    const auto kind = outcome.error.kind;
    const bool inconclusive = kind == failure_kind::cancelled || kind == failure_kind::timeout
        || outcome.error.ran == verdict::done;
    return inconclusive ? grant_outcome::abandoned : grant_outcome::failed;
}

void cancelCompletion(std::string_view address, std::string_view requestId)
{
    http_request request;
    request.method = "POST";
    request.path = "/v1/streams/" + std::string(requestId) + "/cancel";
    http_call_options options;
    options.deadline = std::chrono::steady_clock::now() + cancelTimeout;
    // A lost cancel request only costs the target some work: it stops by itself once no one reads the stream.
    (void)httpCall(address, request, options);
}

} // namespace yuccachute
