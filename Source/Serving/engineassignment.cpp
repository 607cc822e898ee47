#include "Serving/engineassignment.h"

#include "Adapter/log.h"
#include "Serving/clocks.h"

#include <algorithm>
#include <random>

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
    const std::vector<EngineState *> candidates = gate.openEngines(demand.service,
                                                                   demand.prefersRolloutTarget);
    const std::string withheld = gate.describeWithheld(demand.service);
    if (!withheld.empty())
        logEvent(LogLevel::Info, "request.engines_withheld",
                 {{"request", m_request}, {"engines", withheld}});
    const ChoiceConditions conditions {
            .memoryTokens = demand.spec && demand.spec->isModel ? demand.spec->memoryTokens : 0,
            .zone = m_state.settings.zone,
            .nodes = m_state.quotaShares.nodes,
            .random = m_state.random()};
    EngineChoice choice;
    while (demand.spec) {
        choice = m_state.chooser.choose(candidates, demand.work, conditions, m_tried, steadyNow());
        if (!choice.engine)
            break;
        if (reserve(choice, demand, completion))
            return std::nullopt;
    }
    const bool isKnown = choice.failure != EngineChoiceFailure::NoEngine || !candidates.empty();
    return makeRefusal(demand, candidates.empty() && !withheld.empty(), isKnown);
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
    m_inputs = {.requests = engine.ownLoad.requests + engine.peerLoad.requests,
                .tokens = engine.ownLoad.tokens + engine.peerLoad.tokens,
                .costMs = choice.costMs};
    m_load = {.requests = 1, .tokens = demand.work.tokens()};
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

void EngineAssignment::release(bool keepConnection)
{
    if (m_connection) {
        if (!keepConnection)
            m_connection->close();
        m_state.connectionPool.release(m_engineId, m_connection);
        m_connection.reset();
    }
    if (!m_engineId.empty())
        m_state.engines.removeLoad(m_engineId, m_load);
    m_engineId.clear();
}

} // namespace sesame
