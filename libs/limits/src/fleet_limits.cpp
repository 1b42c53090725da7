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

/// Granting processes request loans from all members at this interval. Above `membersAtMinInterval` members
/// the interval grows in proportion, so that a process's message rate stays constant.
constexpr milliseconds minShareRequestInterval { 100 };
/// Shortens the interval until the first loans have arrived.
constexpr double startupIntervalFactor = 0.25;
constexpr milliseconds maxShareRequestInterval { 750 };
constexpr std::size_t membersAtMinInterval = 16;
/// Duration of a loan in request intervals, so that two answers may be lost or late.
constexpr int loanDurationIntervals = 4;
constexpr milliseconds minLoanDuration { 600 };
/// A process stops borrowing after this time without requests. Customers with a low rate send their next
/// request within it, and find their tokens at the process that receives it.
constexpr milliseconds activeTimeout { 30000 };
constexpr milliseconds shareUpdateInterval { 20 };
constexpr milliseconds tokenRequestInterval { 40 };
constexpr milliseconds reachabilityReportInterval { 1000 };
/// Below this fraction of a bucket's capacity, peers are asked for tokens.
constexpr double lowLevelFraction = 0.5;
/// A bucket without requests for this time gives a peer enough for one token, even beyond an even split.
constexpr milliseconds bucketIdleAfter { 100 };
/// A peer's report of a low bucket is valid for this time. The peer repeats it several times within it.
constexpr milliseconds lowLevelValidFor { 500 };
constexpr milliseconds minRetryAfter { 50 };
constexpr milliseconds maxRetryAfter { 5000 };
/// Retry delay of requests at a process that may not grant yet.
constexpr milliseconds noShareRetryAfter { 250 };
/// Processes that hold at least this part of a limit together refuse a customer because of its limit. What is
/// missing is less than the tolerance of a tenth by which a customer may exceed its limit.
constexpr double wholeLimitFraction = 0.9;
/// Smaller differences of shares are rounding errors.
constexpr double shareEpsilon = 1e-9;

/// Tokens of a bucket that belong to a share of the limit, at a given fill level.
double tokensForShare(const request_bucket& bucket, double share, std::uint32_t fillPercent)
{
    return bucket.fullCapacity() * share * fillPercent / 100.0;
}

/// Number of tokens to transfer to a peer, so that all `users` granting processes, each applying this rule,
/// end up with equally many.
double tokensToTransfer(
    const request_bucket& bucket, const customer_token_level& theirs, double users, steady_time now)
{
    const double own = std::max(0.0, bucket.level());
    const double even = (own - theirs.tokens) / users;
    const double missing = 1 - theirs.tokens;
    const bool idle = now - bucket.lastAcquire > bucketIdleAfter;
    // Less than one token is worth a message only if the peer has less than one token.
    if (even < 1 && missing <= 0)
        return 0;
    return std::min(idle ? std::max(even, missing) : even, own);
}

