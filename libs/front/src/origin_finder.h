#pragma once

#include "front/front.h"
#include "version_registry.h"

namespace yuccachute {

/// Looks up origins in the records of this process and of its peers. If none of them has one, the stream
/// began at the service's only software version, if it has but one.
class origin_finder final : public stream_origins {
public:
    /// The arguments must outlive this object.
    origin_finder(event_loop& loop, slot_broker& broker, version_registry& versions, metrics& figures)
        : m_loop(loop)
        , m_broker(broker)
        , m_versions(versions)
        , m_figures(figures)
    {
    }

    void record(const stream_origin& origin, milliseconds validFor) override;
    std::optional<std::string> versionToBegin(
        const std::string& service, const std::optional<std::string>& granted) override
    {
        return m_versions.versionToBegin(service, granted);
    }
    std::shared_ptr<origin_lookup> find(
        const origin_query& query, std::function<void(result<stream_origin>)> done) override;

private:
    class lookup;

    event_loop& m_loop;
    slot_broker& m_broker;
    version_registry& m_versions;
    metrics& m_figures;
};

} // namespace yuccachute
