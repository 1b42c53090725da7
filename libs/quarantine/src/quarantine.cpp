#include "quarantine/quarantine.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <tuple>

namespace yuccachute {

namespace {

/// A single strike does not make a request suspect: the target may have terminated for another reason, such
/// as another request that ran there.
constexpr std::uint32_t suspectThreshold = 2;
constexpr std::uint32_t refusalThreshold = 3;
/// After this time the request may run once more, because a new version of the service may handle it. If it
/// does not, the run costs one target.
constexpr std::chrono::minutes refusalDuration { 5 };
/// A record is dropped if it has not changed for this time.
constexpr std::chrono::minutes recordRetention { 15 };
/// An acquittal is kept for as long as an older strike may still be in transit between processes.
constexpr std::chrono::minutes acquittalRetention { 1 };
/// About 100 bytes each. If thousands of requests terminate targets, those with the fewest strikes are
/// evicted first.
constexpr std::size_t maxSuspects = 1024;
/// Maximum number of records in one message, of about 40 bytes each.
constexpr std::size_t maxReports = 64;

milliseconds since(steady_time then, steady_time now)
{
    return std::chrono::duration_cast<milliseconds>(std::max(now - then, steady_time::duration::zero()));
}

} // namespace

quarantine::status quarantine::statusOf(const request_identity& identity, steady_time now) const
{
    const auto found = m_suspects.find(identity);
    if (found == m_suspects.end() || found->second.record.strikes < suspectThreshold)
        return status::clear;
    const bool refused = found->second.record.strikes >= refusalThreshold
        && since(found->second.changed, now) < refusalDuration;
    return refused ? status::refused : status::suspect;
}

milliseconds quarantine::remainingRefusalTime(const request_identity& identity, steady_time now) const
{
    if (statusOf(identity, now) != status::refused)
        return milliseconds { 0 };
    return refusalDuration - since(m_suspects.at(identity).changed, now);
}

strike_record quarantine::record(const request_identity& identity) const
{
    const auto found = m_suspects.find(identity);
    return found == m_suspects.end() ? strike_record {} : found->second.record;
}

bool quarantine::targetTerminated(
    const request_identity& identity, const strike_record& recordWhenSent, steady_time now)
{
    const strike_record next { recordWhenSent.acquittals, recordWhenSent.strikes + 1 };
    if (!next.supersedes(record(identity)))
        return false;
    set(identity, next, now);
    return true;
}

bool quarantine::answered(const request_identity& identity, steady_time now)
{
    const auto known = record(identity);
    if (known.strikes == 0)
        return false;
    set(identity, { known.acquittals + 1, 0 }, now);
    return true;
}

bool quarantine::merge(const suspect_report& report, steady_time now)
{
    if (!report.record.supersedes(record(report.identity)) || report.age >= recordRetention)
        return false;
    set(report.identity, report.record, now - report.age);
    return true;
}

void quarantine::set(const request_identity& identity, const strike_record& record, steady_time changed)
{
    m_suspects.insert_or_assign(identity, suspect { record, changed });
    if (m_suspects.size() > maxSuspects)
        evictLeastSuspect();
}

void quarantine::evictLeastSuspect()
{
    const auto least
        = std::min_element(m_suspects.begin(), m_suspects.end(), [](const auto& left, const auto& right) {
              return std::tie(left.second.record.strikes, left.second.changed)
                  < std::tie(right.second.record.strikes, right.second.changed);
          });
    m_suspects.erase(least);
}

void quarantine::expire(steady_time now)
{
    std::erase_if(m_suspects, [&](const auto& one) {
        const milliseconds kept = one.second.record.strikes == 0 ? acquittalRetention : recordRetention;
        return since(one.second.changed, now) >= kept;
    });
}

std::vector<suspect_report> quarantine::reports(steady_time now) const
{
    std::vector<suspect_report> all;
    all.reserve(m_suspects.size());
    for (const auto& [identity, one] : m_suspects)
        all.push_back({ identity, one.record, since(one.changed, now) });
    if (all.size() <= maxReports)
        return all;
    std::nth_element(
        all.begin(), all.begin() + maxReports, all.end(), [](const auto& left, const auto& right) {
            return std::tie(right.record.strikes, left.age) < std::tie(left.record.strikes, right.age);
        });
    all.resize(maxReports);
    return all;
}

std::optional<suspect_report> quarantine::report(const request_identity& identity, steady_time now) const
{
    const auto found = m_suspects.find(identity);
    if (found == m_suspects.end())
        return std::nullopt;
    return suspect_report { identity, found->second.record, since(found->second.changed, now) };
}

bool supersedes(const suspect_report& first, const suspect_report& second)
{
    if (first.record.acquittals != second.record.acquittals)
        return first.record.acquittals > second.record.acquittals;
    if (!promptPartOf(first.identity))
        return first.record.supersedes(second.record);
    const auto lacks = [&](target_hash target) {
        const bool full = second.targets.size() >= maxRecordedTargets;
        return !std::binary_search(second.targets.begin(), second.targets.end(), target)
            && (!full || target < second.targets.back());
    };
    return first.trials > second.trials || std::any_of(first.targets.begin(), first.targets.end(), lacks);
}

std::uint64_t digestOf(std::span<const suspect_report> reports)
{
    std::uint64_t digest = 0;
    for (const auto& report : reports) {
        const std::array<std::uint64_t, 4> words { report.identity.high, report.identity.low,
            report.record.acquittals, report.record.strikes };
        digest ^= XXH3_64bits(words.data(), sizeof words);
        for (const auto target : report.targets)
            digest ^= XXH3_64bits_withSeed(&target, sizeof target, report.identity.low);
        if (report.trials != 0)
            digest ^= XXH3_64bits_withSeed(&report.trials, sizeof report.trials, report.identity.low);
    }
    return digest;
}

} // namespace yuccachute
