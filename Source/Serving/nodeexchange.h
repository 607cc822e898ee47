#pragma once

#include "Serving/servingstate.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>

namespace sesame {

/*!
    Sends the state and the counters of this node to its peers over UDP several times a second, and
    applies the reports of the peers. Every report contains the full values of all counters, so that
    the next report replaces a lost datagram.
*/
class NodeExchange
{
public:
    NodeExchange(ServingState &state, asio::io_context &context);

    /*!
        Binds the exchange port and starts sending and receiving. Returns the error if this fails.
    */
    boost::system::error_code open();

    /*!
        Sends a report to every known peer immediately, for example before the process exits.
    */
    void sendReports();

    //! Sets the readiness that reports state.
    void setReady(bool ready) { m_ready = ready; }
    //! Sets the revision of the engine list that reports state.
    void setEngineRevision(std::uint64_t revision) { m_engineRevision = revision; }

private:
    using Udp = asio::ip::udp;

    void scheduleReport();
    void receive();
    void handleReport(std::string_view bytes);
    wire::NodeReport makeReport();

    ServingState &m_state;
    Udp::socket m_socket;
    asio::steady_timer m_timer;
    Udp::endpoint m_sender;
    std::array<char, 65536> m_buffer {};
    std::int64_t m_sequence = 0;
    bool m_ready = false;
    std::uint64_t m_engineRevision = 0;
};

} // namespace sesame
