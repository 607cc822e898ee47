#include "support/fleetrun.h"

#include "support/fleetfiles.h"

#include <algorithm>
#include <numeric>

using namespace sesame;

namespace {

constexpr std::chrono::milliseconds stepLength {100};
// 2 s between reads of the store. A watch event causes an earlier read, unless it is lost.
constexpr int readIntervalSteps = 20;
constexpr int probeIntervalSteps = 5; // 500 ms
constexpr int indirectProbeCount = 3;
constexpr int inForceLimitSteps = 50; // 5 s
constexpr int isolationLimitSteps
        = 41; // FleetDocumentTrackerOptions::contactValidity plus one step.
constexpr int startLimitSteps = 40; // FleetDocumentTrackerOptions::startupWait
constexpr double watchLossProbability = 0.3;
constexpr double messageLossProbability = 0.05;

} // namespace

FleetRun::FleetRun(const FleetRunOptions &options) : m_options(options), m_random(options.seed)
{
    for (std::size_t i = 0; i < nodeCount; ++i)
        startNode(i);
}

bool FleetRun::chance(double probability)
{
    return std::uniform_real_distribution<>(0.0, 1.0)(m_random) < probability;
}

std::size_t FleetRun::pick(std::size_t count)
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
}

Timestamp FleetRun::now() const
{
    return Timestamp(m_step * stepLength);
}

void FleetRun::recordViolation(const std::string &text)
{
    if (!m_violation)
        m_violation = "step " + std::to_string(m_step) + ": " + text;
}

std::optional<std::string> FleetRun::run()
{
    while (m_step < m_options.steps && !m_violation) {
        runOperator();
        advance();
    }
    return m_violation;
}

std::string FleetRun::summary() const
{
    return "seed " + std::to_string(m_options.seed) + ": steps " + std::to_string(m_step)
            + ", accepted " + std::to_string(m_accepted.size()) + ", conflicts "
            + std::to_string(m_conflicts) + ", refused " + std::to_string(m_refusals) + ", unknown "
            + std::to_string(m_unknown) + ", store restores " + std::to_string(m_restores)
            + ", node restarts " + std::to_string(m_restarts) + ", alarms "
            + std::to_string(m_alarms) + ", highest version "
            + std::to_string(highestVersion(false));
}

void FleetRun::advance()
{
    ++m_step;
    injectFaults();
    for (std::size_t i = 0; i < nodeCount; ++i)
        runNode(i);
    checkInvariants();
}

void FleetRun::injectFaults()
{
    if (m_step >= m_storeUpAt)
        m_store.isUp = true;
    if (chance(0.05))
        m_store.deliverDelayed();
    injectStoreFault();
    if (chance(0.01))
        injectNodeFault(m_nodes[pick(nodeCount)]);
}

void FleetRun::injectStoreFault()
{
    if (m_store.isUp && chance(0.004)) {
        m_store.isUp = false;
        m_storeUpAt = m_step + static_cast<int>(1 + pick(chance(0.3) ? 600 : 80));
    }
    // If no node has the newest document, restoring the store loses it, which nothing can prevent.
    // If an apply is in progress, a restore that sets back the object version can let its
    // conditional write succeed on another document, which no client of the store can prevent.
    // Neither case is simulated.
    if (m_openApplies == 0 && chance(0.002)
        && highestVersion(true) >= std::max(storeVersion(), highestVersion(false))) {
        m_store.restoreEarlierCopy(1 + pick(4));
        ++m_restores;
    }
}

/*!
    Returns whether the newest document remains available without \a node, because the store or
    another node that the operators can reach has it.
*/
bool FleetRun::canRemove(const Node &node)
{
    const std::uint64_t highest = highestVersion(false);
    if (storeVersion() >= highest)
        return true;
    return std::any_of(m_nodes.begin(), m_nodes.end(), [&](const Node &other) {
        return &other != &node && isInMainGroup(other) && other.keeper->fleetVersion() >= highest;
    });
}

void FleetRun::injectNodeFault(Node &node)
{
    const auto index = static_cast<std::size_t>(&node - m_nodes.data());
    const std::size_t kind = pick(4);
    if (kind == 0) {
        node.isStoreBlocked = !node.isStoreBlocked;
        return;
    }
    if (kind == 1 && node.group != 0) {
        node.group = 0;
        return;
    }
    if (!canRemove(node))
        return;
    if (!node.keeper || kind == 3) {
        startNode(index);
    } else if (kind == 2) {
        node.keeper.reset();
    } else {
        // Group 1 can contain several nodes. Every other group contains a single isolated node.
        node.group = chance(0.5) ? 1 : static_cast<int>(2 + index);
        node.isStoreBlocked = chance(0.5);
    }
}

