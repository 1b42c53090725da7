#include "limit_storms.h"

namespace yuccachute {

namespace {

constexpr int faultsPerSequence = 16;
/// Typical request rate of customers, as a fraction of their limits.
constexpr double typicalLoadFraction = 1 / 1.6;

class fault_sequence {
public:
    fault_sequence(fault_pattern kind, load_pattern load, std::uint64_t seed)
        : m_kind(kind)
        , m_load(load)
        , m_random(seed)
        , m_options(drawOptions(seed))
        , m_overload(randomBetween(1.5, 9))
        , m_fleet(m_options)
    {
    }

    fault_sequence_result run()
    {
        m_fleet.run(milliseconds { 2000 }, rates());
        for (int i = 0; i < faultsPerSequence; ++i) {
            applyFault(m_kind == fault_pattern::mixed ? static_cast<fault_pattern>(randomBelow(7)) : m_kind);
            m_fleet.run(milliseconds { 200 + static_cast<int>(randomBelow(4000)) }, rates());
        }
        return { static_cast<double>(m_fleet.maxGrantsInWindow()), m_fleet.allowed(), m_fleet.granted(),
            m_fleet.refused(), m_fleet.maxShareSum() };
    }

private:
    std::size_t randomBelow(std::size_t end) { return m_random() % end; }

    double randomBetween(double least, double most)
    {
        return std::uniform_real_distribution<double>(least, most)(m_random);
    }

    fleet_simulation::options drawOptions(std::uint64_t seed)
    {
        fleet_simulation::options options;
        options.seed = seed;
        options.zones = 3 + randomBelow(3);
        options.processes = 6 + randomBelow(30);
        const double limit = std::vector { 1.0, 8.0, 30.0, 82.0, 400.0, 800.0 }[randomBelow(6)];
        options.limit = { limit, limit };
        options.delay = milliseconds { 2 + static_cast<int>(randomBelow(40)) };
        return options;
    }

    std::vector<double> rates()
    {
        const double limit = m_options.limit.perSecond;
        if (m_load == load_pattern::below_limit)
            return evenRates(typicalLoadFraction * limit);
        if (m_load == load_pattern::pauses && randomBelow(2) == 0)
            return evenRates(0);
        if (randomBelow(2) == 0)
            return evenRates(m_overload * limit);
        std::vector<double> inOneZone(m_options.zones, 0.0);
        inOneZone[randomBelow(m_options.zones)] = m_overload * limit;
        return inOneZone;
    }

    std::vector<double> evenRates(double perSecond) const
    {
        return yuccachute::evenRates(perSecond, m_options.zones);
    }

    void applyFault(fault_pattern kind)
    {
        const auto process = randomBelow(m_options.processes);
        const bool heals = randomBelow(3) == 0;
        switch (kind) {
        case fault_pattern::restarts:
            return restart(process);
        case fault_pattern::restarts_of_all:
            return restartAll();
        case fault_pattern::process_partitions:
            return heals              ? m_fleet.healPartitions()
                : randomBelow(3) == 0 ? restart(process)
                                      : isolateProcess(process);
        case fault_pattern::zone_partitions:
            return heals ? m_fleet.healPartitions() : isolateZone(randomBelow(m_options.zones));
        case fault_pattern::halves:
            return heals ? m_fleet.healPartitions() : splitInHalf();
        case fault_pattern::isolated_zones:
            return heals ? m_fleet.healPartitions() : isolateZones();
        case fault_pattern::incoming_loss:
            return m_fleet.blockIncoming(process, randomBelow(2) == 0);
        case fault_pattern::mixed:
            return;
        }
    }

    void restart(std::size_t process)
    {
        m_fleet.kill(process);
        m_fleet.run(milliseconds { 50 + static_cast<int>(randomBelow(1500)) }, rates());
        m_fleet.start(process);
    }

    void restartAll()
    {
        for (std::size_t i = 0; i < m_options.processes; ++i)
            m_fleet.kill(i);
        m_fleet.run(milliseconds { 50 + static_cast<int>(randomBelow(1500)) }, evenRates(0));
        for (std::size_t i = 0; i < m_options.processes; ++i)
            m_fleet.start(i);
    }

    void isolateProcess(std::size_t process) { m_fleet.moveToPartition(process, ++m_lastPartition); }

    void isolateZone(std::size_t zone)
    {
        ++m_lastPartition;
        for (std::size_t i = 0; i < m_options.processes; ++i) {
            if (m_fleet.zoneOf(i) == zone)
                m_fleet.moveToPartition(i, m_lastPartition);
        }
    }

    void splitInHalf()
    {
        ++m_lastPartition;
        for (std::size_t i = 0; i < m_options.processes; ++i)
            m_fleet.moveToPartition(i, randomBelow(2) == 0 ? 0 : m_lastPartition);
    }

    void isolateZones()
    {
        const auto withStore = randomBelow(m_options.zones);
        for (std::size_t i = 0; i < m_options.processes; ++i) {
            const auto zone = m_fleet.zoneOf(i);
            m_fleet.moveToPartition(i, zone == withStore ? 0 : m_lastPartition + 1 + static_cast<int>(zone));
        }
        m_lastPartition += static_cast<int>(m_options.zones);
    }

    fault_pattern m_kind;
    load_pattern m_load;
    std::mt19937_64 m_random;
    fleet_simulation::options m_options;
    double m_overload;
    fleet_simulation m_fleet;
    int m_lastPartition = 0;
};

} // namespace

fault_sequence_result runFaultSequence(fault_pattern kind, load_pattern load, std::uint64_t seed)
{
    return fault_sequence(kind, load, seed).run();
}

} // namespace yuccachute
