#include "simulation.h"

#include <algorithm>
#include <utility>

namespace bench {

using namespace sesame;
using namespace std::chrono_literals;

namespace {

constexpr double floodFrom = 20.0;
constexpr double floodTo = 100.0;
constexpr double reclaimAt = 60.0;
constexpr double loadSeconds = 10.0; // From the start of an instance to its first request.
constexpr double drainSeconds = 30.0; // Without arrivals, so that accepted work completes.
constexpr int submitsMax = 3;
constexpr int attemptsMax = 6;
constexpr std::size_t reclaimableEngines = 9; // 46% of 20, rounded.
const std::string pool = "engines";

std::size_t indexOf(Rank rank)
{
    return static_cast<std::size_t>(rank);
}

double milliseconds(Duration d)
{
    return std::chrono::duration<double, std::milli>(d).count();
}

} // namespace

/*!
    Returns the prompt tokens sent by the node that the engine has not prefilled yet.
*/
std::uint32_t Simulation::EngineState::pendingPrefill(Timestamp now) const
{
    const double elapsed = std::chrono::duration<double>(now - pendingAt).count();
    return static_cast<std::uint32_t>(std::max(0.0, pendingTokens - elapsed * prefillRate));
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
    if (!m_rules.headroom)
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
    if (!m_rules.headroom)
        options.rankHeadroom.fill(0.0);
    if (!m_rules.spread)
        options.scoreToleranceMs = 0.0;
    options.usePrefixHints = m_rules.prefixHints;
    options.useZoneRule = m_rules.zoneRule;
    return options;
}

void Simulation::setUpEngines()
{
    for (std::size_t i = 0; i < engineCount; ++i) {
        const ZonePrices &zone = m_deployment.zones[i % zoneCount];
        const bool onDemand = i >= reclaimableEngines;
        m_engines.push_back(std::make_unique<FakeEngine>(
                "e" + std::to_string(i), zone.name, onDemand ? zone.onDemand : zone.reclaimable,
                onDemand ? 0.0 : zone.reclaimsPerHour, m_now));
        m_engines.back()->onDemand = onDemand;
        m_engines.back()->everComputed = &m_everComputed;
    }
}

double Simulation::sinceStart() const
{
    return std::chrono::duration<double>(m_now - m_startedAt).count();
}

bool Simulation::isUsable(const FakeEngine &engine) const
{
    return !engine.leaving && engine.readyAt <= m_now && engine.goneAt > m_now;
}

void Simulation::arrive(Rank rank, double perSecond, Stream stream)
{
    std::mt19937_64 &random = m_arrivalRandom[static_cast<std::size_t>(stream) + indexOf(rank)];
    std::poisson_distribution<int> count(perSecond * static_cast<double>(tick.count()) / 1e6);
    std::discrete_distribution<std::size_t> pick(accountParts.begin(), accountParts.end());
    const int n = perSecond > 0.0 ? count(random) : 0;
    for (int i = 0; i < n; ++i) {
        const std::size_t account = stream == Stream::Large ? random() % largeAccounts
                                                            : pick(random);
        Request request = makeRequest(m_deployment, rank, account, random);
        request.node = random() % nodeCount;
        if (stream == Stream::Usual && account < largeAccounts && m_conditions.largeFactor < 1.0)
            continue;
        ++m_result.ranks[indexOf(rank)].offered;
        m_requests.push_back(std::move(request));
        submit(m_requests.size() - 1);
    }
}

void Simulation::arrivals()
{
    const bool flood = sinceStart() >= floodFrom && sinceStart() < floodTo;
    for (std::size_t r = 0; r < rankCount; ++r) {
        const auto rank = static_cast<Rank>(r);
        const RankShape &shape = m_deployment.shapes[r];
        const double capacity = engineCount / engineSeconds(shape);
        const double usual = capacity * shape.workShare * m_conditions.load;
        if (m_conditions.ranks[r])
            arrive(rank, usual, Stream::Usual);
        if (flood && m_conditions.floodRank == rank)
            arrive(rank, capacity * m_conditions.floodFactor, Stream::Flood);
        // The large accounts send more than usual in the standard rank.
        if (rank == Rank::Standard && m_conditions.largeFactor > 1.0)
            arrive(rank, usual * largePart * (m_conditions.largeFactor - 1.0), Stream::Large);
    }
}

void Simulation::submit(std::size_t index)
{
    Request &request = m_requests[index];
    Node &node = m_nodes[request.node];
    if (node.suspects.isQuarantined(request.fingerprint)) {
        request.refused = true;
        m_result.innocentRefused += request.crashes ? 0 : 1;
        return;
    }
    WorkItem item;
    item.pool = pool;
    item.rank = m_rules.roundRobin ? Rank::Standard : queueRank(request.rank);
    item.account = std::to_string(request.account);
    item.promptTokens = request.promptTokens;
    item.outputTokens = m_deployment.shapes[indexOf(request.rank)].outputTokens;
    ++request.submits;
    if (const auto ticket = node.admission.submit(item, m_now)) {
        request.ticket = *ticket;
        request.acceptedAt = m_now;
        node.tickets[*ticket] = index;
        return;
    }
    if (request.submits >= submitsMax) {
        request.refused = true;
        ++m_result.ranks[indexOf(request.rank)].refused;
        return;
    }
    // The caller adds jitter: up to twice the time it was told.
    const Duration least = node.admission.retryAfter();
    std::uniform_int_distribution<std::int64_t> pick(least.count(), 2 * least.count());
    m_resubmits.emplace(m_now + Duration(pick(m_random)), index);
}

std::vector<EngineView> Simulation::viewsOf(Node &node, std::vector<std::size_t> &ids)
{
    std::vector<EngineView> views;
    for (std::size_t e = 0; e < m_engines.size(); ++e) {
        const FakeEngine &engine = *m_engines[e];
        if (!isUsable(engine))
            continue;
        const EngineState &state = node.engines[e];
        EngineView view;
        view.id = engine.id;
        view.zone = engine.zone;
        view.pricePerHour = engine.pricePerHour;
        view.reclaimsPerHour = engine.zoneRisk;
        view.slots = engine.slots;
        view.queued = state.queued;
        view.running = state.running;
        view.ownAtReport = state.ownReported;
        view.ownPrefillTokens = state.pendingPrefill(m_now);
        view.tokenMs = state.tokenMs;
        view.ownInFlight = state.inFlight;
        view.reportAge = m_now - state.reportedAt;
        view.prefillTokensPerSecond = prefillRate;
        views.push_back(std::move(view));
        ids.push_back(e);
    }
    return views;
}

std::optional<std::size_t> Simulation::chooseEngine(Node &node, std::size_t index)
{
    const Request &request = m_requests[index];
    std::vector<std::size_t> ids;
    const std::vector<EngineView> views = viewsOf(node, ids);
    if (views.empty())
        return std::nullopt;
    if (m_rules.roundRobin)
        return ids[node.turn++ % ids.size()];
    std::vector<std::string> excluded;
    if (request.excluded >= 0)
        excluded.push_back(m_engines[static_cast<std::size_t>(request.excluded)]->id);
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

void Simulation::send(Node &node, std::size_t index, std::size_t engine)
{
    Request &request = m_requests[index];
    FakeEngine &target = *m_engines[engine];
    const double cached = node.router.cachedShare(target.id, request.blocks, m_now)
            * request.promptTokens;
    EngineState &state = node.engines[engine];
    state.pendingTokens = state.pendingPrefill(m_now) + request.promptTokens - cached;
    state.pendingAt = m_now;
    ++state.inFlight;
    node.router.recordSend(target.id, request.blocks, m_now);
    request.engine = static_cast<int>(engine);
    ++request.attempts;
    ++m_result.attempts;
    request.failsAt = Timestamp::max();
    const bool failing = sinceStart() >= floodFrom && sinceStart() < floodTo;
    std::uniform_real_distribution<double> chance(0.0, 1.0);
    if (request.crashes)
        request.failsAt = m_now + 200ms;
    else if (failing && chance(m_random) < m_conditions.attemptsFailing)
        request.failsAt = m_now + 500ms;
    const bool fifo = m_rules.roundRobin || !m_rules.ranks;
    target.enqueue(index, fifo ? 1 : static_cast<std::uint32_t>(request.rank));
    const double cost = engineSeconds(m_deployment.shapes[indexOf(request.rank)]);
    if (failing)
        m_result.floodCost[indexOf(request.rank)] += cost;
}

/*!
    Sends a request that holds a slot. Returns false if no engine takes it now.
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
    if (std::exchange(request.moving, false)) {
        // The KV cache follows while the notice lasts.
        const auto old = static_cast<std::size_t>(request.engine);
        request.kvArrived = m_engines[old]->goneAt > m_now && request.prefillLeft <= 0.0
                && request.decoded > 0.0;
        m_engines[old]->remove(index);
        --node.engines[old].inFlight;
        if (!request.kvArrived)
            m_result.moveRecomputed += request.prefillDone + request.decoded;
    }
    send(node, index, *engine);
    return true;
}

void Simulation::dispatch(Node &node)
{
    std::vector<std::size_t> again = std::exchange(node.again, {});
    for (const std::size_t index : again) {
        if (node.suspects.isQuarantined(m_requests[index].fingerprint))
            fail(index);
        else if (!tryDispatch(node, index))
            node.again.push_back(index);
    }
    while (const auto ticket = node.admission.takeNext(pool, m_now)) {
        const std::size_t index = node.tickets.at(*ticket);
        if (tryDispatch(node, index))
            continue;
        if (node.suspects.isSuspect(m_requests[index].fingerprint)) {
            node.again.push_back(index);
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
        if (engine.goneAt <= m_now || engine.readyAt > m_now)
            continue;
        done.clear();
        engine.step(m_requests, m_now, done);
        for (const std::size_t index : done) {
            if (m_requests[index].failsAt > m_now)
                complete(index);
            else if (m_requests[index].crashes)
                crash(e);
            else
                attemptEnded(index);
        }
    }
}

void Simulation::complete(std::size_t index)
{
    Request &request = m_requests[index];
    Node &node = m_nodes[request.node];
    request.doneAt = m_now;
    request.moving = false;
    node.admission.finish(request.ticket, request.outputTokens, m_now);
    node.tickets.erase(request.ticket);
    --node.engines[static_cast<std::size_t>(request.engine)].inFlight;
    std::erase(node.again, index);
    node.budget.recordSuccess();
    node.suspects.recordCompletion(request.fingerprint, m_now);
}

void Simulation::fail(std::size_t index)
{
    Request &request = m_requests[index];
    Node &node = m_nodes[request.node];
    request.failed = true;
    m_result.innocentRefused += !request.crashes && node.suspects.isQuarantined(request.fingerprint)
            ? 1
            : 0;
    node.admission.finish(request.ticket, static_cast<std::uint32_t>(request.decoded), m_now);
    node.tickets.erase(request.ticket);
}

/*!
    An attempt failed while its engine lives on: retry within the budget.
*/
void Simulation::attemptEnded(std::size_t index)
{
    Request &request = m_requests[index];
    Node &node = m_nodes[request.node];
    --node.engines[static_cast<std::size_t>(request.engine)].inFlight;
    request.excluded = std::exchange(request.engine, -1);
    const bool allowed = !m_rules.retryBudget || node.budget.tryRetry();
    if (allowed && request.attempts < attemptsMax)
        node.again.push_back(index);
    else
        fail(index);
}

void Simulation::loseEngine(std::size_t e)
{
    FakeEngine &engine = *m_engines[e];
    const auto lose = [&](std::size_t index) {
        Request &request = m_requests[index];
        Node &node = m_nodes[request.node];
        m_result.moveRecomputed += request.prefillDone + request.decoded;
        request.prefillLeft = 0.0;
        request.prefillDone = 0.0;
        request.engine = -1;
        --node.engines[e].inFlight;
        // The baseline has no suspects; without a limit one request would end every engine.
        if (m_rules.roundRobin && request.attempts >= attemptsMax)
            fail(index);
        else if (!std::exchange(request.moving, false))
            node.again.push_back(index);
    };
    for (const std::size_t index : engine.running)
        lose(index);
    for (const auto &[priority, index] : engine.queue)
        lose(index);
    engine.running.clear();
    engine.queue.clear();
}

void Simulation::crash(std::size_t e)
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
        // The step has taken the crashing request off the engine already.
        const bool here = request.crashes && request.engine == static_cast<int>(e)
                && request.failsAt <= m_now && !request.failed;
        if (here)
            engine.running.push_back(static_cast<std::size_t>(&request - m_requests.data()));
    }
    engine.goneAt = m_now;
    loseEngine(e);
}

