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
//! Part of the memory budget that all receive buffers of a listener together may use, as a divisor.
//! What the kernel has received counts against the memory of the machine.
constexpr std::size_t receiveShareDivisor = 2;
//! The kernel doubles the size that is set. With 16 KiB, 2,000 connections that send at once had
//! 43 MB in the kernel, with 8 KiB 19 MB; a body of 4 MiB took 35 ms on the loopback with both.
constexpr std::size_t minReceiveBytes = 8192;
constexpr std::size_t maxReceiveBytes = 65'536;

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
    if (!ec && m_state->memory && m_state->memory->budget().limitBytes() > 0) {
        const std::size_t share = m_state->memory->budget().limitBytes() / receiveShareDivisor
                / std::max<std::size_t>(m_connectionLimit, 1);
        const std::size_t bytes = std::clamp(share, minReceiveBytes, maxReceiveBytes);
        // Accepted sockets inherit the size.
        m_acceptor.set_option(Tcp::socket::receive_buffer_size(static_cast<int>(bytes)), ec);
    }
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
            closeLeastUseful();
            m_retryTimer.expires_after(acceptRetryDelay);
            m_retryTimer.async_wait([this](const boost::system::error_code &waitError) {
                if (!waitError && m_acceptor.is_open())
                    accept();
            });
            return;
        }
        // The object of a closed connection may outlive it until its last operation has ended, so
        // the number of connections may exceed the limit by a few for a moment.
        if (m_state->connections < m_connectionLimit || closeLeastUseful())
            add(std::move(socket));
        accept();
    });
}

void Listener::add(Tcp::socket socket)
{
    if (m_connections.size() >= std::max(minPruneThreshold, 2 * m_state->connections))
        std::erase_if(m_connections, [](const auto &weak) {
            return weak.expired();
        });
    const auto connection = std::make_shared<ServerConnection>(std::move(socket), m_state);
    m_connections.push_back(connection);
    connection->start();
}

/*!
    Closes the connection that is least likely to carry a request soon. Returns false if all
    connections carry one.
*/
bool Listener::closeLeastUseful()
{
    std::shared_ptr<ServerConnection> found;
    std::optional<std::pair<int, std::chrono::steady_clock::time_point>> foundOrder;
    for (const auto &weak : m_connections) {
        auto connection = weak.lock();
        const auto order = connection ? connection->evictionOrder() : std::nullopt;
        if (order && (!foundOrder || *order < *foundOrder)) {
            found = std::move(connection);
            foundOrder = order;
        }
    }
    if (found)
        found->cutForDescriptors();
    return found != nullptr;
}

void Listener::setMemory(std::shared_ptr<ClientMemory> memory, std::size_t handlerBytes,
                         std::size_t bodyCopies)
{
    m_state->memory = std::move(memory);
    m_state->handlerBytes = handlerBytes;
    m_state->bodyCopies = bodyCopies;
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
