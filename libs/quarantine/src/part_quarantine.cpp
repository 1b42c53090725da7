#include "quarantine/quarantine.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace yuccachute {

namespace {

/// Fewer targets may have terminated for other reasons.
constexpr std::size_t suspectThreshold = 2;
constexpr std::size_t refusalThreshold = 3;
/// Time for which a part is refused before a trial, and its factor for each trial that has failed. Each trial
/// may terminate one more target.
constexpr std::chrono::minutes firstRefusalDuration { 1 };
constexpr int refusalGrowth = 4;
constexpr std::chrono::minutes maxRefusalDuration { 5 };
/// The first trial of a part that was answered before it is refused. Most of these are sound, and requests
/// with them, which may be all requests, are refused until the trial; a harmful one costs one more target.
constexpr std::chrono::seconds acquittedRefusalDuration { 1 };
/// For records, and for answers as evidence. Longer than a part is refused.
constexpr std::chrono::minutes retention { 15 };
/// About 200 bytes each.
constexpr std::size_t maxSuspects = 512;
constexpr std::size_t maxReports = 64;
/// About 50 bytes each, twice.
constexpr std::size_t maxAnswers = 8192;

milliseconds since(steady_time then, steady_time now)
{
    return std::chrono::duration_cast<milliseconds>(std::max(now - then, steady_time::duration::zero()));
}

milliseconds refusalDuration(std::uint32_t trials, std::uint32_t acquittals)
{
    if (acquittals > 0) {
        if (trials == 0)
            return acquittedRefusalDuration;
        --trials;
    }
    milliseconds duration = firstRefusalDuration;
    for (std::uint32_t i = 0; i < trials && duration < maxRefusalDuration; ++i)
        duration *= refusalGrowth;
    return std::min<milliseconds>(duration, maxRefusalDuration);
}

/// Adds a target to a record in ascending order. Returns whether this changes the record.
bool addTarget(std::vector<target_hash>& targets, target_hash target)
{
    const auto position = std::lower_bound(targets.begin(), targets.end(), target);
    if (position != targets.end() && *position == target)
        return false;
    if (position == targets.end() && targets.size() >= maxRecordedTargets)
        return false;
    targets.insert(position, target);
    if (targets.size() > maxRecordedTargets)
        targets.pop_back();
    return true;
}

std::vector<target_hash> difference(
    const std::vector<target_hash>& left, const std::vector<target_hash>& right)
{
    std::vector<target_hash> rest;
    std::set_difference(left.begin(), left.end(), right.begin(), right.end(), std::back_inserter(rest));
    return rest;
}

} // namespace

part_quarantine::assessment part_quarantine::assess(std::span<const prompt_part> parts, steady_time now) const
{
    assessment worst;
    if (m_suspects.empty())
        return worst;
    for (const auto part : parts) {
        const auto blamed = attributions().find(part);
        if (blamed == attributions().end() || blamed->second.targets < suspectThreshold)
            continue;
        const auto& alternatives = blamed->second.parts;
        const bool hasAll = std::all_of(alternatives.begin(), alternatives.end(),
            [&](const auto other) { return std::find(parts.begin(), parts.end(), other) != parts.end(); });
        assessment found { quarantine::status::suspect, part };
        if (blamed->second.targets >= refusalThreshold && hasAll) {
            const auto& record = m_suspects.at(part);
            const auto remaining
                = refusalDuration(record.trials, record.acquittals) - since(record.changed, now);
            found.status = quarantine::status::refused;
            found.remainingRefusal = std::max(remaining, milliseconds { 0 });
            found.trialDue = remaining.count() <= 0;
        }
        const auto rank = [](const assessment& one) { return std::tuple(one.status, !one.trialDue); };
        if (rank(found) > rank(worst))
            worst = found;
    }
    return worst;
}

