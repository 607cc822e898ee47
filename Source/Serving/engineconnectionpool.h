#pragma once

#include "Core/ports.h"
#include "Http/clientconnection.h"

#include <deque>
#include <string>
#include <unordered_map>

namespace sesame {

/*!
    Connections to engines, kept for later requests. The number for each engine is bounded,
    because an engine resets connections beyond its limit.
*/
class EngineConnectionPool
{
public:
    using Connection = std::shared_ptr<ClientConnection>;
    using Completion = std::function<void(const boost::system::error_code &, Connection)>;

    explicit EngineConnectionPool(asio::io_context &context) : m_context(context) { }

    /*!
        Passes a connection to \a engine at \a address to \a completion, a kept one or a new one.
        Returns false, and does not call \a completion, if the engine has \a limit connections.
        \a recentOnly asks for one whose last answer is so recent that the engine's idle time-out
        cannot have ended.
    */
    bool acquire(const std::string &engine, const Tcp::endpoint &address, int limit,
                 bool recentOnly, Completion completion);

    /*!
        Takes back a connection. It is kept if it can carry another request, closed otherwise.
    */
    void release(const std::string &engine, const Connection &connection);

    /*!
        Closes the idle connections of \a engine.
    */
    void closeIdle(const std::string &engine);

    /*!
        Closes connections that have been idle for too long.
    */
    void closeExpired();

private:
    struct PooledEngine
    {
        int openCount = 0; //!< Connections, idle ones included.
        std::deque<Connection> idle;
    };

    Connection takeIdle(PooledEngine &engine, bool recentOnly);
    void removeIdle(const std::string &engine, const Connection &connection);

    asio::io_context &m_context;
    std::unordered_map<std::string, PooledEngine> m_engines;
};

} // namespace sesame
