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
    Converts Boost's string view, which is not the standard one in this version.
*/
inline std::string_view toStd(beast::string_view text)
{
    return {text.data(), text.size()};
}

/*!
    Returns the first field \a name of \a fields, or an empty view.
*/
std::string_view fieldValue(const HttpFields &fields, std::string_view name);

/*!
    Returns whether a header field concerns one connection only and is not forwarded.
*/
bool isHopByHopField(std::string_view name);

/*!
    Copies \a from without the fields that concern one connection only, including those that its
    Connection field names.
*/
HttpFields copyEndToEndFields(const HttpFields &from);

/*!
    Returns a request head and body as bytes; Content-Length is set from \a body where a body or
    a method that usually has one needs it.
*/
std::string formatRequest(std::string_view method, std::string_view target,
                          const HttpFields &fields, std::string_view body);

//! Names and values of header fields of any length; HttpFields refuses values of 64 KiB.
using FieldViews = std::vector<std::pair<std::string_view, std::string_view>>;

std::string formatRequest(std::string_view method, std::string_view target,
                          const FieldViews &fields, std::string_view body);

/*!
    Splits "IP:PORT". Returns std::nullopt if \a text is not one.
*/
std::optional<Tcp::endpoint> parseTcpEndpoint(std::string_view text);

} // namespace sesame
