#include "limits/limits.h"

#include "limit_roster.h"
#include "membership/membership.h"
#include "request_bucket.h"
#include "share_loans.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace yuccachute {

namespace {

/// Processes that grant ask all members for loans at this interval. Beyond so many members it grows with
/// them, and what a process sends does not.
constexpr milliseconds shortestAskInterval { 100 };
/// While the first loans are awaited: of the interval.
constexpr double firstAsksInterval = 0.25;
constexpr milliseconds longestAskInterval { 750 };
constexpr std::size_t membersAtShortestInterval = 16;
/// In intervals: two answers may be lost or late.
constexpr int loanIntervals = 4;
constexpr milliseconds shortestLoan { 600 };
/// A process grants until it has not been asked for so long. Customers that send little come again within it,
/// and find the tokens at the process that they come to.
constexpr milliseconds grantingFor { 30000 };
constexpr milliseconds partInterval { 20 };
constexpr milliseconds requestInterval { 40 };
constexpr milliseconds surveyInterval { 1000 };
/// Of its capacity, below which others are asked to fill a bucket up.
constexpr double lowLevel = 0.5;
/// A process that was not asked for a customer's tokens so long can do without them.
constexpr milliseconds unusedAfter { 100 };
/// A process whose bucket runs low says so several times within this time.
constexpr milliseconds lowFor { 500 };
constexpr milliseconds leastReturn { 50 };
constexpr milliseconds longestReturn { 5000 };
/// When to ask a process again that may not grant yet.
constexpr milliseconds noPartRetry { 250 };
/// Differences of parts that are rounding errors.
constexpr double noPart = 1e-9;

/// The tokens of a part of the limit.
double tokensOf(const request_bucket& bucket, double share, std::uint32_t fillPercent)
{
    return bucket.fullCapacity() * share * fillPercent / 100.0;
}

/// How many tokens to pass on, so that `users` processes that each answer alike hold equally many.
double tokensToPass(const request_bucket& bucket, const customer_level& theirs, double users, steady_time now)
{
    const double own = std::max(0.0, bucket.level());
    const double even = (own - theirs.tokens) / users;
    const double missing = 1 - theirs.tokens;
    const bool unused = now - bucket.lastTake > unusedAfter;
    // Fractions of a token are not worth a message, but for a process that has not even one.
    if (even < 1 && missing <= 0)
        return 0;
    return std::min(unused ? std::max(even, missing) : even, own);
}

} // namespace

distributed_rate_limiter::distributed_rate_limiter(
    std::string vm, std::uint64_t incarnation, limit_policy policy, limit_bounds bounds)
    : m_vm(std::move(vm))
    , m_incarnation(incarnation)
    , m_policy(policy)
    , m_bounds(bounds)
    , m_roster(std::make_unique<limit_roster>(m_vm))
    , m_lender(std::make_unique<share_lender>())
    , m_borrower(std::make_unique<share_borrower>())
{
}

distributed_rate_limiter::~distributed_rate_limiter() = default;
distributed_rate_limiter::distributed_rate_limiter(distributed_rate_limiter&&) noexcept = default;
distributed_rate_limiter& distributed_rate_limiter::operator=(distributed_rate_limiter&&) noexcept = default;

void distributed_rate_limiter::setCustomers(const customer_directory& customers, steady_time now)
{
    updatePart(now);
    std::set<std::uint64_t> limited;
    for (const auto& customer : customers.all()) {
        if (customer.requestsPerSecond <= 0)
            continue;
        const auto hash = hashText(customer.name);
        const request_limit limit { customer.requestsPerSecond, customer.burst };
        limited.insert(hash);
        const auto [bucket, added] = m_buckets.try_emplace(hash, limit, m_bounds, m_part, now);
        if (!added)
            bucket->second.setLimit(limit);
    }
    std::erase_if(m_buckets, [&](const auto& entry) { return !limited.contains(entry.first); });
}

bool distributed_rate_limiter::limits(std::string_view customer) const
{
    return !m_buckets.empty() && m_buckets.contains(hashText(customer));
}

void distributed_rate_limiter::setMembers(std::span<const limit_member> members, steady_time now)
{
    m_roster->setMembers(members, now);
    updatePart(now);
}

void distributed_rate_limiter::setStoreReachable(bool reached, steady_time now)
{
    m_roster->setStoreReachable(reached, now);
    updatePart(now);
}

