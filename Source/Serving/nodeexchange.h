#pragma once

#include "Core/reportexchange.h"
#include "Serving/servingstate.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>

namespace sesame {

/*!
    Exchanges reports, sums and digests with the other nodes over UDP several times a second, see
    ReportExchange. Every datagram contains the full values of all counters, so
    that the next one replaces a lost one.
*/
class NodeExchange
{
public:
    //! Receives which state of the stored objects another node has.
    using VersionHandler = std::function<void(const wire::Sender &)>;

    NodeExchange(ServingState &state, asio::io_context &context, VersionHandler versionHandler);

    /*!
        Binds the exchange port and starts sending and receiving. Returns the error if this fails.
    */
    boost::system::error_code open();

    /*!
        Asks \a node for the origin of streams.
    */
    void ask(const std::string &node, const wire::StreamQuestion &question);

    /*!
        Sends the reports immediately, for example before the process exits.
    */
    void sendReports();

    //! Sets the readiness that reports state.
    void setReady(bool ready) { m_ready = ready; }

    /*!
        Returns the time of the last datagram from another node; zero if there was none.
    */
    Timestamp lastHeardAt() const { return m_lastHeardAt; }

private:
    using Udp = asio::ip::udp;

    void scheduleReport();
    void receive();
    void handleDatagram(std::string_view bytes);
    void applyDatagram(const wire::Datagram &datagram);
    bool applyStreamMessage(const wire::Datagram &datagram);
    wire::Datagram makeStreamMessage() const;
    void charge(const TallyGrowth &growth);
    void mergeRolloutSteps(const wire::Datagram &datagram);
    void mergeUsage(const wire::Datagram &datagram);
    wire::Sender makeSender() const;
    wire::Tally makeTally() const;
    std::map<std::int64_t, AccountCounts> makeZoneBegan() const;
    void send(const wire::Datagram &datagram, const std::string &node);

    ServingState &m_state;
    Udp::socket m_socket;
    asio::steady_timer m_timer;
    VersionHandler m_versionHandler;
    Udp::endpoint m_sender;
    std::array<char, 65536> m_buffer {};
    ReportExchange m_reports;
    bool m_ready = false;
    Timestamp m_lastHeardAt {};
    Timestamp m_peerStateRefreshedAt {};
};

} // namespace sesame
