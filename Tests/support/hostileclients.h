#pragma once

#include "Http/httptypes.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <memory>
#include <string>
#include <vector>

namespace sesame::test {

/*!
    Connections that each send a given text to a node and then stay open without sending more. They
    are not opened again after the node closes them.
*/
class HostileClients
{
public:
    HostileClients(asio::io_context &context, const Tcp::endpoint &address)
        : m_context(context), m_address(address)
    {
    }

    HostileClients(const HostileClients &) = delete;
    HostileClients &operator=(const HostileClients &) = delete;

    ~HostileClients()
    {
        for (const auto &client : m_clients)
            client->close();
    }

    /*!
        Opens \a count connections that send \a text. Their answers are read and discarded unless
        \a readsAnswers is false; then the receive buffer is as small as the kernel allows.
    */
    void open(int count, const std::string &text, bool readsAnswers = true)
    {
        const auto shared = std::make_shared<const std::string>(text);
        for (int i = 0; i < count; ++i) {
            m_clients.push_back(std::make_shared<Client>(m_context, shared));
            m_clients.back()->start(m_address, readsAnswers);
        }
    }

    /*!
        Returns whether each connection has sent its text or was closed by the node.
    */
    bool haveSent() const
    {
        for (const auto &client : m_clients) {
            if (!client->hasSent)
                return false;
        }
        return true;
    }

private:
    struct Client : std::enable_shared_from_this<Client>
    {
        Client(asio::io_context &context, std::shared_ptr<const std::string> sent)
            : socket(context), text(std::move(sent))
        {
        }

        void start(const Tcp::endpoint &address, bool readsAnswers)
        {
            socket.open(address.protocol());
            if (!readsAnswers)
                socket.set_option(Tcp::socket::receive_buffer_size(1));
            socket.async_connect(
                    address,
                    [self = shared_from_this(), readsAnswers](const boost::system::error_code &ec) {
                        if (ec) {
                            self->hasSent = true;
                            return;
                        }
                        if (readsAnswers)
                            self->read();
                        asio::async_write(self->socket, asio::buffer(*self->text),
                                          [self](const boost::system::error_code &, std::size_t) {
                                              self->hasSent = true;
                                          });
                    });
        }

        void read()
        {
            socket.async_read_some(
                    asio::buffer(received),
                    [self = shared_from_this()](const boost::system::error_code &ec, std::size_t) {
                        if (!ec)
                            self->read();
                        else
                            self->close();
                    });
        }

        void close()
        {
            boost::system::error_code ignored; // The socket is not used again.
            socket.close(ignored);
        }

        Tcp::socket socket;
        std::shared_ptr<const std::string> text;
        std::array<char, 4096> received {};
        bool hasSent = false;
    };

    asio::io_context &m_context;
    Tcp::endpoint m_address;
    std::vector<std::shared_ptr<Client>> m_clients;
};

} // namespace sesame::test
