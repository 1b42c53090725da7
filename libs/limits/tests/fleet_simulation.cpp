#include "fleet_simulation.h"

#include <algorithm>

namespace yuccachute {

namespace {

constexpr milliseconds stepTime { 10 };
constexpr unsigned stepsPerTick = 2;
constexpr unsigned stepsPerMemberUpdate = 20;
constexpr milliseconds registrationTtl { 4000 };
constexpr std::string_view customerName = "firm";

} // namespace

fleet_simulation::fleet_simulation(options chosen)
    : m_options(chosen)
    , m_random(chosen.seed)
    , m_processes(chosen.processes)
{
    for (std::size_t i = 0; i < m_processes.size(); ++i)
        start(i);
    publishMembers();
    run(milliseconds { 3000 }, std::vector<double>(m_options.zones, 0.0));
}

customer_directory fleet_simulation::customers() const
{
    customer_directory all;
    all.add({ std::string(customerName), 0, m_options.limit.perSecond, m_options.limit.burst, 0 }, {});
    return all;
}

void fleet_simulation::start(std::size_t process)
{
    auto& started = m_processes[process];
    ++started.incarnation;
    started.limits = std::make_unique<distributed_rate_limiter>(
        vmOf(process), started.incarnation, m_options.policy, m_options.bounds);
    started.limits->setCustomers(customers(), m_now);
    if (started.partition == 0)
        started.lastRenewal = m_now;
}

void fleet_simulation::kill(std::size_t process)
{
    m_processes[process].limits.reset();
}

void fleet_simulation::moveToPartition(std::size_t process, int partition)
{
    m_processes[process].partition = partition;
}

void fleet_simulation::healPartitions()
{
    for (std::size_t i = 0; i < m_processes.size(); ++i)
        moveToPartition(i, 0);
}

void fleet_simulation::blockIncoming(std::size_t process, bool blocked)
{
    m_processes[process].incomingBlocked = blocked;
}

void fleet_simulation::setLimit(const request_limit& limit)
{
    m_options.limit = limit;
    for (auto& member : m_processes) {
        if (member.limits)
            member.limits->setCustomers(customers(), m_now);
    }
}

bool fleet_simulation::canReach(std::size_t from, std::size_t to) const
{
    return m_processes[from].partition == m_processes[to].partition && !m_processes[to].incomingBlocked
        && m_processes[to].limits;
}

void fleet_simulation::send(std::size_t from, std::size_t to, const limit_message& content)
{
    ++m_messages;
    std::uniform_int_distribution<std::int64_t> delay(1, m_options.delay.count());
    m_inFlight.push_back({ m_now + milliseconds { delay(m_random) }, from, to, content });
}

void fleet_simulation::deliver()
{
    for (std::size_t count = m_inFlight.size(); count > 0; --count) {
        auto next = std::move(m_inFlight.front());
        m_inFlight.pop_front();
        if (next.due > m_now) {
            m_inFlight.push_back(std::move(next));
            continue;
        }
        if (!canReach(next.from, next.to))
            continue;
        if (const auto answer = m_processes[next.to].limits->handleMessage(next.content, m_now))
            send(next.to, next.from, *answer);
    }
}

void fleet_simulation::tick(std::size_t process)
{
    auto& limits = *m_processes[process].limits;
    const auto shareRequest = limits.nextShareRequest(m_now);
    const auto tokenRequest = limits.nextTokenRequest(m_now);
    for (std::size_t other = 0; other < m_processes.size(); ++other) {
        if (other == process)
            continue;
        if (shareRequest)
            send(process, other, *shareRequest);
        if (tokenRequest && limits.isGranting(vmOf(other), m_now))
            send(process, other, *tokenRequest);
    }
}

/// Delivers the store's member list to the processes that reach the store.
void fleet_simulation::publishMembers()
{
    std::vector<limit_member> members;
    for (std::size_t i = 0; i < m_processes.size(); ++i) {
        auto& member = m_processes[i];
        if (member.limits && member.partition == 0)
            member.lastRenewal = m_now;
        const bool registered = m_now - member.lastRenewal < registrationTtl;
        members.push_back({ vmOf(i), "zone-" + std::to_string(zoneOf(i)), false, registered });
    }
    for (std::size_t i = 0; i < m_processes.size(); ++i) {
        auto& member = m_processes[i];
        if (!member.limits)
            continue;
        member.limits->setIsDispatcher(dispatcherFor(zoneOf(i), member.partition) == i, m_now);
        member.limits->setStoreReachable(member.partition == 0, m_now);
        if (member.partition == 0)
            member.limits->setMembers(members, m_now);
    }
}

std::size_t fleet_simulation::dispatcherFor(std::size_t zone, int partition) const
{
    for (const bool ownZone : { true, false }) {
        for (std::size_t i = 0; i < m_processes.size(); ++i) {
            const bool fits = m_processes[i].limits && m_processes[i].partition == partition;
            if (fits && (!ownZone || zoneOf(i) == zone))
                return i;
        }
    }
    return m_processes.size();
}

/// Sends a request to a random entry of the zone, which passes it to the dispatcher that it reaches.
void fleet_simulation::sendRequest(std::size_t zone)
{
    std::vector<std::size_t> entries;
    for (std::size_t i = 0; i < m_processes.size(); ++i) {
        if (zoneOf(i) == zone && m_processes[i].limits)
            entries.push_back(i);
    }
    if (entries.empty())
        return;
    const auto entry = entries[m_random() % entries.size()];
    const auto dispatcher = dispatcherFor(zone, m_processes[entry].partition);
    if (m_processes[dispatcher].limits->tryAcquire(customerName, false, m_now).count() == 0)
        m_grants.push_back(m_now);
    else
        ++m_refused;
}

void fleet_simulation::recordShareSum()
{
    double sum = 0;
    for (auto& member : m_processes)
        sum += member.limits ? member.limits->share(m_now) : 0;
    m_maxShareSum = std::max(m_maxShareSum, sum);
}

void fleet_simulation::step(const std::vector<double>& perSecond)
{
    m_now += stepTime;
    deliver();
    for (std::size_t zone = 0; zone < m_options.zones; ++zone) {
        std::poisson_distribution<int> arrivals(
            perSecond[zone] * std::chrono::duration<double>(stepTime).count());
        for (int call = arrivals(m_random); call > 0; --call)
            sendRequest(zone);
    }
    for (std::size_t i = 0; i < m_processes.size(); ++i) {
        if (m_processes[i].limits && (m_steps + i) % stepsPerTick == 0)
            tick(i);
    }
    if (++m_steps % stepsPerMemberUpdate == 0)
        publishMembers();
    recordShareSum();
}

void fleet_simulation::run(milliseconds time, const std::vector<double>& perSecond)
{
    for (auto left = time; left.count() > 0; left -= stepTime)
        step(perSecond);
}

std::size_t fleet_simulation::maxGrantsInWindow()
{
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < m_grants.size(); ++last) {
        while (m_grants[last] - m_grants[first] > m_options.bounds.window)
            ++first;
        most = std::max(most, last - first + 1);
    }
    return most;
}

