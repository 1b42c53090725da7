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

/// Detection of requests that crash the targets which run them. Requests are identified by their content.
/// Layer: coordination. Pure decision logic without I/O or a clock of its own; not thread-safe.
namespace yuccachute {

/// Hash of the content of a request, independent of its id: requests with the same identity have the same
/// effect on a target. At 128 bits collisions between different requests are not expected.
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
/// No value if the text is not in the format of toString().
std::optional<request_identity> parseIdentity(std::string_view text);

/// Id of a part of prompts that requests may share.
enum class prompt_part : std::uint64_t {};

/// Ids are hexadecimal numbers; of a longer text, a hash is taken.
prompt_part parsePromptPart(std::string_view text);
std::string toString(prompt_part part);
/// Separated by commas.
std::string toString(std::span<const prompt_part> parts);

/// Evidence against a request.
///
/// A strike is the termination of a target during a run that was sent when all earlier strikes were known.
/// Targets that terminate together, as in the failure of a rack, therefore count as one strike, however many
/// copies of the request they ran: a request that runs on many targets is not suspected for that alone. A
/// complete answer proves that the request does not crash its targets. It is recorded as an acquittal, which
/// resets the strikes, and runs that were sent before it can add none.
struct strike_record {
    std::uint32_t acquittals = 0;
    std::uint32_t strikes = 0; ///< Since the last acquittal.

    bool operator==(const strike_record&) const = default;
    /// Of two records of the same request, the superseding one is kept.
    bool supersedes(const strike_record& other) const
    {
        return acquittals != other.acquittals ? acquittals > other.acquittals : strikes > other.strikes;
    }
};

/// The strike record of a request as sent between processes.
struct suspect_report {
    request_identity identity;
    strike_record record;
    milliseconds age { 0 }; ///< Since the record last changed.
};

/// Quarantine of requests that crash the targets which run them. Merging the records of several processes is
/// commutative and idempotent: it gives the same result in any order and with any repetition.
class quarantine {
public:
    enum class status : std::uint8_t {
        clear,
        suspect, ///< Runs one at a time, and is not retried within the attempt that failed.
        refused ///< It is known to crash its targets.
    };

    /// Whether there is no record of any request.
    bool empty() const { return m_suspects.empty(); }
    std::size_t size() const { return m_suspects.size(); }
    status statusOf(const request_identity& identity, steady_time now) const;
    /// Remaining time for which the request is refused; the service may have been fixed by then.
    milliseconds remainingRefusalTime(const request_identity& identity, steady_time now) const;
    /// The current record. The caller keeps it when it sends a run and passes it to targetTerminated().
    strike_record record(const request_identity& identity) const;

    /// A target terminated during a run that was sent with this record. Returns whether the strike is new.
    bool targetTerminated(
        const request_identity& identity, const strike_record& recordWhenSent, steady_time now);
    /// The request was answered completely. Returns whether this cleared any strikes.
    bool answered(const request_identity& identity, steady_time now);
    /// Merges a record of another process. Returns whether the own record changed.
    bool merge(const suspect_report& report, steady_time now);
    /// Drops records that have not changed for their retention time.
    void expire(steady_time now);

    /// The records to send to other processes, up to a limit: those with the most strikes first, and of these
    /// the latest.
    std::vector<suspect_report> reports(steady_time now) const;
    std::optional<suspect_report> report(const request_identity& identity, steady_time now) const;

private:
    struct suspect {
        strike_record record;
        steady_time changed;
    };
    using suspect_map = std::map<request_identity, suspect>;

    void set(const request_identity& identity, const strike_record& record, steady_time changed);
    void evictLeastSuspect();

    suspect_map m_suspects;
};

/// Hash of the records, independent of their order and age; 0 for an empty list.
std::uint64_t digestOf(std::span<const suspect_report> reports);

} // namespace yuccachute
