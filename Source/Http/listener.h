#pragma once

#include "Http/serverconnection.h"

#include <boost/asio/io_context.hpp>

#include <vector>

namespace sesame {

/*!
    Accepts connections on one address and serves each request with the same handler.
*/
class Listener
{
public:
    Listener(asio::io_context &context, RequestHandler handler, std::size_t connectionLimit);
    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;
    ~Listener();

    /*!
        Binds \a address and begins to accept. Returns the error, if there is one.
    */
    boost::system::error_code open(const Tcp::endpoint &address);

    void setLimits(const ClientLimits &limits) { m_state->limits = limits; }

    /*!
        Marks each following answer as the last one of its connection.
    */
    void announceClose() { m_state->closing = true; }

    /*!
        Stops accepting and closes idle connections; open requests are finished.
    */
    void close();

    std::size_t openRequests() const { return m_state->openRequests; }
    std::size_t connections() const { return m_state->connections; }

private:
    void accept();

    Tcp::acceptor m_acceptor;
    asio::steady_timer m_retryTimer;
    std::shared_ptr<ListenerState> m_state;
    std::vector<std::weak_ptr<ServerConnection>> m_connections;
    std::size_t m_connectionLimit;
};

} // namespace sesame
