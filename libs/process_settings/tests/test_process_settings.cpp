#include "process_settings/process_settings.h"

#include <catch2/catch.hpp>

using namespace yuccachute;

namespace {

const std::string whole = "[process]\nvm = v\nzone = z\naddress = 10.0.0.1\ngrace_ms = 8000\n"
                          "[listen]\ncallers = 10.0.0.1:80\ninner_port = 7000\n"
                          "[peers]\nseeds = 10.0.0.1:1,10.0.0.2:1\n[store]\naddress = 10.0.0.9:70\n"
                          "[limits]\ndescriptors = 4000\n";

std::string problemOf(const std::string& text)
{
    const auto parsed = parseProcessSettings("f.ini", text);
    return parsed ? "" : parsed.error().message;
}

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

TEST_CASE("a whole file is read")
{
    const auto parsed = parseProcessSettings("f.ini", whole);
    REQUIRE(parsed);
    CHECK(parsed.value().seeds.size() == 2);
    CHECK(parsed.value().grace == milliseconds { 8000 });
    CHECK(parsed.value().descriptors == 4000);
}

TEST_CASE("bad values are told with file, line and key")
{
    CHECK(problemOf(replaced(whole, "descriptors = 4000", "descriptors = 1"))
        == "f.ini:14: [limits] descriptors: \"1\" is not a whole number from 64 to 1048576");
    CHECK(problemOf(replaced(whole, "10.0.0.9:70", "10.0.0.9")).find("f.ini:12: [store] address") == 0);
    CHECK(problemOf(replaced(whole, ",10.0.0.2:1", ",x")).find("f.ini:10: [peers] seeds: \"x\"") == 0);
    CHECK(problemOf(replaced(whole, "vm = v", "vmm = v")) == "f.ini:2: [process] vmm: unknown key");
    CHECK(problemOf(replaced(whole, "vm = v\n", "")) == "f.ini: [process] vm: is missing");
    CHECK(
        problemOf(replaced(whole, "inner_port = 7000", "inner_port = 0")).find("f.ini:8: [listen] inner_port")
        == 0);
}

TEST_CASE("mechanisms of the dispatcher can be switched off, and wrong values are refused with their key")
{
    const std::string least = "[process]\nvm = v\nzone = z\naddress = 10.0.0.1\ngrace_ms = 8000\n"
                              "[store]\naddress = 10.0.0.2:1\n[limits]\ndescriptors = 100\n";
    const auto defaults = parseProcessSettings("f", least);
    REQUIRE(defaults);
    CHECK(defaults.value().dispatch.loadReports);
    CHECK(defaults.value().followPeers);
    const auto off = parseProcessSettings("f",
        least
            + "[dispatch]\nload_reports = 0\nwait_margin_percent = 100\nkept_for_live_ms = "
              "0\naffinity_percent = 0\n"
              "[peers]\nfollow = 0\n");
    REQUIRE(off);
    CHECK(!off.value().dispatch.loadReports);
    CHECK(off.value().dispatch.waitMarginPercent == 100);
    CHECK(off.value().dispatch.keptForLive.count() == 0);
    CHECK(off.value().dispatch.affinityPercent == 0);
    CHECK(!off.value().followPeers);
    const auto wrong = parseProcessSettings("f", least + "[dispatch]\nwait_margin_percent = 50\n");
    REQUIRE(!wrong);
    CHECK(wrong.error().message.find("[dispatch] wait_margin_percent") != std::string::npos);
}
