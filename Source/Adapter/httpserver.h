#pragma once

#include "Adapter/httpmessage.h"
#include "Core/nodesettings.h"

#include <cstddef>
#include <memory>
#include <optional>

namespace sesame {

struct HttpServerOptions
{
    Endpoint address;
    std::size_t bodyLimitBytes = 1U << 20U;
    unsigned connectionLimit = 4096;
    unsigned idleTimeoutSeconds = 30; //!< Closes connections of slow senders.
};

/*!
    HTTP server with an event loop for its connections and a thread for each request.
*/
class HttpServer
{
public:
    using Handler = std::function<HttpResponse(const HttpRequest &)>;

    /*!
        Starts to listen and passes every request to \a handler.
        Returns std::nullopt with a last reason if the address cannot be bound.
    */
    static std::optional<HttpServer> start(const HttpServerOptions &options, Handler handler);

    HttpServer(HttpServer &&other) noexcept;
    HttpServer &operator=(HttpServer &&other) noexcept;
    ~HttpServer();

    /*!
        Returns the number of requests whose answer is not completely sent.
    */
    std::size_t activeRequests() const;

    /*!
        Closes the listening socket and all connections.
    */
    void stop();

private:
    struct State;
    explicit HttpServer(std::unique_ptr<State> state);

    std::unique_ptr<State> m_state;
};

} // namespace sesame
