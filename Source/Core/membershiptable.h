#pragma once

#include "Core/nodesettings.h"
#include "Core/ports.h"
#include "Core/rumour.h"

#include <cstddef>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sesame {

/*!
    Timing and message limits of a MembershipTable.
*/
struct MembershipOptions
{
    Duration probeInterval = std::chrono::milliseconds(500);
    //! If no direct answer arrives within this time, other peers are asked to probe the node. A
    //! direct answer is still accepted until the probe interval ends.
    Duration probeTimeout = std::chrono::milliseconds(200);
    //! Time that a suspected node has to refute the suspicion in a fleet of up to 10 nodes. It
    //! grows with the logarithm of the node count.
    Duration suspicionTime = std::chrono::milliseconds(2000);
    //! Number of peers asked to probe a node that does not answer.
    std::size_t indirectProbeCount = 3;
    std::size_t transmitFactor = 3; //!< Each rumour is sent this many times log2(nodes + 1).
    //! Number of peers that an urgent rumour is pushed to immediately.
    std::size_t urgentFanout = 4;
    std::size_t maxUrgentPerMessage = 400; //!< Enough for all engines of a zone.
    //! An urgent rumour is sent for at least this time, because a node that missed it would not
    //! receive it before its next full state exchange.
    Duration minUrgentSpreadTime = std::chrono::seconds(10);
    //! Limit per message for urgent rumours that have reached their send count.
    std::size_t maxUrgentResendsPerMessage = 32;
    //! Time between attempts to join.
    Duration joinRetryInterval = std::chrono::milliseconds(1000);
    //! Time between full state exchanges.
    Duration stateExchangeInterval = std::chrono::seconds(30);
    //! Time between messages to dead peers, which detect the end of a partition.
    Duration deadProbeInterval = std::chrono::seconds(5);
    Duration leavingRetention = std::chrono::seconds(120); //!< How long nodes that left are kept.
    Duration deadRetention = std::chrono::hours(1); //!< How long dead nodes are kept.
    //! How long rumours that are not about nodes are kept.
    Duration nonNodeRumourRetention = std::chrono::minutes(10);
};

/*!
    State of a node. At the same incarnation a later enumerator overrides an earlier one.
*/
enum class PeerState { Alive, Suspect, Dead, Leaving };

/*!
    An entry node as the membership protocol knows it.
*/
struct Peer
{
    std::string node;
    Endpoint address;
    Endpoint callerAddress {}; //!< Address for callers, which peers pass on to them.
    std::string zone;
    std::int64_t incarnation = 0;
    PeerState state = PeerState::Alive;
    Timestamp stateSince; //!< When this node recorded the last change of state.
};

/*!
    Purpose of a MembershipMessage.
*/
enum class MembershipMessageKind {
    Ping, //!< Probes the receiver; its answer is passed to recordAck().
    //! Asks the receiver to probe MembershipMessage::target. If the target answers, recordAck() is
    //! called.
    PingRequest,
    Push, //!< Carries rumours only. Without recordAck(), it is repeated to another peer.
    StatePull //!< Requests the complete state of the peer, see allRumours().
};

/*!
    A message to be sent by the node. Messages are independent: none waits for another one.
*/
struct MembershipMessage
{
    MembershipMessageKind kind = MembershipMessageKind::Ping;
    std::int64_t sequence = 0; //!< Passed to recordAck(); 0 if no answer is expected.
    std::string node; //!< Name of the receiver; empty if only its address is known.
    Endpoint address; //!< Address of the receiver.
    std::string target; //!< Node to be probed by the receiver of a PingRequest.
    Duration timeout {}; //!< Maximum time to wait for the answer.
};

/*!
    Implements SWIM failure detection and the gossip protocol that spreads rumours. The cost of
    probing is constant per node.

    A node refutes a rumour that it is suspected or dead by raising its incarnation. A leave is
    final for an incarnation. If the process was paused, that is, tick() was called much too late,
    the pause does not count towards the timeouts of peers.
*/
class MembershipTable
{
public:
    MembershipTable(Peer self, MembershipOptions options, std::mt19937_64 random);

    /*!
        Starts to join the fleet through \a seeds. tick() returns messages to them until a peer is
        known.
    */
    void join(std::vector<Endpoint> seeds);

    /*!
        Processes the timeouts that have expired by \a now and returns the messages to send. Must
        be called about every 50 ms.
    */
    std::vector<MembershipMessage> tick(Timestamp now);

    /*!
        Records that the receiver of the message with number \a sequence answered, or that the
        target of a PingRequest answered the peer that probed it.
    */
    void recordAck(std::int64_t sequence);

