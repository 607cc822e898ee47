#include "simulation.h"

#include <algorithm>
#include <utility>

namespace bench {

using namespace sesame;
using namespace std::chrono_literals;

namespace {

constexpr double floodStartSeconds = 20.0;
constexpr double floodEndSeconds = 100.0;
constexpr double reclaimSeconds = 60.0;
constexpr double instanceStartSeconds = 10.0; // Time until the first request.
constexpr double drainSeconds = 30.0; // Time without arrivals in which accepted work completes.
constexpr int maxSubmits = 3;
constexpr int maxAttempts = 6;
constexpr std::size_t reclaimableEngineCount = 9; // 46% of 20 engines, rounded.
const std::string poolName = "engines";

std::size_t indexOf(Rank rank)
{
    return static_cast<std::size_t>(rank);
}

double toMilliseconds(Duration d)
{
    return std::chrono::duration<double, std::milli>(d).count();
}

} // namespace

/*!
    Returns the number of prompt tokens that the node sent and the engine has not prefilled yet.
*/
std::uint32_t Simulation::EngineRecord::pendingPrefillTokens(Timestamp now) const
{
    const double elapsed = std::chrono::duration<double>(now - pendingAt).count();
    return static_cast<std::uint32_t>(
            std::max(0.0, pendingTokens - elapsed * prefillTokensPerSecond));
}

Simulation::Node::Node(std::size_t index, std::size_t zoneIn, const AdmissionOptions &admissionIn,
                       const EngineRouterOptions &routerIn)
    : name("n" + std::to_string(index)), zone(zoneIn), admission(admissionIn), router(routerIn),
      suspects(name)
{
}

Simulation::Simulation(const Deployment &deployment, const Rules &rules,
                       const Conditions &conditions)
    : m_deployment(deployment), m_rules(rules), m_conditions(conditions), m_random(conditions.seed),
      m_now(Duration(1h)), m_startedAt(m_now)
{
    for (std::size_t i = 0; i < m_arrivalRandom.size(); ++i)
        m_arrivalRandom[i].seed(conditions.seed * 100 + i);
    for (std::size_t n = 0; n < nodeCount; ++n)
        m_nodes.emplace_back(n, n % zoneCount, admissionOptions(), routerOptions());
    m_planner.raiseCapacityLimit(engineCount + 4);
    setUpEngines();
}

AdmissionOptions Simulation::admissionOptions() const
{
    AdmissionOptions options;
    options.ranks[0] = {.firstTokenTarget = 1200ms, .queueLimit = 5s};
    options.ranks[1] = {.firstTokenTarget = 2500ms, .queueLimit = 15s, .floorShare = 0.2};
    options.ranks[2] = {.firstTokenTarget = 20s, .queueLimit = 30s, .floorShare = 0.1};
    if (!m_rules.floors)
        options.ranks[1].floorShare = options.ranks[2].floorShare = 0.0;
    if (!m_rules.rankHeadroom)
        options.rankHeadroom.fill(0.0);
    options.promptTokenWeight = promptTokenSeconds / outputTokenSeconds;
    if (!m_rules.accountHeadroom)
        options.accountHeadroom = 0.0;
    options.useFairSharing = m_rules.fairShares;
    options.useEarlyRefusal = m_rules.earlyRefusal;
    return options;
}

EngineRouterOptions Simulation::routerOptions() const
{
    EngineRouterOptions options;
    if (!m_rules.priceAndRisk) {
        options.priceWeightMs = {0.0, 0.0, 0.0};
        options.reclaimWeightMs = 0.0;
    }
    if (!m_rules.rankHeadroom)
        options.rankHeadroom.fill(0.0);
    if (!m_rules.spreadOverEquals)
        options.scoreToleranceMs = 0.0;
    options.usePrefixHints = m_rules.prefixHints;
    options.useZoneRule = m_rules.zoneRule;
    return options;
}

void Simulation::setUpEngines()
{
    for (std::size_t i = 0; i < engineCount; ++i) {
        const ZonePrices &zone = m_deployment.zones[i % zoneCount];
        const bool onDemand = i >= reclaimableEngineCount;
        m_engines.push_back(std::make_unique<FakeEngine>(
                "e" + std::to_string(i), zone.name, onDemand ? zone.onDemand : zone.reclaimable,
                onDemand ? 0.0 : zone.reclaimsPerHour, m_now));
        m_engines.back()->onDemand = onDemand;
        m_engines.back()->computedBlocks = &m_computedBlocks;
    }
}

double Simulation::elapsedSeconds() const
{
    return std::chrono::duration<double>(m_now - m_startedAt).count();
}

bool Simulation::isUsable(const FakeEngine &engine) const
{
    return !engine.isLeaving && engine.readyAt <= m_now && engine.endsAt > m_now;
}

void Simulation::addArrivals(Rank rank, double perSecond, ArrivalSource source)
{
    std::mt19937_64 &random = m_arrivalRandom[static_cast<std::size_t>(source) + indexOf(rank)];
    std::poisson_distribution<int> count(perSecond * static_cast<double>(tickDuration.count())
                                         / 1e6);
    std::discrete_distribution<std::size_t> pick(accountShares.begin(), accountShares.end());
    const int n = perSecond > 0.0 ? count(random) : 0;
    for (int i = 0; i < n; ++i) {
        const std::size_t account = source == ArrivalSource::Large ? random() % largeAccountCount
                                                                   : pick(random);
        Request request = makeRequest(m_deployment, rank, account, random);
        request.node = random() % nodeCount;
        if (source == ArrivalSource::Usual && account < largeAccountCount
            && m_conditions.largeAccountFactor < 1.0)
            continue;
        ++m_result.ranks[indexOf(rank)].offered;
        m_requests.push_back(std::move(request));
        submitRequest(m_requests.size() - 1);
    }
}

void Simulation::generateArrivals()
{
    const bool flood = elapsedSeconds() >= floodStartSeconds && elapsedSeconds() < floodEndSeconds;
    for (std::size_t r = 0; r < rankCount; ++r) {
        const auto rank = static_cast<Rank>(r);
        const RequestShape &shape = m_deployment.shapes[r];
        const double capacity = engineCount / expectedEngineSeconds(shape);
        const double usual = capacity * shape.workFraction * m_conditions.load;
        if (m_conditions.ranks[r])
            addArrivals(rank, usual, ArrivalSource::Usual);
        if (flood && m_conditions.floodRank == rank)
            addArrivals(rank, capacity * m_conditions.floodFactor, ArrivalSource::Flood);
        // The additional requests of the large accounts have the standard rank.
        if (rank == Rank::Standard && m_conditions.largeAccountFactor > 1.0)
            addArrivals(rank, usual * largeAccountShare * (m_conditions.largeAccountFactor - 1.0),
                        ArrivalSource::Large);
    }
}

void Simulation::submitRequest(std::size_t index)
{
    Request &request = m_requests[index];
    Node &node = m_nodes[request.node];
    if (node.suspects.isQuarantined(request.fingerprint)) {
        request.isRefused = true;
        m_result.innocentRefused += request.crashesEngine ? 0 : 1;
        return;
    }
    WorkItem item;
    item.pool = poolName;
    item.rank = m_rules.roundRobin ? Rank::Standard : queueRank(request.rank);
    item.account = std::to_string(request.account);
    item.promptTokens = request.promptTokens;
    item.outputTokens = m_deployment.shapes[indexOf(request.rank)].outputTokens;
    ++request.submitCount;
    if (const auto ticket = node.admission.submit(item, m_now)) {
        request.ticket = *ticket;
        request.acceptedAt = m_now;
        node.tickets[*ticket] = index;
        return;
    }
    if (request.submitCount >= maxSubmits) {
        request.isRefused = true;
        ++m_result.ranks[indexOf(request.rank)].refused;
        return;
    }
    // The caller adds jitter and waits for up to twice the returned time.
    const Duration least = node.admission.retryAfter();
    std::uniform_int_distribution<std::int64_t> pick(least.count(), 2 * least.count());
    m_resubmits.emplace(m_now + Duration(pick(m_random)), index);
}

std::vector<EngineView> Simulation::makeEngineViews(Node &node, std::vector<std::size_t> &ids)
{
    std::vector<EngineView> views;
    for (std::size_t e = 0; e < m_engines.size(); ++e) {
        const FakeEngine &engine = *m_engines[e];
        if (!isUsable(engine))
            continue;
        const EngineRecord &state = node.engines[e];
        EngineView view;
        view.id = engine.id;
        view.zone = engine.zone;
        view.pricePerHour = engine.pricePerHour;
        view.reclaimsPerHour = engine.reclaimsPerHour;
        view.slots = engine.slots;
        view.queued = state.queued;
        view.running = state.running;
        view.ownAtReport = state.ownAtReport;
        view.ownPrefillTokens = state.pendingPrefillTokens(m_now);
        view.tokenMs = state.tokenMs;
        view.ownInFlight = state.inFlight;
        view.reportAge = m_now - state.reportedAt;
        view.prefillTokensPerSecond = prefillTokensPerSecond;
        views.push_back(std::move(view));
        ids.push_back(e);
    }
    return views;
}

std::optional<std::size_t> Simulation::chooseEngine(Node &node, std::size_t index)
{
    const Request &request = m_requests[index];
    std::vector<std::size_t> ids;
    const std::vector<EngineView> views = makeEngineViews(node, ids);
    if (views.empty())
        return std::nullopt;
    if (m_rules.roundRobin)
        return ids[node.nextEngine++ % ids.size()];
    std::vector<std::string> excluded;
    if (request.excludedEngine >= 0)
        excluded.push_back(m_engines[static_cast<std::size_t>(request.excludedEngine)]->id);
    RouteQuery query;
    query.blocks = request.blocks;
    query.promptTokens = request.promptTokens;
    query.outputTokens = m_deployment.shapes[indexOf(request.rank)].outputTokens;
    query.rank = request.rank;
    query.entryZone = m_deployment.zones[node.zone].name;
    query.liveNodes = nodeCount;
    query.tieBreak = request.fingerprint;
    query.excluded = excluded;
    const auto choice = node.router.choose(query, views, m_now);
    return choice ? std::optional(ids[choice->engine]) : std::nullopt;
}

void Simulation::sendToEngine(Node &node, std::size_t index, std::size_t engine)
{
    Request &request = m_requests[index];
    FakeEngine &target = *m_engines[engine];
    const double cached = node.router.cachedShare(target.id, request.blocks, m_now)
            * request.promptTokens;
    EngineRecord &state = node.engines[engine];
    state.pendingTokens = state.pendingPrefillTokens(m_now) + request.promptTokens - cached;
    state.pendingAt = m_now;
    ++state.inFlight;
    node.router.recordSend(target.id, request.blocks, m_now);
    request.engine = static_cast<int>(engine);
    ++request.attemptCount;
    ++m_result.attempts;
    request.failsAt = Timestamp::max();
    const bool isFailurePeriod = elapsedSeconds() >= floodStartSeconds
            && elapsedSeconds() < floodEndSeconds;
    std::uniform_real_distribution<double> chance(0.0, 1.0);
    if (request.crashesEngine)
        request.failsAt = m_now + 200ms;
    else if (isFailurePeriod && chance(m_random) < m_conditions.attemptFailureRate)
        request.failsAt = m_now + 500ms;
    const bool fifo = m_rules.roundRobin || !m_rules.ranks;
    target.enqueue(index, fifo ? 1 : static_cast<std::uint32_t>(request.rank));
    const double cost = expectedEngineSeconds(m_deployment.shapes[indexOf(request.rank)]);
    if (isFailurePeriod)
        m_result.floodEngineSeconds[indexOf(request.rank)] += cost;
}

/*!
    Sends a request that holds a slot. Returns false if no engine can accept it now.
*/
bool Simulation::tryDispatch(Node &node, std::size_t index)
{
    Request &request = m_requests[index];
    std::optional<std::size_t> engine;
    const std::string announced = node.suspects.announcedEngine(request.fingerprint);
    for (std::size_t e = 0; !announced.empty() && e < m_engines.size(); ++e) {
        if (m_engines[e]->id == announced && isUsable(*m_engines[e]))
            engine = e;
    }
    if (!engine && !announced.empty())
        node.suspects.withdraw(request.fingerprint, m_now);
    if (!engine)
        engine = chooseEngine(node, index);
    if (!engine)
        return false;
    if (!m_rules.roundRobin
        && !node.suspects.tryRunOn(request.fingerprint, m_engines[*engine]->id, m_now))
        return false;
    if (std::exchange(request.isMoving, false)) {
        // The KV cache is transferred if the notice period has not ended.
        const auto old = static_cast<std::size_t>(request.engine);
        request.hasTransferredKv = m_engines[old]->endsAt > m_now
                && request.remainingPrefillTokens <= 0.0 && request.decodedTokens > 0.0;
        m_engines[old]->remove(index);
        --node.engines[old].inFlight;
        if (!request.hasTransferredKv)
            m_result.recomputedTokens += request.prefilledTokens + request.decodedTokens;
    }
    sendToEngine(node, index, *engine);
    return true;
}

void Simulation::dispatchRequests(Node &node)
{
    std::vector<std::size_t> retries = std::exchange(node.retries, {});
    for (const std::size_t index : retries) {
        if (node.suspects.isQuarantined(m_requests[index].fingerprint))
            failRequest(index);
        else if (!tryDispatch(node, index))
            node.retries.push_back(index);
    }
    while (const auto ticket = node.admission.takeNext(poolName, m_now)) {
        const std::size_t index = node.tickets.at(*ticket);
        if (tryDispatch(node, index))
            continue;
        if (node.suspects.isSuspect(m_requests[index].fingerprint)) {
            node.retries.push_back(index);
            continue;
        }
        node.admission.requeue(*ticket);
        break;
    }
}

void Simulation::stepEngines()
{
    std::vector<std::size_t> done;
    for (std::size_t e = 0; e < m_engines.size(); ++e) {
        FakeEngine &engine = *m_engines[e];
        if (engine.endsAt <= m_now || engine.readyAt > m_now)
            continue;
        done.clear();
        engine.runTick(m_requests, m_now, done);
        for (const std::size_t index : done) {
            if (m_requests[index].failsAt > m_now)
                completeRequest(index);
            else if (m_requests[index].crashesEngine)
                handleCrash(e);
            else
                handleFailedAttempt(index);
        }
    }
}

void Simulation::completeRequest(std::size_t index)
{
    Request &request = m_requests[index];
    Node &node = m_nodes[request.node];
    request.doneAt = m_now;
    request.isMoving = false;
    node.admission.finish(request.ticket, request.outputTokens, m_now);
    node.tickets.erase(request.ticket);
    --node.engines[static_cast<std::size_t>(request.engine)].inFlight;
    std::erase(node.retries, index);
    node.budget.recordSuccess();
    node.suspects.recordCompletion(request.fingerprint, m_now);
}

void Simulation::failRequest(std::size_t index)
{
    Request &request = m_requests[index];
    Node &node = m_nodes[request.node];
    request.isFailed = true;
    m_result.innocentRefused += !request.crashesEngine
                    && node.suspects.isQuarantined(request.fingerprint)
            ? 1
            : 0;
    node.admission.finish(request.ticket, static_cast<std::uint32_t>(request.decodedTokens), m_now);
    node.tickets.erase(request.ticket);
}

/*!
    Handles a failed attempt whose engine still runs: retries it within the retry budget.
*/
void Simulation::handleFailedAttempt(std::size_t index)
{
    Request &request = m_requests[index];
    Node &node = m_nodes[request.node];
    --node.engines[static_cast<std::size_t>(request.engine)].inFlight;
    request.excludedEngine = std::exchange(request.engine, -1);
    const bool allowed = !m_rules.retryBudget || node.budget.tryRetry();
    if (allowed && request.attemptCount < maxAttempts)
        node.retries.push_back(index);
    else
        failRequest(index);
}

void Simulation::removeEngine(std::size_t e)
{
    FakeEngine &engine = *m_engines[e];
    const auto removeRequest = [&](std::size_t index) {
        Request &request = m_requests[index];
        Node &node = m_nodes[request.node];
        m_result.recomputedTokens += request.prefilledTokens + request.decodedTokens;
        request.remainingPrefillTokens = 0.0;
        request.prefilledTokens = 0.0;
        request.engine = -1;
        --node.engines[e].inFlight;
        // The baseline tracks no suspects. Without a limit, one request would crash every engine.
        if (m_rules.roundRobin && request.attemptCount >= maxAttempts)
            failRequest(index);
        else if (!std::exchange(request.isMoving, false))
            node.retries.push_back(index);
    };
    for (const std::size_t index : engine.running)
        removeRequest(index);
    for (const auto &[priority, index] : engine.queue)
        removeRequest(index);
    engine.running.clear();
    engine.queue.clear();
}

void Simulation::handleCrash(std::size_t e)
{
    FakeEngine &engine = *m_engines[e];
    ++m_result.enginesCrashed;
    for (Node &node : m_nodes) {
        std::vector<Fingerprint> running;
        for (const auto &[ticket, index] : node.tickets) {
            if (m_requests[index].engine == static_cast<int>(e))
                running.push_back(m_requests[index].fingerprint);
        }
        if (!m_rules.roundRobin)
            node.suspects.recordCrash(engine.id, engine.zone, running, m_now);
    }
    for (const Request &request : m_requests) {
        // The tick has already removed the crashing request from the engine.
        const bool here = request.crashesEngine && request.engine == static_cast<int>(e)
                && request.failsAt <= m_now && !request.isFailed;
        if (here)
            engine.running.push_back(static_cast<std::size_t>(&request - m_requests.data()));
    }
    engine.endsAt = m_now;
    removeEngine(e);
}

void Simulation::sendCrashingRequest()
{
    if (!m_conditions.sendsCrashingRequest || elapsedSeconds() < 10.0
        || m_crashingRequestsSent >= nodeCount || m_now < m_nextCrashingRequestAt)
        return;
    Request request = makeRequest(m_deployment, Rank::Standard, 3, m_random);
    request.blocks.clear();
    request.fingerprint = 1;
    request.crashesEngine = true;
    request.node = m_crashingRequestsSent++;
    m_requests.push_back(std::move(request));
    m_nextCrashingRequestAt = m_now + m_conditions.crashingRequestInterval;
    submitRequest(m_requests.size() - 1);
}

void Simulation::exchangeSuspectUpdates()
{
    for (std::size_t n = 0; n < m_nodes.size(); ++n) {
        SuspectTable &suspects = m_nodes[n].suspects;
        suspects.update(m_now);
        const auto updates = suspects.updatesSince(m_nodes[n].sentSuspectSequence);
        m_nodes[n].sentSuspectSequence = suspects.sequence();
        for (std::size_t to = 0; to < m_nodes.size(); ++to) {
            if (!updates.empty() && to != n && m_rules.sharedSuspects)
                m_suspectUpdates.emplace_back(m_now + Duration(m_random() % 980000), to, updates);
        }
    }
    std::erase_if(m_suspectUpdates, [&](const auto &message) {
        const auto &[at, to, updates] = message;
        if (at <= m_now)
            m_nodes[to].suspects.applyUpdates(updates, m_now);
        return at <= m_now;
    });
}

void Simulation::collectReports()
{
    LoadReport report;
    report.takenAt = m_now;
    std::bernoulli_distribution lost(m_conditions.eventLossRate);
    for (auto &engine : m_engines) {
        report.loads.push_back({.queued = static_cast<std::uint32_t>(engine->queue.size()),
                                .running = static_cast<std::uint32_t>(engine->running.size()),
                                .tokenMs = engine->tokenMs});
        std::array<std::uint32_t, nodeCount> inFlight {};
        for (std::size_t n = 0; n < nodeCount; ++n)
            inFlight[n] = m_nodes[n].engines[report.inFlight.size()].inFlight;
        report.inFlight.push_back(inFlight);
        std::vector<CacheEvent> events = std::exchange(engine->cacheEvents, {});
        std::erase_if(events, [&](const CacheEvent &) {
            return lost(m_random);
        });
        report.events.push_back(std::move(events));
    }
    m_reports.emplace_back(m_now + m_conditions.reportLag, std::move(report));
}

void Simulation::deliverReport(const LoadReport &report)
{
    for (Node &node : m_nodes) {
        PoolCapacity capacity {.liveNodes = nodeCount};
        std::uint32_t busySlots = 0;
        for (std::size_t e = 0; e < report.loads.size(); ++e) {
            EngineRecord &state = node.engines[e];
            state.queued = report.loads[e].queued;
            state.running = report.loads[e].running;
            state.tokenMs = report.loads[e].tokenMs;
            state.reportedAt = report.takenAt;
            state.ownAtReport
                    = report.inFlight[e][static_cast<std::size_t>(&node - m_nodes.data())];
            if (!isUsable(*m_engines[e]))
                continue;
            const std::uint32_t busy = state.queued + state.running;
            capacity.fleetSlots += m_engines[e]->slots;
            busySlots += busy;
            if (m_rules.prefixHints && !m_rules.roundRobin)
                node.router.applyCacheEvents(m_engines[e]->id, report.events[e], m_now);
        }
        capacity.fleetFreeSlots = capacity.fleetSlots - std::min(capacity.fleetSlots, busySlots);
        node.admission.setCapacity(poolName, capacity);
    }
}

void Simulation::reclaimZone()
{
    const std::string &zone = m_deployment.zones[2].name;
    for (const auto &owned : m_engines) {
        FakeEngine &engine = *owned;
        if (engine.zone != zone || engine.endsAt <= m_now)
            continue;
        engine.isLeaving = true;
        engine.endsAt = m_now + m_conditions.notice;
        std::vector<std::size_t> affected = engine.running;
        for (const auto &[priority, index] : engine.queue)
            affected.push_back(index);
        for (const std::size_t index : affected) {
            Node &node = m_nodes[m_requests[index].node];
            m_result.nodeAndEngineLost += m_deployment.zones[node.zone].name == zone ? 1 : 0;
            m_requests[index].isMoving = true;
            node.retries.push_back(index);
        }
    }
}

std::vector<CapacityOption> Simulation::capacityOptions() const
{
    std::vector<CapacityOption> options;
    const bool lost = m_conditions.reclaimsZone && elapsedSeconds() >= reclaimSeconds;
    for (std::size_t z = 0; z < zoneCount; ++z) {
        const ZonePrices &zone = m_deployment.zones[z];
        for (const Market market : {Market::Reclaimable, Market::OnDemand}) {
            if (lost && z == 2)
                continue;
            const bool onDemand = market == Market::OnDemand;
            CapacityOption option {.zone = zone.name, .backendClass = "engine", .market = market};
            option.pricePerHour = onDemand ? zone.onDemand : zone.reclaimable;
            option.reclaimsPerHour = onDemand ? 0.0 : zone.reclaimsPerHour;
            for (const auto &engine : m_engines) {
                if (engine->zone == zone.name && engine->onDemand == onDemand && !engine->isLeaving
                    && engine->endsAt > m_now)
                    ++option.running;
            }
            options.push_back(option);
        }
    }
    return options;
}

void Simulation::startEngine(const CapacityOption &option)
{
    ++m_result.startsAttempted;
    std::bernoulli_distribution refused(m_conditions.startRefusalRate);
    if (option.market == Market::Reclaimable && refused(m_random)) {
        if (m_rules.refusalBackoff)
            m_planner.recordRefusal(option, m_now, m_random);
        return;
    }
    m_planner.recordStart(option);
    const auto load = Duration(static_cast<std::int64_t>(instanceStartSeconds * 1e6));
    m_engines.push_back(std::make_unique<FakeEngine>("e" + std::to_string(m_engines.size()),
                                                     option.zone, option.pricePerHour,
                                                     option.reclaimsPerHour, m_now + load));
    m_engines.back()->onDemand = option.market == Market::OnDemand;
    m_engines.back()->computedBlocks = &m_computedBlocks;
    for (Node &node : m_nodes)
        node.engines.resize(m_engines.size());
}

void Simulation::planCapacity()
{
    const auto options = capacityOptions();
    const CapacityDemand demand {.urgent = engineCount * 0.4,
                                 .total = static_cast<double>(m_targetEngineCount)};
    const CapacityPlan plan = m_planner.plan(demand, options, m_now);
    WeightLoadState loads;
    std::size_t ready = 0;
    for (const auto &engine : m_engines) {
        if (engine->readyAt > m_now)
            ++loads.fromStore;
        else if (isUsable(*engine))
            ++ready;
    }
    loads.warmPeers = static_cast<std::uint32_t>(ready / 4);
    if (elapsedSeconds() > reclaimSeconds && ready >= m_targetEngineCount
        && m_result.recoverySeconds == 0.0)
        m_result.recoverySeconds = elapsedSeconds() - reclaimSeconds;
    for (const PlannedStart &order : m_planner.nextStarts(plan, options, loads))
        startEngine(options[order.option]);
}

double Simulation::prefilledTokens() const
{
    double sum = 0.0;
    for (const auto &engine : m_engines)
        sum += engine->prefilledTokens;
    return sum;
}

Result Simulation::collectResult()
{
    for (const Request &request : m_requests) {
        if (request.doneAt == Timestamp {} || request.crashesEngine)
            continue;
        const std::size_t r = indexOf(request.rank);
        RankResult &rank = m_result.ranks[r];
        ++rank.completed;
        rank.tokens += request.outputTokens;
        const double doneSeconds = std::chrono::duration<double>(request.doneAt - m_startedAt)
                                           .count();
        if (doneSeconds >= floodStartSeconds && doneSeconds < floodEndSeconds)
            rank.floodTokens += request.outputTokens;
        const double wait = toMilliseconds(request.firstTokenAt - request.acceptedAt);
        rank.firstTokenMs.push_back(wait);
        if (request.account >= largeAccountCount)
            rank.smallFirstTokenMs.push_back(wait);
        rank.gapMs.push_back(toMilliseconds(request.doneAt - request.firstTokenAt)
                             / (request.outputTokens - 1));
    }
    for (const auto &engine : m_engines) {
        m_result.prefilledTokens += engine->prefilledTokens;
        m_result.repeatedTokens += engine->repeatedTokens;
    }
    return m_result;
}

Result Simulation::run()
{
    for (Node &node : m_nodes)
        node.engines.resize(m_engines.size());
    const auto ticks = static_cast<std::size_t>((m_conditions.seconds + drainSeconds) * 1e6
                                                / static_cast<double>(tickDuration.count()));
    bool reclaimed = false;
    for (std::size_t i = 0; i < ticks; ++i) {
        m_now += tickDuration;
        if (i % 50 == 0)
            collectReports();
        while (!m_reports.empty() && (m_reports.front().first <= m_now || i == 0)) {
            deliverReport(m_reports.front().second);
            m_reports.pop_front();
        }
        if (i % 10 == 0)
            exchangeSuspectUpdates();
        if (m_conditions.reclaimsZone && !reclaimed && elapsedSeconds() >= reclaimSeconds) {
            reclaimed = true;
            m_prefilledAtReclaim = prefilledTokens();
            reclaimZone();
        }
        for (std::size_t e = 0; e < m_engines.size(); ++e) {
            if (m_engines[e]->isLeaving && m_engines[e]->endsAt <= m_now)
                removeEngine(e);
        }
        if (reclaimed && i % 100 == 0)
            planCapacity();
        if (reclaimed && elapsedSeconds() <= reclaimSeconds + 30.0 && i % 100 == 0)
            m_result.prefilledAfterReclaim = prefilledTokens() - m_prefilledAtReclaim;
        while (!m_resubmits.empty() && m_resubmits.begin()->first <= m_now) {
            const std::size_t index = m_resubmits.begin()->second;
            m_resubmits.erase(m_resubmits.begin());
            submitRequest(index);
        }
        if (elapsedSeconds() < m_conditions.seconds)
            generateArrivals();
        sendCrashingRequest();
        // The order rotates, so that no node is always the first to use free slots.
        for (std::size_t n = 0; n < nodeCount; ++n)
            dispatchRequests(m_nodes[(n + i) % nodeCount]);
        stepEngines();
    }
    return collectResult();
}

} // namespace bench
