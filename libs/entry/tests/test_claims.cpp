#include "../src/claims.h"

#include <nlohmann/json.hpp>

#include <catch2/catch.hpp>

using namespace yuccachute;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

/// Replaces each stored claim.
void overwriteClaims(memory_store& store, const json& document)
{
    const auto bytes = json::to_msgpack(document);
    const auto listing = store.list("/yuccachute/claim/", {}, 10).value();
    REQUIRE(listing.values.size() == 1);
    store_transaction write;
    write.writes.push_back({ listing.values.front().key, { bytes.begin(), bytes.end() }, 0 });
    REQUIRE(store.commit(write));
}

} // namespace

// Guards against a stored claim with fields of the wrong type, whose exception ended the process.
TEST_CASE("a claim that cannot be decoded counts as one of another request without a response")
{
    memory_store store;
    request_claims claims(store);
    REQUIRE(claims.take("armor", "key", "token").value().mine);
    claims.storeReply("armor", "key", "token", { 201, {}, "made" });
    CHECK(claims.take("armor", "key", "other").value().earlierReply->status == 201);
    for (const auto& document :
        { json { { "request", 7 } }, json { { "request", "token" }, { "status", "ok" } },
            json { { "request", "token" }, { "status", 200 } },
            json { { "request", "token" }, { "status", 200 }, { "body", "text" } } }) {
        overwriteClaims(store, document);
        const auto claim = claims.take("armor", "key", "other");
        REQUIRE(claim);
        CHECK(!claim.value().mine);
        CHECK(!claim.value().earlierReply);
    }
}
