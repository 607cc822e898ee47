#pragma once

#include "Core/ports.h"
#include "Http/clientconnection.h"

#include <deque>
#include <string>
#include <unordered_map>

namespace sesame {

/*!
    Pool of connections to engines. The number of connections to each engine is limited because an
    engine resets connections beyond its own limit.
*/
class EngineConnectionPool
{
public:
    using Connection = std::shared_ptr<ClientConnection>;
    using Completion = std::function<void(const boost::system::error_code &, Connection)>;

    explicit EngineConnectionPool(asio::io_context &context) : m_context(context) { }

    /*!
        Passes an idle or a new connection to \a engine at \a address to \a completion.

        Returns false without calling \a completion if \a limit connections to the engine are in
        use; a \a limit of 0 means no limit. With \a recentOnly, an idle connection is reused only
        if its last response is so recent that the engine cannot have closed it for being idle.
    */
    bool acquire(const std::string &engine, const Tcp::endpoint &address, int limit,
                 bool recentOnly, Completion completion);

    /*!
        Returns \a connection to the pool, or closes it if it cannot carry another request.
    */
    void release(const std::string &engine, const Connection &connection);

    /*!
        Closes the idle connections to \a engine.
    */
    void closeIdle(const std::string &engine);

    /*!
        Closes the connections that have been idle for too long.
    */
    void closeExpired();

private:
    struct PooledEngine
    {
        int openCount = 0; //!< Number of connections, including idle ones.
        std::deque<Connection> idle; //!< The most recently used connection is last.
    };

    Connection takeIdle(PooledEngine &engine, bool recentOnly);
    void removeIdle(const std::string &engine, const Connection &connection);

    asio::io_context &m_context;
    std::unordered_map<std::string, PooledEngine> m_engines;
};

} // namespace sesame