void distributed_rate_limiter::setIsDispatcher(bool dispatches, steady_time now)
{
    if (dispatches && !active(now))
        m_activeSince = now;
    m_dispatches = dispatches;
}

std::vector<std::string> distributed_rate_limiter::takeExpiredMembers()
{
    return m_roster->takeLost();
}

void distributed_rate_limiter::leave(steady_time now)
{
    m_roster->leave();
    updatePart(now);
}

bool distributed_rate_limiter::active(steady_time now) const
{
    return m_dispatches || (m_lastTake != steady_time {} && now - m_lastTake <= grantingFor);
}

milliseconds distributed_rate_limiter::askInterval() const
{
    const auto members = static_cast<std::int64_t>(std::max(m_roster->size(), membersAtShortestInterval));
    return std::min<milliseconds>(
        shortestAskInterval * members / membersAtShortestInterval, longestAskInterval);
}

milliseconds distributed_rate_limiter::nextAskAfter(steady_time now)
{
    const bool hurries = m_roster->starting(now) || (active(now) && isAwaitingLoans(now));
    return hurries ? std::chrono::duration_cast<milliseconds>(askInterval() * firstAsksInterval)
                   : askInterval();
}

milliseconds distributed_rate_limiter::loanTime() const
{
    return std::max(askInterval() * loanIntervals, shortestLoan);
}

bool distributed_rate_limiter::isAwaitingLoans(steady_time now)
{
    return share(now) <= 0 || now - m_activeSince <= loanTime();
}

double distributed_rate_limiter::share(steady_time now)
{
    refreshPart(now);
    return m_part;
}

void distributed_rate_limiter::refreshPart(steady_time now)
{
    if (m_partComputed == steady_time {} || now - m_partComputed >= partInterval)
        updatePart(now);
}

void distributed_rate_limiter::updatePart(steady_time now)
{
    m_partComputed = now;
    const double share = computePart(now);
    if (std::abs(share - m_part) > noPart) {
        m_part = share;
        for (auto& [customer, bucket] : m_buckets)
            bucket.setPart(share, now);
    }
    fillAtStart();
}

double distributed_rate_limiter::computePart(steady_time now)
{
    // Until it has registered itself, others do not know that it grants.
    m_owned = m_roster->ownPart(loanTime(), now);
    if (std::holds_alternative<even_shares>(m_policy))
        return m_roster->knowsSelf() ? 1.0 / static_cast<double>(m_roster->zones()) : 0;
    return std::max(0.0, m_owned - m_lender->lent(now)) + m_borrower->borrowed(now);
}

/// The part that a process owns grows while it starts, as one member after the other is heard.
void distributed_rate_limiter::fillAtStart()
{
    const double owned = std::holds_alternative<even_shares>(m_policy) ? m_part : m_owned;
    if (owned <= m_filledPart || (m_filledPart > 0 && !m_roster->isNew(m_partComputed)))
        return;
    for (auto& [customer, bucket] : m_buckets)
        bucket.add(bucket.startLevel() * (owned - m_filledPart));
    m_filledPart = owned;
}

bool distributed_rate_limiter::settled(steady_time now)
{
    return m_lender->lent(now) <= m_owned + noPart;
}

milliseconds distributed_rate_limiter::tryAcquire(std::string_view customer, bool begun, steady_time now)
{
    const auto found = m_buckets.find(hashText(customer));
    if (found == m_buckets.end())
        return milliseconds { 0 };
    auto& bucket = found->second;
    if (!active(now))
        m_activeSince = now;
    m_lastTake = now;
    if (!m_roster->knowsSelf())
        return noPartRetry;
    refreshPart(now);
    bucket.asked = true;
    bucket.lastTake = now;
    bucket.advance(now);
    const double wanted = begun ? 1 - bucket.credit() : 1;
    if (bucket.level() < wanted)
        return promise(bucket, wanted - bucket.level(), now);
    bucket.remove(1);
    return milliseconds { 0 };
}

