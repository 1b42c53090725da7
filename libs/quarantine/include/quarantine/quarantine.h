#pragma once

#include "verdict/verdict.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// Requests that end the targets which run them, known by what they ask for. Layer: coordination. Pure
/// decisions: no I/O, no clock, not thread-safe.
namespace yuccachute {

/// What a request asks for, whatever its id: requests with the same identity do the same to a target. Wide
/// enough that two callers' requests never share one.
struct request_identity {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    bool operator==(const request_identity&) const = default;
    bool operator<(const request_identity& other) const
    {
        return high != other.high ? high < other.high : low < other.low;
    }
};

/// The identity of a request that consists of these parts, in this order.
request_identity identify(std::span<const std::string_view> parts);

/// 32 hexadecimal digits.
std::string toString(const request_identity& identity);
/// Nothing if the text is not what toString() writes.
std::optional<request_identity> parseIdentity(std::string_view text);

/// What is known against a request.
///
/// A strike is the end of a target under a run that was sent when all earlier strikes were known. So runs
/// that end together, as under one rack, are one strike, however many callers sent the request at once: a
/// popular request does not look guilty because it runs everywhere. A whole answer proves that the request
/// does not end its targets: it acquits, and strikes of runs that were sent before count no more.
struct strike_record {
    std::uint32_t acquittals = 0;
    std::uint32_t strikes = 0; ///< Since the last acquittal.

    bool operator==(const strike_record&) const = default;
    /// Of two records of a request the later one counts.
    bool supersedes(const strike_record& other) const
    {
        return acquittals != other.acquittals ? acquittals > other.acquittals : strikes > other.strikes;
    }
};

/// A record as processes tell it to each other.
struct suspect_report {
    request_identity identity;
    strike_record record;
    milliseconds age { 0 }; ///< Since the record last changed.
};

/// Sets requests apart that end the targets which run them. Records of several processes merge in any order
/// and any number of times to the same one.
class quarantine {
public:
    enum class status : std::uint8_t {
        clear,
        suspect, ///< It may run once more at a time, and not again within the attempt that failed.
        refused ///< It is known to end its targets.
    };

    /// Whether nothing is known against any request.
    bool empty() const { return m_suspects.empty(); }
    std::size_t size() const { return m_suspects.size(); }
    status statusOf(const request_identity& identity, steady_time now) const;
    /// For how long a request will be refused: by then its service may bear it.
    milliseconds remainingRefusalTime(const request_identity& identity, steady_time now) const;
    /// What is known now; a run that is sent now is judged by it when its target ends.
    strike_record record(const request_identity& identity) const;

    /// A target ended under a run. Returns whether this is news.
    bool targetTerminated(const request_identity& identity, const strike_record& whenSent, steady_time now);
    /// The request was answered in full. Returns whether it had been suspected.
    bool answered(const request_identity& identity, steady_time now);
    /// Takes over what another process knows. Returns whether it was news.
    bool merge(const suspect_report& report, steady_time now);
    /// Forgets what is old.
    void expire(steady_time now);

    /// What other processes are told: the worst records, and of these the latest, up to a bound.
    std::vector<suspect_report> reports(steady_time now) const;
    std::optional<suspect_report> report(const request_identity& identity, steady_time now) const;

private:
    struct suspect {
        strike_record record;
        steady_time changed;
    };
    using suspect_map = std::map<request_identity, suspect>;

    void set(const request_identity& identity, const strike_record& record, steady_time changed);
    void dropLeast();

    suspect_map m_suspects;
};

/// Equal for equal records, whatever their order and age; 0 for none.
std::uint64_t digestOf(std::span<const suspect_report> reports);

} // namespace yuccachute
