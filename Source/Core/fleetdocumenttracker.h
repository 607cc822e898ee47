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
    Confirmed, //!< The store, or a peer that reaches it, was reached recently.
    Unconfirmed, //!< Peers were reached recently, and none of them reaches the store.
    Isolated //!< Neither the store nor a peer was reached recently.
};

std::string_view toString(Confirmation confirmation);

enum class AdoptResult : std::uint8_t {
    Adopted,
    AlreadyInForce,
    Older, //!< The offered version is lower than the one in force.
    Diverged, //!< A peer offered the version in force with another content.
    Invalid //!< Not a fleet document, or its file has errors.
};

enum class FleetSource : std::uint8_t { Store, Peer };

struct FleetDocumentTrackerOptions
{
    std::string zone; //!< Zone of the node; selects the exceptions that hold for it.
    //! How long a contact counts. Eight probes of a peer, at one per 500 ms, fit into it.
    Duration contactValidity = std::chrono::seconds(4);
    //! How long a starting node listens to its peers unless the store and a peer confirm at once.
    //! The first peer it hears may itself have been cut off and hold an old document.
    Duration startupWait = std::chrono::seconds(4);
};

/*!
    Holds the fleet document in force on one node and judges whether it is confirmed.

    The version and the capacity limit never decrease. Not thread-safe.
*/
class FleetDocumentTracker
{
public:
    explicit FleetDocumentTracker(FleetDocumentTrackerOptions options);

    /*!
        Puts the document \a stored in force if its version is higher than the one in force.
        An older document is kept out; if it came from the store, an alarm is raised, because
        then the store was restored from an older copy. The version in force with another
        content raises an alarm too, and is only adopted from the store.
    */
    AdoptResult adoptIfNewer(std::string_view stored, FleetSource source);

    /*!
        Records that a read of the store succeeded or failed at \a now. A read that found no
        document counts as success.
    */
    void recordStoreContact(Timestamp now, bool reachable);

    /*!
        Records a message from \a peer with the version in force there and whether the peer
        reaches the store.
    */
    void recordPeerMessage(Timestamp now, std::string_view peer, std::uint64_t version,
                           bool storeReachable);

    /*!
        Drops \a peer, which left the fleet or was declared dead.
    */
    void removePeer(std::string_view peer);

    Confirmation confirmation(Timestamp now) const;

    /*!
        Sets how many other nodes are known from seeds, store records and rumours. With none, a
        starting node does not wait for a peer.
    */
    void setPeerCount(std::size_t count) { m_peerCount = count; }

    /*!
        Returns whether new requests may be accepted. The answer is no without a document and
        while the node is isolated. After a start it is also no until the node has adopted the
        highest version it heard of and either the store and a peer that reaches it have
        answered, or FleetDocumentTrackerOptions::startupWait has passed in contact.
    */
    bool canServe(Timestamp now);

    /*!
        Records that \a peer did not answer a pull. It is not asked again until it is heard.
    */
    void recordPullFailure(std::string_view peer);

    /*!
        Returns the peer to ask for its document: the one with the highest version, if that is
        higher than the version in force and the peer was heard recently. The node asks at once
        after each message and repeats this while a peer is returned, at least every 500 ms.
    */
    std::optional<std::string> peerToPull(Timestamp now) const;

    /*!
        Returns the stored form to write back if the store holds the lower version
        \a storeVersion (0: none). The write must be conditional on the object version that
        was read together with \a storeVersion.
    */
    std::optional<std::string> documentToRestore(std::uint64_t storeVersion) const;

    /*!
        Returns the version in force, 0 before the first document.
    */
    std::uint64_t fleetVersion() const { return m_document.version; }

    /*!
        Returns the highest version that the store or a peer ever reported to this node.
    */
    std::uint64_t highestKnownVersion() const { return m_highestKnownVersion; }

    std::uint32_t capacityLimit() const { return m_document.capacityLimit; }

    /*!
        Returns the configuration in force with the exceptions of the node's zone applied, or
        nullptr before the first document. The object never changes.
    */
    std::shared_ptr<const FleetConfig> config() const { return m_config; }

    /*!
        Returns the document in force as it is stored, empty before the first one.
    */
    const std::string &storedDocument() const { return m_stored; }

    /*!
        Returns the text of the last alarm and forgets it. Repetitions are not reported again.
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
    std::optional<Timestamp> m_contactSince; //!< Start of the contact that has not broken off.
    bool m_startupComplete = false; //!< Set by the first time that canServe() returned true.
    std::string m_pendingAlarm;
    std::string m_lastAlarm;
};

} // namespace sesame
