#include "model_limits.h"

#include <algorithm>

namespace yuccachute {

namespace {

constexpr milliseconds stepTime { 10 };
constexpr unsigned stepsPerTick = 2;
constexpr unsigned stepsPerListing = 20;
constexpr milliseconds registrationTime { 4000 };
constexpr std::string_view customerName = "firm";

} // namespace

model_limits::model_limits(options chosen)
    : m_options(chosen)
    , m_random(chosen.seed)
    , m_processes(chosen.processes)
{
    for (std::size_t i = 0; i < m_processes.size(); ++i)
        start(i);
    list();
    run(milliseconds { 3000 }, std::vector<double>(m_options.zones, 0.0));
}

customer_directory model_limits::customers() const
{
    customer_directory all;
    all.add({ std::string(customerName), 0, m_options.limit.perSecond, m_options.limit.burst, 0 }, {});
    return all;
}

void model_limits::start(std::size_t process)
{
    auto& started = m_processes[process];
    ++started.incarnation;
    started.limits = std::make_unique<distributed_rate_limiter>(
        vmOf(process), started.incarnation, m_options.policy, m_options.bounds);
    started.limits->setCustomers(customers(), m_now);
    if (started.island == 0)
        started.lastInStore = m_now;
}

void model_limits::kill(std::size_t process)
{
    m_processes[process].limits.reset();
}

void model_limits::moveTo(std::size_t process, int island)
{
    m_processes[process].island = island;
}

void model_limits::returnAll()
{
    for (std::size_t i = 0; i < m_processes.size(); ++i)
        moveTo(i, 0);
}

void model_limits::deafen(std::size_t process, bool deaf)
{
    m_processes[process].deaf = deaf;
}

void model_limits::setLimit(const request_limit& limit)
{
    m_options.limit = limit;
    for (auto& one : m_processes) {
        if (one.limits)
            one.limits->setCustomers(customers(), m_now);
    }
}

bool model_limits::reaches(std::size_t from, std::size_t to) const
{
    return m_processes[from].island == m_processes[to].island && !m_processes[to].deaf
        && m_processes[to].limits;
}

void model_limits::send(std::size_t from, std::size_t to, const limit_message& content)
{
    ++m_messages;
    std::uniform_int_distribution<std::int64_t> delay(1, m_options.delay.count());
    m_onTheWay.push_back({ m_now + milliseconds { delay(m_random) }, from, to, content });
}

void model_limits::deliver()
{
    for (std::size_t count = m_onTheWay.size(); count > 0; --count) {
        auto next = std::move(m_onTheWay.front());
        m_onTheWay.pop_front();
        if (next.due > m_now) {
            m_onTheWay.push_back(std::move(next));
            continue;
        }
        if (!reaches(next.from, next.to))
            continue;
        if (const auto answer = m_processes[next.to].limits->handleMessage(next.content, m_now))
            send(next.to, next.from, *answer);
    }
}

void model_limits::tick(std::size_t process)
{
    auto& limits = *m_processes[process].limits;
    const auto ask = limits.nextShareRequest(m_now);
    const auto request = limits.nextTokenRequest(m_now);
    for (std::size_t other = 0; other < m_processes.size(); ++other) {
        if (other == process)
            continue;
        if (ask)
            send(process, other, *ask);
        if (request && limits.isGranting(vmOf(other), m_now))
            send(process, other, *request);
    }
}

/// The store's list of processes, as those that reach it read it.
void model_limits::list()
{
    std::vector<limit_member> members;
    for (std::size_t i = 0; i < m_processes.size(); ++i) {
        auto& one = m_processes[i];
        if (one.limits && one.island == 0)
            one.lastInStore = m_now;
        const bool registered = m_now - one.lastInStore < registrationTime;
        members.push_back({ vmOf(i), "zone-" + std::to_string(zoneOf(i)), false, registered });
    }
    for (std::size_t i = 0; i < m_processes.size(); ++i) {
        auto& one = m_processes[i];
        if (!one.limits)
            continue;
        one.limits->setIsDispatcher(dispatcherFor(zoneOf(i), one.island) == i, m_now);
        one.limits->setStoreReachable(one.island == 0, m_now);
        if (one.island == 0)
            one.limits->setMembers(members, m_now);
    }
}

std::size_t model_limits::dispatcherFor(std::size_t zone, int island) const
{
    for (const bool ownZone : { true, false }) {
        for (std::size_t i = 0; i < m_processes.size(); ++i) {
            const bool fits = m_processes[i].limits && m_processes[i].island == island;
            if (fits && (!ownZone || zoneOf(i) == zone))
                return i;
        }
    }
    return m_processes.size();
}

/// A caller comes to any entry of its zone, which asks the dispatcher that it reaches.
void model_limits::callAt(std::size_t zone)
{
    std::vector<std::size_t> entries;
    for (std::size_t i = 0; i < m_processes.size(); ++i) {
        if (zoneOf(i) == zone && m_processes[i].limits)
            entries.push_back(i);
    }
    if (entries.empty())
        return;
    const auto entry = entries[m_random() % entries.size()];
    const auto dispatcher = dispatcherFor(zone, m_processes[entry].island);
    if (m_processes[dispatcher].limits->tryAcquire(customerName, false, m_now).count() == 0)
        m_grants.push_back(m_now);
    else
        ++m_refused;
}

void model_limits::sumParts()
{
    double sum = 0;
    for (auto& one : m_processes)
        sum += one.limits ? one.limits->share(m_now) : 0;
    m_mostParts = std::max(m_mostParts, sum);
}

void model_limits::step(const std::vector<double>& perSecond)
{
    m_now += stepTime;
    deliver();
    for (std::size_t zone = 0; zone < m_options.zones; ++zone) {
        std::poisson_distribution<int> arrivals(
            perSecond[zone] * std::chrono::duration<double>(stepTime).count());
        for (int call = arrivals(m_random); call > 0; --call)
            callAt(zone);
    }
    for (std::size_t i = 0; i < m_processes.size(); ++i) {
        if (m_processes[i].limits && (m_steps + i) % stepsPerTick == 0)
            tick(i);
    }
    if (++m_steps % stepsPerListing == 0)
        list();
    sumParts();
}

void model_limits::run(milliseconds time, const std::vector<double>& perSecond)
{
    for (auto left = time; left.count() > 0; left -= stepTime)
        step(perSecond);
}

std::size_t model_limits::busiestWindow()
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

double model_limits::allowed() const
{
    const auto& limit = m_options.limit;
    return limit.perSecond * m_options.bounds.window.count() + limit.burst
        + m_options.bounds.overshootOf(limit) + m_options.bounds.slack;
}

std::vector<double> evenly(double perSecond, std::size_t zones)
{
    return std::vector<double>(zones, perSecond / static_cast<double>(zones));
}

random_faults playRandomFaults(std::uint64_t seed)
{
    constexpr double overload = 5.6;
    std::mt19937_64 random(seed);
    model_limits::options options;
    options.seed = seed;
    options.delay = milliseconds { 2 + static_cast<int>(random() % 40) };
    options.processes = 6 + random() % 20;
    const double limit = std::vector { 1.0, 10.0, 82.0, 400.0 }[random() % 4];
    options.limit = { limit, limit };
    model_limits fleet(options);
    const auto evenly = [&](double times) { return std::vector<double>(3, times * limit / 3); };
    for (int event = 0; event < 12; ++event) {
        const auto one = random() % options.processes;
        switch (random() % 5) {
        case 0:
            fleet.kill(one);
            fleet.run(milliseconds { 400 }, evenly(4));
            fleet.start(one);
            break;
        case 1:
            fleet.moveTo(one, static_cast<int>(random() % 3));
            break;
        case 2:
            for (std::size_t i = 0; i < options.processes; ++i)
                fleet.moveTo(i, 0);
            break;
        case 3:
            for (std::size_t i = 0; i < options.processes; ++i)
                fleet.moveTo(i, fleet.zoneOf(i) == one % 3 ? 1 : 0);
            break;
        default:
            break;
        }
        auto rates = evenly(overload);
        if (random() % 2 != 0) {
            rates.assign(3, 0.0);
            rates[random() % 3] = overload * limit;
        }
        fleet.run(milliseconds { 200 + random() % 3000 }, rates);
    }
    return { static_cast<double>(fleet.busiestWindow()), fleet.allowed() };
}

} // namespace yuccachute
