#include "routing/routing.h"

#include <algorithm>

namespace yuccachute {

void customer_directory::add(customer_description customer, std::span<const std::string> keys)
{
    const auto index = m_customers.size();
    for (const auto& key : keys)
        m_byKey.try_emplace(key, index);
    m_byName.try_emplace(customer.name, index);
    m_largestRate = std::max(m_largestRate, customer.requestsPerSecond);
    m_customers.push_back(std::move(customer));
}

const customer_description* customer_directory::byKey(std::string_view key) const
{
    const auto found = m_byKey.find(key);
    return found == m_byKey.end() ? nullptr : &m_customers[found->second];
}

const customer_description* customer_directory::byName(std::string_view name) const
{
    const auto found = m_byName.find(name);
    return found == m_byName.end() ? nullptr : &m_customers[found->second];
}

double customer_directory::weightOf(const customer_description& customer) const
{
    return customer.requestsPerSecond > 0 ? customer.requestsPerSecond : m_largestRate;
}

} // namespace yuccachute