/// Those that are refused come back one after the other, as tokens flow in.
milliseconds distributed_rate_limiter::promise(request_bucket& bucket, double missing, steady_time now)
{
    ++m_refused;
    // Others pass on what flows in at them, unless they need it themselves.
    const bool othersLow = now - bucket.othersLowAt <= lowFor;
    const double inflow = othersLow ? m_part : std::min(1.0, m_part * grantingProcesses(now));
    const double perSecond = std::max(bucket.limit().perSecond * inflow, 1e-3);
    const auto after = [&](steady_time from, double tokens) {
        return from
            + std::chrono::duration_cast<steady_time::duration>(std::chrono::duration<double>(
                std::min(tokens / perSecond, std::chrono::duration<double>(longestReturn).count())));
    };
    bucket.promisedUntil = std::max(after(now, missing), after(bucket.promisedUntil, 1));
    bucket.promisedUntil = std::min(bucket.promisedUntil, now + longestReturn);
    return std::max(leastReturn, std::chrono::duration_cast<milliseconds>(bucket.promisedUntil - now));
}

void distributed_rate_limiter::refund(std::string_view customer, steady_time now)
{
    const auto found = m_buckets.find(hashText(customer));
    if (found == m_buckets.end())
        return;
    found->second.advance(now);
    found->second.add(1);
}

bool distributed_rate_limiter::isGranting(std::string_view vm, steady_time now) const
{
    return m_lender->lendsTo(vm, now);
}

double distributed_rate_limiter::grantingProcesses(steady_time now) const
{
    return m_lender->borrowers(now) + (active(now) ? 1 : 0);
}

limit_message distributed_rate_limiter::messageWith(limit_message_body body) const
{
    return { m_vm, m_incarnation, std::move(body) };
}

bool distributed_rate_limiter::isSilent() const
{
    return std::holds_alternative<even_shares>(m_policy) || !m_roster->knowsSelf();
}

std::optional<limit_message> distributed_rate_limiter::nextShareRequest(steady_time now)
{
    if (isSilent() || (!active(now) && !m_roster->starting(now)) || now - m_lastAsk < nextAskAfter(now))
        return std::nullopt;
    m_lastAsk = now;
    share_request ask { toStamp(now), active(now), {} };
    if (ask.borrows && now - m_lastSurvey >= surveyInterval) {
        m_lastSurvey = now;
        ask.reachability = m_roster->reachability(now);
    }
    return messageWith(std::move(ask));
}

std::optional<limit_message> distributed_rate_limiter::nextTokenRequest(steady_time now)
{
    if (isSilent() || !active(now) || now - m_lastRequest < requestInterval)
        return std::nullopt;
    updatePart(now);
    token_request request { toStamp(now), {} };
    for (auto& [customer, bucket] : m_buckets) {
        if (!bucket.asked)
            continue;
        bucket.advance(now);
        if (bucket.level() >= std::max(1.0, lowLevel * bucket.capacity()))
            continue;
        bucket.asked = false;
        request.levels.push_back({ customer, bucket.level(), bucket.capacity() });
    }
    if (request.levels.empty())
        return std::nullopt;
    m_lastRequest = now;
    return messageWith(std::move(request));
}

std::optional<limit_message> distributed_rate_limiter::handleMessage(
    const limit_message& message, steady_time now)
{
    const auto known = m_peers.find(message.vm);
    const bool ended = known != m_peers.end() && known->second.former == message.incarnation;
    if (message.vm == m_vm || ended || std::holds_alternative<even_shares>(m_policy))
        return std::nullopt;
    notice(message, now);
    return std::visit([&](const auto& body) { return answer(message, body, now); }, message.body);
}

void distributed_rate_limiter::notice(const limit_message& message, steady_time now)
{
    auto& peer = m_peers[message.vm];
    if (peer.incarnation != message.incarnation) {
        peer.former = std::exchange(peer.incarnation, message.incarnation);
        m_lender->forget(message.vm);
        m_borrower->forget(message.vm);
    }
    m_roster->heard(message.vm, now);
    updatePart(now);
}

std::optional<limit_message> distributed_rate_limiter::answer(
    const limit_message& from, const share_request& ask, steady_time now)
{
    m_roster->noteSurvey(ask.reachability, now);
    share_loan loan;
    loan.borrowerIncarnation = from.incarnation;
    loan.requestStamp = ask.stamp;
    loan.validFor = loanTime();
    if (ask.borrows) {
        const auto given = m_lender->lend(from.vm, { m_owned, active(now), loan.validFor }, now);
        loan.share = given.share;
        loan.added = given.added;
        moveTokens(loan, now);
    }
    loan.settled = settled(now);
    loan.wantsAnswer = m_roster->lacksConfirmation(from.vm);
    return messageWith(std::move(loan));
}

