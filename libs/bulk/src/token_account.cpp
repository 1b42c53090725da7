#include "bulk/bulk.h"

#include "json_input/json_input.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace yuccachute {

namespace {

using nlohmann::json;

/// Maximum number of jobs in an account. It exceeds the number of jobs created between two periodic listings
/// of a process, which are 2 s apart. A process with an older listing must list again.
constexpr std::size_t maxRecentJobs = 64;

} // namespace

result<token_account> token_account::decode(std::string_view bytes, std::int64_t revision)
{
    token_account account;
    account.m_revision = revision;
    if (revision == 0)
        return account;
    const auto document = parseJson(bytes);
    try {
        account.m_trimmedRevision = document.at("covered_to").get<std::int64_t>();
        for (const auto& entry : document.at("latest"))
            account.m_recentJobs.push_back({ entry.at(0).get<std::string>(), entry.at(1).get<std::uint64_t>(),
                entry.at(2).get<std::int64_t>() });
    } catch (const json::exception& error) {
        return notRun(
            failure_kind::internal, std::string("the token account of a route is corrupt: ") + error.what());
    }
    if (!account.m_recentJobs.empty())
        account.m_recentJobs.back().revision = revision;
    return account;
}

std::string token_account::encode() const
{
    auto latest = json::array();
    for (const auto& entry : m_recentJobs)
        latest.push_back({ entry.job, entry.tokens, entry.revision });
    return json { { "covered_to", m_trimmedRevision }, { "latest", std::move(latest) } }.dump();
}

std::uint64_t token_account::pendingTokens(const open_claims& listed) const
{
    std::uint64_t tokens = 0;
    for (const auto& [job, left] : listed.tokens)
        tokens += left;
    for (const auto& entry : m_recentJobs) {
        // A job that the listing should contain and does not is finished.
        if (entry.revision > listed.revision && !listed.tokens.contains(entry.job))
            tokens += entry.tokens;
    }
    return tokens;
}

token_account token_account::withJob(std::string_view job, std::uint64_t tokens) const
{
    auto next = *this;
    next.m_recentJobs.push_back({ std::string(job), tokens, 0 });
    const auto surplus = next.m_recentJobs.size() - std::min(next.m_recentJobs.size(), maxRecentJobs);
    if (surplus > 0) {
        const auto end = next.m_recentJobs.begin() + static_cast<std::ptrdiff_t>(surplus);
        next.m_trimmedRevision = std::max(next.m_trimmedRevision, (end - 1)->revision);
        next.m_recentJobs.erase(next.m_recentJobs.begin(), end);
    }
    return next;
}

} // namespace yuccachute
