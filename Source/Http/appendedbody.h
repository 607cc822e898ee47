#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

#include <algorithm>
#include <cstdint>
#include <string>

namespace sesame {

/*!
    Message body type for Boost.Beast parsers that appends the received bytes to a string.

    Beast's own string_body reserves memory for the length that the peer states. A peer that states
    a wrong length could thereby end the process, so this type reserves memory only as bytes arrive,
    and never more than the stated length or twice what has arrived.
    The member names are those that Beast's requirements for a Body type prescribe.
*/
// NOLINTBEGIN(readability-identifier-naming)
struct AppendedBody
{
    using value_type = std::string;

    class reader
    {
    public:
        template <bool isRequest, class Fields>
        reader(boost::beast::http::header<isRequest, Fields> & /*header*/, value_type &body)
            : m_body(body)
        {
        }

        void init(const boost::optional<std::uint64_t> &length, boost::system::error_code &ec)
        {
            ec = {};
            m_length = length.value_or(0);
        }

        template <class Buffers>
        std::size_t put(const Buffers &buffers, boost::system::error_code &ec)
        {
            ec = {};
            std::size_t n = 0;
            for (auto it = boost::asio::buffer_sequence_begin(buffers);
                 it != boost::asio::buffer_sequence_end(buffers); ++it) {
                const boost::asio::const_buffer piece = *it;
                reserve(piece.size());
                m_body.append(static_cast<const char *>(piece.data()), piece.size());
                n += piece.size();
            }
            return n;
        }

        void finish(boost::system::error_code &ec) { ec = {}; }

    private:
        void reserve(std::size_t bytes)
        {
            const std::size_t needed = m_body.size() + bytes;
            if (needed > m_body.capacity() && needed <= m_length)
                m_body.reserve(
                        std::min<std::size_t>(m_length, std::max(needed, 2 * m_body.size())));
        }

        value_type &m_body;
        std::uint64_t m_length = 0; //!< Stated length; 0 if there is none.
    };
};
// NOLINTEND(readability-identifier-naming)

} // namespace sesame