double fleet_simulation::allowed() const
{
    const auto& limit = m_options.limit;
    return limit.perSecond * m_options.bounds.window.count() + limit.burst
        + m_options.bounds.overshootOf(limit) + m_options.bounds.slack;
}

std::vector<double> evenRates(double perSecond, std::size_t zones)
{
    return std::vector<double>(zones, perSecond / static_cast<double>(zones));
}

random_faults_result runRandomFaults(std::uint64_t seed)
{
    constexpr double overload = 5.6;
    std::mt19937_64 random(seed);
    fleet_simulation::options options;
    options.seed = seed;
    options.delay = milliseconds { 2 + static_cast<int>(random() % 40) };
    options.processes = 6 + random() % 20;
    const double limit = std::vector { 1.0, 10.0, 82.0, 400.0 }[random() % 4];
    options.limit = { limit, limit };
    fleet_simulation fleet(options);
    const auto evenRates = [&](double factor) { return std::vector<double>(3, factor * limit / 3); };
    for (int event = 0; event < 12; ++event) {
        const auto process = random() % options.processes;
        switch (random() % 5) {
        case 0:
            fleet.kill(process);
            fleet.run(milliseconds { 400 }, evenRates(4));
            fleet.start(process);
            break;
        case 1:
            fleet.moveToPartition(process, static_cast<int>(random() % 3));
            break;
        case 2:
            for (std::size_t i = 0; i < options.processes; ++i)
                fleet.moveToPartition(i, 0);
            break;
        case 3:
            for (std::size_t i = 0; i < options.processes; ++i)
                fleet.moveToPartition(i, fleet.zoneOf(i) == process % 3 ? 1 : 0);
            break;
        default:
            break;
        }
        auto rates = evenRates(overload);
        if (random() % 2 != 0) {
            rates.assign(3, 0.0);
            rates[random() % 3] = overload * limit;
        }
        fleet.run(milliseconds { 200 + random() % 3000 }, rates);
    }
    return { static_cast<double>(fleet.maxGrantsInWindow()), fleet.allowed() };
}

} // namespace yuccachute
