#include "node/node.h"

#include <algorithm>
#include <thread>

namespace yuccachute {

namespace {

constexpr int mostResumes = 2;
constexpr milliseconds cancelTimeout { 500 };
constexpr milliseconds resumePause { 50 };

/// State of one attempt across its first stream and the resumed ones.
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
        for (int resume = 0; failed && canResume(*failed) && resume < mostResumes; ++resume) {
            std::this_thread::sleep_for(resumePause);
            failed = stream(resumeRequest());
        }
        m_outcome.whole = !failed;
        if (failed) {
            m_outcome.error = std::move(*failed);
            // A resume that was refused says only that the resume was not run: the request itself was.
            if (m_streamBegan && m_outcome.error.ran == verdict::not_run)
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
        return m_streamBegan
            && (error.kind == failure_kind::incomplete || error.kind == failure_kind::unavailable)
            && std::chrono::steady_clock::now() < m_attempt.deadline;
    }

    /// Receives one stream to its end; returns why it is not whole, or nothing.
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
            m_streamBegan = true;
            for (const auto& event : reader.feed(piece)) {
                if (!pass(event))
                    stopped = true;
            }
            return !stopped;
        };
        const auto reply = httpCall(m_attempt.address, request, options);
        if (status != 0 && status != 200)
            return refusal(status, errorBody);
        if (!reply)
            return stopped ? mayHaveRun(failure_kind::cancelled, "the caller has gone") : reply.error();
        if (reader.broken())
            return mayHaveRun(failure_kind::incomplete, "the target sent a malformed event");
        if (!reader.whole())
            return mayHaveRun(failure_kind::incomplete, "the stream ended without its final event");
        m_outcome.finishReason = reader.finishReason();
        if (m_outcome.finishReason == "cancelled")
            return mayHaveRun(failure_kind::cancelled, "the target cancelled the request");
        return std::nullopt;
    }

    bool pass(const completion_event& event)
    {
        // An event without text only carries the finish reason.
        if (event.text.empty())
            return true;
        if (m_outcome.events++ == 0)
            m_outcome.firstToken = std::max(milliseconds { 1 },
                std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - m_started));
        return m_attempt.onEvent(event);
    }

    /// A target's own word that it has not run the request is believed; any other error may have run.
    failure refusal(unsigned status, const std::string& body)
    {
        const auto said = readVerdict(body);
        const auto message = "the target answered with status " + std::to_string(status);
        m_outcome.refused = said == verdict::not_run && !m_streamBegan;
        if (said == verdict::not_run)
            return notRun(failure_kind::unavailable, message);
        if (status == 404) // Of a resume: the target does not know the stream any more.
            return mayHaveRun(failure_kind::not_found, message);
        return { said.value_or(verdict::may_have_run), failure_kind::internal, message, milliseconds { 0 } };
    }

    const completion_attempt& m_attempt;
    attempt_outcome m_outcome;
    steady_time m_started;
    bool m_streamBegan = false;
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
    const bool saysNothing = kind == failure_kind::cancelled || kind == failure_kind::timeout
        || outcome.error.ran == verdict::done;
    return saysNothing ? grant_outcome::abandoned : grant_outcome::failed;
}

void cancelCompletion(std::string_view address, std::string_view requestId)
{
    http_request request;
    request.method = "POST";
    request.path = "/v1/streams/" + std::string(requestId) + "/cancel";
    http_call_options options;
    options.deadline = std::chrono::steady_clock::now() + cancelTimeout;
    // A lost cancel costs the target some work: it stops by itself once nobody reads.
    (void)httpCall(address, request, options);
}

} // namespace yuccachute
