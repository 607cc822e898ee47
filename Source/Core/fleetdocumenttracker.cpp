#include "Core/fleetdocumenttracker.h"

#include "Core/fleetexceptions.h"
#include "Core/fleetfile.h"
#include "Core/invariant.h"
#include "Core/lastreason.h"

#include <algorithm>
#include <utility>

namespace sesame {

namespace {

std::string describe(const FleetDocument &document)
{
    return "version " + std::to_string(document.version) + " (content "
            + contentHash(document.fleetFile) + ")";
}

} // namespace

std::string_view toString(Confirmation confirmation)
{
    switch (confirmation) {
    case Confirmation::Confirmed:
        return "confirmed";
    case Confirmation::Unconfirmed:
        return "unconfirmed";
    case Confirmation::Isolated:
        return "isolated";
    }
    return "isolated";
}

FleetDocumentTracker::FleetDocumentTracker(FleetDocumentTrackerOptions options)
    : m_options(std::move(options))
{
}

AdoptResult FleetDocumentTracker::adoptIfNewer(std::string_view stored, FleetSource source)
{
    if (stored == m_stored && !m_stored.empty())
        return AdoptResult::AlreadyInForce;
    std::optional<FleetDocument> offered = decodeFleetDocument(stored);
    if (!offered) {
        raiseAlarm(lastReason().text);
        return AdoptResult::Invalid;
    }
    m_highestKnownVersion = std::max(m_highestKnownVersion, offered->version);
    if (offered->version <= m_document.version)
        return handleNotNewer(*offered, source);
    return adopt(std::move(*offered));
}

AdoptResult FleetDocumentTracker::handleNotNewer(const FleetDocument &offered, FleetSource source)
{
    if (offered.version == m_document.version) {
        if (offered.fleetFile == m_document.fleetFile)
            return AdoptResult::AlreadyInForce;
        raiseAlarm("fleet document diverged: offered " + describe(offered) + ", in force "
                   + describe(m_document));
        // After a restore of the store, the same version can be accepted twice. The nodes converge
        // on the document that the store accepted last.
        return source == FleetSource::Store ? adopt(offered) : AdoptResult::Diverged;
    }
    // A peer may have an older document for a short time, but the store must not.
    if (source == FleetSource::Store)
        raiseAlarm("object service holds an older fleet document: " + describe(offered)
                   + ", in force " + describe(m_document));
    return AdoptResult::Older;
}

AdoptResult FleetDocumentTracker::adopt(FleetDocument offered)
{
    std::vector<SettingsError> errors;
    std::optional<FleetConfig> config = parseFleetFile(offered.fleetFile, fleetObjectKey, errors);
    if (!config) {
        raiseAlarm("fleet document " + describe(offered) + " refused: " + errors.front().format());
        return AdoptResult::Invalid;
    }
    *config = applyExceptions(std::move(*config), m_options.zone);
    const std::uint32_t before = m_document.capacityLimit;
    offered.capacityLimit = std::max(
            {before, offered.capacityLimit, config->defaults.capacityLimit});
    config->defaults.capacityLimit = offered.capacityLimit;
    requireInvariant(offered.version >= m_document.version, "the fleet version never decreases");
    requireInvariant(offered.capacityLimit >= before, "the capacity limit never decreases");
    m_document = std::move(offered);
    m_stored = encodeFleetDocument(m_document);
    m_config = std::make_shared<const FleetConfig>(std::move(*config));
    return AdoptResult::Adopted;
}

void FleetDocumentTracker::recordStoreContact(Timestamp now, bool reachable)
{
    if (reachable) {
        updateContactStart(now);
        m_lastStoreContact = now;
    }
    m_storeReachable = reachable;
}

void FleetDocumentTracker::recordPeerMessage(Timestamp now, std::string_view peer,
                                             std::uint64_t version, bool storeReachable)
{
    updateContactStart(now);
    m_peers.insert_or_assign(
            std::string(peer),
            PeerState {.lastMessageAt = now, .version = version, .storeReachable = storeReachable});
    m_highestKnownVersion = std::max(m_highestKnownVersion, version);
}

void FleetDocumentTracker::updateContactStart(Timestamp now)
{
    // Reports received before a period without contact do not show which versions exist now.
    if (!m_contactSince || confirmation(now) == Confirmation::Isolated)
        m_contactSince = now;
}

void FleetDocumentTracker::removePeer(std::string_view peer)
{
    const auto it = m_peers.find(peer);
    if (it != m_peers.end())
        m_peers.erase(it);
}

void FleetDocumentTracker::recordPullFailure(std::string_view peer)
{
    // Otherwise a disconnected peer would be asked repeatedly instead of the others.
    const auto it = m_peers.find(peer);
    if (it != m_peers.end())
        it->second.pullFailed = true;
}

bool FleetDocumentTracker::isRecent(Timestamp contactAt, Timestamp now) const
{
    return now - contactAt <= m_options.contactValidity;
}

Confirmation FleetDocumentTracker::confirmation(Timestamp now) const
{
    if (m_storeReachable && m_lastStoreContact && isRecent(*m_lastStoreContact, now))
        return Confirmation::Confirmed;
    bool reached = false;
    for (const auto &[name, view] : m_peers) {
        if (!isRecent(view.lastMessageAt, now))
            continue;
        reached = true;
        if (view.storeReachable)
            return Confirmation::Confirmed;
    }
    return reached ? Confirmation::Unconfirmed : Confirmation::Isolated;
}

bool FleetDocumentTracker::canServe(Timestamp now)
{
    if (!m_config || confirmation(now) == Confirmation::Isolated)
        return false;
    m_startupComplete = m_startupComplete || isStartupComplete(now);
    return m_startupComplete;
}

bool FleetDocumentTracker::isStartupComplete(Timestamp now) const
{
    // This condition does not expire, because the peer with the higher version may have become
    // unreachable since.
    if (m_document.version < m_highestKnownVersion)
        return false;
    if (m_contactSince && now - *m_contactSince >= m_options.startupWait)
        return true;
    const auto reachesStore = [&](const auto &entry) {
        return entry.second.storeReachable && isRecent(entry.second.lastMessageAt, now);
    };
    return m_storeReachable
            && (m_peerCount == 0 || std::any_of(m_peers.begin(), m_peers.end(), reachesStore));
}

std::optional<std::string> FleetDocumentTracker::peerToPull(Timestamp now) const
{
    std::optional<std::string> peer;
    std::uint64_t highest = m_document.version;
    for (const auto &[name, view] : m_peers) {
        if (view.version <= highest || view.pullFailed || !isRecent(view.lastMessageAt, now))
            continue;
        highest = view.version;
        peer = name;
    }
    return peer;
}

std::optional<std::string> FleetDocumentTracker::documentToRestore(std::uint64_t storeVersion) const
{
    if (storeVersion >= m_document.version)
        return std::nullopt;
    return m_stored;
}

std::optional<std::string> FleetDocumentTracker::takeAlarm()
{
    if (m_pendingAlarm.empty())
        return std::nullopt;
    return std::exchange(m_pendingAlarm, {});
}

void FleetDocumentTracker::raiseAlarm(std::string text)
{
    if (text == m_lastAlarm)
        return;
    m_lastAlarm = text;
    m_pendingAlarm = std::move(text);
}

} // namespace sesame
