#pragma once

#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/verb.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sesame {

namespace asio = boost::asio;
namespace beast = boost::beast;

using Tcp = asio::ip::tcp;
using HttpFields = beast::http::fields;
using RequestMessage = beast::http::request<beast::http::string_body>;
using ResponseHead = beast::http::response_header<>;

/*!
    Converts Beast's string view, which in this version of Boost is a type of its own, to
    std::string_view.
*/
inline std::string_view toStd(beast::string_view text)
{
    return {text.data(), text.size()};
}

/*!
    Returns the value of the first field named \a name in \a fields, or an empty view if there is
    none.
*/
std::string_view fieldValue(const HttpFields &fields, std::string_view name);

/*!
    Returns the time that the value \a text of a Retry-After field states in seconds, with or
    without a fraction; at most a day. Returns std::nullopt if it is negative or no number. Dates
    cannot be used, because the clocks of the machines differ.
*/
std::optional<std::chrono::milliseconds> parseRetrySeconds(std::string_view text);

/*!
    Returns whether the header field \a name applies to a single connection or to the framing of one
    message, so that a proxy must not forward it.
*/
bool isHopByHopField(std::string_view name);

/*!
    Returns whether the header \a fields state a transfer coding other than a single "chunked". The
    end of such a message's body is unknown, and its bytes are not those of the content.
*/
bool hasUnsupportedTransferCoding(const HttpFields &fields);

/*!
    Returns a copy of \a from without the hop-by-hop fields and without the fields that its
    Connection field lists.
*/
HttpFields copyEndToEndFields(const HttpFields &from);

/*!
    Returns the serialized HTTP/1.1 request. A Content-Length field is added if \a body is not empty
    or if the method is one that usually has a body (any but GET, HEAD and DELETE).
*/
std::string formatRequest(std::string_view method, std::string_view target,
                          const HttpFields &fields, std::string_view body);

//! Names and values of header fields of any length. HttpFields can't be used for long values: it
//! rejects values of 64 KiB.
using FieldViews = std::vector<std::pair<std::string_view, std::string_view>>;

//! \overload
std::string formatRequest(std::string_view method, std::string_view target,
                          const FieldViews &fields, std::string_view body);

/*!
    Returns the part of formatRequest() before the body, for a body of \a bodyBytes.
*/
std::string formatRequestHead(std::string_view method, std::string_view target,
                              const HttpFields &fields, std::size_t bodyBytes);

/*!
    Returns \a text as one component of a URL, such as a segment of its path or a value of its
   query: all characters but the unreserved ones of RFC 3986, section 2.3, are percent-encoded.
*/
std::string encodeUrlComponent(std::string_view text);

/*!
    Parses "IP:PORT" with an IPv4 address and a port other than 0. Returns std::nullopt if \a text
    has another form.
*/
std::optional<Tcp::endpoint> parseTcpEndpoint(std::string_view text);

} // namespace sesame
