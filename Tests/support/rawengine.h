#pragma once

#include "Http/httptypes.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace sesame::test {

/*!
    A backend server that answers each request with given bytes once its head has arrived, and then
    keeps or ends the connection or sends more without end. It writes answers that an HTTP server
    would not.
*/
class RawEngine
{
public:
    enum class End { Keep, Close, Reset };

    RawEngine(asio::io_context &context, const Tcp::endpoint &address)
        : m_acceptor(context, address)
    {
        accept();
    }

    /*!
        Sets the bytes of the following answers, in which "ID" stands for the attempt ID of the
        request, and how the connection ends after them.
    */
    void setAnswer(std::string answer, End end)
    {
        m_answer = std::move(answer);
        m_end = end;
    }

    /*!
        Makes the following answers go on with \a block, again and again, until the connection is
        closed. An empty block ends them as setAnswer() says.
    */
    void setEndlessBlock(std::string block) { m_endlessBlock = std::move(block); }

    /*!
        Makes connections use segments of the size of real networks, so that the buffers of both
        sockets hold less of a long request than on the loopback device.
    */
    void limitSegments()
    {
        constexpr int ethernetSegmentBytes = 1448;
        ::setsockopt(m_acceptor.native_handle(), IPPROTO_TCP, TCP_MAXSEG, &ethernetSegmentBytes,
                     sizeof(ethernetSegmentBytes));
    }

    Tcp::endpoint address() const { return m_acceptor.local_endpoint(); }

    int requestCount() const { return m_requestCount; }

    /*!
        Returns the head of the last request, with what has arrived of its body.
    */
    const std::string &lastRequest() const { return m_lastRequest; }

    /*!
        Returns the number of connections that have carried a request.
    */
    int usedConnectionCount() const { return m_usedConnectionCount; }

    /*!
        Returns the number of bytes that were sent beyond the answers.
    */
    std::size_t endlessBytes() const { return m_endlessBytes; }

private:
    struct Exchange
    {
        explicit Exchange(Tcp::socket connection) : socket(std::move(connection)) { }

        Tcp::socket socket;
        std::string input;
        std::string output;
        bool isUsed = false; //!< A request has arrived.
    };

    void accept()
    {
        m_acceptor.async_accept([this](const boost::system::error_code &ec, Tcp::socket socket) {
            if (ec)
                return;
            serve(std::make_shared<Exchange>(std::move(socket)));
            accept();
        });
    }

    void serve(const std::shared_ptr<Exchange> &exchange)
    {
        asio::async_read_until(exchange->socket, asio::dynamic_buffer(exchange->input), "\r\n\r\n",
                               [this, exchange](const boost::system::error_code &ec, std::size_t) {
                                   if (!ec)
                                       answer(exchange);
                               });
    }

    void answer(const std::shared_ptr<Exchange> &exchange)
    {
        ++m_requestCount;
        m_lastRequest = exchange->input;
        if (!std::exchange(exchange->isUsed, true))
            ++m_usedConnectionCount;
        constexpr std::string_view idField = "Sesameproxy-Attempt-Id: ";
        const std::size_t start = exchange->input.find(idField) + idField.size();
        const std::string id = exchange->input.substr(start,
                                                      exchange->input.find('\r', start) - start);
        exchange->output = m_answer;
        const std::size_t at = exchange->output.find("ID");
        if (at != std::string::npos)
            exchange->output.replace(at, 2, id);
        asio::async_write(exchange->socket, asio::buffer(exchange->output),
                          [this, exchange](const boost::system::error_code &ec, std::size_t) {
                              if (!ec && !m_endlessBlock.empty()) {
                                  exchange->output = m_endlessBlock;
                                  sendEndless(exchange);
                              } else {
                                  end(exchange);
                              }
                          });
    }

    void sendEndless(const std::shared_ptr<Exchange> &exchange)
    {
        asio::async_write(exchange->socket, asio::buffer(exchange->output),
                          [this, exchange](const boost::system::error_code &ec, std::size_t n) {
                              m_endlessBytes += n;
                              if (!ec)
                                  sendEndless(exchange);
                          });
    }

    void end(const std::shared_ptr<Exchange> &exchange)
    {
        if (m_end == End::Keep) {
            exchange->input.clear();
            serve(exchange);
            return;
        }
        if (m_end == End::Reset) {
            resetLater(exchange);
            return;
        }
        boost::system::error_code ignored; // The socket is not used again.
        exchange->socket.shutdown(Tcp::socket::shutdown_send, ignored);
        exchange->socket.close(ignored);
    }

    /*!
        Resets the connection when the peer has had time to read the answer, so that the reset meets
        a peer that waits for more.
    */
    static void resetLater(const std::shared_ptr<Exchange> &exchange)
    {
        constexpr std::chrono::milliseconds readTime {50};
        const auto timer = std::make_shared<asio::steady_timer>(exchange->socket.get_executor(),
                                                                readTime);
        timer->async_wait([timer, exchange](const boost::system::error_code &) {
            boost::system::error_code ignored; // The socket is not used again.
            exchange->socket.set_option(asio::socket_base::linger(true, 0), ignored);
            exchange->socket.close(ignored);
        });
    }

    Tcp::acceptor m_acceptor;
    std::string m_answer;
    std::string m_lastRequest;
    std::string m_endlessBlock;
    std::size_t m_endlessBytes = 0;
    End m_end = End::Close;
    int m_requestCount = 0;
    int m_usedConnectionCount = 0;
};

} // namespace sesame::test
