#pragma once

#include "Core/fleetconfig.h"
#include "Core/fleetdocument.h"
#include "Core/ports.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sesame {

enum class Confirmation : std::uint8_t {
    Confirmed, //!< The store, or a peer that can reach it, was reached recently.
    Unconfirmed, //!< Peers were reached recently, but neither the node nor they reach the store.
    Isolated //!< Neither the store nor a peer was reached recently.
};

std::string_view toString(Confirmation confirmation);

enum class AdoptResult : std::uint8_t {
    Adopted,
    AlreadyInForce,
    Older, //!< The offered version is lower than the one in force.
    Diverged, //!< A peer offered the version in force with different content.
    Invalid //!< The text is not a fleet document, or its fleet file has errors.
};

enum class FleetSource : std::uint8_t { Store, Peer };

struct FleetDocumentTrackerOptions
{
    std::string zone; //!< Zone of the node, which determines the exceptions applied.
    //! Time for which a contact counts as recent. It covers eight probes of a peer, one per 500 ms.
    Duration contactValidity = std::chrono::seconds(4);
    //! Time for which a starting node waits for messages of its peers, unless the store and a peer
    //! have confirmed the document. The first peer that answers may itself have been isolated and
    //! hold an old document.
    Duration startupWait = std::chrono::seconds(4);
};

/*!
    Holds the fleet document in force on one node and determines whether it is confirmed.

    The version and the capacity limit never decrease. Not thread-safe.
*/
class FleetDocumentTracker
{
public:
    explicit FleetDocumentTracker(FleetDocumentTrackerOptions options);

    /*!
        Puts the document \a stored in force if its version is higher than the one in force.
        An older document is rejected. If it came from the store, an alarm is raised, because the
        store must have been restored from an older copy. A document with the version in force and
        different content raises an alarm too, and is adopted only from the store.
    */
    AdoptResult adoptIfNewer(std::string_view stored, FleetSource source);

    /*!
        Records whether a read of the store succeeded at \a now. A read that found no document
        counts as successful.
    */
    void recordStoreContact(Timestamp now, bool reachable);

    /*!
        Records a message from \a peer, which reports the \a version in force there and whether the
        peer reaches the store.
    */
    void recordPeerMessage(Timestamp now, std::string_view peer, std::uint64_t version,
                           bool storeReachable);

    /*!
        Removes \a peer after it left the fleet or was declared dead.
    */
    void removePeer(std::string_view peer);

    Confirmation confirmation(Timestamp now) const;

    /*!
        Sets the number of other nodes known from seeds, store records and rumours. If it is zero,
        a starting node does not wait for a peer.
    */
    void setPeerCount(std::size_t count) { m_peerCount = count; }

    /*!
        Returns whether new requests may be accepted. Returns false if there is no document or the
        node is isolated. After a start it also returns false until the node has adopted the highest
        version reported to it and either the store and a peer that reaches the store have answered,
        or the node has been in contact for FleetDocumentTrackerOptions::startupWait.
    */
    bool canServe(Timestamp now);

    /*!
        Records that \a peer did not answer a pull request. The peer is skipped until its next
        message.
    */
    void recordPullFailure(std::string_view peer);

    /*!
        Returns the peer to request the document from: among the peers with a recent message the
        one with the highest version, if that is higher than the version in force. The node sends
        a request immediately after each message, and repeats it at least every 500 ms while this
        function returns a peer.
    */
    std::optional<std::string> peerToPull(Timestamp now) const;

    /*!
        Returns the document to write back in its stored format if the version in the store,
        \a storeVersion (0 if there is none), is lower than the one in force. The write must be
        conditional on the object version that was read together with \a storeVersion.
    */
    std::optional<std::string> documentToRestore(std::uint64_t storeVersion) const;

    /*!
        Returns the version in force, or 0 before the first document.
    */
    std::uint64_t fleetVersion() const { return m_document.version; }

    /*!
        Returns the highest version that the store or a peer has reported to this node.
    */
    std::uint64_t highestKnownVersion() const { return m_highestKnownVersion; }

    std::uint32_t capacityLimit() const { return m_document.capacityLimit; }

    /*!
        Returns the configuration in force with the exceptions of the node's zone applied, or
        nullptr before the first document. The object is immutable.
    */
    std::shared_ptr<const FleetConfig> config() const { return m_config; }

    /*!
        Returns the document in force in its stored format, or an empty string before the first one.
    */
    const std::string &storedDocument() const { return m_stored; }

    /*!
        Returns the text of the pending alarm and clears it. An alarm with the same text as the
        previous one is not raised again.
    */
    std::optional<std::string> takeAlarm();

private:
    struct PeerState
    {
        Timestamp lastMessageAt;
        std::uint64_t version = 0;
        bool storeReachable = false;
        bool pullFailed = false;
    };

    void updateContactStart(Timestamp now);
    bool isStartupComplete(Timestamp now) const;
    bool isRecent(Timestamp contactAt, Timestamp now) const;
    void raiseAlarm(std::string text);
    AdoptResult handleNotNewer(const FleetDocument &offered, FleetSource source);
    AdoptResult adopt(FleetDocument offered);

    FleetDocumentTrackerOptions m_options;
    FleetDocument m_document;
    std::string m_stored;
    std::shared_ptr<const FleetConfig> m_config;
    std::optional<Timestamp> m_lastStoreContact;
    bool m_storeReachable = false;
    std::map<std::string, PeerState, std::less<>> m_peers;
    std::size_t m_peerCount = 0;
    std::uint64_t m_highestKnownVersion = 0;
    std::optional<Timestamp> m_contactSince; //!< Start of the current period with contact.
    bool m_startupComplete = false; //!< Whether canServe() has returned true before.
    std::string m_pendingAlarm;
    std::string m_lastAlarm;
};

} // namespace sesame
