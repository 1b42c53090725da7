#include "json_input/json_input.h"

namespace yuccachute {

namespace {

using nlohmann::json;

/// Also for text that is no JSON, whose brackets are counted as they stand.
bool isTooDeep(std::string_view text)
{
    std::size_t depth = 0;
    bool quoted = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char letter = text[i];
        if (letter == '"')
            quoted = !quoted;
        else if (quoted && letter == '\\')
            ++i;
        else if (!quoted && (letter == '[' || letter == '{') && ++depth > maxDocumentDepth)
            return true;
        else if (!quoted && (letter == ']' || letter == '}') && depth > 0)
            --depth;
    }
    return false;
}

/// Ends the parse of a binary document at the first value that is nested too deeply.
class depth_check final : public json::json_sax_t {
public:
    bool null() override { return true; }
    bool boolean(bool) override { return true; }
    bool number_integer(number_integer_t) override { return true; }
    bool number_unsigned(number_unsigned_t) override { return true; }
    bool number_float(number_float_t, const string_t&) override { return true; }
    bool string(string_t&) override { return true; }
    bool binary(binary_t&) override { return true; }
    bool start_object(std::size_t) override { return ++m_depth <= maxDocumentDepth; }
    bool key(string_t&) override { return true; }
    bool end_object() override { return leave(); }
    bool start_array(std::size_t) override { return ++m_depth <= maxDocumentDepth; }
    bool end_array() override { return leave(); }
    bool parse_error(std::size_t, const std::string&, const json::exception&) override { return false; }

private:
    bool leave()
    {
        --m_depth;
        return true;
    }

    std::size_t m_depth = 0;
};

json discarded()
{
    return json(json::value_t::discarded);
}

bool isReadable(std::string_view bytes, json::input_format_t format)
{
    depth_check check;
    return json::sax_parse(bytes.begin(), bytes.end(), &check, format);
}

} // namespace

json parseJson(std::string_view text)
{
    return isTooDeep(text) ? discarded() : json::parse(text, nullptr, false);
}

json parseCbor(std::string_view bytes)
{
    return isReadable(bytes, json::input_format_t::cbor) ? json::from_cbor(bytes, true, false) : discarded();
}

json parseMsgpack(std::string_view bytes)
{
    return isReadable(bytes, json::input_format_t::msgpack) ? json::from_msgpack(bytes, true, false)
                                                            : discarded();
}

} // namespace yuccachute
