#pragma once

#include "verdict/verdict.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

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

/// Answer to the question where a stream began.
struct origin_answer {
    std::string streamId;
    std::optional<stream_origin> origin; ///< Unset if the answering process has no record.

    bool operator==(const origin_answer&) const = default;
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
