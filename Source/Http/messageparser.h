#pragma once

#include "Http/httptypes.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>

#include <cstddef>
#include <stdexcept>
#include <string_view>

namespace sesame {

/*!
    Wraps a parser of Boost.Beast, of type \a Parser, so that no input makes it throw, abort or
    leave more than a bounded number of bytes unread.
*/
template <typename Parser>
class MessageParser
{
public:
    /*!
        Passes \a input to the parser and returns the number of bytes that it consumed. Sets \a ec
        to error::need_more if the message continues, to error::header_limit or
        error::buffer_overflow if bytes outside of the body exceed their limits, and to
        error::bad_field if a line of a response's head begins with a blank.
    */
    std::size_t put(asio::const_buffer input, boost::system::error_code &ec)
    {
        using beast::http::error;
        const bool continuesChunk = m_parser.is_header_done() && m_unparsedBytes > 0;
        if (continuesChunk && input.size() < minChunkLineBytes) {
            ec = error::need_more;
            return 0;
        }
        const bool isHead = !m_parser.is_header_done();
        std::size_t n = 0;
        try {
            n = m_parser.put(input, ec);
        } catch (const std::length_error &) {
            // Beast's container rejects field values of 64 KiB this way.
            ec = error::header_limit;
        }
        if (!Parser::is_request::value && isHead
            && hasFoldedLine({static_cast<const char *>(input.data()), input.size()}))
            ec = error::bad_field;
        m_unparsedBytes = input.size() - n;
        if (ec == error::need_more && m_parser.is_header_done()
            && m_unparsedBytes > maxUnparsedBytes)
            ec = error::buffer_overflow;
        return n;
    }

    Parser &operator*() { return m_parser; }
    Parser *operator->() { return &m_parser; }

private:
    /*!
        Returns whether a line of a head begins with a blank, where \a message begins with the first
        line that the parser has not consumed. It consumes a field when the next line has begun, so
        such a line is never the first.

        Beast takes such a line for the rest of the field before (RFC 9112, section 5.2), so that a
        line with a broken name would be passed on as a value, or a length in it ignored.
    */
    static bool hasFoldedLine(std::string_view message)
    {
        if (message.starts_with("\r\n"))
            return false; // The head ends here.
        const std::string_view head = message.substr(0, message.find("\r\n\r\n"));
        return head.find("\r\n ") != std::string_view::npos
                || head.find("\r\n\t") != std::string_view::npos;
    }

    //! Beast consumes a chunk's size line and the trailer only when they are complete, so a peer
    //! that never completes them would fill the memory.
    static constexpr std::size_t maxUnparsedBytes = 16384;
    //! Beast asserts that at least this many bytes are there when it continues with the last chunk,
    //! "0\r\n\r\n". No shorter input completes a size line that comes after a chunk.
    static constexpr std::size_t minChunkLineBytes = 5;

    Parser m_parser;
    std::size_t m_unparsedBytes = 0; //!< Bytes of the last input that were not consumed.
};

} // namespace sesame
