#pragma once

#include "verdict/verdict.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// Detection of requests, and of parts of prompts, that crash the targets which run them. Requests are
/// identified by their content.
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
/// The identity under which records of a part are exchanged and stored. No request has it.
request_identity identityOf(prompt_part part);
/// No value if the identity is that of a request.
std::optional<prompt_part> promptPartOf(const request_identity& identity);

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

/// Hash of the id of a target.
using target_hash = std::uint64_t;
target_hash hashTarget(std::string_view targetId);

/// Of more targets, those with the smallest hashes are recorded, so that records merge to the same result in
/// any order.
constexpr std::size_t maxRecordedTargets = 16;

/// The record of a request or of a part of prompts as sent between processes.
struct suspect_report {
    request_identity identity;
    strike_record record;
    milliseconds age { 0 }; ///< Since the record last changed.
    /// Of a part: the targets that terminated, in ascending order. Their number is that of the strikes.
    std::vector<target_hash> targets {};
    std::uint32_t trials = 0; ///< Of a part: runs that were allowed since it is refused.
};

/// Whether the first report contains evidence that the second one, of the same suspect, lacks.
bool supersedes(const suspect_report& first, const suspect_report& second);

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

/// Quarantine of parts of prompts that crash the targets which run a request with them, whatever else the
/// request contains. No two of these requests are alike, and sound requests share all their other parts.
///
/// A terminated target is evidence against the parts of the requests that it had not begun to answer. A part
/// that has been answered since it was last acquitted is no suspect while the same request has others. Of the
/// suspects, each terminated target is attributed to the part that explains most of them, so that the parts
/// beside it, and those of other requests that ran on the same targets, are cleared without an answer. A
/// complete answer acquits all parts of its prompt.
///
/// Records are sets of targets and merge like those of requests: in any order and with any repetition. Unlike
/// those, they count targets that terminate at the same moment separately: a part that many requests share
/// has been answered lately, and is not blamed for a rack.
class part_quarantine {
public:
    struct assessment {
        quarantine::status status = quarantine::status::clear;
        prompt_part part {}; ///< The part that decided, unless the status is clear.
        milliseconds remainingRefusal { 0 };
        /// The part is refused, and the time for which it is has passed: one run may show whether the service
        /// has been fixed.
        bool trialDue = false;
    };

    bool empty() const { return m_suspects.empty(); }
    std::size_t size() const { return m_suspects.size(); }
    /// The worst status of the parts. If targets cannot be attributed to one of several parts, a request with
    /// only some of them is a suspect, whose outcome decides, and one with all of them is refused.
    assessment assess(std::span<const prompt_part> parts, steady_time now) const;
    /// Whether a target is attributed to, or recorded against, any of the parts.
    bool hasStrikes(std::span<const prompt_part> parts) const;

    /// A target terminated during a run with these parts, before the first event. Returns the parts whose
    /// records have changed. `repeated` tells that a target has terminated under the same request before: for
    /// parts that were answered in other requests, further ones are no evidence.
    std::vector<prompt_part> targetTerminated(std::span<const prompt_part> parts, std::string_view targetId,
        steady_time now, bool repeated = false);
    /// A request with these parts was answered completely. Returns the parts that this acquits.
    std::vector<prompt_part> answered(std::span<const prompt_part> parts, steady_time now);
    /// A run of a refused part is allowed: the time for which it is refused begins anew.
    void trialAllowed(prompt_part part, steady_time now);

    struct merge_outcome {
        bool changed = false;
        bool acquitted = false; ///< The report contradicts an answer that this process has seen.
    };
    merge_outcome merge(const suspect_report& report, steady_time now);
    /// Drops records that have not changed for their retention time.
    void expire(steady_time now);
    /// The records to send to other processes, up to a limit.
    std::vector<suspect_report> reports(steady_time now) const;
    std::optional<suspect_report> report(prompt_part part, steady_time now) const;

private:
    struct suspect {
        std::uint32_t acquittals = 0;
        std::vector<target_hash> targets; ///< Since the last acquittal; in ascending order.
        std::uint32_t trials = 0;
        steady_time changed;
        std::optional<steady_time> acquitted; ///< When this process learned of the last acquittal.
    };
    using suspect_map = std::map<prompt_part, suspect>;
    /// Targets that are attributed to a part, or to each of several that they do not tell apart.
    struct attribution {
        std::size_t targets = 0;
        std::vector<prompt_part> parts; ///< In ascending order.
    };

    /// Times of the latest answers. The older half is dropped when the newer one is full.
    struct answer_times {
        std::unordered_map<std::uint64_t, steady_time> newer;
        std::unordered_map<std::uint64_t, steady_time> older;
    };

    bool answeredSinceAcquittal(prompt_part part, steady_time now) const;
    bool everAcquitted(prompt_part part) const;
    std::optional<steady_time> lastAnswer(prompt_part part) const;
    bool targetRecorded(target_hash target) const;
    void acquit(prompt_part part, steady_time now);
    suspect& change(prompt_part part, steady_time now);
    void evictLeastSuspect();
    const std::map<prompt_part, attribution>& attributions() const;
    std::map<prompt_part, attribution> attribute() const;

    suspect_map m_suspects;
    answer_times m_answers;
    mutable std::optional<std::map<prompt_part, attribution>> m_attributions; ///< Computed on first use.
};

/// Hash of the records, independent of their order and age; 0 for an empty list.
std::uint64_t digestOf(std::span<const suspect_report> reports);

} // namespace yuccachute
