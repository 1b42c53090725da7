#include "fleet/fleet.h"

#include <catch2/catch.hpp>

using namespace yuccachute;

TEST_CASE("a process's record survives the store")
{
    node_record node { "edge-a-1", node_role::batch, "a", "10.0.0.1:80", 77, true };
    const auto read = decodeNode(encodeNode(node));
    REQUIRE(read);
    CHECK(read.value().vm == "edge-a-1");
    CHECK(read.value().role == node_role::batch);
    CHECK(read.value().incarnation == 77);
    CHECK(read.value().leaving);
    CHECK(nodeKey(node) == "yuccachute/node/batch/edge-a-1");
    CHECK(!decodeNode("{\"vm\":1}"));
    CHECK(!decodeNode("nonsense"));
}
