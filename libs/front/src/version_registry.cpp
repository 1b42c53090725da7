#include "version_registry.h"

#include "logging/logging.h"

#include <set>
#include <utility>

namespace yuccachute {

namespace {

/// Longer than any stream lasts, so that no stream of an unrecorded version can still be resumed.
constexpr std::chrono::seconds recordRetention { 60 };

/// A record that cannot be decoded counts as one of another version.
service_version readValue(std::string_view value)
{
    auto decoded = decodeVersion(value);
    return decoded ? std::move(decoded.value()) : service_version { std::string(value), "" };
}

} // namespace

void version_registry::targetsChanged(std::span<const target_change> changes, steady_time now)
{
    m_listed.apply(changes, true, now);
    for (auto& [version, record] : m_records) {
        if (m_listed.listed(version))
            record.unlistedSince.reset();
        else if (!record.unlistedSince)
            record.unlistedSince = now;
    }
    updateListedVersions();
}

void version_registry::setRecorded(std::span<const service_version> recorded)
{
    m_recorded = { recorded.begin(), recorded.end() };
    updateListedVersions();
}

void version_registry::updateListedVersions()
{
    std::map<std::string, listed_versions> versions;
    for (const auto& listed : m_listed.allListed()) {
        auto& known = versions[listed.service];
        if (!m_recorded.contains(listed))
            known.anyUnrecorded = true;
        else if (m_listed.acceptsRequests(listed))
            known.recorded.push_back(listed.version);
    }
    for (const auto& [service, known] : versions) {
        const auto former = m_listedVersions.find(service);
        const bool restricted = former != m_listedVersions.end() && former->second.restricted();
        if (known.restricted() != restricted)
            logEvent(log_level::info,
                known.restricted() ? "streams begin at recorded software versions only"
                                   : "streams begin at any software version",
                { { "service", service }, { "recorded", static_cast<std::int64_t>(known.recorded.size()) } });
    }
    m_listedVersions = std::move(versions);
}

std::optional<std::string> version_registry::versionToBegin(
    const std::string& service, const std::optional<std::string>& granted)
{
    const auto found = m_listedVersions.find(service);
    if (found == m_listedVersions.end() || found->second.recorded.empty())
        return std::nullopt;
    const auto& [recorded, anyUnrecorded] = found->second;
    const bool anyWillDo = granted ? m_recorded.contains({ service, *granted }) : !anyUnrecorded;
    return anyWillDo ? std::nullopt : std::optional(recorded[m_turn++ % recorded.size()]);
}

void version_registry::update(steady_time now)
{
    if (m_loaded != load_state::loaded)
        return loadRecords();
    writeMissing();
    for (auto& [version, record] : m_records) {
        if (m_listed.listed(version))
            continue;
        if (!record.unlistedSince)
            record.unlistedSince = now;
        if (record.revision != 0 && !record.busy && now - *record.unlistedSince >= recordRetention)
            remove(version);
    }
    std::erase_if(m_records, [this](const auto& entry) {
        return entry.second.revision == 0 && !entry.second.busy && !m_listed.listed(entry.first);
    });
}

void version_registry::writeMissing()
{
    for (const auto& listed : m_listed.allListed()) {
        const auto& record = m_records[listed];
        if (record.revision == 0 && !record.busy)
            write(listed);
    }
}

void version_registry::loadRecords()
{
    if (std::exchange(m_loaded, load_state::loading) == load_state::loading)
        return;
    m_store.list(versionsPrefix, [this, alive = std::weak_ptr(m_alive)](result<store_listing> listing) {
        if (alive.expired())
            return;
        m_loaded = listing ? load_state::loaded : load_state::unknown;
        if (!listing)
            return;
        for (const auto& entry : listing.value().values)
            m_records[readValue(entry.value)].revision = entry.modRevision;
        writeMissing();
    });
}

void version_registry::write(const service_version& listed)
{
    m_records[listed].busy = true;
    store_transaction transaction;
    const auto key = versionKey(listed);
    transaction.conditions.push_back({ store_condition::kind::absent, key, 0 });
    transaction.writes.push_back({ key, encodeVersion(listed), 0 });
    m_store.commit(
        transaction, [this, alive = std::weak_ptr(m_alive), listed](result<commit_outcome> outcome) {
            if (alive.expired())
                return;
            auto& record = m_records[listed];
            record.busy = false;
            if (!outcome)
                return;
            if (outcome.value().applied)
                record.revision = outcome.value().revision;
            else if (!outcome.value().found.empty())
                record.revision = outcome.value().found.front().modRevision;
        });
}

void version_registry::remove(const service_version& unlisted)
{
    auto& record = m_records[unlisted];
    record.busy = true;
    store_transaction transaction;
    const auto key = versionKey(unlisted);
    // Another process may have removed the record, and written it again for a target that was listed since.
    transaction.conditions.push_back({ store_condition::kind::mod_revision, key, record.revision });
    transaction.removals.push_back({ key, false });
    m_store.commit(
        transaction, [this, alive = std::weak_ptr(m_alive), unlisted](result<commit_outcome> outcome) {
            if (alive.expired())
                return;
            auto& record = m_records[unlisted];
            record.busy = false;
            if (!outcome)
                return;
            record.revision = 0; // Written again if the version is listed.
            logEvent(log_level::info, "software version no longer listed",
                { { "service", unlisted.service }, { "version", unlisted.version } });
        });
}

void version_registry::findOnlyVersion(const std::string& service, only_version_callback done)
{
    auto& reads = m_reads[service];
    // A call that was sent earlier could have missed a version that has been listed since.
    reads.next.push_back(std::move(done));
    if (reads.current.empty())
        readFor(service);
}

void version_registry::readFor(const std::string& service)
{
    auto& reads = m_reads[service];
    reads.current = std::exchange(reads.next, {});
    m_store.list(versionsPrefixOf(service),
        [this, alive = std::weak_ptr(m_alive), service](result<store_listing> listing) {
            if (alive.expired())
                return;
            const auto answered = std::exchange(m_reads[service].current, {});
            if (!m_reads[service].next.empty())
                readFor(service);
            else
                m_reads.erase(service);
            const auto outcome = onlyVersion(service, listing);
            for (const auto& done : answered)
                done(outcome);
        });
}

result<std::optional<std::string>> version_registry::onlyVersion(
    const std::string& service, const result<store_listing>& listing) const
{
    if (!listing)
        return listing.error();
    if (listing.value().values.empty())
        return std::optional<std::string>();
    std::set<std::string> versions;
    for (const auto& listed : m_listed.allListed()) {
        if (listed.service == service)
            versions.insert(listed.version);
    }
    for (const auto& entry : listing.value().values)
        versions.insert(readValue(entry.value).version);
    return versions.size() == 1 ? std::optional(*versions.begin()) : std::nullopt;
}

} // namespace yuccachute
