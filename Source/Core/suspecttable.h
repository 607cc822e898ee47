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
    Gossip message with the state of one suspect as known by one node. Peers may merge updates in
    any order.
*/
struct SuspectUpdate
{
    Fingerprint fingerprint = 0;
    std::string holder; //!< Node whose records this update contains.
    std::uint64_t sequence = 0; //!< Increases with each update of the holder.
    std::vector<std::string> crashedOn; //!< Engine incarnations that crashed while running it.
    std::vector<std::string> cleared; //!< Those of crashedOn that do not count against it.
    std::string engine; //!< Engine on which the holder runs it or intends to; else empty.
    bool quarantined = false;
};

struct SuspectOptions
{
    //! Longest time until an update has reached every node.
    Duration maxGossipDelay {std::chrono::seconds(1)};
    //! If engines of a zone crash within this time of each other, the zone is assumed to have
    //! failed.
    Duration zoneWindow {std::chrono::seconds(1)};
    Duration quarantineLifetime {std::chrono::hours(24)};
    Duration recordLifetime {std::chrono::minutes(10)}; //!< Of records that are not quarantined.
};

/*!
    Identifies requests that crash engines, without refusing other requests that ran on the same
    engines.

    The requests that ran on an engine when it crashed without notice become suspects. A suspect
    runs again as the only suspect on an engine, and on one node at a time. If it completes, it is
    cleared; a second crash quarantines it on all nodes.

    Nodes coordinate through gossip only, so that suspects can run while the object service is
    unavailable. A node announces the engine it intends to use and waits twice the longest gossip
    delay. By then, both nodes know of conflicting announcements for the same suspect or engine,
    and the announcement with the lower pair of node name and fingerprint wins. Without gossip the
    number of crashes is not bounded: two nodes might run two suspects on one engine, and its crash
    would also count against the harmless one.
*/
class SuspectTable
{
public:
    /*!
        Creates the table of the node \a node. The name must include the node's incarnation,
        because the sequence numbers of updates start again at one after a restart.
    */
    explicit SuspectTable(std::string node, SuspectOptions options = {});

    /*!
        Records that the engine incarnation \a engine in \a zone crashed without notice while it
        ran the requests \a running of this node. Call it also if \a running is empty, because
        crashes of several engines in a zone indicate that the zone failed, not a request.
    */
    void recordCrash(std::string_view engine, std::string_view zone,
                     std::span<const Fingerprint> running, Timestamp now);

    /*!
        Returns whether \a fingerprint may be sent to \a engine now. For a suspect, the first call
        announces the engine and returns false; call again later with the engine that
        announcedEngine() returns. Returns false for quarantined requests, for suspects that
        another node holds, and while a quarantine decision is pending.
    */
    bool tryRunOn(Fingerprint fingerprint, std::string_view engine, Timestamp now);

    /*!
        Returns the engine that this node has announced for \a fingerprint, or an empty string. If
        that engine has left or has no room, call withdraw() and announce another one.
    */
    std::string announcedEngine(Fingerprint fingerprint) const;

    /*!
        Returns the engines that any node has announced for suspects other than \a fingerprint.
        Exclude them when choosing an engine for a suspect.
    */
    std::vector<std::string> enginesOfOtherSuspects(Fingerprint fingerprint) const;

    /*!
        Returns whether another node has announced an engine for \a fingerprint, so that its run
        there may still clear or quarantine the request.
    */
    bool isHeldByPeer(Fingerprint fingerprint) const;

    /*!
        Withdraws the announcement for \a fingerprint, or its run if that ended without a result:
        it was cancelled or handed over, or its engine left with notice.
    */
    void withdraw(Fingerprint fingerprint, Timestamp now);

    /*!
        Records that \a fingerprint completed, which clears it on all nodes.
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
        Drops the announcements of \a node, which has failed or left.
    */
    void forgetNode(std::string_view node);

    /*!
        Drops the announcements of all holders whose names start with \a prefix, except \a kept.
    */
    void forgetHolders(std::string_view prefix, std::string_view kept = {});

    /*!
        Makes the quarantine decisions that are due. Call it at least every 100 ms.
    */
    void update(Timestamp now);

    /*!
        Returns the number of the latest change that this node made.
    */
    std::uint64_t sequence() const { return m_sequence; }

    /*!
        Returns the records that this node changed after its change \a sequence. A peer must get
        them until it has confirmed them: a peer that misses the end of a run would keep the run's
        engine from its own suspects.
    */
    std::vector<SuspectUpdate> updatesSince(std::uint64_t sequence) const;

    /*!
        Returns updates for all records of this table, for a node that has just joined.
    */
    std::vector<SuspectUpdate> makeAllUpdates() const;

    /*!
        Merges \a updates from peers into this table.
    */
    void applyUpdates(std::span<const SuspectUpdate> updates, Timestamp now);

    std::size_t size() const { return m_records.size(); }

private:
    struct Announcement
    {
        //! Empty if the announcement was withdrawn; it is kept for its sequence number.
        std::string engine;
        std::uint64_t sequence = 0;
        Timestamp announcedAt {};
        bool running = false; //!< Set only for announcements of this node.
    };
    struct Record
    {
        std::set<std::string> crashedOn;
        std::set<std::string> cleared;
        std::map<std::string, Announcement> announcements; //!< The key is the holder.
        bool quarantined = false;
        std::uint64_t sequence = 0; //!< Number of this node's latest change of the record.
        Timestamp decisionDueAt {Timestamp::max()}; //!< Time at which crashes lead to quarantine.
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
    std::deque<Crash> m_crashes; //!< Recent crashes of all engines, oldest first.
    std::uint64_t m_sequence = 0;
};

} // namespace sesame
