#pragma once

#include "node/node.h"

namespace yuccachute {

/// Rate limits and retry budgets of each customer at this entry. Thread-safe.
class customer_limits {
public:
    /// Takes one request and its tokens from the customer's rate limits. Fails with a retry delay if one of
    /// them is exhausted.
    result<void> admit(
        const std::string& customer, const request_settings& settings, double tokens, steady_time now);
    /// Counts a request, which adds `retryShare` of a retry to the customer's retry budget.
    void countRequest(const std::string& customer, double retryShare);
    /// Takes one retry from the customer's retry budget. Returns false if the budget is exhausted.
    bool takeRetry(const std::string& customer);

private:
    struct budgets {
        rate_budget requests;
        rate_budget tokens;
        retry_budget retries;
    };

    std::mutex m_mutex;
    std::map<std::string, budgets, std::less<>> m_customers;
};

} // namespace yuccachute
