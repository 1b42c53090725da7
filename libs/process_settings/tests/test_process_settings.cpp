#include "process_settings/process_settings.h"

#include <catch2/catch.hpp>

using namespace yuccachute;

namespace {

const std::string completeFile = "[process]\nvm = v\nzone = z\naddress = 10.0.0.1\ngrace_ms = 8000\n"
                                 "[listen]\ncallers = 10.0.0.1:80\ninner_port = 7000\n"
                                 "[peers]\nseeds = 10.0.0.1:1,10.0.0.2:1\n[store]\naddress = 10.0.0.9:70\n"
                                 "[limits]\ndescriptors = 4000\n";

std::string parseError(const std::string& text)
{
    const auto parsed = parseProcessSettings("f.ini", text);
    return parsed ? "" : parsed.error().message;
}

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

TEST_CASE("a complete file is parsed")
{
    const auto parsed = parseProcessSettings("f.ini", completeFile);
    REQUIRE(parsed);
    CHECK(parsed.value().seeds.size() == 2);
    CHECK(parsed.value().grace == milliseconds { 8000 });
    CHECK(parsed.value().descriptors == 4000);
    CHECK(parsed.value().memoryMb == 0);
}

TEST_CASE("errors for invalid values name the file, line and key")
{
    CHECK(parseError(replaced(completeFile, "descriptors = 4000", "descriptors = 1"))
        == "f.ini:14: [limits] descriptors: \"1\" is not a whole number from 64 to 1048576");
    CHECK(
        parseError(replaced(completeFile, "10.0.0.9:70", "10.0.0.9")).find("f.ini:12: [store] address") == 0);
    CHECK(
        parseError(replaced(completeFile, ",10.0.0.2:1", ",x")).find("f.ini:10: [peers] seeds: \"x\"") == 0);
    CHECK(parseError(replaced(completeFile, "descriptors = 4000", "descriptors = 4000\nmemory_mb = 2"))
              .find("f.ini:15: [limits] memory_mb: \"2\"")
        == 0);
    CHECK(parseError(replaced(completeFile, "vm = v", "vmm = v")) == "f.ini:2: [process] vmm: unknown key");
    CHECK(parseError(replaced(completeFile, "vm = v\n", "")) == "f.ini: [process] vm: is missing");
    CHECK(parseError(replaced(completeFile, "inner_port = 7000", "inner_port = 0"))
              .find("f.ini:8: [listen] inner_port")
        == 0);
}

TEST_CASE("mechanisms of the dispatcher can be disabled, and errors for invalid values name their key")
{
    const std::string requiredOnly = "[process]\nvm = v\nzone = z\naddress = 10.0.0.1\ngrace_ms = 8000\n"
                                     "[store]\naddress = 10.0.0.2:1\n[limits]\ndescriptors = 100\n";
    const auto defaults = parseProcessSettings("f", requiredOnly);
    REQUIRE(defaults);
    CHECK(defaults.value().dispatch.loadReports);
    CHECK(defaults.value().dispatch.targetPace);
    CHECK(defaults.value().dispatch.startup);
    CHECK(defaults.value().followPeers);
    const auto disabled = parseProcessSettings("f",
        requiredOnly
            + "[dispatch]\nload_reports = 0\nwait_margin_percent = 100\nkept_for_live_ms = "
              "0\naffinity_percent = 0\ntarget_pace = off\nbulk_lookahead = off\nstartup = "
              "off\ncustomer_shares = off\n"
              "[peers]\nfollow = 0\n");
    REQUIRE(disabled);
    CHECK(!disabled.value().dispatch.loadReports);
    CHECK(disabled.value().dispatch.waitMarginPercent == 100);
    CHECK(disabled.value().dispatch.keptForLive.count() == 0);
    CHECK(disabled.value().dispatch.affinityPercent == 0);
    CHECK(!disabled.value().dispatch.targetPace);
    CHECK(!disabled.value().dispatch.bulkLookahead);
    CHECK(!disabled.value().dispatch.startup);
    CHECK(defaults.value().dispatch.customerShares);
    CHECK(!disabled.value().dispatch.customerShares);
    CHECK(!disabled.value().followPeers);
    CHECK(defaults.value().dispatch.bulkLookahead);
    const auto unknown = parseProcessSettings("f", requiredOnly + "[dispatch]\nbulk_lookahead = 1\n");
    REQUIRE(!unknown);
    CHECK(unknown.error().message.find("[dispatch] bulk_lookahead") != std::string::npos);
    const auto invalid = parseProcessSettings("f", requiredOnly + "[dispatch]\nwait_margin_percent = 50\n");
    REQUIRE(!invalid);
    CHECK(invalid.error().message.find("[dispatch] wait_margin_percent") != std::string::npos);
    const auto notASwitch = parseProcessSettings("f", requiredOnly + "[dispatch]\ntarget_pace = 1\n");
    REQUIRE(!notASwitch);
    CHECK(notASwitch.error().message.find("[dispatch] target_pace: \"1\" is not one of on, off")
        != std::string::npos);
    CHECK(parseProcessSettings("f", requiredOnly + "[dispatch]\ntarget_pace = on\n"));
    const auto number = parseProcessSettings("f", requiredOnly + "[dispatch]\nstartup = 1\n");
    REQUIRE(!number);
    CHECK(
        number.error().message.find("[dispatch] startup: \"1\" is not one of on, off") != std::string::npos);
    const auto neither = parseProcessSettings("f", requiredOnly + "[dispatch]\ncustomer_shares = 1\n");
    REQUIRE(!neither);
    CHECK(neither.error().message.find("[dispatch] customer_shares") != std::string::npos);
}
