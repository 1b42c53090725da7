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
    lookup(origin_finder& owner, std::string streamId, std::string service,
        std::function<void(result<stream_origin>)> done)
        : m_owner(owner)
        , m_streamId(std::move(streamId))
        , m_service(std::move(service))
        , m_done(std::move(done))
        , m_timer(owner.m_loop)
    {
    }

    void start()
    {
        if (m_streamId.empty())
            return findOnlyVersion();
        m_search = m_owner.m_broker.findOrigin(m_streamId, m_service, [this](const origin_answers& answers) {
            m_complete = answers.complete;
            if (answers.origin)
                return finish("recorded", *answers.origin);
            findOnlyVersion();
        });
    }

private:
    void findOnlyVersion()
    {
        m_timer.arm(storeTimeout, [this] { refuse("the store does not answer", storeRetryAfter); });
        m_owner.m_versions.findOnlyVersion(
            m_service, [weak = weak_from_this()](const result<std::optional<std::string>>& only) {
                if (const auto self = weak.lock())
                    self->onOnlyVersion(only);
            });
    }

    void onOnlyVersion(const result<std::optional<std::string>>& only)
    {
        if (!m_timer.armed())
            return;
        m_timer.cancel();
        if (!only)
            return refuse("the store does not answer: " + only.error().message, storeRetryAfter);
        if (!only.value() && !m_complete)
            return refuse("a process that may know it does not answer", otherEntryRetryAfter);
        if (!only.value())
            return refuse("the service has not had a single software version lately", milliseconds { 0 });
        finish("only version", stream_origin { m_streamId, m_service, *only.value() });
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
    std::string m_streamId;
    std::string m_service;
    std::function<void(result<stream_origin>)> m_done;
    loop_timer m_timer;
    std::shared_ptr<origin_search> m_search;
    bool m_complete = true; ///< All peers that may have a record have answered.
};

void origin_finder::record(const stream_origin& origin, milliseconds validFor)
{
    m_broker.recordOrigin(origin, validFor);
}

std::shared_ptr<origin_lookup> origin_finder::find(
    const std::string& streamId, const std::string& service, std::function<void(result<stream_origin>)> done)
{
    const auto started = std::make_shared<lookup>(*this, streamId, service, std::move(done));
    started->start();
    return started;
}

} // namespace yuccachute
