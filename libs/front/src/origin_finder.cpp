#include "origin_finder.h"

namespace yuccachute {

namespace {

/// The platform's store answers within milliseconds. Without its answer the caller is refused soon enough to
/// try another entry within its objective for pauses.
constexpr milliseconds storeTimeout { 120 };
/// Another entry may reach a process that knows the origin.
constexpr milliseconds otherEntryRetryAfter { 100 };
/// Time for the store to become reachable again.
constexpr milliseconds storeRetryAfter { 500 };

} // namespace

class origin_finder::lookup final : public origin_lookup, public std::enable_shared_from_this<lookup> {
public:
    lookup(origin_finder& owner, origin_query query, std::function<void(result<stream_origin>)> done)
        : m_owner(owner)
        , m_query(std::move(query))
        , m_done(std::move(done))
        , m_timer(owner.m_loop)
    {
    }

    void start()
    {
        m_search = m_owner.m_broker.findOrigin(
            m_query, [this](const origin_answers& answers) { onAnswers(answers); });
    }

private:
    void onAnswers(const origin_answers& answers)
    {
        if (answers.origin)
            return finish("recorded", *answers.origin);
        const auto& evidence = answers.evidence;
        if (evidence.known == version_evidence::kind::several)
            return refuseUnknown(answers.complete);
        // A silent peer may have used a version that the others do not know of.
        if (evidence.known == version_evidence::kind::single && answers.complete)
            return finish(
                "only version", stream_origin { m_query.streamId, m_query.service, evidence.version });
        findOnlyVersion(answers.complete);
    }

    void findOnlyVersion(bool complete)
    {
        m_timer.arm(storeTimeout, [this] { refuse("the store does not answer", storeRetryAfter); });
        m_owner.m_versions.findOnlyVersion(m_query.service,
            [weak = weak_from_this(), complete](const result<std::optional<std::string>>& only) {
                if (const auto self = weak.lock())
                    self->onOnlyVersion(only, complete);
            });
    }

    void onOnlyVersion(const result<std::optional<std::string>>& only, bool complete)
    {
        if (!m_timer.armed())
            return;
        m_timer.cancel();
        if (!only)
            return refuse("the store does not answer: " + only.error().message, storeRetryAfter);
        if (!only.value())
            return refuseUnknown(complete);
        finish(
            "only version in the store", stream_origin { m_query.streamId, m_query.service, *only.value() });
    }

    /// If all processes have answered, there is none to which the caller could turn.
    void refuseUnknown(bool complete)
    {
        refuse("the service has not had a single software version lately",
            complete ? milliseconds { 0 } : otherEntryRetryAfter);
    }

    void refuse(const std::string& reason, milliseconds retryAfter)
    {
        finish("unknown",
            notRun(
                failure_kind::unavailable, "it is not known where the stream began: " + reason, retryAfter));
    }

    void finish(std::string_view outcome, result<stream_origin> found)
    {
        m_owner.m_figures.count("yuccachute_origin_lookups_total", "outcome", outcome);
        // Posted, because `done` destroys this object, whose methods are still on the stack.
        m_owner.m_loop.post([weak = weak_from_this(), found = std::move(found)] {
            if (const auto self = weak.lock())
                std::exchange(self->m_done, nullptr)(found);
        });
    }

    origin_finder& m_owner;
    origin_query m_query;
    std::function<void(result<stream_origin>)> m_done;
    loop_timer m_timer;
    std::shared_ptr<origin_search> m_search;
};

void origin_finder::record(const stream_origin& origin, milliseconds validFor)
{
    m_broker.recordOrigin(origin, validFor);
}

std::shared_ptr<origin_lookup> origin_finder::find(
    const origin_query& query, std::function<void(result<stream_origin>)> done)
{
    const auto started = std::make_shared<lookup>(*this, query, std::move(done));
    started->start();
    return started;
}

} // namespace yuccachute
