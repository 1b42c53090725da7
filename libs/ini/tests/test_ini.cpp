#include "ini/ini.h"

#include <catch2/catch.hpp>

using namespace yuccachute;

TEST_CASE("every value knows its line")
{
    const auto values = parseIni("a.ini", "; comment\n[one]\nx = 1\n\n[two]\ny = a b\n");
    REQUIRE(values);
    REQUIRE(values.value().size() == 2);
    CHECK(values.value()[0].line == 3);
    CHECK(values.value()[1].section == "two");
    CHECK(values.value()[1].value == "a b");
    CHECK(values.value()[1].line == 6);
}

// Story: an operator adds a third API key to a customer; the line is longer than the library takes, and the
// tree that was written to a file cannot be read back.
TEST_CASE("long lists are broken into lines and read back")
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

TEST_CASE("a malformed file is refused with its name and line")
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
