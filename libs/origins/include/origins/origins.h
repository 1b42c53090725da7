#pragma once

#include "routing/routing.h"
#include "verdict/verdict.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

/// Records of the software versions that began streams: a stream can be continued only by a target of the
/// version that sent its first event. Layer: coordination. No I/O, not thread-safe.
namespace yuccachute {

/// The target that sent the first event of a stream.
struct stream_origin {
    std::string streamId; ///< Id of the caller's request that received the first event.
    std::string service;
    std::string version; ///< Software version of the target.

    bool operator==(const stream_origin&) const = default;
};

/// An origin as sent to the processes that keep it.
struct origin_record {
    stream_origin origin;
    milliseconds validFor { 0 }; ///< After this time the caller has given up and cannot resume the stream.

    bool operator==(const origin_record&) const = default;
};

/// Asks where a stream began. Without a record of the stream, the answer is found if the service has had a
/// single version for as long as the stream may have lasted.
struct origin_query {
    std::string streamId; ///< Empty if the caller does not name the stream.
    std::string service;
    milliseconds lookback { 0 }; ///< Longest time since the stream began.

    bool operator==(const origin_query&) const = default;
};

/// What a process knows of the software versions that a service had in a period that ends now.
struct version_evidence {
    enum class kind : std::uint8_t {
        none, ///< It has not followed the list of targets for the whole period.
        single,
        several
    };
    kind known = kind::none;
    std::string version; ///< If `single`.

    bool operator==(const version_evidence&) const = default;
};

/// Answer to an origin_query.
struct origin_answer {
    std::string streamId; ///< As in the query.
    std::string service; ///< As in the query.
    std::optional<stream_origin> origin; ///< Unset if the answering process has no record.
    version_evidence evidence;

    bool operator==(const origin_answer&) const = default;
};

/// Combines what several processes know; those without evidence do not count.
version_evidence combine(const version_evidence& left, const version_evidence& right);

/// A software version that a service has.
struct service_version {
    std::string service;
    std::string version;

    bool operator==(const service_version&) const = default;
    bool operator<(const service_version& other) const
    {
        return std::tie(service, version) < std::tie(other.service, other.version);
    }
};

/// The software versions of targets that are listed, or have been lately.
class version_history {
public:
    /// `complete`: the list contains all targets. Before that, and without any target, there is no evidence.
    void apply(std::span<const target_change> changes, bool complete, steady_time now);
    bool listed(const service_version& named) const;
    /// Whether a target of this version is listed that is not draining.
    bool acceptsRequests(const service_version& named) const;
    std::vector<service_version> allListed() const;
    version_evidence evidence(std::string_view service, milliseconds lookback, steady_time now) const;

private:
    struct entry {
        std::size_t targets = 0;
        std::size_t draining = 0; ///< Of these targets.
        steady_time lastListed; ///< Without targets.
    };

    std::map<service_version, entry> m_entries;
    std::optional<steady_time> m_completeSince;
};

/// Origins of recent streams, in bounded memory. A record never changes: the version that began a stream is a
/// fact of the past.
class origin_table {
public:
    explicit origin_table(std::size_t maxRecords = defaultMaxRecords)
        : m_maxRecords(maxRecords)
    {
    }

    /// Keeps an origin until `until`. If the table is full, the record that ends first is dropped.
    void record(const stream_origin& origin, steady_time until, steady_time now);
    std::optional<stream_origin> find(std::string_view streamId, steady_time now) const;
    std::size_t size() const { return m_records.size(); }

private:
    /// About 10 MB. The largest deployments begin 1,000 streams a second, of at most some ten seconds each.
    static constexpr std::size_t defaultMaxRecords = 50000;

    using expiry_index = std::multimap<steady_time, std::string>;
    struct entry {
        stream_origin origin;
        expiry_index::iterator expiry;
    };

    void dropFirst();

    std::size_t m_maxRecords;
    std::map<std::string, entry, std::less<>> m_records; ///< By stream id.
    expiry_index m_expiries;
};

} // namespace yuccachute
