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

//! Names and values of header fields. The server compares names without regard to case; the client
//! sends them as given.
using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

/*!
    A request that is passed to a handler. The lookup functions return copies because the connection
    owns the memory.
*/
struct HttpRequest
{
    std::string method;
    std::string path; //!< Path of the request target without the query, decoded.
    std::string encodedPath; //!< The same as it was sent. Only this one may go into another call.
    std::string body;
    //! Returns the value of a header field, or std::nullopt if it is missing.
    std::function<std::optional<std::string>(const char *name)> header;
    //! Returns the value of a query parameter, or std::nullopt if it is missing.
    std::function<std::optional<std::string>(const char *name)> query;
};

/*!
    Returns the next part of a streamed body, or std::nullopt at its end. May block.
*/
using HttpBodyReader = std::function<std::optional<std::string>()>;

//! A response that a handler returns.
struct HttpResponse
{
    int status = 200;
    HttpHeaders headers;
    std::string body;
    HttpBodyReader bodyReader; //!< If set, the body is streamed from it and \c body is ignored.
    std::function<void()> closedHandler; //!< Called once when a streamed response has ended or its
                                         //!< client has disconnected.
    bool abortsConnection = false; //!< Sends the header, then closes the connection before the body
                                   //!< is complete. Stand-ins use this to simulate a failure.
};

/*!
    A request that a client sends.
*/
struct HttpCall
{
    std::string method = "GET";
    std::string url;
    HttpHeaders headers;
    std::string body;
    std::chrono::milliseconds timeout {5000};
};

//! A reply that a client has received.
struct HttpReply
{
    int status = 0;
    std::string body;
    HttpHeaders headers; //!< The names are in lower case.

    /*!
        Returns the value of the header field \a name, which must be given in lower case, or an
        empty view if the field is missing.
    */
    std::string_view header(std::string_view name) const;
};

} // namespace sesame
