#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <boost/system/error_code.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace yuccachute {

/// Body of a received message, for Boost.Beast's parsers. Unlike beast's string_body it takes memory as bytes
/// arrive: string_body reserves what Content-Length promises, and a promise too large throws std::bad_alloc.
struct received_body {
    using value_type = std::string;

    static std::uint64_t size(const value_type& body) { return body.size(); }

    class reader {
    public:
        template <bool isRequest, typename Fields>
        reader(boost::beast::http::header<isRequest, Fields>&, value_type& body)
            : m_body(body)
        {
        }
        void init(const boost::optional<std::uint64_t>&, boost::system::error_code& error) { error = {}; }
        template <typename Buffers> std::size_t put(const Buffers& buffers, boost::system::error_code& error)
        {
            error = {};
            std::size_t added = 0;
            for (auto one = boost::asio::buffer_sequence_begin(buffers);
                 one != boost::asio::buffer_sequence_end(buffers); ++one) {
                const boost::asio::const_buffer part(*one);
                m_body.append(static_cast<const char*>(part.data()), part.size());
                added += part.size();
            }
            return added;
        }
        void finish(boost::system::error_code& error) { error = {}; }

    private:
        value_type& m_body;
    };
};

/// Whether the parser must not see the input yet. If "0\r\n" came alone, Boost.Beast's parser asserts that
/// at least two more bytes follow, and a single one would end the process. More bytes always follow, because
/// neither the last chunk nor a chunk's data ends here.
template <typename Parser> bool endsWithinLastChunk(const Parser& parser, std::string_view input)
{
    return input.size() == 4 && parser.is_header_done() && parser.chunked() && input.starts_with("0\r\n");
}

} // namespace yuccachute
