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

struct MembershipOptions
{
    Duration probeInterval = std::chrono::milliseconds(500);
    //! Then peers are asked to probe, too. A direct answer counts until the probe interval ends.
    Duration probeTimeout = std::chrono::milliseconds(200);
    //! Time to refute a suspicion at up to 10 nodes; grows with the logarithm of the node count.
    Duration suspicionTime = std::chrono::milliseconds(2000);
    std::size_t indirectProbeCount = 3; //!< Peers asked to probe a silent node.
    std::size_t transmitFactor = 3; //!< A rumour is sent this many times log2(nodes + 1).
    std::size_t urgentFanout = 4; //!< Peers that an urgent rumour is pushed to at once.
    std::size_t maxUrgentPerMessage
            = 400; //!< Urgent rumours in one message; a whole zone's engines fit.
    //! An urgent rumour is sent for at least this time, because a node that it missed would only
    //! hear of it at its next state exchange.
    Duration minUrgentSpreadTime = std::chrono::seconds(10);
    std::size_t maxUrgentResendsPerMessage
            = 32; //!< Those in one message that were sent often enough already.
    Duration joinRetryInterval = std::chrono::milliseconds(1000); //!< Between attempts to join.
    Duration stateExchangeInterval = std::chrono::seconds(
            30); //!< Between full exchanges with a peer.
    Duration deadProbeInterval = std::chrono::seconds(5); //!< Finds out that a partition healed.
    Duration leavingRetention = std::chrono::seconds(120); //!< Memory of nodes that left.
    Duration deadRetention = std::chrono::hours(1); //!< Memory of dead nodes.
    Duration nonNodeRumourRetention = std::chrono::minutes(10); //!< Memory of the other rumours.
};

enum class PeerState { Alive, Suspect, Dead, Leaving };

struct Peer
{
    std::string node;
    Endpoint address;
    Endpoint callerAddress {}; //!< Where callers reach the node; the peers tell it to callers.
    std::string zone;
    std::int64_t incarnation = 0;
    PeerState state = PeerState::Alive;
    Timestamp stateSince; //!< Time of the last change of state on this node.
};

enum class MembershipMessageKind {
    Ping, //!< The answer to it is passed to recordAck().
    PingRequest, //!< Asks a peer to probe ProbeAction::target; if it answers, recordAck().
    Push, //!< Carries rumours only. Pass the answer to recordAck(), or it is sent to another peer.
    StatePull //!< Asks for everything the peer knows (allRumours()).
};

/*!
    A message that the node is to send without waiting for the other ones.
*/
struct MembershipMessage
{
    MembershipMessageKind kind = MembershipMessageKind::Ping;
    std::int64_t sequence = 0; //!< 0 if nothing waits for the answer.
    std::string node; //!< Receiver; empty if only its address is known.
    Endpoint address; //!< Address of the receiver.
    std::string target; //!< Node to be probed by the receiver of a PingRequest.
    Duration timeout {}; //!< How long to wait for the answer.
};

/*!
    SWIM failure detection and the spread of rumours. Probes have a constant cost per node.

    A node refutes its own suspicion or death by raising its incarnation; a leave is final for
    an incarnation. After a pause of the own process (tick() called much too late) no timeout is
    charged to a peer.
*/
class MembershipTable
{
public:
    MembershipTable(Peer self, MembershipOptions options, std::mt19937_64 random);

    /*!
        Starts to join through \a seeds; tick() sends to them until a peer is known.
    */
    void join(std::vector<Endpoint> seeds);

    /*!
        Applies the timeouts that passed and returns the messages to send. To be called about
        every 50 ms.
    */
    std::vector<MembershipMessage> tick(Timestamp now);

    /*!
        Notes that the receiver of action \a sequence answered, or that the target of a PingRequest
        answered the peer.
    */
    void recordAck(std::int64_t sequence);

    /*!
        Applies \a rumours from a peer and returns those that were new here.
    */
    std::vector<Rumour> applyRumours(std::span<const Rumour> rumours, Timestamp now);

    /*!
        Starts to spread \a rumour. Returns false if it was known.
    */
    bool announce(const Rumour &rumour, Timestamp now);

    /*!
        Returns rumours for a message to \a receiver, most urgent and least often sent first, and
        counts them as sent. \a limit applies to those that are not urgent. A receiver that is
        suspected, dead or unknown here is always told so, that it can refute.
    */
    std::vector<Rumour> selectRumoursToSend(std::size_t limit, std::string_view receiver = {});

    /*!
        Returns everything that a joining node needs to know.
    */
    std::vector<Rumour> allRumours() const;

    /*!
        Spreads that this node is leaving. Peers send it no new work; it keeps answering.
    */
    void leave(Timestamp now);

    /*!
        Returns the alive and suspected nodes, and the own node unless it is leaving.
    */
    std::vector<Peer> liveNodes() const;

    /*!
        Returns what is known about \a node, which may be the own one.
    */
    std::optional<Peer> find(std::string_view node) const;

    const Peer &self() const { return m_self; }

    /*!
        Returns how often this node suspected a peer by its own probes.
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
    std::set<std::string> m_suspects; //!< Peers that may have state Suspect.
    std::map<std::string, QueuedRumour> m_rumourQueue;
    bool m_hasUnpushedUrgent = false; //!< An urgent rumour was not pushed yet.
    std::map<std::int64_t, Timestamp>
            m_pushDeadlines; //!< Deadlines of the pushes without an answer.
    std::set<std::string> m_pushReceivers; //!< Receivers of the last push and its repetitions.
    std::map<std::string, StoredRumour>
            m_nonNodeRumours; //!< Accepted rumours that are not about nodes.
    std::vector<Endpoint> m_seeds;
    std::vector<std::string>
            m_remainingProbeTargets; //!< Remaining probe targets of this round, shuffled.
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
