#include "store/store.h"

namespace yuccachute {

std::string prefixEnd(std::string_view prefix)
{
    std::string end(prefix);
    while (!end.empty()) {
        auto& last = reinterpret_cast<unsigned char&>(end.back());
        if (last < 0xff) {
            ++last;
            return end;
        }
        end.pop_back();
    }
    return std::string(1, '\0'); // The protocol's notation for a range without an upper bound.
}

} // namespace yuccachute
