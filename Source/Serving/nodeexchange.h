#pragma once

#include "Serving/servingstate.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>

namespace sesame {

/*!
    Tells the peers several times a second what this node has and spends, and takes their
    reports. A report repeats all counters, so a lost datagram is made good by the next one.
*/
class NodeExchange
{
public:
    NodeExchange(ServingState &state, asio::io_context &context);

    /*!
        Binds the exchange port. Returns the error, if there is one.
    */
    boost::system::error_code open();

    /*!
        Sends a report to every known peer now, for example before the process stops.
    */
    void sendReports();

    void setReady(bool ready) { m_ready = ready; }
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
