#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sesame {

//! Header names compare without case on the server side; the client sends them as given.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/*!
    A request as a handler sees it. Lookups copy, because the connection owns the memory.
*/
struct HttpRequest
{
    std::string method;
    std::string path; //!< Without the query.
    std::string body;
    std::function<std::optional<std::string>(const char *name)> header;
    std::function<std::optional<std::string>(const char *name)> query;
};

/*!
    Yields the next part of a streamed body, or std::nullopt at its end. May block.
*/
using HttpBodyReader = std::function<std::optional<std::string>()>;

struct HttpResponse
{
    int status = 200;
    HttpHeaders headers;
    std::string body;
    HttpBodyReader bodyReader; //!< If set, the body is streamed and \c body is unused.
    std::function<void()>
            closedHandler; //!< Called once when a streamed response ends or its caller is gone.
    bool abortsConnection
            = false; //!< Closes the connection before the body is complete (for stand-ins).
};

/*!
    A call made by a client.
*/
struct HttpCall
{
    std::string method = "GET";
    std::string url;
    HttpHeaders headers;
    std::string body;
    std::chrono::milliseconds timeout {5000};
};

struct HttpReply
{
    int status = 0;
    std::string body;
    HttpHeaders headers; //!< Names in lower case.

    /*!
        Returns the value of header \a name, given in lower case, or an empty view.
    */
    std::string_view header(std::string_view name) const;
};

} // namespace sesame
