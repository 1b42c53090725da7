#include "fleet/fleet.h"

#include <catch2/catch.hpp>

using namespace yuccachute;

TEST_CASE("a version record holds any names, and its key is below those of the processes")
{
    for (const service_version& recorded :
        { service_version { "llm", "v1" }, { "a/b c", "2026.12-rc/1" }, { "s", "" } }) {
        const auto decoded = decodeVersion(encodeVersion(recorded));
        REQUIRE(decoded);
        CHECK(decoded.value() == recorded);
        CHECK(versionKey(recorded).starts_with(versionsPrefixOf(recorded.service)));
        CHECK(versionKey(recorded).starts_with(nodesPrefix));
    }
    CHECK(versionKey({ "a/b", "c" }) != versionKey({ "a", "b/c" }));
    CHECK(!decodeVersion("llm"));
}