void Simulation::sendCrasher()
{
    if (!m_conditions.crashingRequest || sinceStart() < 10.0 || m_crasherSends >= nodeCount
        || m_now < m_nextCrasher)
        return;
    Request request = makeRequest(m_deployment, Rank::Standard, 3, m_random);
    request.blocks.clear();
    request.fingerprint = 1;
    request.crashes = true;
    request.node = m_crasherSends++;
    m_requests.push_back(std::move(request));
    m_nextCrasher = m_now + m_conditions.crasherInterval;
    submit(m_requests.size() - 1);
}

void Simulation::exchangeRumours()
{
    for (std::size_t n = 0; n < m_nodes.size(); ++n) {
        const auto rumours = m_nodes[n].suspects.takeUpdates(m_now);
        for (std::size_t to = 0; to < m_nodes.size(); ++to) {
            if (!rumours.empty() && to != n && m_rules.sharedSuspects)
                m_rumours.emplace_back(m_now + Duration(m_random() % 980000), to, rumours);
        }
    }
    std::erase_if(m_rumours, [&](const auto &message) {
        const auto &[at, to, rumours] = message;
        if (at <= m_now)
            m_nodes[to].suspects.applyUpdates(rumours, m_now);
        return at <= m_now;
    });
}

void Simulation::takeReports()
{
    Report report;
    report.takenAt = m_now;
    std::bernoulli_distribution lost(m_conditions.eventsLost);
    for (auto &engine : m_engines) {
        report.loads.push_back({.queued = static_cast<std::uint32_t>(engine->queue.size()),
                                .running = static_cast<std::uint32_t>(engine->running.size()),
                                .tokenMs = engine->tokenMs});
        std::array<std::uint32_t, nodeCount> inFlight {};
        for (std::size_t n = 0; n < nodeCount; ++n)
            inFlight[n] = m_nodes[n].engines[report.inFlight.size()].inFlight;
        report.inFlight.push_back(inFlight);
        std::vector<CacheEvent> events = std::exchange(engine->events, {});
        std::erase_if(events, [&](const CacheEvent &) {
            return lost(m_random);
        });
        report.events.push_back(std::move(events));
    }
    m_reports.emplace_back(m_now + m_conditions.reportLag, std::move(report));
}

