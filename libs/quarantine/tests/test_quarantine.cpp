#include "quarantine/quarantine.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace yuccachute;

namespace {

request_identity of(std::vector<std::string_view> parts)
{
    return identify(parts);
}

} // namespace

TEST_CASE("requests have the same identity only if all their parts are the same")
{
    CHECK(of({ "POST", "host", "/path", "body" }) == of({ "POST", "host", "/path", "body" }));
    CHECK(of({ "POST", "host", "/path", "body" }) != of({ "POST", "other", "/path", "body" }));
    CHECK(of({ "POST", "host", "/path", "body" }) != of({ "POST", "host", "/path", "" }));
    CHECK(of({ "POST", "host", "/pathb", "ody" }) != of({ "POST", "host", "/path", "body" }));
}

TEST_CASE("an identity is written and read")
{
    const auto identity = of({ "a", "b" });
    CHECK(toString(identity).size() == 32);
    CHECK(parseIdentity(toString(identity)) == identity);
    CHECK(toString({ 1, 2 }) == "00000000000000010000000000000002");
    CHECK_FALSE(parseIdentity(""));
    CHECK_FALSE(parseIdentity("0000000000000001000000000000000x"));
    CHECK_FALSE(parseIdentity("00000000000000010000000000000002a"));
}