bucket_situation situationOf(const request_bucket& bucket, double refillPerSecond, steady_time now)
{
    bucket_situation situation { bucket.level(), bucket.capacity(), refillPerSecond,
        bucket.timelyDemand.perSecond(now) };
    situation.isOverLimit
        = isOverLimit(situation, bucket.timelyDemand.exceeds(refillPerSecond, now), bucket.wasOverLimit);
    situation.wasOverLimitLately
        = bucket.lastOverLimitAt != steady_time {} && now - bucket.lastOverLimitAt <= maxRetryAfter;
    return situation;
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
    updateShare(now);
    std::set<std::uint64_t> limited;
    for (const auto& customer : customers.all()) {
        if (customer.requestsPerSecond <= 0)
            continue;
        const auto hash = hashText(customer.name);
        const request_limit limit { customer.requestsPerSecond, customer.burst };
        limited.insert(hash);
        const auto [bucket, added] = m_buckets.try_emplace(hash, limit, m_bounds, m_share, now);
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
    updateShare(now);
}

void distributed_rate_limiter::setStoreReachable(bool reachable, steady_time now)
{
    m_roster->setStoreReachable(reachable, now);
    updateShare(now);
}

void distributed_rate_limiter::setIsDispatcher(bool isDispatcher, steady_time now)
{
    if (isDispatcher && !isActive(now))
        m_activeSince = now;
    m_isDispatcher = isDispatcher;
}

std::vector<std::string> distributed_rate_limiter::takeExpiredMembers()
{
    return m_roster->takeExpired();
}

void distributed_rate_limiter::leave(steady_time now)
{
    m_roster->leave();
    updateShare(now);
}

bool distributed_rate_limiter::isActive(steady_time now) const
{
    return m_isDispatcher || (m_lastAcquire != steady_time {} && now - m_lastAcquire <= activeTimeout);
}

milliseconds distributed_rate_limiter::shareRequestInterval() const
{
    const auto members = static_cast<std::int64_t>(std::max(m_roster->size(), membersAtMinInterval));
    return std::min<milliseconds>(
        minShareRequestInterval * members / membersAtMinInterval, maxShareRequestInterval);
}

milliseconds distributed_rate_limiter::shareRequestDelay(steady_time now)
{
    const bool shortened = m_roster->needsConfirmations(now) || (isActive(now) && isAwaitingLoans(now));
    return shortened
        ? std::chrono::duration_cast<milliseconds>(shareRequestInterval() * startupIntervalFactor)
        : shareRequestInterval();
}

milliseconds distributed_rate_limiter::loanDuration() const
{
    return std::max(shareRequestInterval() * loanDurationIntervals, minLoanDuration);
}

bool distributed_rate_limiter::isAwaitingLoans(steady_time now)
{
    return share(now) <= 0 || now - m_activeSince <= loanDuration();
}

double distributed_rate_limiter::share(steady_time now)
{
    refreshShare(now);
    return m_share;
}

void distributed_rate_limiter::refreshShare(steady_time now)
{
    if (m_shareUpdatedAt == steady_time {} || now - m_shareUpdatedAt >= shareUpdateInterval)
        updateShare(now);
}

void distributed_rate_limiter::updateShare(steady_time now)
{
    m_shareUpdatedAt = now;
    const double share = computeShare(now);
    if (std::abs(share - m_share) > shareEpsilon) {
        m_share = share;
        for (auto& [customer, bucket] : m_buckets)
            bucket.setShare(share, now);
    }
    addStartupTokens();
}

double distributed_rate_limiter::computeShare(steady_time now)
{
    // Other members do not know that this process grants until it has registered itself.
    m_ownShare = m_roster->ownShare(loanDuration(), now);
    if (std::holds_alternative<even_shares>(m_policy))
        return m_roster->includesSelf() ? 1.0 / static_cast<double>(m_roster->zones()) : 0;
    return std::max(0.0, m_ownShare - m_lender->lent(now)) + m_borrower->borrowed(now);
}

/// Adds startup tokens for each increase of the owned share, which grows with each member's confirmation.
void distributed_rate_limiter::addStartupTokens()
{
    const double owned = std::holds_alternative<even_shares>(m_policy) ? m_share : m_ownShare;
    if (owned <= m_startupShare || (m_startupShare > 0 && !m_roster->isStarting(m_shareUpdatedAt)))
        return;
    for (auto& [customer, bucket] : m_buckets)
        bucket.add(bucket.startLevel() * (owned - m_startupShare));
    m_startupShare = owned;
}

bool distributed_rate_limiter::settled(steady_time now)
{
    return m_lender->lent(now) <= m_ownShare + shareEpsilon;
}

milliseconds distributed_rate_limiter::tryAcquire(
    std::string_view customer, bool isContinuation, steady_time now)
{
    return acquire(customer, { isContinuation, std::nullopt }, now).retryAfter;
}

token_decision distributed_rate_limiter::acquire(
    std::string_view customer, const token_need& need, steady_time now)
{
    const auto found = m_buckets.find(hashText(customer));
    if (found == m_buckets.end())
        return {};
    auto& bucket = found->second;
    if (!isActive(now))
        m_activeSince = now;
    m_lastAcquire = now;
    if (!m_roster->includesSelf())
        return { token_refusal::limit_reached, noShareRetryAfter };
    refreshShare(now);
    bucket.usedSinceRequest = true;
    bucket.lastAcquire = now;
    bucket.advance(now);
    if (need.isLate())
        bucket.lastLateAt = now;
    else if (!need.isRepeated)
        bucket.recordDemand(now);
    const auto situation = situationOf(bucket, refillPerSecond(bucket, now), now);
    bucket.wasOverLimit = situation.isOverLimit;
    if (situation.isOverLimit)
        bucket.lastOverLimitAt = now;
    const double needed = need.isContinuation ? 1 - bucket.credit() : 1;
    if (bucket.level() < needed)
        return { countRefusal(bucket, token_refusal::limit_reached, now),
            retryTime(bucket, situation, need, needed - bucket.level(), now) };
    const double kept = levelKeptForTimely(situation);
    if (need.isLate() && bucket.level() <= kept)
        return { countRefusal(bucket, token_refusal::kept_for_timely, now),
            retryTime(bucket, situation, need, kept - bucket.level(), now) };
    bucket.remove(1);
    if (need.isRepeated && !need.isLate())
        bucket.recordDemand(now);
    return {};
}

bool distributed_rate_limiter::holdsWholeLimit(steady_time now) const
{
    return std::holds_alternative<even_shares>(m_policy)
        || m_share * grantingProcessCount(now) >= wholeLimitFraction;
}

/// Returns `cause`, unless a part of the limit is out of reach that the customer may not have used. A
/// customer whose requests here alone exceed the whole limit is over it, whatever other processes grant.
token_refusal distributed_rate_limiter::countRefusal(
    const request_bucket& bucket, token_refusal cause, steady_time now)
{
    const auto& limit = bucket.limit();
    ++m_refused;
    const bool isOverWholeLimit = bucket.windowDemand.exceeds(limit.perSecond, now, limit.burst)
        || bucket.timelyDemand.exceeds(limit.perSecond, now, limit.burst);
    if (!holdsWholeLimit(now) && !isOverWholeLimit) {
        ++m_refusedForPart;
        return token_refusal::part_exhausted;
    }
    m_refusedLate += cause == token_refusal::kept_for_timely ? 1 : 0;
    return cause;
}

double distributed_rate_limiter::refillPerSecond(const request_bucket& bucket, steady_time now) const
{
    // Peers transfer the tokens that refill their buckets, unless they run low themselves.
    const bool peersLow = now - bucket.peersLowAt <= lowLevelValidFor;
    const double inflow = peersLow ? m_share : std::min(1.0, m_share * grantingProcessCount(now));
    return bucket.limit().perSecond * inflow;
}

/// A caller that returns after its objective cannot rely on the token that is refilled by then, while its
/// customer is above the limit: that token goes to a request that can be on time.
milliseconds distributed_rate_limiter::retryTime(request_bucket& bucket, const bucket_situation& situation,
    const token_need& need, double missing, steady_time now)
{
    const auto whenFilled = timeUntilLateMayRun(situation, maxRetryAfter);
    if (need.isLate() && situation.isOverLimit)
        return std::max(minRetryAfter, whenFilled);
    const auto wait = reserveRetryTime(bucket, missing, now);
    if (need.isLate())
        return std::max(wait, whenFilled);
    // Without requests that are known to be late, the ages of this customer's requests are unknown, and its
    // callers are served in turn.
    const bool agesAreKnown = bucket.lastLateAt != steady_time {} && now - bucket.lastLateAt <= maxRetryAfter;
    const bool returnsLate = need.timeUntilLate && wait >= *need.timeUntilLate;
    if (!situation.isOverLimit || !agesAreKnown || !returnsLate || need.isContinuation)
        return wait;
    return std::max(wait, whenFilled);
}

/// Assigns successive retry times to refused requests, spaced by the refill interval of a token.
milliseconds distributed_rate_limiter::reserveRetryTime(
    request_bucket& bucket, double missing, steady_time now)
{
    const double perSecond = std::max(refillPerSecond(bucket, now), 1e-3);
    const auto after = [&](steady_time from, double tokens) {
        return from
            + std::chrono::duration_cast<steady_time::duration>(std::chrono::duration<double>(
                std::min(tokens / perSecond, std::chrono::duration<double>(maxRetryAfter).count())));
    };
    bucket.lastRetryAt = std::max(after(now, missing), after(bucket.lastRetryAt, 1));
    bucket.lastRetryAt = std::min(bucket.lastRetryAt, now + maxRetryAfter);
    return std::max(minRetryAfter, std::chrono::duration_cast<milliseconds>(bucket.lastRetryAt - now));
}

void distributed_rate_limiter::refund(std::string_view customer, steady_time now, bool wasLate)
{
    const auto found = m_buckets.find(hashText(customer));
    if (found == m_buckets.end())
        return;
    found->second.advance(now);
    found->second.add(1);
    if (wasLate)
        return;
    found->second.timelyDemand.undo(now);
    found->second.windowDemand.undo(now);
}

bool distributed_rate_limiter::isGranting(std::string_view vm, steady_time now) const
{
    return m_lender->lendsTo(vm, now);
}

double distributed_rate_limiter::grantingProcessCount(steady_time now) const
{
    return m_lender->borrowerCount(now) + (isActive(now) ? 1 : 0);
}

limit_message distributed_rate_limiter::makeMessage(limit_message_body body) const
{
    return { m_vm, m_incarnation, std::move(body) };
}

bool distributed_rate_limiter::sendsNothing() const
{
    return std::holds_alternative<even_shares>(m_policy) || !m_roster->includesSelf();
}

std::optional<limit_message> distributed_rate_limiter::nextShareRequest(steady_time now)
{
    if (sendsNothing() || (!isActive(now) && !m_roster->needsConfirmations(now))
        || now - m_lastShareRequest < shareRequestDelay(now))
        return std::nullopt;
    m_lastShareRequest = now;
    share_request request { toStamp(now), isActive(now), {} };
    if (request.borrows && now - m_lastReachabilityReport >= reachabilityReportInterval) {
        m_lastReachabilityReport = now;
        request.reachability = m_roster->reachability(now);
    }
    return makeMessage(std::move(request));
}

std::optional<limit_message> distributed_rate_limiter::nextTokenRequest(steady_time now)
{
    if (sendsNothing() || !isActive(now) || now - m_lastTokenRequest < tokenRequestInterval)
        return std::nullopt;
    updateShare(now);
    token_request request { toStamp(now), {} };
    for (auto& [customer, bucket] : m_buckets) {
        if (!bucket.usedSinceRequest)
            continue;
        bucket.advance(now);
        if (bucket.level() >= std::max(1.0, lowLevelFraction * bucket.capacity()))
            continue;
        bucket.usedSinceRequest = false;
        request.levels.push_back({ customer, bucket.level(), bucket.capacity() });
    }
    if (request.levels.empty())
        return std::nullopt;
    m_lastTokenRequest = now;
    return makeMessage(std::move(request));
}

std::optional<limit_message> distributed_rate_limiter::handleMessage(
    const limit_message& message, steady_time now)
{
    const auto known = m_peers.find(message.vm);
    const bool ended = known != m_peers.end() && known->second.previousIncarnation == message.incarnation;
    if (message.vm == m_vm || ended || std::holds_alternative<even_shares>(m_policy))
        return std::nullopt;
    recordSender(message, now);
    return std::visit([&](const auto& body) { return answer(message, body, now); }, message.body);
}

void distributed_rate_limiter::recordSender(const limit_message& message, steady_time now)
{
    auto& peer = m_peers[message.vm];
    if (peer.incarnation != message.incarnation) {
        peer.previousIncarnation = std::exchange(peer.incarnation, message.incarnation);
        m_lender->removePeer(message.vm);
        m_borrower->removePeer(message.vm);
    }
    m_roster->recordContact(message.vm, now);
    updateShare(now);
}

std::optional<limit_message> distributed_rate_limiter::answer(
    const limit_message& from, const share_request& request, steady_time now)
{
    m_roster->recordReport(request.reachability, now);
    share_loan loan;
    loan.borrowerIncarnation = from.incarnation;
    loan.requestStamp = request.stamp;
    loan.validFor = loanDuration();
    if (request.borrows) {
        const auto granted = m_lender->lend(from.vm, { m_ownShare, isActive(now), loan.validFor }, now);
        loan.share = granted.share;
        loan.added = granted.added;
        attachTokens(loan, now);
    }
    loan.settled = settled(now);
    loan.wantsAnswer = m_roster->lacksConfirmation(from.vm);
    return makeMessage(std::move(loan));
}

/// Transfers tokens with a loan: from each bucket in proportion to the lent share.
void distributed_rate_limiter::attachTokens(share_loan& loan, steady_time now)
{
    if (loan.added <= shareEpsilon)
        return;
    std::vector<bucket_fill> fills;
    for (auto& [customer, bucket] : m_buckets) {
        bucket.advance(now);
        const double fill = m_share > 0 ? 100 * bucket.level() / (bucket.fullCapacity() * m_share) : 0;
        fills.push_back({ customer, static_cast<std::uint32_t>(std::clamp(fill, 0.0, 100.0)) });
    }
    if (fills.empty())
        return;
    // Most buckets have the same fill level; to keep the message small, only emptier ones are listed.
    auto sorted = fills;
    const auto median = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
    std::nth_element(sorted.begin(), median, sorted.end(),
        [](const auto& left, const auto& right) { return left.percent < right.percent; });
    loan.fillPercent = median->percent;
    for (const auto& fill : fills) {
        if (fill.percent < loan.fillPercent)
            loan.emptier.push_back(fill);
        auto& bucket = m_buckets.at(fill.customer);
        bucket.remove(tokensForShare(bucket, loan.added, std::min(fill.percent, loan.fillPercent)));
    }
    updateShare(now);
}

std::optional<limit_message> distributed_rate_limiter::answer(
    const limit_message& from, const share_loan& loan, steady_time now)
{
    if (loan.borrowerIncarnation != m_incarnation)
        return std::nullopt;
    if (loan.settled)
        m_roster->recordConfirmation(from.vm);
    const bool valid = loan.share > 0 && m_borrower->acceptLoan(from.vm, loan, now);
    updateShare(now);
    if (valid && loan.added > shareEpsilon)
        addLoanedTokens(loan, now);
    if (!loan.wantsAnswer)
        return std::nullopt;
    share_loan confirmation;
    confirmation.borrowerIncarnation = from.incarnation;
    confirmation.settled = settled(now);
    return makeMessage(std::move(confirmation));
}

void distributed_rate_limiter::addLoanedTokens(const share_loan& loan, steady_time now)
{
    std::map<std::uint64_t, std::uint32_t> emptier;
    for (const auto& fill : loan.emptier)
        emptier[fill.customer] = fill.percent;
    for (auto& [customer, bucket] : m_buckets) {
        const auto named = emptier.find(customer);
        bucket.advance(now);
        bucket.add(
            tokensForShare(bucket, loan.added, named == emptier.end() ? loan.fillPercent : named->second));
    }
}

std::optional<limit_message> distributed_rate_limiter::answer(
    const limit_message& from, const token_request& request, steady_time now)
{
    const double users = std::max(2.0, grantingProcessCount(now));
    token_transfer transfer { request.stamp, loanDuration(), {} };
    for (const auto& theirs : request.levels) {
        const auto found = m_buckets.find(theirs.customer);
        if (found == m_buckets.end())
            continue;
        auto& bucket = found->second;
        bucket.peersLowAt = now;
        bucket.advance(now);
        const double tokens = tokensToTransfer(bucket, theirs, users, now);
        if (tokens <= 0)
            continue;
        const double room = std::max(0.0, theirs.tokens + tokens - theirs.capacity);
        bucket.remove(tokens);
        if (room > 0)
            bucket.addCapacityLoan(-room, now + transfer.roomValidFor);
        transfer.tokens.push_back({ theirs.customer, tokens, room });
    }
    if (transfer.tokens.empty())
        return std::nullopt;
    return makeMessage(std::move(transfer));
}

std::optional<limit_message> distributed_rate_limiter::answer(
    const limit_message& from, const token_transfer& transfer, steady_time now)
{
    auto& last = m_peers[from.vm].lastTransferStamp;
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
            found->second.addCapacityLoan(one.room, roomUntil);
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
    updateShare(now);
    found->second.advance(now);
    return usage { found->second.level(), found->second.capacity() };
}

} // namespace yuccachute
