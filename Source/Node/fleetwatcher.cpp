#include "Node/fleetwatcher.h"

#include "Adapter/log.h"
#include "Core/fleetdocument.h"

#include <thread>

namespace sesame {

namespace {

constexpr std::string_view fleetPrefix = "fleet/";
// Shorter than FleetDocumentTrackerOptions::contactValidity, so that the store counts as reachable
// while nothing changes in it.
constexpr std::chrono::milliseconds watchTimeout {2000};
constexpr std::chrono::milliseconds storeRetryDelay {500};
// Interval of the version check, which detects a restore of the store after which later writes have
// raised the revision past the last one seen.
constexpr std::chrono::seconds versionCheckInterval {10};

} // namespace

void FleetWatcher::watchStore()
{
    if (!m_hasReadStore) {
        readStore();
        if (!m_hasReadStore) {
            std::this_thread::sleep_for(storeRetryDelay);
            return;
        }
    }
    const auto changes = m_context.store.watch(fleetPrefix, m_revision, watchTimeout);
    m_context.storeReachable = changes.has_value();
    m_context.fleet.lock()->recordStoreContact(m_context.clock.now(), changes.has_value());
    if (!changes) {
        m_hasReadStore = false; // A change during the outage may have been missed.
        std::this_thread::sleep_for(storeRetryDelay);
        return;
    }
    const bool restored = changes->revision < m_revision;
    m_revision = changes->revision;
    if (restored || !changes->objects.empty() || hasUnseenVersion())
        readStore();
}

bool FleetWatcher::hasUnseenVersion()
{
    const Timestamp now = m_context.clock.now();
    if (now - m_lastVersionCheck < versionCheckInterval)
        return false;
    m_lastVersionCheck = now;
    // The list contains the version without the document, which can be as large as 1 MB.
    const auto list = m_context.store.list(fleetObjectKey);
    return list && !list->objects.empty() && list->objects.front().version != m_objectVersion;
}

void FleetWatcher::readStore()
{
    const StoreResult read = m_context.store.read(fleetObjectKey);
    const bool reachable = read.status == StoreStatus::Ok || read.status == StoreStatus::NotFound;
    m_context.storeReachable = reachable;
    std::uint64_t storedVersion = 0;
    {
        auto fleet = m_context.fleet.lock();
        fleet->recordStoreContact(m_context.clock.now(), reachable);
        if (read.status == StoreStatus::Ok) {
            fleet->adoptIfNewer(read.value, FleetSource::Store);
            if (const auto document = decodeFleetDocument(read.value))
                storedVersion = document->version;
        }
    }
    m_hasReadStore = reachable;
    m_objectVersion = read.version;
    if (reachable)
        restoreStoredDocument(read.version, storedVersion);
}

void FleetWatcher::restoreStoredDocument(std::uint64_t objectVersion, std::uint64_t documentVersion)
{
    const auto document = m_context.fleet.lock()->documentToRestore(documentVersion);
    if (!document)
        return;
    const StoreResult written = m_context.store.writeIf(fleetObjectKey, *document, objectVersion);
    logEvent(LogLevel::Warning, "newer fleet document restored to the store",
             {{"found_version", static_cast<std::int64_t>(documentVersion)},
              {"written", written.status == StoreStatus::Ok}});
}

void FleetWatcher::tick()
{
    const std::size_t live = m_context.membership.lock()->liveNodes().size();
    if (live > 1)
        m_context.fleet.lock()->setPeerCount(live - 1);
    m_peers.pullFleetDocument();
    std::optional<std::string> alarm;
    std::uint64_t version = 0;
    std::shared_ptr<const FleetConfig> config;
    bool mayServe = false;
    {
        auto fleet = m_context.fleet.lock();
        alarm = fleet->takeAlarm();
        version = fleet->fleetVersion();
        config = fleet->config();
        mayServe = fleet->canServe(m_context.clock.now());
    }
    if (alarm)
        logEvent(LogLevel::Error, "fleet configuration alarm", {{"reason", *alarm}});
    // Compares the configuration and not its version: after a restore of the store, the same
    // version can be adopted with different content.
    if (config && config != m_applied) {
        m_applied = config;
        m_context.backends.lock()->setRecoveryGrace(config->defaults.recoveryGrace);
        m_context.admission.lock()->setOptions(AdmissionOptions {.ranks = config->ranks});
        m_context.ledger.configure(config->defaults.claimShards, config->defaults.claimRetention);
        m_context.retryBudget.lock()->setRetriesPerSuccess(config->defaults.retryBudget);
        logEvent(LogLevel::Info, "fleet configuration applied",
                 {{"version", static_cast<std::int64_t>(version)}});
    }
    if (mayServe)
        m_context.lifecycle.advance(NodePhase::Serving);
}

} // namespace sesame
