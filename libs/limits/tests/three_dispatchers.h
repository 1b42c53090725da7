#pragma once

#include "limits/limits.h"
#include "membership/membership.h"

#include <array>
#include <memory>

namespace yuccachute {

/// Three dispatchers that share the limit of a customer. Of more members, the others do not respond.
struct three_dispatchers {
    static constexpr int settledMs = 20000; ///< All members' lists contain all members by then.
    static steady_time at(int ms) { return steady_time { std::chrono::hours { 1 } } + milliseconds { ms }; }

    three_dispatchers(std::size_t members, const request_limit& limit, limit_policy policy = lent_shares {})
    {
        customer_directory customers;
        customers.add({ "firm", 0, limit.perSecond, limit.burst, 0 }, {});
        std::vector<limit_member> list;
        for (std::size_t i = 0; i < members; ++i)
            list.push_back({ "vm-" + std::to_string(i), "zone-" + std::to_string(i % 3) });
        for (std::size_t i = 0; i < processes.size(); ++i) {
            processes[i] = std::make_unique<distributed_rate_limiter>(list[i].vm, 1, policy, limit_bounds {});
            processes[i]->setCustomers(customers, at(0));
            processes[i]->setIsDispatcher(true, at(0));
            processes[i]->setMembers(list, at(0));
            processes[i]->setMembers(list, at(settledMs - 1000));
        }
    }

    /// Exchanges messages among the processes, if they are connected.
    void exchange(int ms)
    {
        for (auto& from : processes) {
            const auto share = from->nextShareRequest(at(ms));
            const auto tokens = from->nextTokenRequest(at(ms));
            for (auto& to : processes) {
                for (const auto* message : { share ? &*share : nullptr, tokens ? &*tokens : nullptr }) {
                    const auto answer
                        = message && to != from ? to->handleMessage(*message, at(ms)) : std::nullopt;
                    if (answer)
                        from->handleMessage(*answer, at(ms));
                }
            }
        }
    }

    double shareSum(int ms)
    {
        double sum = 0;
        for (auto& process : processes)
            sum += process->share(at(ms));
        return sum;
    }

    std::array<std::unique_ptr<distributed_rate_limiter>, 3> processes;
};

} // namespace yuccachute
