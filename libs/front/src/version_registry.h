#pragma once

#include "fleet/fleet.h"
#include "origins/origins.h"
#include "routing/routing.h"
#include "store/store.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>

namespace yuccachute {

/// Records in the store which software versions of a service have been listed recently.
///
/// After all processes have been killed, the origins of streams are lost. The list of targets is not
/// sufficient, because the last target of a version may have left it since. If these records name a single
/// version, the stream began there. Each version has a key of its own, so that processes do not race for a
/// common one.
///
/// A stream that begins at a version without a record could be continued at another one after such a kill. So
/// streams that can be resumed begin only at recorded versions while targets of one accept requests.
class version_registry {
public:
    explicit version_registry(async_store& store)
        : m_store(store)
    {
    }

    void targetsChanged(std::span<const target_change> changes, steady_time now);
    /// Writes missing records and removes outdated ones. To be called a few times a second by the processes
    /// that follow the store.
    void update(steady_time now);

    /// Replaces what this process knows of the records in the store.
    void setRecorded(std::span<const service_version> recorded);
    /// The version at which a stream of the service must begin; unset if that of the granted target will do,
    /// or, before a slot is granted, any listed one.
    std::optional<std::string> versionToBegin(
        const std::string& service, const std::optional<std::string>& granted);

    /// Has a value if the service has only one version; a failure if the store does not answer.
    using only_version_callback = std::function<void(result<std::optional<std::string>>)>;
    /// Reads the records from the store. The call is sent after the question.
    void findOnlyVersion(const std::string& service, only_version_callback done);

private:
    struct record {
        std::int64_t revision = 0; ///< 0 while the record is not known to exist.
        bool busy = false; ///< A call about it is pending.
        std::optional<steady_time> unlistedSince;
    };

    /// The listed versions of a service, by what is known of their records.
    struct listed_versions {
        std::vector<std::string> recorded; ///< Of targets that accept requests.
        bool anyUnrecorded = false;
        bool restricted() const { return anyUnrecorded && !recorded.empty(); }
    };

    void updateListedVersions();
    void loadRecords();
    void writeMissing();
    void write(const service_version& listed);
    void remove(const service_version& unlisted);
    void readFor(const std::string& service);
    result<std::optional<std::string>> onlyVersion(
        const std::string& service, const result<store_listing>& listing) const;

    async_store& m_store;
    version_history m_listed;
    std::map<service_version, record> m_records;
    std::set<service_version> m_recorded;
    std::map<std::string, listed_versions> m_listedVersions; ///< By service.
    std::size_t m_turn = 0; ///< Distributes streams among recorded versions.
    enum class load_state : std::uint8_t { unknown, loading, loaded };
    load_state m_loaded = load_state::unknown;
    struct pending_reads {
        std::vector<only_version_callback> current; ///< Answered by the pending call.
        std::vector<only_version_callback> next; ///< Arrived after it was sent.
    };
    std::map<std::string, pending_reads> m_reads; ///< By service.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace yuccachute
