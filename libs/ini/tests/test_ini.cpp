#include "ini/ini.h"

#include <catch2/catch.hpp>

using namespace yuccachute;

TEST_CASE("each parsed value has its line number")
{
    const auto values = parseIni("a.ini", "; comment\n[one]\nx = 1\n\n[two]\ny = a b\n");
    REQUIRE(values);
    REQUIRE(values.value().size() == 2);
    CHECK(values.value()[0].line == 3);
    CHECK(values.value()[1].section == "two");
    CHECK(values.value()[1].value == "a b");
    CHECK(values.value()[1].line == 6);
}

// An operator adds a third API key hash to a customer, so that the line exceeds the buffer of inih. Guards
// against an exported settings tree that cannot be imported again.
TEST_CASE("long lists are wrapped and can be parsed again")
{
    std::string list;
    for (int i = 0; i < 40; ++i)
        list += (i ? "," : "") + std::string(64, static_cast<char>('a' + i % 26));
    const auto text = "[s]\n" + writeIniValue("k", list) + "other = 1\n";
    const auto values = parseIni("a.ini", text);
    REQUIRE(values);
    REQUIRE(values.value().size() == 2);
    CHECK(values.value()[0].value == list);
    CHECK(parseIni("a.ini", "[s]\nk = 1\nk = 2\n").error().message.find("set twice") != std::string::npos);
}

TEST_CASE("the error for a malformed file names the file and line")
{
    CHECK(parseIni("a.ini", "[one]\nnonsense\n").error().message
        == "a.ini:2: neither [section] nor key = value");
    CHECK(parseIni("a.ini", "[one]\nx=1\nx=2\n").error().message == "a.ini:3: [one] x: set twice");
    CHECK(parseIni("a.ini", "[one]\nx=" + std::string(400, 'x') + "\n")
              .error()
              .message.find("a.ini:2: the line is longer")
        == 0);
    CHECK(readFile("/nonexistent/file").error().message == "/nonexistent/file: cannot be read");
}
