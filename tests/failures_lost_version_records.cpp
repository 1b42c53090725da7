#include "version_change.h"

#include <catch2/catch.hpp>

using namespace yuccachute::testing;

// Guards against streams that go on at another software version after a kill of all entries, because the
// store has lost the record of the version that began them, and its targets have left.
TEST_CASE("no stream goes on at another software version if the record of its version was lost")
{
    for (const auto change : { change_while_down::none, change_while_down::new_version_leaves }) {
        const auto streams = resumeAfterKillOfAll("lose_percent=100&later=8000", change);
        INFO("change " << static_cast<int>(change) << ": begun " << streams.begun << ", went on "
                       << streams.wentOn << ", refused " << streams.refused);
        CHECK(streams.begun >= 24);
        CHECK(streams.mixed == 0);
    }
}
