#include "Http/httptypes.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

#include <array>
#include <charconv>
#include <cmath>
#include <iterator>

namespace sesame {

std::string_view fieldValue(const HttpFields &fields, std::string_view name)
{
    const auto found = fields.find(beast::string_view(name.data(), name.size()));
    return found == fields.end() ? std::string_view() : toStd(found->value());
}

std::optional<std::chrono::milliseconds> parseRetrySeconds(std::string_view text)
{
    // Longer waits would overflow the range of the clock.
    constexpr double maxSeconds = 86'400.0;
    constexpr double millisPerSecond = 1000.0;
    const std::size_t first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos)
        return std::nullopt;
    text = text.substr(first, text.find_last_not_of(" \t") - first + 1);
    double seconds = 0.0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), seconds);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()
        || !std::isfinite(seconds) || seconds < 0.0)
        return std::nullopt;
    return std::chrono::milliseconds(
            static_cast<std::int64_t>(std::ceil(std::min(seconds, maxSeconds) * millisPerSecond)));
}

bool isHopByHopField(std::string_view name)
{
    using beast::http::field;
    switch (beast::http::string_to_field(beast::string_view(name.data(), name.size()))) {
    case field::connection:
    case field::keep_alive:
    case field::proxy_authenticate:
    case field::proxy_authorization:
    case field::proxy_connection:
    case field::te:
    case field::trailer:
    case field::transfer_encoding:
    case field::upgrade:
    case field::content_length:
    case field::expect:
        return true;
    default:
        return false;
    }
}

bool hasUnsupportedTransferCoding(const HttpFields &fields)
{
    const auto [begin, end] = fields.equal_range(beast::http::field::transfer_encoding);
    if (begin == end)
        return false;
    return std::next(begin) != end || !beast::iequals(begin->value(), "chunked");
}

HttpFields copyEndToEndFields(const HttpFields &from)
{
    HttpFields copy;
    beast::http::token_list named(from[beast::http::field::connection]);
    for (const auto &field : from) {
        if (isHopByHopField(toStd(field.name_string())) || named.exists(field.name_string()))
            continue;
        copy.insert(field.name_string(), field.value());
    }
    return copy;
}

namespace {

FieldViews viewFields(const HttpFields &fields)
{
    FieldViews views;
    for (const auto &field : fields)
        views.emplace_back(toStd(field.name_string()), toStd(field.value()));
    return views;
}

/*!
    Returns the head of a request, with room for \a reservedBytes more.
*/
std::string formatHead(std::string_view method, std::string_view target, const FieldViews &fields,
                       std::size_t bodyBytes, std::size_t reservedBytes)
{
    constexpr std::size_t typicalHeadBytes = 1024;
    std::string text;
    text.reserve(typicalHeadBytes + reservedBytes);
    text.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
    for (const auto &[name, value] : fields)
        text.append(name).append(": ").append(value).append("\r\n");
    if (bodyBytes > 0 || (method != "GET" && method != "HEAD" && method != "DELETE"))
        text.append("Content-Length: ").append(std::to_string(bodyBytes)).append("\r\n");
    return text.append("\r\n");
}

} // namespace

std::string formatRequest(std::string_view method, std::string_view target,
                          const HttpFields &fields, std::string_view body)
{
    return formatRequest(method, target, viewFields(fields), body);
}

std::string formatRequest(std::string_view method, std::string_view target,
                          const FieldViews &fields, std::string_view body)
{
    return formatHead(method, target, fields, body.size(), body.size()).append(body);
}

std::string formatRequestHead(std::string_view method, std::string_view target,
                              const HttpFields &fields, std::size_t bodyBytes)
{
    return formatHead(method, target, viewFields(fields), bodyBytes, 0);
}

std::string encodeUrlComponent(std::string_view text)
{
    return boost::urls::encode({text.data(), text.size()}, boost::urls::unreserved_chars);
}

std::optional<Tcp::endpoint> parseTcpEndpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    const std::string_view digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size() || port == 0)
        return std::nullopt;
    boost::system::error_code ec;
    const auto address = asio::ip::make_address_v4(std::string(text.substr(0, colon)), ec);
    if (ec)
        return std::nullopt;
    return Tcp::endpoint(address, port);
}

} // namespace sesame
