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

struct PeerServerOptions
{
    Endpoint address;
    PeerIdentity identity;
    std::size_t workers = 32; //!< Messages handled at once; each may occupy one frame of memory.
    std::chrono::milliseconds idleTimeout {500}; //!< Closes connections of silent senders.
};

/*!
    Answers peer messages with a fixed number of threads.

    Peers open a connection for each message, so that idle peers occupy no thread; one that stalls
    within a message occupies a thread until the idle timeout. Thrift's non-blocking server would
    need the headers of libevent.
*/
class PeerServer
{
public:
    /*!
        Called for each authentic request, from several threads at once.
    */
    using Handler = std::function<wire::PeerAnswer(const wire::PeerRequest &request,
                                                   std::string_view sender)>;

    /*!
        Starts to listen. Returns std::nullopt with a last reason if the address cannot be bound.
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
