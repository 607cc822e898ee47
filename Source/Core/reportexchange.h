#pragma once

#include "Core/deploymenttally.h"
#include "Core/peerdirectory.h"
#include "Core/ports.h"

#include <exchange_types.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sesame {

/*!
    A datagram for another node.
*/
struct OutgoingDatagram
{
    std::string receiver; //!< Name of the node.
    wire::Datagram datagram;
};

/*!
    What a node tells others with its next datagrams.
*/
struct ReportInputs
{
    wire::Sender sender; //!< The sequence number is filled in by the exchange.
    wire::Tally own; //!< Counters and load of this node.
    //! Requests that started to run in the zone of this node, by window and account.
    std::map<std::int64_t, std::map<std::string, std::int64_t>> zoneBegan;
};

/*!
    Determines which datagrams a node sends to which other nodes, and takes over what it receives.

    Each node sends its report to the aggregators of its zone and asks one of them for digests. An
    aggregator sends the sum of its zone to the aggregators of the other zones, and digests with the
    sums over all zones to the nodes of its zone that ask for them. So a node that is no aggregator
    exchanges datagrams with two others however large the deployment is.
*/
class ReportExchange
{
public:
    //! Version of the format of datagrams.
    static constexpr std::int32_t formatVersion = 2;

    /*!
        \a firstSequence is larger than any sequence number of an earlier process of the node.
    */
    ReportExchange(PeerDirectory &peers, DeploymentTally &tally, std::int64_t firstSequence)
        : m_peers(peers), m_tally(tally), m_sequence(firstSequence)
    {
    }

    /*!
        Returns the interval between two rounds of datagrams.
    */
    Duration interval(Timestamp now) const;

    /*!
        Returns the datagrams of the next round.
    */
    std::vector<OutgoingDatagram> makeDatagrams(const ReportInputs &inputs, Timestamp now);

    /*!
        Takes over \a datagram. Returns the growth of the other nodes' counters.
    */
    TallyGrowth apply(const wire::Datagram &datagram, Timestamp now);

    /*!
        Returns whether \a datagram has the format that this node understands and comes from another
        node.
    */
    bool isAcceptable(const wire::Datagram &datagram) const;

    /*!
        Returns the aggregator that this node asks for digests; empty if there is none.
    */
    const std::string &primary() const { return m_primary; }

private:
    /*!
        A list that is sent when it has changed, and otherwise from time to time.
    */
    struct SentList
    {
        std::string bytes;
        Timestamp sentAt {};

        bool isDue(const std::string &current, Timestamp now);
    };

    void choosePrimary(const std::vector<std::string> &aggregators, Timestamp now);
    void addMemberReports(std::vector<OutgoingDatagram> &datagrams, const wire::Datagram &base,
                          const ReportInputs &inputs, Timestamp now);
    void addZoneReports(std::vector<OutgoingDatagram> &datagrams, const wire::Datagram &base,
                        const ReportInputs &inputs, Timestamp now);
    void addDigests(std::vector<OutgoingDatagram> &datagrams, const wire::Datagram &base,
                    const ReportInputs &inputs, Timestamp now);

    PeerDirectory &m_peers;
    DeploymentTally &m_tally;
    std::int64_t m_sequence;
    std::string m_primary; //!< The aggregator that this node asks for digests.
    Timestamp m_primarySince {};
    Timestamp m_nextProbe {}; //!< Time of the next datagrams to the usual aggregators.
    bool m_isProbing = false; //!< The datagrams of this round also go to the usual aggregators.
    SentList m_sentMembers;
    SentList m_sentZones;
};

} // namespace sesame
