#include "admin/admin.h"

#include <catch2/catch.hpp>

using namespace yuccachute;

namespace {

struct fixture {
    memory_store store;
    settings_cell settings;
    admin_api api { store, settings, [] { return std::vector<member_info>(); } };

    http_reply post(const std::string& path, const std::string& body, const std::string& token = {})
    {
        http_request request;
        request.method = "POST";
        request.path = path;
        request.body = body;
        if (!token.empty())
            request.headers.emplace_back("Authorization", "Bearer " + token);
        return api.handle(request);
    }

    http_reply get(const std::string& path, const std::string& query = {}, const std::string& token = {})
    {
        http_request request;
        request.path = path;
        request.query = query;
        if (!token.empty())
            request.headers.emplace_back("Authorization", "Bearer " + token);
        return api.handle(request);
    }
};

std::string edits(const std::string& inner)
{
    return R"({"note":"test","edits":[)" + inner + "]}";
}

} // namespace

TEST_CASE("edits are validated, applied, shown in the tree and recorded in the history")
{
    fixture f;
    CHECK(f.post("/admin/edits", edits(R"({"path":"fleet","set":{"weight":"2"}})")).status == 200);
    CHECK(f.get("/admin/tree").body == "[fleet]\nweight = 2\n");
    CHECK(f.get("/admin/node", "path=customer/a").body.find("\"from\": \"fleet\"") != std::string::npos);
    CHECK(f.get("/admin/history").body.find("\"note\": \"test\"") != std::string::npos);
    const auto checked = f.post("/admin/check", edits(R"({"path":"fleet","set":{"weight":"3"}})"));
    CHECK(checked.body == "[fleet]\nweight = 3\n");
    CHECK(f.get("/admin/tree").body == "[fleet]\nweight = 2\n");
}

TEST_CASE("errors for invalid edits name the edit and field")
{
    fixture f;
    CHECK(f.post("/admin/edits", "nonsense").status == 400);
    CHECK(f.post("/admin/edits", edits(R"({"path":"fleet","set":{"weigth":"2"}})"))
              .body.find("did you mean weight?")
        != std::string::npos);
    CHECK(f.post("/admin/edits", edits(R"({"path":"fleet","set":{"weight":2}})"))
              .body.find("edits[0]: set.weight must be a string")
        != std::string::npos);
    CHECK(f.post("/admin/edits", edits(R"({"path":"fleet","sett":{}})")).body.find("is unknown")
        != std::string::npos);
    CHECK(f.post("/admin/edits", edits(R"({"path":"fleet","set":{"weight":"1"},"base":99})")).status == 409);
    CHECK(f.get("/admin/tree").body.empty());
}

TEST_CASE("operators need a valid token and can edit only within their scope")
{
    fixture f;
    const auto ana = R"({"path":"operator/ana","set":{"token_sha256":")" + sha256Hex("t-ana") + R"("}})";
    const auto bob = R"({"path":"operator/bob","set":{"token_sha256":")" + sha256Hex("t-bob")
        + R"(","scope":"customer/armor"}})";
    CHECK(f.post("/admin/edits", edits(ana + "," + bob)).status == 200);
    CHECK(f.get("/admin/tree").status == 401);
    CHECK(f.get("/admin/tree", {}, "wrong").status == 401);
    CHECK(f.post("/admin/edits", edits(R"({"path":"fleet","set":{"weight":"2"}})"), "t-bob").status == 403);
    CHECK(f.post("/admin/edits", edits(R"({"path":"customer/armor","set":{"weight":"2"}})"), "t-bob").status
        == 200);
    CHECK(f.post("/admin/edits", edits(R"({"path":"fleet","set":{"weight":"2"}})"), "t-ana").status == 200);
}

// An admin process starts while the store is unreachable, so it knows no operators. Guards against treating
// this like a tree without operators, which allows all requests.
TEST_CASE("requests are refused while the store is unreachable and there are no settings")
{
    fixture f;
    f.store.fault
        = [](std::string_view) { return std::optional(mayHaveRun(failure_kind::unavailable, "down")); };
    CHECK(f.get("/admin/tree").status == 503);
    settings_tree localTree;
    localTree.version = 7;
    localTree.nodes["operator/ana"].values["token_sha256"] = sha256Hex("t-ana");
    f.settings.offer(localTree);
    CHECK(f.get("/admin/tree").status == 401);
    const auto reply = f.get("/admin/tree", {}, "t-ana");
    CHECK(reply.status == 200);
    CHECK(findHeader(reply.headers, "X-Settings-Source").find("in force here") == 0);
    CHECK(f.post("/admin/edits", edits(R"({"path":"fleet","set":{"weight":"2"}})"), "t-ana").status == 503);
}