std::uint64_t FleetRun::highestVersion(bool mainGroupOnly) const
{
    std::uint64_t highest = 0;
    for (const Node &node : m_nodes) {
        if (node.keeper && (!mainGroupOnly || node.group == 0))
            highest = std::max(highest, node.keeper->fleetVersion());
    }
    return highest;
}

std::uint64_t FleetRun::storeVersion()
{
    if (m_store.value != m_storeValue) {
        const auto document = decodeFleetDocument(m_store.value);
        m_storeValue = m_store.value;
        m_storeVersion = document ? document->version : 0;
    }
    return m_storeVersion;
}

void FleetRun::startNode(std::size_t index)
{
    Node &node = m_nodes[index];
    m_restarts += m_step > 0 ? 1 : 0;
    node.keeper.emplace(FleetDocumentTrackerOptions {.zone = index % 2 == 0 ? "north" : "south"});
    node.keeper->setPeerCount(nodeCount - 1);
    node.isStoreReachable = false;
    node.hasServed = false;
    node.nextRead = m_step;
    node.nextProbe = m_step + static_cast<int>(pick(probeIntervalSteps));
    node.previousVersion = 0;
    node.previousCapacityLimit = 0;
    node.isolatedSince = -1;
    node.storeOlderSince = -1;
    for (AcceptedVersion &acceptance : m_accepted)
        acceptance.reachableSince[index] = -1;
}

void FleetRun::runNode(std::size_t index)
{
    Node &node = m_nodes[index];
    if (!node.keeper)
        return;
    if (m_step >= node.nextRead)
        readStore(node);
    if (m_step < node.nextProbe)
        return;
    node.nextProbe = m_step + probeIntervalSteps;
    if (node.probeOrder.empty()) {
        node.probeOrder.resize(nodeCount);
        std::iota(node.probeOrder.begin(), node.probeOrder.end(), 0U);
        std::erase(node.probeOrder, index);
        std::shuffle(node.probeOrder.begin(), node.probeOrder.end(), m_random);
    }
    const std::size_t target = node.probeOrder.back();
    node.probeOrder.pop_back();
    if (!exchangeVersions(index, target)) {
        // SWIM asks other peers to probe the node that did not answer. These messages also carry
        // versions.
        for (int i = 0; i < indirectProbeCount; ++i)
            exchangeVersions(index, pick(nodeCount));
    }
    pullDocument(node); // This also retries a pull whose answer was lost.
}

void FleetRun::readStore(Node &node)
{
    node.nextRead = m_step + readIntervalSteps;
    const StoreResult read = node.isStoreBlocked ? StoreResult {} : m_store.read(fleetObjectKey);
    node.isStoreReachable = read.status != StoreStatus::Unavailable;
    node.keeper->recordStoreContact(now(), node.isStoreReachable);
    if (!node.isStoreReachable)
        return;
    if (read.status == StoreStatus::Ok)
        offerDocument(node, read.value, FleetSource::Store);
    const auto document = decodeFleetDocument(read.value);
    const auto stored = node.keeper->documentToRestore(document ? document->version : 0);
    if (stored && m_options.restoreStore)
        m_store.writeIf(fleetObjectKey, *stored, read.version);
}

bool FleetRun::exchangeVersions(std::size_t from, std::size_t to)
{
    Node &a = m_nodes[from];
    Node &b = m_nodes[to];
    if (from == to || !b.keeper || a.group != b.group || chance(messageLossProbability))
        return false;
    b.keeper->recordPeerMessage(now(), std::to_string(from), a.keeper->fleetVersion(),
                                a.isStoreReachable);
    a.keeper->recordPeerMessage(now(), std::to_string(to), b.keeper->fleetVersion(),
                                b.isStoreReachable);
    pullDocument(a);
    pullDocument(b);
    return true;
}

void FleetRun::pullDocument(Node &node)
{
    const std::optional<std::string> name = node.keeper->peerToPull(now());
    if (!name || !m_options.pullFromPeers)
        return;
    Node &peer = m_nodes[std::stoul(*name)];
    if (peer.keeper && peer.group == node.group && !chance(messageLossProbability))
        offerDocument(node, peer.keeper->storedDocument(), FleetSource::Peer);
    else
        node.keeper->recordPullFailure(*name);
}

void FleetRun::offerDocument(Node &node, const std::string &stored, FleetSource source)
{
    if (node.keeper->adoptIfNewer(stored, source) == AdoptResult::Adopted)
        checkLineage(*decodeFleetDocument(node.keeper->storedDocument()));
    m_alarms += node.keeper->takeAlarm() ? 1 : 0;
}

void FleetRun::runOperator()
{
    if (chance(0.02))
        applyFile(true);
}

