#pragma once

#include "Http/serverconnection.h"

#include <boost/asio/io_context.hpp>

#include <vector>

namespace sesame {

/*!
    Accepts HTTP connections on one address and passes each request to the same handler.
*/
class Listener
{
public:
    /*!
        Creates a listener that calls \a handler for each request. A connection beyond
        \a connectionLimit takes the place of one without a complete request; if there is none, it
        is closed when it is accepted.
    */
    Listener(asio::io_context &context, RequestHandler handler, std::size_t connectionLimit);
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;
    ~Listener();

    /*!
        Binds \a address and starts to accept connections. Returns the error if that fails.
    */
    boost::system::error_code open(const Tcp::endpoint &address);

    /*!
        Sets the limits for requests. They also apply to connections that are already open.
    */
    void setLimits(const ClientLimits &limits) { m_state->limits = limits; }

    /*!
        Makes the connections share \a memory, and bounds what the kernel receives for each of them
        before it is read. A request also uses \a handlerBytes, and \a bodyCopies times its body.
        Must be called before open().
    */
    void setMemory(std::shared_ptr<ClientMemory> memory, std::size_t handlerBytes = 0,
                   std::size_t bodyCopies = 1);

    /*!
        Sets the function that is called for each request that is rejected without the handler, or
        that the handler failed on.
    */
    void setRejectionHandler(RejectionHandler handler)
    {
        m_state->rejectionHandler = std::move(handler);
    }

    /*!
        Adds "Connection: close" to each response from now on and closes its connection after it.
    */
    void announceClose() { m_state->closing = true; }

    /*!
        Stops accepting connections and closes the idle ones. Requests in progress are completed.
    */
    void close();

    //! Returns the number of requests whose response is not completely written.
    std::size_t openRequests() const { return m_state->openRequests; }
    std::size_t connections() const { return m_state->connections; }

private:
    void accept();
    void add(Tcp::socket socket);
    bool closeLeastUseful();

    Tcp::acceptor m_acceptor;
    asio::steady_timer m_retryTimer;
    std::shared_ptr<ListenerState> m_state;
    std::vector<std::weak_ptr<ServerConnection>> m_connections;
    std::size_t m_connectionLimit;
};

} // namespace sesame
