#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace yuccachute {

/// The mean number of events of finished items, by route.
class item_lengths {
public:
    /// Records an item that has finished with so many events in all of its runs.
    void record(std::string_view route, std::size_t events);
    /// Events that an item which has produced so many is expected to produce yet; 0 if unknown.
    double remaining(std::string_view route, std::size_t produced) const;

private:
    struct mean {
        double events = 0;
        unsigned items = 0;
    };

    std::map<std::string, mean, std::less<>> m_means;
};

} // namespace yuccachute
