#include "share_loans.h"

#include <algorithm>

namespace yuccachute {

namespace {

/// The borrower stops using a loan so long before its end: it looks at it now and then only.
constexpr milliseconds endMargin { 50 };

} // namespace

std::uint64_t toStamp(steady_time time)
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch()).count());
}

steady_time loanEnd(std::uint64_t requestStamp, milliseconds validFor)
{
    const auto asked = steady_time { std::chrono::microseconds { static_cast<std::int64_t>(requestStamp) } };
    return asked + validFor - endMargin;
}

share_lender::loan share_lender::lend(const std::string& borrower, const terms& terms, steady_time now)
{
    forgetPast(now);
    auto& state = m_borrowers[borrower];
    state.asksUntil = now + terms.validFor;
    double users = terms.keepsShare ? 1 : 0;
    double lentToOthers = 0;
    for (const auto& [vm, other] : m_borrowers) {
        users += now < other.asksUntil ? 1 : 0;
        lentToOthers += vm == borrower ? 0 : other.lent();
    }
    const double share = terms.owned / users;
    const double kept = terms.keepsShare ? share : 0;
    loan given;
    given.share = std::clamp(terms.owned - lentToOthers - kept, 0.0, share);
    given.added = std::max(0.0, given.share - state.lent());
    while (!state.promises.empty() && state.promises.back().share <= given.share)
        state.promises.pop_back();
    state.promises.push_back({ given.share, now + terms.validFor });
    return given;
}

void share_lender::forgetPast(steady_time now)
{
    for (auto& [vm, borrower] : m_borrowers) {
        while (!borrower.promises.empty() && borrower.promises.front().until <= now)
            borrower.promises.pop_front();
    }
    std::erase_if(m_borrowers,
        [&](const auto& entry) { return entry.second.promises.empty() && entry.second.asksUntil <= now; });
}

void share_lender::forget(std::string_view borrower)
{
    const auto found = m_borrowers.find(borrower);
    if (found != m_borrowers.end())
        m_borrowers.erase(found);
}

double share_lender::lent(steady_time now)
{
    forgetPast(now);
    double sum = 0;
    for (const auto& [vm, borrower] : m_borrowers)
        sum += borrower.lent();
    return sum;
}

double share_lender::borrowers(steady_time now) const
{
    return static_cast<double>(std::count_if(m_borrowers.begin(), m_borrowers.end(),
        [&](const auto& entry) { return now < entry.second.asksUntil; }));
}

bool share_lender::lendsTo(std::string_view borrower, steady_time now) const
{
    const auto found = m_borrowers.find(borrower);
    return found != m_borrowers.end() && now < found->second.asksUntil;
}

bool share_borrower::take(const std::string& lender, const share_loan& loan, steady_time now)
{
    const auto until = loanEnd(loan.requestStamp, loan.validFor);
    const auto known = m_loans.find(lender);
    const bool outdated = known != m_loans.end() && known->second.requestStamp >= loan.requestStamp;
    if (until <= now || outdated)
        return false;
    m_loans[lender] = { loan.share, loan.requestStamp, until };
    return true;
}

void share_borrower::forget(std::string_view lender)
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
