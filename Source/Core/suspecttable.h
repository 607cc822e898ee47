#pragma once

#include "Core/ports.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sesame {

using Fingerprint = std::uint64_t; //!< See computeRequestFingerprint().

/*!
    What one node knows about a suspect, for its peers. Peers merge rumours in any order.
*/
struct SuspectUpdate
{
    Fingerprint fingerprint = 0;
    std::string holder; //!< Node that sent the rumour.
    std::uint64_t sequence = 0; //!< Rises with each rumour of the holder.
    std::vector<std::string> crashedOn; //!< Engine incarnations that died running it.
    std::vector<std::string> cleared; //!< The ones among them it is not held responsible for.
    std::string engine; //!< Engine on which the holder runs it or is about to; else empty.
    bool quarantined = false;
};

struct SuspectOptions
{
    //! Longest time until a rumour has reached every node.
    Duration maxGossipDelay {std::chrono::seconds(1)};
    //! Crashes of other engines of the zone this close together point to the zone.
    Duration zoneWindow {std::chrono::seconds(1)};
    Duration quarantineLifetime {std::chrono::hours(24)};
    Duration recordLifetime {std::chrono::minutes(10)}; //!< Of cleared and idle records.
};

/*!
    Finds the request that crashes engines without refusing the requests beside it.

    The requests that ran on an engine that died without notice become suspects. A suspect
    runs again as the only suspect of an engine, on one node at a time; completion clears
    it, and a second crash quarantines it on all nodes.

    Nodes agree by rumours alone, so suspects still run when the object service is down:
    a node announces the engine it intends to use and waits twice the longest rumour delay.
    Two announcements for the same suspect or engine are then known to both nodes, and the
    one of the lower (node name, fingerprint) wins. Tables that are not shared do not give
    the bound: two nodes may run two suspects on one engine, and its death would count
    against the innocent one.
*/
class SuspectTable
{
public:
    /*!
        \a node names this node and its incarnation, because a restarted node counts its
        rumours from one again.
    */
    explicit SuspectTable(std::string node, SuspectOptions options = {});

    /*!
        Records that \a engine (an incarnation) of \a zone died without notice while this
        node's requests \a running ran there. Call it with an empty \a running too: crashes
        of other engines of the zone show that the zone failed, not a request.
    */
    void recordCrash(std::string_view engine, std::string_view zone,
                     std::span<const Fingerprint> running, Timestamp now);

    /*!
        Returns whether \a fingerprint may be sent to \a engine now. For a suspect the first
        call announces the engine and returns false; call again later with the engine that
        announcedEngine() returns. A suspect that waits for another node's verdict and a
        quarantined one get false.
    */
    bool tryRunOn(Fingerprint fingerprint, std::string_view engine, Timestamp now);

    /*!
        Returns the engine announced for \a fingerprint by this node, or an empty text. If
        the engine is gone or full, call release() and announce another one.
    */
    std::string announcedEngine(Fingerprint fingerprint) const;

    /*!
        Returns the engines announced for other suspects than \a fingerprint, by any node;
        exclude them when choosing an engine for a suspect.
    */
    std::vector<std::string> enginesOfOtherSuspects(Fingerprint fingerprint) const;

    /*!
        Returns whether another node holds \a fingerprint and may still decide about it.
    */
    bool isHeldByPeer(Fingerprint fingerprint) const;

    /*!
        Withdraws the announcement or run of \a fingerprint, which ended without a verdict
        (cancelled, handed over, or its engine left with notice).
    */
    void withdraw(Fingerprint fingerprint, Timestamp now);

    /*!
        Records that \a fingerprint ran to its end, which clears it on all nodes.
    */
    void recordCompletion(Fingerprint fingerprint, Timestamp now);

    bool isSuspect(Fingerprint fingerprint) const;
    bool isQuarantined(Fingerprint fingerprint) const;

    /*!
        Quarantines \a fingerprint, for example from the store's quarantine record.
    */
    void quarantine(Fingerprint fingerprint, Timestamp now);
    std::vector<Fingerprint> quarantinedFingerprints() const;

    /*!
        Drops the announcements of \a node, which is dead or has left.
    */
    void forgetNode(std::string_view node);

    /*!
        Drops the announcements of all holders whose name starts with \a prefix, except \a kept.
    */
    void forgetHolders(std::string_view prefix, std::string_view kept = {});

    /*!
        Returns the rumours to send since the last call and decides what has become due.
        Call it at least every 100 ms and send the result to all peers.
    */
    std::vector<SuspectUpdate> takeUpdates(Timestamp now);

    /*!
        Returns everything this table knows, for a node that has just joined.
    */
    std::vector<SuspectUpdate> makeAllUpdates();
    void applyUpdates(std::span<const SuspectUpdate> updates, Timestamp now);

    std::size_t size() const { return m_records.size(); }

private:
    struct Announcement
    {
        std::string engine; //!< Empty: withdrawn; kept for its sequence number.
        std::uint64_t sequence = 0;
        Timestamp announcedAt {};
        bool running = false; //!< Only known for this node's own announcements.
    };
    struct Record
    {
        std::set<std::string> crashedOn;
        std::set<std::string> cleared;
        std::map<std::string, Announcement> announcements; //!< By node.
        bool quarantined = false;
        bool changed = false; //!< Not sent to the peers yet.
        Timestamp decisionDueAt {Timestamp::max()}; //!< When a second crash becomes final.
        Timestamp lastChangedAt {};
    };
    struct Crash
    {
        std::string engine;
        std::string zone;
        Timestamp detectedAt {};
    };

    static std::size_t countUnclearedCrashes(const Record &record);
    Record &markChanged(Fingerprint fingerprint, Timestamp now);
    void announce(Record &record, std::string_view engine, Timestamp now);
    bool hasConflict(Fingerprint fingerprint, const Record &record, std::string_view engine,
                     bool onlyWinning) const;
    bool hasZoneFailed(const Crash &crash, const Record &record) const;
    void clearZoneCrashes(Record &record);
    Duration peerDecisionDelay() const;
    void decideDueSuspects(Timestamp now);
    void removeExpired(Timestamp now);
    SuspectUpdate makeUpdate(Fingerprint fingerprint, const Record &record) const;

    std::string m_node;
    SuspectOptions m_options;
    std::unordered_map<Fingerprint, Record> m_records;
    std::deque<Crash> m_crashes; //!< Recent ones of all engines.
    std::uint64_t m_sequence = 0;
};

} // namespace sesame
