#pragma once

#include "Http/clientconnection.h"

namespace sesame {

//! Result of HttpCaller::call().
struct CallResponse
{
    unsigned status = 0; //!< HTTP status, or 0 if no complete response arrived. The request
                         //!< may then have taken effect, unless wasSent is false.
    HttpFields fields {}; //!< Fields of the head.
    std::string body;
    bool wasSent = true; //!< False if no connection could be established, so that the server
                         //!< received nothing.
};

/*!
    Sends requests to one server. At most one idle connection is kept for reuse.
*/
class HttpCaller
{
public:
    using Completion = std::function<void(CallResponse)>;

    HttpCaller(asio::io_context &context, const Tcp::endpoint &address)
        : m_context(context), m_address(address)
    {
    }

    /*!
        Sends a request and calls \a completion once with the response. \a timeout covers
        connecting, sending the request and receiving the whole response. A Host field with the
        server's address is added if \a fields has none.
    */
    void call(std::string_view method, std::string_view target, const HttpFields &fields,
              std::string_view body, std::chrono::milliseconds timeout, Completion completion);

private:
    asio::io_context &m_context;
    Tcp::endpoint m_address;
    //! The idle connection. Calls in progress share ownership because they may outlive this object.
    std::shared_ptr<std::shared_ptr<ClientConnection>> m_idle
            = std::make_shared<std::shared_ptr<ClientConnection>>();
};

} // namespace sesame
