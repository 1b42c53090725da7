#pragma once

#include "bulk_process/bulk_process.h"

#include <deque>
#include <map>
#include <vector>

namespace yuccachute {

/// In-memory store with the semantics of the platform's store. Requests and replies can be lost, and calls
/// can be executed late.
class fake_store final : public async_store {
public:
    enum class fault : std::uint8_t { none, refused, request_lost, reply_lost, executed_late };

    void get(std::string_view key, callback<std::optional<stored_value>> done) override
    {
        const auto found = values.find(key);
        done(found == values.end() ? std::nullopt : std::optional(found->second));
    }
    void list(std::string_view prefix, callback<store_listing> done) override
    {
        ++listings;
        store_listing listing;
        listing.revision = revision;
        for (const auto& [key, value] : values) {
            if (key.starts_with(prefix))
                listing.values.push_back(value);
        }
        done(listing);
    }
    void commit(const store_transaction& transaction, callback<commit_outcome> done) override
    {
        ++commits;
        const auto next = faults.empty() ? fault::none : faults.front();
        if (!faults.empty())
            faults.pop_front();
        switch (next) {
        case fault::refused:
            return done(notRun(failure_kind::unavailable, "503"));
        case fault::request_lost:
            return done(mayHaveRun(failure_kind::timeout, "no answer"));
        case fault::executed_late:
            late.push_back(transaction);
            return done(mayHaveRun(failure_kind::timeout, "no answer"));
        case fault::reply_lost:
            execute(transaction);
            return done(mayHaveRun(failure_kind::timeout, "no answer"));
        case fault::none:
            return done(execute(transaction));
        }
    }
    void waitForChange(std::string_view, std::int64_t, milliseconds, callback<store_changes>) override { }
    void grantLease(milliseconds, callback<std::int64_t>) override { }
    void renewLease(std::int64_t, callback<bool>) override { }
    void endLease(std::int64_t, callback<bool>) override { }

    commit_outcome execute(const store_transaction& transaction)
    {
        for (const auto& condition : transaction.conditions) {
            const auto found = values.find(condition.key);
            const auto at = found == values.end() ? 0 : found->second.modRevision;
            const auto wanted = condition.what == store_condition::kind::absent ? 0 : condition.revision;
            if (at != wanted)
                return { false, revision,
                    returnsConditionKeys ? conditionKeys(transaction) : std::vector<stored_value>() };
        }
        ++revision;
        for (const auto& write : transaction.writes)
            values[write.key] = { write.key, write.value, revision, revision, write.lease };
        for (const auto& removal : transaction.removals)
            values.erase(removal.key);
        return { true, revision, {} };
    }
    void executeDelayed()
    {
        for (const auto& transaction : std::exchange(late, {}))
            execute(transaction);
    }

    std::vector<stored_value> conditionKeys(const store_transaction& transaction) const
    {
        std::vector<stored_value> found;
        for (const auto& condition : transaction.conditions) {
            const auto known = values.find(condition.key);
            if (known != values.end())
                found.push_back(known->second);
        }
        return found;
    }

    std::map<std::string, stored_value, std::less<>> values;
    /// Whether a failed transaction returns the values of its conditions' keys.
    bool returnsConditionKeys = true;
    std::deque<fault> faults;
    std::vector<store_transaction> late;
    std::int64_t revision = 10;
    unsigned listings = 0;
    unsigned commits = 0;
};

} // namespace yuccachute