    /*!
        Applies \a rumours received from a peer and returns those that changed the state of this
        table.
    */
    std::vector<Rumour> applyRumours(std::span<const Rumour> rumours, Timestamp now);

    /*!
        Starts to spread \a rumour. Returns false if it was already known.
    */
    bool announce(const Rumour &rumour, Timestamp now);

    /*!
        Returns the rumours for a message to \a receiver and counts them as sent. The most urgent
        rumours come first, and among equally urgent ones those that were sent least often. At most
        \a limit rumours that are not urgent are returned. If this node regards the receiver as
        suspected, dead or unknown, the result includes a rumour that says so, so that the receiver
        can refute it.
    */
    std::vector<Rumour> selectRumoursToSend(std::size_t limit, std::string_view receiver = {});

    /*!
        Returns the complete state as rumours, for a node that joins or requests the state.
    */
    std::vector<Rumour> allRumours() const;

    /*!
        Starts to spread that this node is leaving. Peers send no new work to it, but it continues
        to answer their messages.
    */
    void leave(Timestamp now);

    /*!
        Returns the alive and suspected nodes, including this node unless it is leaving.
    */
    std::vector<Peer> liveNodes() const;

    /*!
        Returns the record of \a node, which may be this node, or std::nullopt if it is unknown.
    */
    std::optional<Peer> find(std::string_view node) const;

    const Peer &self() const { return m_self; }

    /*!
        Returns how often this node suspected a peer because of its own probes.
    */
    std::uint64_t suspicionCount() const { return m_suspicionCount; }

private:
    struct Probe
    {
        std::int64_t sequence = 0;
        std::string node;
        Timestamp started;
        bool indirect = false;
    };
    struct QueuedRumour
    {
        Rumour rumour;
        std::size_t sendCount = 0;
        std::optional<Timestamp> firstSent;
    };
    struct StoredRumour
    {
        Rumour rumour;
        Timestamp acceptedAt;
    };

    static std::string queueKey(const Rumour &rumour);
    Rumour makeNodeRumour(const Peer &peer) const;
    bool accept(const Rumour &rumour, Timestamp now);
    bool acceptNodeRumour(const Rumour &rumour, Timestamp now);
    bool acceptOwnRumour(const Rumour &rumour);
    void respreadNewerState(const Rumour &rumour, const Peer &known, Timestamp now);
    void changeState(Peer &peer, PeerState state, Timestamp now);
    void enqueue(const Rumour &rumour);
    bool hasBeenSpread(const QueuedRumour &queued) const;
    void handleProcessPause(Timestamp now);
    void checkProbe(Timestamp now, std::vector<MembershipMessage> &messages);
    void checkSuspicions(Timestamp now);
    void removeExpired(Timestamp now);
    void startProbe(Timestamp now, std::vector<MembershipMessage> &messages);
    void requestState(Timestamp now, std::vector<MembershipMessage> &messages);
    void contactDeadPeer(Timestamp now, std::vector<MembershipMessage> &messages);
    MembershipMessage makeMessage(MembershipMessageKind kind, const Peer &peer) const;
    void pushUrgentRumours(Timestamp now, std::vector<MembershipMessage> &messages);
    template <typename Predicate>
    std::vector<const Peer *> sampleLivePeers(std::size_t count, Predicate matches);
    std::optional<std::string> takeNextProbeTarget();
    Duration scaledSuspicionTime() const;
    std::size_t transmitLimit() const;

    Peer m_self;
    bool m_leaving = false;
    MembershipOptions m_options;
    std::mt19937_64 m_random;
    std::map<std::string, Peer, std::less<>> m_peers;
    std::set<std::string> m_suspects; //!< Includes all peers in state Suspect.
    std::map<std::string, QueuedRumour> m_rumourQueue;
    bool m_hasUnpushedUrgent = false; //!< An urgent rumour has not been pushed yet.
    //! Deadlines of unanswered pushes by sequence.
    std::map<std::int64_t, Timestamp> m_pushDeadlines;
    std::set<std::string> m_pushReceivers; //!< Receivers of the last push and its retries.
    //! Accepted rumours that are not about nodes.
    std::map<std::string, StoredRumour> m_nonNodeRumours;
    std::vector<Endpoint> m_seeds;
    //! Shuffled peers still to be probed in this round.
    std::vector<std::string> m_remainingProbeTargets;
    std::optional<Probe> m_probe;
    std::int64_t m_lastSequence = 0;
    std::optional<Timestamp> m_lastTick;
    Timestamp m_nextProbe;
    Timestamp m_nextStatePull;
    Timestamp m_nextDeadProbe;
    Timestamp m_nextRemoval;
    std::uint64_t m_suspicionCount = 0;
};

} // namespace sesame
