#include "json_input/json_input.h"

#include <catch2/catch.hpp>

using namespace yuccachute;
using nlohmann::json;

namespace {

std::string repeated(std::string_view piece, std::size_t count)
{
    std::string text;
    for (std::size_t i = 0; i < count; ++i)
        text += piece;
    return text;
}

std::string_view textOf(const std::vector<std::uint8_t>& bytes)
{
    return { reinterpret_cast<const char*>(bytes.data()), bytes.size() };
}

/// Bytes that begin an array of one element.
constexpr std::string_view cborArray = "\x81";
constexpr std::string_view msgpackArray = "\x91";
constexpr std::size_t veryDeep = 1'000'000;

} // namespace

// Guards against documents that end the process which reads them, because copying or decoding them recurses.
TEST_CASE("documents are rejected from a depth on that any reader can handle")
{
    for (const auto& [open, close] : { std::pair("[", "]"), std::pair("{\"a\":", "}") }) {
        const auto of = [&, open = open, close = close](std::size_t depth) {
            return repeated(open, depth) + "1" + repeated(close, depth);
        };
        CHECK(!parseJson(of(maxDocumentDepth)).is_discarded());
        CHECK(parseJson(of(maxDocumentDepth + 1)).is_discarded());
        CHECK(parseJson(of(veryDeep)).is_discarded());
        CHECK(parseJson(repeated(open, veryDeep)).is_discarded());
    }
    for (const auto depth : { maxDocumentDepth + 1, veryDeep }) {
        CHECK(parseCbor(repeated(cborArray, depth) + '\x01').is_discarded());
        CHECK(parseMsgpack(repeated(msgpackArray, depth) + '\x01').is_discarded());
        CHECK(parseCbor(repeated(cborArray, depth)).is_discarded());
    }
    CHECK(parseCbor(repeated(cborArray, maxDocumentDepth) + '\x01').is_array());
    CHECK(parseMsgpack(repeated(msgpackArray, maxDocumentDepth) + '\x01').is_array());
}

TEST_CASE("brackets in strings do not count as depth")
{
    const auto text = json { { "a", repeated("[{\"\\", 1000) }, { "b", { 1, 2 } } }.dump();
    CHECK(parseJson(text).at("a").get<std::string>() == repeated("[{\"\\", 1000));
    CHECK(parseJson('"' + repeated("[", 1000) + '"').is_string());
}

TEST_CASE("documents are read as the JSON library reads them")
{
    const json document { { "a", { 1, -2, 3.5, nullptr, true } }, { "b", json::binary({ 1, 2 }) } };
    CHECK(parseCbor(textOf(json::to_cbor(document))) == document);
    CHECK(parseMsgpack(textOf(json::to_msgpack(document))) == document);
    for (const auto* text : { "", "1e400", "{", "[1,]", "\xff" })
        CHECK(parseJson(text).is_discarded());
    CHECK(parseCbor("\xff").is_discarded());
    CHECK(parseMsgpack("\xc1").is_discarded());
}