void Simulation::deliver(const Report &report)
{
    for (Node &node : m_nodes) {
        PoolCapacity capacity {.liveNodes = nodeCount};
        std::uint32_t taken = 0;
        for (std::size_t e = 0; e < report.loads.size(); ++e) {
            EngineState &state = node.engines[e];
            state.queued = report.loads[e].queued;
            state.running = report.loads[e].running;
            state.tokenMs = report.loads[e].tokenMs;
            state.reportedAt = report.takenAt;
            state.ownReported
                    = report.inFlight[e][static_cast<std::size_t>(&node - m_nodes.data())];
            if (!isUsable(*m_engines[e]))
                continue;
            const std::uint32_t busy = state.queued + state.running;
            capacity.fleetSlots += m_engines[e]->slots;
            taken += busy;
            if (m_rules.prefixHints && !m_rules.roundRobin)
                node.router.applyCacheEvents(m_engines[e]->id, report.events[e], m_now);
        }
        capacity.fleetFreeSlots = capacity.fleetSlots - std::min(capacity.fleetSlots, taken);
        node.admission.setCapacity(pool, capacity);
    }
}

void Simulation::reclaimZone()
{
    const std::string &zone = m_deployment.zones[2].name;
    for (const auto &owned : m_engines) {
        FakeEngine &engine = *owned;
        if (engine.zone != zone || engine.goneAt <= m_now)
            continue;
        engine.leaving = true;
        engine.goneAt = m_now + m_conditions.notice;
        std::vector<std::size_t> there = engine.running;
        for (const auto &[priority, index] : engine.queue)
            there.push_back(index);
        for (const std::size_t index : there) {
            Node &node = m_nodes[m_requests[index].node];
            m_result.bothLost += m_deployment.zones[node.zone].name == zone ? 1 : 0;
            m_requests[index].moving = true;
            node.again.push_back(index);
        }
    }
}

