#pragma once

#include "Adapter/httpmessage.h"
#include "Core/nodesettings.h"

#include <cstddef>
#include <memory>
#include <optional>

namespace sesame {

//! Options of HttpServer::start().
struct HttpServerOptions
{
    Endpoint address;
    std::size_t bodyLimitBytes = 1U << 20U;
    unsigned connectionLimit = 4096;
    //! Timeout for idle connections and for clients that send slowly.
    unsigned idleTimeoutSeconds = 30;
    //! Bytes that the server may hold for clients; 0 if they are not limited.
    std::size_t clientMemoryBytes = 0;
};

/*!
    HTTP server that handles connections in one event loop and each request in its own thread.
*/
class HttpServer
{
public:
    using Handler = std::function<HttpResponse(const HttpRequest &)>;

    /*!
        Starts to listen and passes every request to \a handler, which is called from several
        threads at once. Returns std::nullopt and sets the last reason if the address cannot be
        bound.
    */
    static std::optional<HttpServer> start(const HttpServerOptions &options, Handler handler);

    HttpServer(HttpServer &&other) noexcept;
    HttpServer &operator=(HttpServer &&other) noexcept;
    ~HttpServer();

    /*!
        Returns the number of requests whose handler has not returned or whose response is not yet
        passed to the event loop completely.
    */
    std::size_t activeRequests() const;

    /*!
        Closes the listening socket, ends streamed responses and waits for the requests in progress,
        then closes all connections.
    */
    void stop();

private:
    struct State;
    explicit HttpServer(std::unique_ptr<State> state);

    std::unique_ptr<State> m_state;
};

} // namespace sesame
