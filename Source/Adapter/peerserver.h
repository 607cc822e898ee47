#pragma once

#include "Adapter/peermessage.h"
#include "Core/nodesettings.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace sesame {

//! Options of PeerServer::start().
struct PeerServerOptions
{
    Endpoint address;
    PeerIdentity identity;
    std::size_t workers = 32; //!< Number of messages handled concurrently. Each may need memory for
                              //!< a frame of peerFrameLimitBytes.
    //! Time without data after which a connection is closed.
    std::chrono::milliseconds idleTimeout {500};
};

/*!
    Server for peer messages with a fixed number of threads.

    Peers open a new connection for each message, so that an idle peer occupies no thread. A peer
    that stalls while it sends a message occupies a thread until the idle timeout. Thrift's
    non-blocking server is not used because it needs the headers of libevent.
*/
class PeerServer
{
public:
    /*!
        Called for each request whose authentication code is valid, from several threads at once.
    */
    using Handler = std::function<wire::PeerAnswer(const wire::PeerRequest &request,
                                                   std::string_view sender)>;

    /*!
        Starts to listen. Returns std::nullopt and sets the last reason if the address cannot be
        bound.
    */
    static std::optional<PeerServer> start(const PeerServerOptions &options, Handler handler);

    PeerServer(PeerServer &&other) noexcept;
    PeerServer &operator=(PeerServer &&other) noexcept;
    ~PeerServer();

    void stop();

private:
    struct State;
    explicit PeerServer(std::unique_ptr<State> state);

    std::unique_ptr<State> m_state;
};

} // namespace sesame
