#include "share_loans.h"

#include <algorithm>

namespace yuccachute {

namespace {

/// The borrower stops using a loan this long before its end, because it checks loans only periodically.
constexpr milliseconds loanEndMargin { 50 };

} // namespace

std::uint64_t toStamp(steady_time time)
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch()).count());
}

steady_time loanEnd(std::uint64_t requestStamp, milliseconds validFor)
{
    const auto requested
        = steady_time { std::chrono::microseconds { static_cast<std::int64_t>(requestStamp) } };
    return requested + validFor - loanEndMargin;
}

share_lender::loan share_lender::lend(const std::string& borrower, const terms& terms, steady_time now)
{
    removeExpired(now);
    auto& state = m_borrowers[borrower];
    state.activeUntil = now + terms.validFor;
    double granting = terms.lenderGrants ? 1 : 0;
    double lentToOthers = 0;
    for (const auto& [vm, other] : m_borrowers) {
        granting += now < other.activeUntil ? 1 : 0;
        lentToOthers += vm == borrower ? 0 : other.lent();
    }
    const double share = terms.ownShare / granting;
    const double kept = terms.lenderGrants ? share : 0;
    loan granted;
    granted.share = std::clamp(terms.ownShare - lentToOthers - kept, 0.0, share);
    granted.added = std::max(0.0, granted.share - state.lent());
    while (!state.commitments.empty() && state.commitments.back().share <= granted.share)
        state.commitments.pop_back();
    state.commitments.push_back({ granted.share, now + terms.validFor });
    return granted;
}

void share_lender::removeExpired(steady_time now)
{
    for (auto& [vm, borrower] : m_borrowers) {
        while (!borrower.commitments.empty() && borrower.commitments.front().until <= now)
            borrower.commitments.pop_front();
    }
    std::erase_if(m_borrowers, [&](const auto& entry) {
        return entry.second.commitments.empty() && entry.second.activeUntil <= now;
    });
}

void share_lender::removePeer(std::string_view borrower)
{
    const auto found = m_borrowers.find(borrower);
    if (found != m_borrowers.end())
        m_borrowers.erase(found);
}

double share_lender::lent(steady_time now)
{
    removeExpired(now);
    double sum = 0;
    for (const auto& [vm, borrower] : m_borrowers)
        sum += borrower.lent();
    return sum;
}

double share_lender::borrowerCount(steady_time now) const
{
    return static_cast<double>(std::count_if(m_borrowers.begin(), m_borrowers.end(),
        [&](const auto& entry) { return now < entry.second.activeUntil; }));
}

bool share_lender::lendsTo(std::string_view borrower, steady_time now) const
{
    const auto found = m_borrowers.find(borrower);
    return found != m_borrowers.end() && now < found->second.activeUntil;
}

bool share_borrower::acceptLoan(const std::string& lender, const share_loan& loan, steady_time now)
{
    const auto until = loanEnd(loan.requestStamp, loan.validFor);
    const auto known = m_loans.find(lender);
    const bool outdated = known != m_loans.end() && known->second.requestStamp >= loan.requestStamp;
    if (until <= now || outdated)
        return false;
    m_loans[lender] = { loan.share, loan.requestStamp, until };
    return true;
}

void share_borrower::removePeer(std::string_view lender)
{
    const auto found = m_loans.find(lender);
    if (found != m_loans.end())
        m_loans.erase(found);
}

double share_borrower::borrowed(steady_time now)
{
    std::erase_if(m_loans, [&](const auto& entry) { return entry.second.until <= now; });
    double sum = 0;
    for (const auto& [vm, loan] : m_loans)
        sum += loan.share;
    return sum;
}

} // namespace yuccachute
