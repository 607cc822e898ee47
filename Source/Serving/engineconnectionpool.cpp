#include "Serving/engineconnectionpool.h"

#include <algorithm>

namespace sesame {

namespace {

using namespace std::chrono_literals;

//! A TCP handshake takes one round trip and a few milliseconds. A lost packet is retransmitted
//! after about a second; by then, another engine would have responded.
constexpr auto connectTimeout = 400ms;
//! Maximum idle time of a connection that is reused for a request that must not be repeated.
constexpr auto maxRecentIdleTime = 1500ms;

} // namespace

bool EngineConnectionPool::acquire(const std::string &engine, const Tcp::endpoint &address,
                                   int limit, bool recentOnly, Completion completion)
{
    PooledEngine &pooledEngine = m_engines[engine];
    if (const Connection reused = takeIdle(pooledEngine, recentOnly)) {
        completion({}, reused);
        return true;
    }
    if (limit > 0 && pooledEngine.openCount >= limit) {
        if (pooledEngine.idle.empty())
            return false;
        closeIdle(engine);
    }
    ++pooledEngine.openCount;
    const auto connection = std::make_shared<ClientConnection>(m_context);
    connection->connect(address, connectTimeout,
                        [this, engine, connection,
                         completion = std::move(completion)](const boost::system::error_code &ec) {
                            if (ec) {
                                --m_engines[engine].openCount;
                                completion(ec, nullptr);
                                return;
                            }
                            completion(ec, connection);
                        });
    return true;
}

EngineConnectionPool::Connection EngineConnectionPool::takeIdle(PooledEngine &engine,
                                                                bool recentOnly)
{
    const auto now = ClientConnection::Clock::now();
    // The engine is least likely to be closing the most recently used connection.
    while (!engine.idle.empty()) {
        Connection connection = engine.idle.back();
        if (recentOnly && now - connection->idleSince() > maxRecentIdleTime)
            return nullptr;
        engine.idle.pop_back();
        connection->setIdleClosedHandler(nullptr);
        if (connection->isReusable(now))
            return connection;
        connection->close();
        --engine.openCount;
    }
    return nullptr;
}

void EngineConnectionPool::release(const std::string &engine, const Connection &connection)
{
    PooledEngine &pooledEngine = m_engines[engine];
    if (!connection->isReusable(ClientConnection::Clock::now())) {
        connection->close();
        --pooledEngine.openCount;
        return;
    }
    const std::weak_ptr<ClientConnection> weak = connection;
    connection->setIdleClosedHandler([this, engine, weak] {
        if (const Connection closed = weak.lock())
            removeIdle(engine, closed);
    });
    pooledEngine.idle.push_back(connection);
}

void EngineConnectionPool::removeIdle(const std::string &engine, const Connection &connection)
{
    PooledEngine &pooledEngine = m_engines[engine];
    const auto found = std::find(pooledEngine.idle.begin(), pooledEngine.idle.end(), connection);
    if (found == pooledEngine.idle.end())
        return;
    pooledEngine.idle.erase(found);
    --pooledEngine.openCount;
}

void EngineConnectionPool::closeIdle(const std::string &engine)
{
    PooledEngine &pooledEngine = m_engines[engine];
    for (const Connection &connection : std::exchange(pooledEngine.idle, {})) {
        connection->setIdleClosedHandler(nullptr);
        connection->close();
        --pooledEngine.openCount;
    }
}

void EngineConnectionPool::closeExpired()
{
    const auto now = ClientConnection::Clock::now();
    for (auto &[id, engine] : m_engines) {
        while (!engine.idle.empty() && !engine.idle.front()->isReusable(now)) {
            engine.idle.front()->setIdleClosedHandler(nullptr);
            engine.idle.front()->close();
            engine.idle.pop_front();
            --engine.openCount;
        }
    }
    std::erase_if(m_engines, [](const auto &item) {
        return item.second.openCount == 0;
    });
}

} // namespace sesame
