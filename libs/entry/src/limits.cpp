#include "limits.h"

namespace yuccachute {

result<void> customer_limits::admit(
    const std::string& customer, const request_settings& settings, double tokens, steady_time now)
{
    const std::scoped_lock lock(m_mutex);
    auto& budgets = m_customers[customer];
    if (const auto wait = budgets.requests.take(1, settings.requestsPerSecond, now); wait.count() > 0)
        return notRun(failure_kind::limited, "the customer's limit requests_per_second is exhausted", wait);
    if (const auto wait = budgets.tokens.take(tokens, settings.tokensPerSecond, now); wait.count() > 0)
        return notRun(failure_kind::limited, "the customer's limit tokens_per_second is exhausted", wait);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void customer_limits::countRequest(const std::string& customer, double retryShare)
{
    const std::scoped_lock lock(m_mutex);
    m_customers[customer].retries.countRequest(retryShare);
}

bool customer_limits::takeRetry(const std::string& customer)
{
    const std::scoped_lock lock(m_mutex);
    return m_customers[customer].retries.takeRetry();
}

} // namespace yuccachute
