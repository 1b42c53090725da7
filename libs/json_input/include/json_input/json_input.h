#pragma once

#include <nlohmann/json.hpp>

#include <string_view>

/// Parsers of documents from other processes, which may hold anything. Layer: state.
namespace yuccachute {

/// Documents of the platform, of callers and of this system are nested less than ten levels deep. Deeper ones
/// are rejected before they are parsed: the JSON library copies, writes and decodes by recursion, so that a
/// document of some ten thousand levels overflows the stack.
constexpr std::size_t maxDocumentDepth = 128;

/// The document, or a discarded value if it is invalid or nested too deeply.
nlohmann::json parseJson(std::string_view text);
nlohmann::json parseCbor(std::string_view bytes);
nlohmann::json parseMsgpack(std::string_view bytes);

} // namespace yuccachute
