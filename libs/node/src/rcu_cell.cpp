#include "node/node.h"

#include <urcu-bp.h>

namespace yuccachute {

struct rcu_cell::holder {
    std::shared_ptr<const void> value;
};

rcu_cell::rcu_cell()
    : m_holder(new holder)
{
}

rcu_cell::~rcu_cell()
{
    delete m_holder.load();
}

std::shared_ptr<const void> rcu_cell::load() const
{
    rcu_read_lock();
    auto value = m_holder.load(std::memory_order_acquire)->value;
    rcu_read_unlock();
    return value;
}

void rcu_cell::store(std::shared_ptr<const void> value)
{
    const std::scoped_lock lock(m_writeMutex);
    auto* old = m_holder.exchange(new holder { std::move(value) }, std::memory_order_acq_rel);
    // Readers may still be copying the old pointer, so it is freed after they have left their read sections.
    synchronize_rcu();
    delete old;
}

} // namespace yuccachute