bool part_quarantine::hasStrikes(std::span<const prompt_part> parts) const
{
    return std::any_of(parts.begin(), parts.end(), [&](const auto part) {
        const auto found = m_suspects.find(part);
        return found != m_suspects.end() && !found->second.targets.empty();
    });
}

std::vector<prompt_part> part_quarantine::targetTerminated(
    std::span<const prompt_part> parts, std::string_view targetId, steady_time now, bool repeated)
{
    const auto target = hashTarget(targetId);
    std::vector<prompt_part> unanswered;
    std::copy_if(parts.begin(), parts.end(), std::back_inserter(unanswered), [&](const auto part) {
        return !answeredSinceAcquittal(part, now) && !(repeated && everAcquitted(part));
    });
    std::vector<prompt_part> changed;
    if (unanswered.empty()) {
        if (repeated)
            return changed;
        // Another request on the target explains its end. Otherwise the parts may have become harmful since
        // their last answers, which therefore count only once.
        if (targetRecorded(target))
            return changed;
        for (const auto part : parts) {
            acquit(part, now);
            changed.push_back(part);
        }
        return changed;
    }
    for (const auto part : unanswered) {
        const auto known = m_suspects.find(part);
        auto targets = known == m_suspects.end() ? std::vector<target_hash>() : known->second.targets;
        if (!addTarget(targets, target))
            continue;
        change(part, now).targets = std::move(targets);
        changed.push_back(part);
    }
    return changed;
}

std::vector<prompt_part> part_quarantine::answered(std::span<const prompt_part> parts, steady_time now)
{
    std::vector<prompt_part> acquitted;
    for (const auto part : parts) {
        m_answers.newer[static_cast<std::uint64_t>(part)] = now;
        const auto found = m_suspects.find(part);
        if (found == m_suspects.end() || found->second.targets.empty())
            continue;
        acquit(part, now);
        acquitted.push_back(part);
    }
    if (m_answers.newer.size() >= maxAnswers) {
        m_answers.older = std::move(m_answers.newer);
        m_answers.newer = {};
    }
    return acquitted;
}

void part_quarantine::trialAllowed(prompt_part part, steady_time now)
{
    ++change(part, now).trials;
}

std::optional<steady_time> part_quarantine::lastAnswer(prompt_part part) const
{
    for (const auto* times : { &m_answers.newer, &m_answers.older }) {
        if (const auto found = times->find(static_cast<std::uint64_t>(part)); found != times->end())
            return found->second;
    }
    return std::nullopt;
}

bool part_quarantine::answeredSinceAcquittal(prompt_part part, steady_time now) const
{
    const auto answer = lastAnswer(part);
    if (!answer || since(*answer, now) >= retention)
        return false;
    const auto known = m_suspects.find(part);
    return known == m_suspects.end() || !known->second.acquitted || *answer > *known->second.acquitted;
}

bool part_quarantine::everAcquitted(prompt_part part) const
{
    const auto known = m_suspects.find(part);
    return known != m_suspects.end() && known->second.acquittals > 0;
}

bool part_quarantine::targetRecorded(target_hash target) const
{
    return std::any_of(m_suspects.begin(), m_suspects.end(), [&](const auto& entry) {
        return std::binary_search(entry.second.targets.begin(), entry.second.targets.end(), target);
    });
}

void part_quarantine::acquit(prompt_part part, steady_time now)
{
    auto& record = change(part, now);
    ++record.acquittals;
    record.targets.clear();
    record.trials = 0;
    record.acquitted = now;
}

part_quarantine::suspect& part_quarantine::change(prompt_part part, steady_time now)
{
    m_attributions.reset();
    if (m_suspects.size() >= maxSuspects && !m_suspects.contains(part))
        evictLeastSuspect();
    auto& record = m_suspects[part];
    record.changed = now;
    return record;
}

void part_quarantine::evictLeastSuspect()
{
    const auto least
        = std::min_element(m_suspects.begin(), m_suspects.end(), [](const auto& left, const auto& right) {
              return std::tuple(left.second.targets.size(), left.second.changed)
                  < std::tuple(right.second.targets.size(), right.second.changed);
          });
    m_suspects.erase(least);
}