std::vector<CapacityOption> Simulation::capacityOptions() const
{
    std::vector<CapacityOption> options;
    const bool lost = m_conditions.zoneReclaimed && sinceStart() >= reclaimAt;
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
                if (engine->zone == zone.name && engine->onDemand == onDemand && !engine->leaving
                    && engine->goneAt > m_now)
                    ++option.running;
            }
            options.push_back(option);
        }
    }
    return options;
}

void Simulation::startEngine(const CapacityOption &option)
{
    ++m_result.startsTried;
    std::bernoulli_distribution refused(m_conditions.startsRefused);
    if (option.market == Market::Reclaimable && refused(m_random)) {
        if (m_rules.refusalBackoff)
            m_planner.recordRefusal(option, m_now, m_random);
        return;
    }
    m_planner.recordStart(option);
    const auto load = Duration(static_cast<std::int64_t>(loadSeconds * 1e6));
    m_engines.push_back(std::make_unique<FakeEngine>("e" + std::to_string(m_engines.size()),
                                                     option.zone, option.pricePerHour,
                                                     option.reclaimsPerHour, m_now + load));
    m_engines.back()->onDemand = option.market == Market::OnDemand;
    m_engines.back()->everComputed = &m_everComputed;
    for (Node &node : m_nodes)
        node.engines.resize(m_engines.size());
}