/// Tokens go along with the part that is lent: of each bucket the same share.
void distributed_rate_limiter::moveTokens(share_loan& loan, steady_time now)
{
    if (loan.added <= noPart)
        return;
    std::vector<bucket_fill> fills;
    for (auto& [customer, bucket] : m_buckets) {
        bucket.advance(now);
        const double fill = m_part > 0 ? 100 * bucket.level() / (bucket.fullCapacity() * m_part) : 0;
        fills.push_back({ customer, static_cast<std::uint32_t>(std::clamp(fill, 0.0, 100.0)) });
    }
    if (fills.empty())
        return;
    // Most buckets are equally full: only those are named that are less so.
    auto sorted = fills;
    const auto median = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
    std::nth_element(sorted.begin(), median, sorted.end(),
        [](const auto& left, const auto& right) { return left.percent < right.percent; });
    loan.fillPercent = median->percent;
    for (const auto& fill : fills) {
        if (fill.percent < loan.fillPercent)
            loan.emptier.push_back(fill);
        auto& bucket = m_buckets.at(fill.customer);
        bucket.remove(tokensOf(bucket, loan.added, std::min(fill.percent, loan.fillPercent)));
    }
    updatePart(now);
}

std::optional<limit_message> distributed_rate_limiter::answer(
    const limit_message& from, const share_loan& loan, steady_time now)
{
    if (loan.borrowerIncarnation != m_incarnation)
        return std::nullopt;
    if (loan.settled)
        m_roster->confirmed(from.vm);
    const bool valid = loan.share > 0 && m_borrower->take(from.vm, loan, now);
    updatePart(now);
    if (valid && loan.added > noPart)
        receiveTokens(loan, now);
    if (!loan.wantsAnswer)
        return std::nullopt;
    share_loan confirmation;
    confirmation.borrowerIncarnation = from.incarnation;
    confirmation.settled = settled(now);
    return messageWith(std::move(confirmation));
}

void distributed_rate_limiter::receiveTokens(const share_loan& loan, steady_time now)
{
    std::map<std::uint64_t, std::uint32_t> emptier;
    for (const auto& fill : loan.emptier)
        emptier[fill.customer] = fill.percent;
    for (auto& [customer, bucket] : m_buckets) {
        const auto named = emptier.find(customer);
        bucket.advance(now);
        bucket.add(tokensOf(bucket, loan.added, named == emptier.end() ? loan.fillPercent : named->second));
    }
}

std::optional<limit_message> distributed_rate_limiter::answer(
    const limit_message& from, const token_request& request, steady_time now)
{
    const double users = std::max(2.0, grantingProcesses(now));
    token_transfer transfer { request.stamp, loanTime(), {} };
    for (const auto& theirs : request.levels) {
        const auto found = m_buckets.find(theirs.customer);
        if (found == m_buckets.end())
            continue;
        auto& bucket = found->second;
        bucket.othersLowAt = now;
        bucket.advance(now);
        const double tokens = tokensToPass(bucket, theirs, users, now);
        if (tokens <= 0)
            continue;
        const double room = std::max(0.0, theirs.tokens + tokens - theirs.capacity);
        bucket.remove(tokens);
        if (room > 0)
            bucket.addRoom(-room, now + transfer.roomValidFor);
        transfer.tokens.push_back({ theirs.customer, tokens, room });
    }
    if (transfer.tokens.empty())
        return std::nullopt;
    return messageWith(std::move(transfer));
}

std::optional<limit_message> distributed_rate_limiter::answer(
    const limit_message& from, const token_transfer& transfer, steady_time now)
{
    auto& last = m_peers[from.vm].lastTransfer;
    if (transfer.requestStamp <= last)
        return std::nullopt;
    last = transfer.requestStamp;
    const auto roomUntil = loanEnd(transfer.requestStamp, transfer.roomValidFor);
    for (const auto& one : transfer.tokens) {
        const auto found = m_buckets.find(one.customer);
        if (found == m_buckets.end())
            continue;
        found->second.advance(now);
        if (one.room > 0 && now < roomUntil)
            found->second.addRoom(one.room, roomUntil);
        found->second.add(one.tokens);
    }
    return std::nullopt;
}

std::optional<distributed_rate_limiter::usage> distributed_rate_limiter::usageOf(
    std::string_view customer, steady_time now)
{
    const auto found = m_buckets.find(hashText(customer));
    if (found == m_buckets.end())
        return std::nullopt;
    updatePart(now);
    found->second.advance(now);
    return usage { found->second.level(), found->second.capacity() };
}

} // namespace yuccachute
