#include "bulk/bulk.h"

#include <algorithm>
#include <numeric>

namespace yuccachute {

namespace {

/// Without a delay, an item that every target aborts would run hundreds of times per second until it expires.
constexpr milliseconds initialRetryDelay { 100 };
constexpr milliseconds maxRetryDelay { 2000 };
constexpr unsigned maxRetryDelayDoublings = 5;

/// An item that has expired while it runs is checked again after this time.
constexpr milliseconds expiryCheckInterval { 1000 };

/// Keeps an encoded group below the size limit of a value in the store.
constexpr std::size_t maxGroupBytes = 400u << 10;

std::string joinWithLineFeeds(const std::vector<std::string>& lines)
{
    std::string joined;
    for (std::size_t i = 0; i < lines.size(); ++i) {
        if (i > 0)
            joined += '\n';
        joined += lines[i];
    }
    return joined;
}

} // namespace

bulk_job::bulk_job(bulk_record record, steady_time due)
    : m_record(std::move(record))
    , m_due(due)
    , m_items(m_record.items.size())
    , m_waiting(m_record.items.size())
{
    std::iota(m_waiting.begin(), m_waiting.end(), 0u);
}

void bulk_job::addCommitted(const bulk_result_group& group)
{
    ++m_groups;
    for (const auto& entry : group.results) {
        if (entry.index >= m_items.size())
            continue; // Impossible: all holders write groups for the same record.
        m_items[entry.index].hasResult = true;
        std::erase(m_waiting, entry.index);
        std::erase_if(m_uncommitted, [&](const auto& finished) { return finished.index == entry.index; });
        m_committedResults.push_back(entry);
    }
    m_pendingGroup.reset(); // Must come last: `group` may refer to it.
}

std::deque<std::uint32_t>::const_iterator bulk_job::mostAdvancedItem() const
{
    return std::max_element(m_waiting.begin(), m_waiting.end(), [&](std::uint32_t left, std::uint32_t right) {
        return m_items[left].events.size() < m_items[right].events.size();
    });
}

void bulk_job::dropItemBodies()
{
    m_bodiesDropped = true;
    for (auto& item : m_record.items)
        item.body = {};
}

std::size_t bulk_job::nextItemEvents() const
{
    return m_waiting.empty() ? 0 : m_items[*mostAdvancedItem()].events.size();
}

std::vector<item_progress> bulk_job::progress() const
{
    std::vector<item_progress> all;
    for (std::uint32_t index = 0; index < m_items.size(); ++index) {
        const auto& item = m_items[index];
        if (!item.hasResult && item.lastEvent)
            all.push_back({ index, *item.lastEvent, item.events, item.version, item.service });
    }
    return all;
}

std::size_t bulk_job::bufferedEvents() const
{
    return std::accumulate(m_items.begin(), m_items.end(), std::size_t { 0 },
        [](std::size_t sum, const item_state& item) { return sum + item.events.size(); });
}

void bulk_job::restore(std::vector<item_progress> saved)
{
    for (auto& one : saved) {
        if (one.index >= m_items.size() || m_items[one.index].hasResult)
            continue; // A result was committed after this progress was saved.
        if (one.events.size() != one.lastEvent)
            continue; // A part of the item's text is missing, so it begins anew.
        m_items[one.index].lastEvent = one.lastEvent;
        m_items[one.index].events = std::move(one.events);
        m_items[one.index].version = std::move(one.version);
        m_items[one.index].service = std::move(one.service);
    }
}

std::optional<bulk_item_start> bulk_job::next()
{
    if (m_waiting.empty())
        return std::nullopt;
    const auto chosen = mostAdvancedItem();
    const auto index = *chosen;
    m_waiting.erase(chosen);
    m_items[index].running = true;
    ++m_running;
    return bulk_item_start { index, m_items[index].lastEvent, m_items[index].version,
        m_items[index].service };
}

void bulk_job::setOrigin(
    std::uint32_t index, const std::optional<std::string>& version, const std::string& service)
{
    auto& item = m_items[index];
    if (item.lastEvent)
        return;
    item.version = version;
    item.service = service;
}

void bulk_job::discardEvents(std::uint32_t index)
{
    auto& item = m_items[index];
    item.events.clear();
    item.lastEvent.reset();
    item.version.reset();
    item.service.reset();
}

bool bulk_job::addEvent(std::uint32_t index, std::optional<std::uint64_t> id, std::string data)
{
    auto& item = m_items[index];
    if (!id || *id != item.lastEvent.value_or(0) + 1)
        return false;
    item.lastEvent = id;
    item.events.push_back(std::move(data));
    return true;
}

void bulk_job::finishRun(std::uint32_t index, run_outcome outcome, unsigned maxAttempts, steady_time now)
{
    auto& item = m_items[index];
    if (item.running)
        --m_running;
    item.running = false;
    if (item.hasResult)
        return;
    switch (outcome) {
    case run_outcome::completed:
        return finishItem(index, true, now);
    case run_outcome::rejected:
        return finishItem(index, false, now);
    case run_outcome::failed:
        if (++item.failures >= maxAttempts)
            return finishItem(index, false, now);
        break;
    case run_outcome::interrupted:
    case run_outcome::aborted:
        break;
    }
    m_waiting.push_back(index);
}

void bulk_job::finishItem(std::uint32_t index, bool done, steady_time now)
{
    auto& item = m_items[index];
    item.hasResult = true;
    if (m_uncommitted.empty())
        m_uncommittedSince = now;
    m_uncommitted.push_back({ index, done, done ? joinWithLineFeeds(item.events) : std::string() });
    item.events.clear();
}

void bulk_job::abandon(std::uint32_t index, steady_time now)
{
    auto& item = m_items[index];
    std::erase(m_waiting, index);
    if (item.running)
        --m_running;
    item.running = false;
    if (!item.hasResult)
        finishItem(index, false, now);
}

steady_time bulk_job::expire(const std::function<steady_time(std::uint32_t)>& expiryOf, steady_time now)
{
    auto next = steady_time::max();
    for (std::uint32_t index = 0; index < m_items.size(); ++index) {
        if (m_items[index].hasResult)
            continue;
        const auto expiry = expiryOf(index);
        if (now < expiry)
            next = std::min(next, expiry);
        else if (m_items[index].running)
            next = std::min(next, now + expiryCheckInterval);
        else
            abandon(index, now);
    }
    return next;
}

const bulk_result_group& bulk_job::nextGroup(std::string_view token)
{
    if (m_pendingGroup)
        return *m_pendingGroup;
    m_pendingGroup.emplace();
    m_pendingGroup->token = token;
    std::size_t bytes = 0;
    for (const auto& finished : m_uncommitted) {
        bytes += finished.text.size();
        if (bytes > maxGroupBytes && !m_pendingGroup->results.empty())
            break;
        m_pendingGroup->results.push_back(finished);
    }
    return *m_pendingGroup;
}

bool bulk_job::completes(const bulk_result_group& group) const
{
    return m_committedResults.size() + group.results.size() == m_record.items.size();
}

std::uint64_t bulk_job::tokensRemainingAfter(const bulk_result_group& group) const
{
    auto left = tokensOf(m_record);
    for (const auto& entry : m_committedResults)
        left -= m_record.items[entry.index].tokens;
    for (const auto& entry : group.results)
        left -= m_record.items[entry.index].tokens;
    return left;
}

milliseconds retryDelayAfterAborts(unsigned aborts)
{
    if (aborts < maxAbortsChargedToTarget)
        return milliseconds { 0 };
    const auto doublings = std::min(aborts - maxAbortsChargedToTarget, maxRetryDelayDoublings);
    return std::min(initialRetryDelay * (1 << doublings), maxRetryDelay);
}

} // namespace yuccachute
