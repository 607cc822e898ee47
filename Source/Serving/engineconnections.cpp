#include "Serving/engineconnections.h"

#include <algorithm>

namespace sesame {

namespace {

using namespace std::chrono_literals;

//! A handshake takes one round trip and a few milliseconds; a lost packet is sent again after
//! about a second, when another engine would have answered.
constexpr auto connectTimeout = 400ms;
//! Requests that may run only once use connections whose last answer is this recent.
constexpr auto freshIdle = 1500ms;

} // namespace

bool EngineConnections::acquire(const std::string &engine, const Tcp::endpoint &address, int limit,
                                bool freshOnly, Completion completion)
{
    Engine &entry = m_engines[engine];
    if (const Connection kept = takeIdle(entry, freshOnly)) {
        completion({}, kept);
        return true;
    }
    if (limit > 0 && entry.open >= limit) {
        if (entry.idle.empty())
            return false;
        dropIdle(engine);
    }
    ++entry.open;
    const auto connection = std::make_shared<ClientConnection>(m_context);
    connection->connect(address, connectTimeout,
                        [this, engine, connection,
                         completion = std::move(completion)](const boost::system::error_code &ec) {
                            if (ec) {
                                --m_engines[engine].open;
                                completion(ec, nullptr);
                                return;
                            }
                            completion(ec, connection);
                        });
    return true;
}

EngineConnections::Connection EngineConnections::takeIdle(Engine &engine, bool freshOnly)
{
    const auto now = ClientConnection::Clock::now();
    // The newest is the least likely to be closed by the engine at this moment.
    while (!engine.idle.empty()) {
        Connection connection = engine.idle.back();
        if (freshOnly && now - connection->idleSince() > freshIdle)
            return nullptr;
        engine.idle.pop_back();
        connection->setIdleClosedHandler(nullptr);
        if (connection->isReusable(now))
            return connection;
        connection->close();
        --engine.open;
    }
    return nullptr;
}

void EngineConnections::release(const std::string &engine, const Connection &connection)
{
    Engine &entry = m_engines[engine];
    if (!connection->isReusable(ClientConnection::Clock::now())) {
        connection->close();
        --entry.open;
        return;
    }
    const std::weak_ptr<ClientConnection> weak = connection;
    connection->setIdleClosedHandler([this, engine, weak] {
        if (const Connection closed = weak.lock())
            forget(engine, closed);
    });
    entry.idle.push_back(connection);
}

void EngineConnections::forget(const std::string &engine, const Connection &connection)
{
    Engine &entry = m_engines[engine];
    const auto found = std::find(entry.idle.begin(), entry.idle.end(), connection);
    if (found == entry.idle.end())
        return;
    entry.idle.erase(found);
    --entry.open;
}

void EngineConnections::dropIdle(const std::string &engine)
{
    Engine &entry = m_engines[engine];
    for (const Connection &connection : std::exchange(entry.idle, {})) {
        connection->setIdleClosedHandler(nullptr);
        connection->close();
        --entry.open;
    }
}

void EngineConnections::trim()
{
    const auto now = ClientConnection::Clock::now();
    for (auto &[id, engine] : m_engines) {
        while (!engine.idle.empty() && !engine.idle.front()->isReusable(now)) {
            engine.idle.front()->setIdleClosedHandler(nullptr);
            engine.idle.front()->close();
            engine.idle.pop_front();
            --engine.open;
        }
    }
    std::erase_if(m_engines, [](const auto &item) {
        return item.second.open == 0;
    });
}

} // namespace sesame