void Simulation::planCapacity()
{
    const auto options = capacityOptions();
    const CapacityDemand demand {.urgent = engineCount * 0.4,
                                 .total = static_cast<double>(m_engineGoal)};
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
    if (sinceStart() > reclaimAt && ready >= m_engineGoal && m_result.recoverySeconds == 0.0)
        m_result.recoverySeconds = sinceStart() - reclaimAt;
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

Result Simulation::collect()
{
    for (const Request &request : m_requests) {
        if (request.doneAt == Timestamp {} || request.crashes)
            continue;
        const std::size_t r = indexOf(request.rank);
        RankResult &rank = m_result.ranks[r];
        ++rank.completed;
        rank.tokens += request.outputTokens;
        const double doneSeconds = std::chrono::duration<double>(request.doneAt - m_startedAt)
                                           .count();
        if (doneSeconds >= floodFrom && doneSeconds < floodTo)
            rank.floodTokens += request.outputTokens;
        const double wait = milliseconds(request.firstTokenAt - request.acceptedAt);
        rank.firstTokenMs.push_back(wait);
        if (request.account >= largeAccounts)
            rank.smallFirstTokenMs.push_back(wait);
        rank.gapMs.push_back(milliseconds(request.doneAt - request.firstTokenAt)
                             / (request.outputTokens - 1));
    }
    for (const auto &engine : m_engines) {
        m_result.prefilled += engine->prefilledTokens;
        m_result.repeated += engine->repeatedTokens;
    }
    return m_result;
}

Result Simulation::run()
{
    for (Node &node : m_nodes)
        node.engines.resize(m_engines.size());
    const auto ticks = static_cast<std::size_t>((m_conditions.seconds + drainSeconds) * 1e6
                                                / static_cast<double>(tick.count()));
    bool reclaimed = false;
    for (std::size_t i = 0; i < ticks; ++i) {
        m_now += tick;
        if (i % 50 == 0)
            takeReports();
        while (!m_reports.empty() && (m_reports.front().first <= m_now || i == 0)) {
            deliver(m_reports.front().second);
            m_reports.pop_front();
        }
        if (i % 10 == 0)
            exchangeRumours();
        if (m_conditions.zoneReclaimed && !reclaimed && sinceStart() >= reclaimAt) {
            reclaimed = true;
            m_prefilledAtReclaim = prefilledTokens();
            reclaimZone();
        }
        for (std::size_t e = 0; e < m_engines.size(); ++e) {
            if (m_engines[e]->leaving && m_engines[e]->goneAt <= m_now)
                loseEngine(e);
        }
        if (reclaimed && i % 100 == 0)
            planCapacity();
        if (reclaimed && sinceStart() <= reclaimAt + 30.0 && i % 100 == 0)
            m_result.reclaimPrefilled = prefilledTokens() - m_prefilledAtReclaim;
        while (!m_resubmits.empty() && m_resubmits.begin()->first <= m_now) {
            const std::size_t index = m_resubmits.begin()->second;
            m_resubmits.erase(m_resubmits.begin());
            submit(index);
        }
        if (sinceStart() < m_conditions.seconds)
            arrivals();
        sendCrasher();
        // The order changes, so that no node always takes the free slots first.
        for (std::size_t n = 0; n < nodeCount; ++n)
            dispatch(m_nodes[(n + i) % nodeCount]);
        stepEngines();
    }
    return collect();
}

} // namespace bench
