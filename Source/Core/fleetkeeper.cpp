#include "Core/fleetkeeper.h"

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
    return "version " + std::to_string(document.version) + " (content " + contentHash(document.text)
            + ")";
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

FleetKeeper::FleetKeeper(FleetKeeperOptions options) : m_options(std::move(options)) { }

OfferResult FleetKeeper::offer(std::string_view stored, FleetSource source)
{
    if (stored == m_stored && !m_stored.empty())
        return OfferResult::AlreadyInForce;
    std::optional<FleetDocument> offered = decodeFleetDocument(stored);
    if (!offered) {
        raiseAlarm(lastReason().text);
        return OfferResult::Invalid;
    }
    m_highestHeard = std::max(m_highestHeard, offered->version);
    if (offered->version <= m_document.version)
        return judgeNotNewer(*offered, source);
    return adopt(std::move(*offered));
}

OfferResult FleetKeeper::judgeNotNewer(const FleetDocument &offered, FleetSource source)
{
    if (offered.version == m_document.version) {
        if (offered.text == m_document.text)
            return OfferResult::AlreadyInForce;
        raiseAlarm("fleet document diverged: offered " + describe(offered) + ", in force "
                   + describe(m_document));
        // After a restore, the same version can be accepted twice. The nodes converge on the one
        // that the store accepted last.
        return source == FleetSource::Store ? adopt(offered) : OfferResult::Diverged;
    }
    // A peer may be behind for a moment; the store may not.
    if (source == FleetSource::Store)
        raiseAlarm("object service holds an older fleet document: " + describe(offered)
                   + ", in force " + describe(m_document));
    return OfferResult::Older;
}

OfferResult FleetKeeper::adopt(FleetDocument offered)
{
    std::vector<SettingsError> errors;
    std::optional<FleetConfig> config = parseFleetFile(offered.text, fleetObjectKey, errors);
    if (!config) {
        raiseAlarm("fleet document " + describe(offered) + " refused: " + errors.front().format());
        return OfferResult::Invalid;
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
    return OfferResult::Adopted;
}

void FleetKeeper::recordStore(Timestamp now, bool reachable)
{
    if (reachable) {
        noteContact(now);
        m_storeReached = now;
    }
    m_storeReachable = reachable;
}

void FleetKeeper::recordPeer(Timestamp now, std::string_view peer, std::uint64_t version,
                             bool storeReachable)
{
    noteContact(now);
    m_peers.insert_or_assign(
            std::string(peer),
            PeerView {.heard = now, .version = version, .storeReachable = storeReachable});
    m_highestHeard = std::max(m_highestHeard, version);
}

void FleetKeeper::noteContact(Timestamp now)
{
    // What was heard before a time without contact says nothing about the versions since.
    if (!m_contactSince || confirmation(now) == Confirmation::Isolated)
        m_contactSince = now;
}

void FleetKeeper::forgetPeer(std::string_view peer)
{
    const auto it = m_peers.find(peer);
    if (it != m_peers.end())
        m_peers.erase(it);
}

void FleetKeeper::recordPullFailure(std::string_view peer)
{
    // Otherwise a peer that was cut off would be asked over and over, and not the others.
    const auto it = m_peers.find(peer);
    if (it != m_peers.end())
        it->second.pullFailed = true;
}

bool FleetKeeper::isFresh(Timestamp heard, Timestamp now) const
{
    return now - heard <= m_options.freshness;
}

Confirmation FleetKeeper::confirmation(Timestamp now) const
{
    if (m_storeReachable && m_storeReached && isFresh(*m_storeReached, now))
        return Confirmation::Confirmed;
    bool reached = false;
    for (const auto &[name, view] : m_peers) {
        if (!isFresh(view.heard, now))
            continue;
        reached = true;
        if (view.storeReachable)
            return Confirmation::Confirmed;
    }
    return reached ? Confirmation::Unconfirmed : Confirmation::Isolated;
}

bool FleetKeeper::mayServe(Timestamp now)
{
    if (!m_config || confirmation(now) == Confirmation::Isolated)
        return false;
    m_started = m_started || isStartComplete(now);
    return m_started;
}

bool FleetKeeper::isStartComplete(Timestamp now) const
{
    // Does not expire: the peer with the higher version may have been cut off since.
    if (m_document.version < m_highestHeard)
        return false;
    if (m_contactSince && now - *m_contactSince >= m_options.startWait)
        return true;
    const auto reachesStore = [&](const auto &entry) {
        return entry.second.storeReachable && isFresh(entry.second.heard, now);
    };
    return m_storeReachable
            && (m_peerCount == 0 || std::any_of(m_peers.begin(), m_peers.end(), reachesStore));
}

std::optional<std::string> FleetKeeper::peerToPull(Timestamp now) const
{
    std::optional<std::string> best;
    std::uint64_t highest = m_document.version;
    for (const auto &[name, view] : m_peers) {
        if (view.version <= highest || view.pullFailed || !isFresh(view.heard, now))
            continue;
        highest = view.version;
        best = name;
    }
    return best;
}

std::optional<std::string> FleetKeeper::documentToRestore(std::uint64_t storeVersion) const
{
    if (storeVersion >= m_document.version)
        return std::nullopt;
    return m_stored;
}

std::optional<std::string> FleetKeeper::takeAlarm()
{
    if (m_alarm.empty())
        return std::nullopt;
    return std::exchange(m_alarm, {});
}

void FleetKeeper::raiseAlarm(std::string text)
{
    if (text == m_lastAlarm)
        return;
    m_lastAlarm = text;
    m_alarm = std::move(text);
}

} // namespace sesame
