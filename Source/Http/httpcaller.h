#pragma once

#include "Http/clientconnection.h"

namespace sesame {

struct CallResponse
{
    unsigned status = 0; //!< 0 if no complete answer arrived; the call may have taken effect.
    std::string body;
    bool wasSent = true; //!< False if no connection could be established.
};

/*!
    Makes calls to one server, each with one time limit for connecting, sending and the whole
    answer. Keeps at most one idle connection.
*/
class HttpCaller
{
public:
    using Completion = std::function<void(CallResponse)>;

    HttpCaller(asio::io_context &context, const Tcp::endpoint &address)
        : m_context(context), m_address(address)
    {
    }

    void call(std::string_view method, std::string_view target, const HttpFields &fields,
              std::string_view body, std::chrono::milliseconds timeout, Completion completion);

private:
    asio::io_context &m_context;
    Tcp::endpoint m_address;
    //! Shared with calls under way, which may outlive this object.
    std::shared_ptr<std::shared_ptr<ClientConnection>> m_idle
            = std::make_shared<std::shared_ptr<ClientConnection>>();
};

} // namespace sesame