/*!
    Returns a request with a valid new file, or one with a file that must be refused. In the second
    case \a mustFail is set.
*/
ApplyRequest FleetRun::makeRequest(bool &mustFail)
{
    const auto current = decodeFleetDocument(m_store.value);
    const std::uint32_t limit = current ? current->capacityLimit : 10;
    const std::string id = "apply-" + std::to_string(++m_nextId);
    ApplyRequest request {.fleetFile = makeFleetFile(limit + (chance(0.2) ? 1 : 0), id),
                          .fileName = "fleet.toml",
                          .applyId = id};
    if (chance(0.7) && current)
        request.baseVersion = current->version;
    if (current && chance(0.1)) {
        mustFail = true;
        request.fleetFile = makeFleetFile(limit - 1, id);
    } else if (current && chance(0.05)) {
        mustFail = true;
        request.fleetFile = makeFleetFile(limit, id,
                                          "[[exception]]\nkey = \"defaults.capacity_limit\"\n"
                                          "scope = \"fleet\"\nvalue = 1\nreason = \"why\"\n");
    } else if (m_accepted.size() > 1 && chance(0.1)) {
        // This is an old file with the version from which it was derived.
        const AcceptedVersion &old = m_accepted[pick(m_accepted.size() - 1)];
        request.fleetFile = old.text;
        request.baseVersion = old.version - 1;
        mustFail = old.text != current->fleetFile;
    }
    if (m_options.askNodes)
        request.highestNodeVersion = highestVersion(true);
    return request;
}

void FleetRun::applyFile(bool allowRace)
{
    bool mustFail = false;
    const ApplyRequest request = makeRequest(mustFail);
    const double fault = std::uniform_real_distribution<>(0.0, 1.0)(m_random);
    using Next = FakeFleetStore::NextWrite;
    m_store.nextWrite = fault < 0.1 ? Next::LoseAnswer
            : fault < 0.2           ? Next::LoseRequest
            : fault < 0.3           ? Next::Delay
                                    : Next::Normal;
    if (allowRace && chance(0.3))
        m_store.beforeWrite = [this] {
            applyFile(false);
        };
    FleetPublisher<FakeFleetStore> publisher(m_store, [this] {
        for (int i = 0; i < probeIntervalSteps && !m_violation; ++i)
            advance();
    });
    ++m_openApplies;
    const ApplyResult result = publisher.apply(request);
    --m_openApplies;
    m_store.beforeWrite = nullptr;
    m_store.nextWrite = Next::Normal;
    checkApplyResult(request, result, mustFail);
    if (result.status == ApplyStatus::Accepted && chance(0.1)) {
        m_store.isUp = false;
        m_storeUpAt = m_step + static_cast<int>(pick(300));
    }
}

void FleetRun::checkApplyResult(const ApplyRequest &request, const ApplyResult &result,
                                bool mustFail)
{
    if (result.status == ApplyStatus::AlreadyInForce)
        return;
    m_conflicts += result.status == ApplyStatus::Conflict ? 1 : 0;
    m_refusals += result.status == ApplyStatus::Refused ? 1 : 0;
    m_unknown += result.status == ApplyStatus::Unknown ? 1 : 0;
    if (result.status != ApplyStatus::Accepted) {
        if (result.status != ApplyStatus::Unknown)
            m_rejectedIds.insert(request.applyId);
        return;
    }
    if (mustFail)
        recordViolation("accepted " + request.applyId
                        + ", which is outdated or lowers the capacity limit");
    const bool isDuplicate = std::any_of(m_accepted.begin(), m_accepted.end(),
                                         [&](const auto &other) {
                                             return other.version == result.version;
                                         });
    if (isDuplicate)
        recordViolation("version " + std::to_string(result.version) + " accepted twice");
    AcceptedVersion acceptance {
            .version = result.version, .text = request.fleetFile, .applyId = request.applyId};
    acceptance.reachableSince.fill(-1);
    m_accepted.push_back(std::move(acceptance));
    for (Node &node : m_nodes) {
        if (!chance(watchLossProbability))
            node.nextRead = std::min(node.nextRead, m_step + 1);
    }
}

void FleetRun::checkInvariants()
{
    for (std::size_t i = 0; i < nodeCount; ++i)
        checkNode(i);
    // Older versions have either reached all nodes or are covered by the check of a newer version.
    const std::size_t first = m_accepted.size() - std::min<std::size_t>(m_accepted.size(), 24);
    for (std::size_t i = first; i < m_accepted.size(); ++i) {
        checkPropagation(m_accepted[i]);
        updateSettled(m_accepted[i]);
    }
}

void FleetRun::checkNode(std::size_t index)
{
    Node &node = m_nodes[index];
    if (!node.keeper)
        return;
    const std::string name = "node " + std::to_string(index);
    checkMonotonicVersion(node, name);
    checkStoreRestored(node, name);
    checkServing(index, name);
}

