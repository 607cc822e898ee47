#pragma once

#include "Core/ports.h"

#include <exchange_types.h>

#include <functional>
#include <map>
#include <span>
#include <string>
#include <vector>

namespace sesame {

/*!
    Time limits and sizes of a PeerDirectory.
*/
struct PeerDirectoryOptions
{
    //! Nodes of each zone that collect the reports of the zone's nodes. With two of them, the
    //! zone stays in touch with the others when one of them fails.
    std::size_t aggregatorsPerZone = 2;
    //! Nodes of the whole deployment that follow the store all the time.
    std::size_t storeFollowers = 4;
    //! A node that another node listed within this time counts as running. Lists are sent each
    //! second and when they change.
    Duration listingLimit {std::chrono::milliseconds(2500)};
    //! A node that is known only from the store may be chosen as an aggregator for this time.
    Duration discoveryTime {std::chrono::seconds(3)};
    //! Time for which a node that did not answer is not chosen as an aggregator.
    Duration suspicion {std::chrono::seconds(3)};
    //! A node that is not heard of for this time is removed and loses its share of quotas. The
    //! value must exceed the longest partition during which a node continues to serve callers.
    Duration retention {std::chrono::seconds(15)};
};

/*!
    Another entry node as this node knows it.
*/
struct PeerNode
{
    wire::Member member;
    std::string zone;
    Timestamp heardAt {}; //!< Time of the last datagram from the node; zero if there is none.
    Timestamp addedAt {};
    Timestamp suspectUntil {}; //!< Until this time the node is not chosen as an aggregator.
    std::map<std::string, Timestamp> listedBy; //!< Nodes whose latest list contains this node.

    Timestamp lastSeenAt() const;
};

/*!
    The other entry nodes: who runs, where callers reach them, and which of them are aggregators.

    Nodes send their reports to the aggregators of their zone, and these exchange sums and lists of
    their zone's nodes with the aggregators of the other zones. Each node determines the aggregators
    by itself: the running nodes of a zone with the largest machines, in an order that a hash of
    their names completes. Nodes that know the same members choose the same ones; others agree as
    soon as the lists have reached them.
*/
class PeerDirectory
{
public:
    PeerDirectory(const wire::Member &self, std::string zone, PeerDirectoryOptions options = {});

    /*!
        Sets after which time without a datagram a node counts as silent. It must cover several
        intervals of the reports.
    */
    void setSilenceLimit(Duration limit) { m_silenceLimit = limit; }
    Duration silenceLimit() const { return m_silenceLimit; }

    /*!
        Adds \a member of \a zone, which the store lists, if it is not known yet.
    */
    void addListedNode(const wire::Member &member, const std::string &zone, Timestamp now);

    /*!
        Records a datagram from \a sender. Returns whether the node was not known.
    */
    bool recordSender(const wire::Sender &sender, Timestamp now);

    /*!
        Replaces the list that \a source sent of the running nodes of \a zone.
    */
    void recordMembers(const std::string &source, const std::string &zone,
                       std::span<const wire::Member> members, Timestamp now);

    /*!
        Excludes \a node from the choice of aggregators for a time, because it does not answer.
    */
    void suspect(const std::string &node, Timestamp now);

    /*!
        Removes the nodes that have not been seen for the retention time and returns their names.
    */
    std::vector<std::string> removeExpired(Timestamp now);

    /*!
        Returns the names of the aggregators of \a zone, in their order. The result contains this
        node if it is one of them.
    */
    std::vector<std::string> aggregators(const std::string &zone, Timestamp now) const;

    /*!
        Returns what aggregators() would return if all known nodes were running. A node sends
        something to them from time to time, so that nodes which have lost each other, for example
        in a network partition, find each other again.
    */
    std::vector<std::string> usualAggregators(const std::string &zone) const;

    /*!
        Returns the nodes that follow the store for the others: the first aggregators of different
        zones, and second ones if there are few zones.
    */
    std::vector<std::string> storeFollowers(Timestamp now) const;

    /*!
        Returns whether \a peer sent a datagram within the silence limit.
    */
    bool isHeard(const PeerNode &peer, Timestamp now) const;

    /*!
        Returns whether \a peer is heard, or another node listed it recently.
    */
    bool isRunning(const PeerNode &peer, Timestamp now) const;

    /*!
        Returns the running nodes of \a zone, with this node if it is in the zone.
    */
    std::vector<wire::Member> runningMembers(const std::string &zone, Timestamp now) const;

    /*!
        Returns the number of nodes of \a zone that hold a share of the quotas, with this node if
        it is in the zone.
    */
    int nodeCount(const std::string &zone) const;

    /*!
        Returns the number of those nodes of this node's zone that are not heard.
    */
    int unheardCount(Timestamp now) const;

    /*!
        Returns the names of all zones with a known node.
    */
    std::vector<std::string> zones() const;

    /*!
        Returns the addresses to which callers may connect: those of nodes that run and are ready.
        With \a includeUnseen the result also contains nodes that only the store lists, for a node
        that has just started.
    */
    std::vector<std::string> entryAddresses(Timestamp now, bool includeUnseen) const;

    /*!
        Returns the node \a name, or null.
    */
    const PeerNode *find(const std::string &name) const;

    const std::map<std::string, PeerNode> &peers() const { return m_peers; }
    const std::string &zone() const { return m_zone; }
    const std::string &self() const { return m_self.node; }

    /*!
        Sets what this node tells others about itself.
    */
    void setSelf(const wire::Member &self) { m_self = self; }
    const wire::Member &selfMember() const { return m_self; }

private:
    std::vector<std::string> rank(const std::string &zone,
                                  const std::function<bool(const PeerNode &)> &isCandidate) const;

    PeerDirectoryOptions m_options;
    wire::Member m_self;
    std::string m_zone;
    Duration m_silenceLimit {std::chrono::milliseconds(500)};
    std::map<std::string, PeerNode> m_peers;
};

} // namespace sesame
