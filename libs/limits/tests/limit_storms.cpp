#include "limit_storms.h"

namespace yuccachute {

namespace {

constexpr int faultsPerStorm = 16;
/// What customers usually send, in shares of their limits.
constexpr double usual = 1 / 1.6;

class storm {
public:
    storm(storm_kind kind, storm_load load, std::uint64_t seed)
        : m_kind(kind)
        , m_load(load)
        , m_random(seed)
        , m_options(drawOptions(seed))
        , m_overload(between(1.5, 9))
        , m_fleet(m_options)
    {
    }

    storm_result play()
    {
        m_fleet.run(milliseconds { 2000 }, rates());
        for (int i = 0; i < faultsPerStorm; ++i) {
            fault(m_kind == storm_kind::mixed ? static_cast<storm_kind>(below(7)) : m_kind);
            m_fleet.run(milliseconds { 200 + static_cast<int>(below(4000)) }, rates());
        }
        return { static_cast<double>(m_fleet.busiestWindow()), m_fleet.allowed(), m_fleet.granted(),
            m_fleet.refused(), m_fleet.mostParts() };
    }

private:
    std::size_t below(std::size_t end) { return m_random() % end; }

    double between(double least, double most)
    {
        return std::uniform_real_distribution<double>(least, most)(m_random);
    }

    model_limits::options drawOptions(std::uint64_t seed)
    {
        model_limits::options options;
        options.seed = seed;
        options.zones = 3 + below(3);
        options.processes = 6 + below(30);
        const double limit = std::vector { 1.0, 8.0, 30.0, 82.0, 400.0, 800.0 }[below(6)];
        options.limit = { limit, limit };
        options.delay = milliseconds { 2 + static_cast<int>(below(40)) };
        return options;
    }

    std::vector<double> rates()
    {
        const double limit = m_options.limit.perSecond;
        if (m_load == storm_load::below_limit)
            return evenly(usual * limit);
        if (m_load == storm_load::pauses && below(2) == 0)
            return evenly(0);
        if (below(2) == 0)
            return evenly(m_overload * limit);
        std::vector<double> one(m_options.zones, 0.0);
        one[below(m_options.zones)] = m_overload * limit;
        return one;
    }

    std::vector<double> evenly(double perSecond) const
    {
        return yuccachute::evenly(perSecond, m_options.zones);
    }

    void fault(storm_kind kind)
    {
        const auto one = below(m_options.processes);
        const bool returns = below(3) == 0;
        switch (kind) {
        case storm_kind::restarts:
            return restart(one);
        case storm_kind::restarts_of_all:
            return restartAll();
        case storm_kind::single_cuts:
            return returns ? m_fleet.returnAll() : below(3) == 0 ? restart(one) : cutOff(one);
        case storm_kind::zone_cuts:
            return returns ? m_fleet.returnAll() : cutOffZone(below(m_options.zones));
        case storm_kind::halves:
            return returns ? m_fleet.returnAll() : part();
        case storm_kind::zones_alone:
            return returns ? m_fleet.returnAll() : separateZones();
        case storm_kind::deaf:
            return m_fleet.deafen(one, below(2) == 0);
        case storm_kind::mixed:
            return;
        }
    }

    void restart(std::size_t process)
    {
        m_fleet.kill(process);
        m_fleet.run(milliseconds { 50 + static_cast<int>(below(1500)) }, rates());
        m_fleet.start(process);
    }

    void restartAll()
    {
        for (std::size_t i = 0; i < m_options.processes; ++i)
            m_fleet.kill(i);
        m_fleet.run(milliseconds { 50 + static_cast<int>(below(1500)) }, evenly(0));
        for (std::size_t i = 0; i < m_options.processes; ++i)
            m_fleet.start(i);
    }

    void cutOff(std::size_t process) { m_fleet.moveTo(process, ++m_lastIsland); }

    void cutOffZone(std::size_t zone)
    {
        ++m_lastIsland;
        for (std::size_t i = 0; i < m_options.processes; ++i) {
            if (m_fleet.zoneOf(i) == zone)
                m_fleet.moveTo(i, m_lastIsland);
        }
    }

    void part()
    {
        ++m_lastIsland;
        for (std::size_t i = 0; i < m_options.processes; ++i)
            m_fleet.moveTo(i, below(2) == 0 ? 0 : m_lastIsland);
    }

    void separateZones()
    {
        const auto withStore = below(m_options.zones);
        for (std::size_t i = 0; i < m_options.processes; ++i) {
            const auto zone = m_fleet.zoneOf(i);
            m_fleet.moveTo(i, zone == withStore ? 0 : m_lastIsland + 1 + static_cast<int>(zone));
        }
        m_lastIsland += static_cast<int>(m_options.zones);
    }

    storm_kind m_kind;
    storm_load m_load;
    std::mt19937_64 m_random;
    model_limits::options m_options;
    double m_overload;
    model_limits m_fleet;
    int m_lastIsland = 0;
};

} // namespace

storm_result playStorm(storm_kind kind, storm_load load, std::uint64_t seed)
{
    return storm(kind, load, seed).play();
}

} // namespace yuccachute