void FleetRun::checkMonotonicVersion(Node &node, const std::string &name)
{
    const FleetDocumentTracker &keeper = *node.keeper;
    if (keeper.fleetVersion() < node.previousVersion)
        recordViolation(name + " returned to version " + std::to_string(keeper.fleetVersion())
                        + " from " + std::to_string(node.previousVersion));
    if (keeper.capacityLimit() < node.previousCapacityLimit)
        recordViolation(name + " lowered the capacity limit");
    node.previousVersion = keeper.fleetVersion();
    node.previousCapacityLimit = keeper.capacityLimit();
}

void FleetRun::checkStoreRestored(Node &node, const std::string &name)
{
    if (!m_store.isUp || node.isStoreBlocked || storeVersion() >= node.previousVersion)
        node.storeOlderSince = -1;
    else if (node.storeOlderSince < 0)
        node.storeOlderSince = m_step;
    else if (m_step - node.storeOlderSince > inForceLimitSteps)
        recordViolation(name + " has been connected for 5 s to a store with an older document");
}

void FleetRun::checkServing(std::size_t index, const std::string &name)
{
    Node &node = m_nodes[index];
    const bool reachesStore = m_store.isUp && !node.isStoreBlocked;
    const bool reachesPeer = std::any_of(m_nodes.begin(), m_nodes.end(), [&](const Node &other) {
        return &other != &node && other.keeper && other.group == node.group;
    });
    if (reachesStore || reachesPeer)
        node.isolatedSince = -1;
    else if (node.isolatedSince < 0)
        node.isolatedSince = m_step;
    const bool serves = node.keeper->canServe(now());
    if (serves && node.isolatedSince >= 0 && m_step - node.isolatedSince > isolationLimitSteps)
        recordViolation(name + " still serves although it is isolated");
    if (!serves || node.hasServed)
        return;
    node.hasServed = true;
    for (const AcceptedVersion &acceptance : m_accepted) {
        const int settled = acceptance.settledSince;
        const int reachable = acceptance.reachableSince[index];
        // A node cannot know of the document if neither it nor the peers that it reaches can obtain
        // it.
        if (node.previousVersion < acceptance.version && settled >= 0
            && m_step - settled > inForceLimitSteps && reachable >= 0
            && m_step - reachable > startLimitSteps)
            recordViolation(name + " starts to serve with version "
                            + std::to_string(node.previousVersion) + " after "
                            + std::to_string(acceptance.version)
                            + " had reached the store and all serving nodes");
    }
}

void FleetRun::updateSettled(AcceptedVersion &acceptance)
{
    const bool settled = storeVersion() >= acceptance.version
            && std::all_of(m_nodes.begin(), m_nodes.end(), [&](const Node &node) {
                             return !node.keeper || !node.hasServed
                                     || node.keeper->fleetVersion() >= acceptance.version;
                         });
    if (!settled)
        acceptance.settledSince = -1;
    else if (acceptance.settledSince < 0)
        acceptance.settledSince = m_step;
}

/*!
    Checks that every node has the document 5 s after it became able to obtain it.
*/
void FleetRun::checkPropagation(AcceptedVersion &acceptance)
{
    const bool isInStore = m_store.isUp && storeVersion() >= acceptance.version;
    const bool isInMain = highestVersion(true) >= acceptance.version;
    for (std::size_t i = 0; i < nodeCount; ++i) {
        const Node &node = m_nodes[i];
        int &since = acceptance.reachableSince[i];
        const bool reachable = node.keeper
                && ((isInStore && !node.isStoreBlocked) || (isInMain && isInMainGroup(node)));
        if (!reachable)
            since = -1;
        else if (since < 0)
            since = m_step;
        if (since >= 0 && m_step - since > inForceLimitSteps
            && node.keeper->fleetVersion() < acceptance.version)
            recordViolation("node " + std::to_string(i) + " has version "
                            + std::to_string(node.keeper->fleetVersion())
                            + " 5 s after it became able to obtain version "
                            + std::to_string(acceptance.version));
    }
}

/*!
    Checks that \a document is an accepted document or is derived from all accepted documents before
    it.
*/
void FleetRun::checkLineage(const FleetDocument &document)
{
    if (m_rejectedIds.contains(document.applyId))
        recordViolation("a document that was reported as not accepted is in force: "
                        + document.applyId);
    for (const AcceptedVersion &acceptance : m_accepted) {
        if (acceptance.version > document.version
            || document.version - acceptance.version > maxEarlierApplyIds)
            continue;
        const auto &ids = document.earlierApplyIds;
        const bool isIncluded = acceptance.version == document.version
                ? document.fleetFile == acceptance.text
                : std::find(ids.begin(), ids.end(), acceptance.applyId) != ids.end();
        if (!isIncluded)
            recordViolation("version " + std::to_string(document.version) + " reverts accepted "
                            + acceptance.applyId);
    }
}
