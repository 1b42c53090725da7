#include "../src/item_lengths.h"

#include <catch2/catch.hpp>

using namespace yuccachute;

TEST_CASE("the length of items is learned by route, and unknown before")
{
    item_lengths lengths;
    CHECK(lengths.remaining("a", 0) == 0);
    lengths.record("a", 0); // A run without events says nothing about the length.
    CHECK(lengths.remaining("a", 0) == 0);
    lengths.record("a", 100);
    lengths.record("a", 200);
    lengths.record("b", 20);
    CHECK(lengths.remaining("a", 0) == 150);
    CHECK(lengths.remaining("a", 100) == 50);
    CHECK(lengths.remaining("b", 0) == 20);
    CHECK(lengths.remaining("c", 0) == 0);
}

// Guards against an item longer than the mean that is taken for one of unknown length.
TEST_CASE("an item that is longer than the mean has a few events left")
{
    item_lengths lengths;
    lengths.record("a", 100);
    CHECK(lengths.remaining("a", 99) == 5);
    CHECK(lengths.remaining("a", 300) == 5);
}

TEST_CASE("the length follows a change of the items")
{
    item_lengths lengths;
    for (int i = 0; i < 1000; ++i)
        lengths.record("a", 100);
    for (int i = 0; i < 100; ++i)
        lengths.record("a", 200);
    CHECK(lengths.remaining("a", 0) > 190);
}

TEST_CASE("the number of routes is bounded")
{
    item_lengths lengths;
    for (int i = 0; i < 2000; ++i)
        lengths.record("route " + std::to_string(i), 10);
    CHECK(lengths.remaining("route 0", 0) == 10);
    CHECK(lengths.remaining("route 1999", 0) == 0);
}
