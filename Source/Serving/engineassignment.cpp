#include "Serving/engineassignment.h"

#include "Adapter/log.h"
#include "Serving/clocks.h"

#include <algorithm>
#include <random>
#include <utility>

namespace sesame {

namespace {

using namespace std::chrono_literals;

//! Range of the random retry delays.
constexpr Milliseconds minRetryAfter = 100ms;
constexpr Milliseconds maxRetryAfter = 400ms;
//! Delay of callers that return to paused engines, for each rank below the most urgent one.
constexpr Milliseconds returnDelayPerRank = 100ms;

} // namespace

Milliseconds EngineAssignment::randomRetryAfter(ServingState &state)
{
    std::uniform_int_distribution<std::int64_t> distribution(minRetryAfter.count(),
                                                             maxRetryAfter.count());
    return Milliseconds(distribution(state.random));
}

std::optional<EngineRefusal> EngineAssignment::assign(const EngineDemand &demand,
                                                      const Completion &completion)
{
    const EngineGate gate(m_state);
    std::vector<EngineState *> candidates = gate.openEngines(demand.service,
                                                             demand.prefersRolloutTarget);
    if (demand.version) {
        if (!gate.knowsVersionsSinceSuspension())
            return EngineRefusal {.reason = "the versions of the engines may have changed",
                                  .retryAfter = randomRetryAfter(m_state)};
        std::erase_if(candidates, [&](const EngineState *engine) {
            return engine->entry.version != *demand.version;
        });
    } else if (demand.isResumable && !candidates.empty()) {
        std::erase_if(candidates, [&](const EngineState *engine) {
            return !m_state.streamOrigins.mayBegin(demand.service, engine->entry.version);
        });
        if (candidates.empty())
            return EngineRefusal {.reason = "the store does not name the engines' version yet",
                                  .retryAfter = randomRetryAfter(m_state)};
    }
    const std::string withheld = gate.describeWithheld(demand.service);
    if (!withheld.empty())
        logEvent(LogLevel::Info, "request.engines_withheld",
                 {{"request", m_request}, {"engines", withheld}});
    const ChoiceConditions conditions {
            .memoryTokens = demand.spec && demand.spec->isModel ? demand.spec->memoryTokens : 0,
            .zone = m_state.settings.zone,
            .nodes = m_state.quotaShares.nodes,
            .random = m_state.random(),
            .model = m_state.settings.hasUnevenEngines ? &m_state.costModel : nullptr};
    EngineChoice choice;
    while (demand.spec) {
        choice = m_state.chooser.choose(candidates, demand.work, conditions, m_tried, steadyNow());
        if (!choice.engine)
            break;
        if (reserve(choice, demand, completion))
            return std::nullopt;
    }
    const bool isKnown = choice.failure != EngineChoiceFailure::NoEngine || !candidates.empty();
    EngineRefusal refusal = makeRefusal(demand, candidates.empty() && !withheld.empty(), isKnown);
    refusal.isFull = choice.failure == EngineChoiceFailure::NoRoom;
    return refusal;
}

/*!
    Returns the refusal of a request for which no engine was found. \a isWithheld says that its
    engines are leaving or want no requests now, \a isKnown that there are others.
*/
EngineRefusal EngineAssignment::makeRefusal(const EngineDemand &demand, bool isWithheld,
                                            bool isKnown) const
{
    const Milliseconds random = randomRetryAfter(m_state);
    if (!isWithheld)
        return {.reason = isKnown ? "all engines are full" : "no engine is known",
                .retryAfter = random};
    const auto wait = EngineGate(m_state).timeUntilReturn(demand.service);
    if (!wait)
        return {.reason = "all engines are leaving", .retryAfter = random};
    // Callers return one after the other, those with urgent requests first.
    const Milliseconds order = demand.priority * returnDelayPerRank + random - minRetryAfter;
    return {.reason = "all engines asked for a pause",
            .retryAfter = std::max(*wait + order, minRetryAfter)};
}

/*!
    Reserves the engine of \a choice and requests a connection to it. Returns false if no connection
    can be opened.
*/
bool EngineAssignment::reserve(const EngineChoice &choice, const EngineDemand &demand,
                               const Completion &completion)
{
    const EngineState &engine = *choice.engine;
    m_tried.push_back(engine.entry.id);
    const std::optional<Tcp::endpoint> address = parseTcpEndpoint(engine.entry.address);
    if (!address)
        return false;
    m_engineId = engine.entry.id;
    m_service = demand.service;
    m_assignedAt = steadyNow();
    m_inputs = {.requests = engine.ownLoad.requests + engine.peerLoad.requests,
                .tokens = engine.ownLoad.tokens + engine.peerLoad.tokens,
                .costMs = choice.costMs,
                .predictedMs = choice.prediction.ms};
    m_prediction = choice.prediction;
    m_load = {.requests = 1, .tokens = demand.work.tokens()};
    m_load.unreadTokens = static_cast<std::int64_t>(m_prediction.work.readTokens);
    m_state.engines.addLoad(m_engineId, m_load);
    // Each node may use its share of the engine's connections, but at least one.
    const int most = demand.spec->maxConnections;
    const int limit = most > 0 ? std::max(1, most / m_state.quotaShares.nodes) : 0;
    const bool started = m_state.connectionPool.acquire(
            m_engineId, *address, limit, !demand.isRepeatable,
            [this, id = m_engineId, completion](const boost::system::error_code &ec,
                                                const Connection &connection) {
                if (m_engineId == id) {
                    m_connection = connection;
                    completion(ec);
                } else if (connection) {
                    m_state.connectionPool.release(id, connection);
                }
            });
    if (!started) {
        m_state.engines.removeLoad(m_engineId, m_load);
        m_engineId.clear();
    }
    return started;
}

void EngineAssignment::recordSent(const RequestSize &work)
{
    EngineState *engine = m_state.engines.find(m_engineId);
    if (!engine || !m_state.settings.hasUnevenEngines)
        return;
    m_sentAt = steadyNow();
    m_sentIncarnation = engine->entry.incarnation;
    engine->delay.begin(sendId(), m_prediction.nominalMs, *m_sentAt);
    if (const auto prefix = work.sharedPrefix())
        m_state.costModel.recordPrefix(*prefix, static_cast<double>(work.unsharedTokens()),
                                       *m_sentAt);
}

std::optional<FirstEventTimes> EngineAssignment::recordFirstEvent()
{
    if (!m_sentAt)
        return std::nullopt;
    const Timestamp now = steadyNow();
    const FirstEventTimes times {.predictedMs = m_prediction.ms, .observedMs = msSinceSent(now)};
    if (EngineState *engine = endWaiting())
        m_state.costModel.recordFirstEvent(*engine, m_prediction, times.observedMs, now);
    return times;
}

double EngineAssignment::msSinceSent(Timestamp now) const
{
    return std::chrono::duration<double, std::milli>(now - *m_sentAt).count();
}

/*!
    Ends the time in which the request waits for its first event. Returns the engine if its process
    is still the one that the request was sent to, or null.
*/
EngineState *EngineAssignment::endWaiting()
{
    m_sentAt.reset();
    m_state.engines.removeUnread(m_engineId, std::exchange(m_load.unreadTokens, 0));
    EngineState *engine = m_state.engines.find(m_engineId);
    if (engine)
        engine->delay.end(sendId());
    return engine && engine->entry.incarnation == m_sentIncarnation ? engine : nullptr;
}

void EngineAssignment::release(bool keepConnection)
{
    const bool hadConnection = m_connection != nullptr;
    if (m_sentAt) {
        const Timestamp now = steadyNow();
        const double elapsedMs = msSinceSent(now);
        if (EngineState *engine = endWaiting())
            EngineCostModel::recordNoEvent(*engine, m_prediction, elapsedMs, now);
    }
    if (m_connection) {
        if (!keepConnection)
            m_connection->close();
        m_state.connectionPool.release(m_engineId, m_connection);
        m_connection.reset();
    }
    if (!m_engineId.empty())
        m_state.engines.removeLoad(m_engineId, m_load);
    m_engineId.clear();
    if (hadConnection && m_state.waiting)
        m_state.waiting->recordRelease(m_service, steadyNow() - m_assignedAt);
}

} // namespace sesame