const std::map<prompt_part, part_quarantine::attribution>& part_quarantine::attributions() const
{
    if (!m_attributions)
        m_attributions = attribute();
    return *m_attributions;
}

/// Greedy set cover: the part with most targets is blamed for all of them, then the part with most of those
/// that are left.
std::map<prompt_part, part_quarantine::attribution> part_quarantine::attribute() const
{
    struct candidate {
        prompt_part part;
        std::uint32_t acquittals;
        std::vector<target_hash> targets;
    };
    std::vector<candidate> open;
    for (const auto& [part, record] : m_suspects) {
        if (!record.targets.empty())
            open.push_back({ part, record.acquittals, record.targets });
    }
    std::map<prompt_part, attribution> blamed;
    while (!open.empty()) {
        // Parts that have never been acquitted come first. The order of the others is that of the map, so
        // that all processes decide alike.
        const auto leader
            = *std::min_element(open.begin(), open.end(), [](const auto& left, const auto& right) {
                  return left.targets.size() != right.targets.size()
                      ? left.targets.size() > right.targets.size()
                      : left.acquittals < right.acquittals;
              });
        attribution common { leader.targets.size(), {} };
        for (const auto& one : open) {
            if (one.targets == leader.targets && one.acquittals == leader.acquittals)
                common.parts.push_back(one.part);
        }
        for (const auto part : common.parts)
            blamed[part] = common;
        for (auto& one : open)
            one.targets = difference(one.targets, leader.targets);
        std::erase_if(open, [](const auto& one) { return one.targets.empty(); });
    }
    return blamed;
}

part_quarantine::merge_outcome part_quarantine::merge(const suspect_report& report, steady_time now)
{
    const auto part = promptPartOf(report.identity);
    if (!part || report.age >= retention)
        return {};
    const auto own = this->report(*part, now);
    if (own && !supersedes(report, *own))
        return {};
    const bool newer = !own || report.record.acquittals > own->record.acquittals;
    auto& record = change(*part, std::max(own ? now - own->age : steady_time::min(), now - report.age));
    if (newer) {
        if (report.record.acquittals > 0)
            record.acquitted = now;
        record.acquittals = report.record.acquittals;
        record.targets.clear();
        record.trials = 0;
    }
    for (const auto target : report.targets)
        addTarget(record.targets, target);
    record.trials = std::max(record.trials, report.trials);
    if (record.targets.empty() || !answeredSinceAcquittal(*part, now))
        return { true, false };
    acquit(*part, now);
    return { true, true };
}

void part_quarantine::expire(steady_time now)
{
    const auto removed = std::erase_if(
        m_suspects, [&](const auto& entry) { return since(entry.second.changed, now) >= retention; });
    if (removed > 0)
        m_attributions.reset();
}

std::vector<suspect_report> part_quarantine::reports(steady_time now) const
{
    std::vector<suspect_report> all;
    all.reserve(m_suspects.size());
    for (const auto& entry : m_suspects)
        all.push_back(*report(entry.first, now));
    if (all.size() <= maxReports)
        return all;
    std::nth_element(
        all.begin(), all.begin() + maxReports, all.end(), [](const auto& left, const auto& right) {
            return std::tuple(right.targets.size(), left.age) < std::tuple(left.targets.size(), right.age);
        });
    all.resize(maxReports);
    return all;
}

std::optional<suspect_report> part_quarantine::report(prompt_part part, steady_time now) const
{
    const auto found = m_suspects.find(part);
    if (found == m_suspects.end())
        return std::nullopt;
    const auto& record = found->second;
    return suspect_report { identityOf(part),
        { record.acquittals, static_cast<std::uint32_t>(record.targets.size()) }, since(record.changed, now),
        record.targets, record.trials };
}

} // namespace yuccachute
