#include "Http/listener.h"

#include <algorithm>

namespace sesame {

namespace {

using namespace std::chrono_literals;

constexpr int listenBacklog = 1024;
//! Delay before accept is retried after an error. The usual cause is that the process has run out
//! of file descriptors.
constexpr auto acceptRetryDelay = 50ms;
//! Closed connections are removed from the list when it has twice as many entries as there are open
//! connections, but not before it has this many entries.
constexpr std::size_t minPruneThreshold = 256;

} // namespace

Listener::Listener(asio::io_context &context, RequestHandler handler, std::size_t connectionLimit)
    : m_acceptor(context), m_retryTimer(context), m_state(std::make_shared<ListenerState>()),
      m_connectionLimit(connectionLimit)
{
    m_state->handler = std::move(handler);
}

Listener::~Listener()
{
    close();
}

boost::system::error_code Listener::open(const Tcp::endpoint &address)
{
    boost::system::error_code ec;
    m_acceptor.open(address.protocol(), ec);
    if (!ec)
        m_acceptor.set_option(Tcp::acceptor::reuse_address(true), ec);
    if (!ec)
        m_acceptor.bind(address, ec);
    if (!ec)
        m_acceptor.listen(listenBacklog, ec);
    if (!ec)
        accept();
    return ec;
}

void Listener::accept()
{
    m_acceptor.async_accept([this](const boost::system::error_code &ec, Tcp::socket socket) {
        if (ec == asio::error::operation_aborted || !m_acceptor.is_open())
            return;
        if (ec) {
            m_retryTimer.expires_after(acceptRetryDelay);
            m_retryTimer.async_wait([this](const boost::system::error_code &waitError) {
                if (!waitError && m_acceptor.is_open())
                    accept();
            });
            return;
        }
        if (m_state->connections < m_connectionLimit) {
            if (m_connections.size() >= std::max(minPruneThreshold, 2 * m_state->connections))
                std::erase_if(m_connections, [](const auto &weak) {
                    return weak.expired();
                });
            const auto connection = std::make_shared<ServerConnection>(std::move(socket), m_state);
            m_connections.push_back(connection);
            connection->start();
        }
        accept();
    });
}

void Listener::close()
{
    boost::system::error_code ignored; // The acceptor is not used again.
    m_acceptor.close(ignored);
    m_retryTimer.cancel();
    m_state->closing = true;
    for (const auto &weak : std::exchange(m_connections, {})) {
        if (const auto connection = weak.lock())
            connection->closeWhenIdle();
    }
}

} // namespace sesame
