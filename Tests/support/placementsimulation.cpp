#include "support/placementsimulation.h"

#include <algorithm>
#include <utility>

using namespace sesame;

PlacementSimulation::PlacementSimulation(const Load &load, Policy policy, bool hasModel,
                                         const EngineChooserOptions &options)
    : m_load(load), m_policy(policy), m_hasModel(hasModel), m_chooser(options),
      m_nodes(static_cast<std::size_t>(load.nodes)),
      m_engines(static_cast<std::size_t>(load.engines)), m_random(load.seed)
{
    for (Node &node : m_nodes) {
        node.next = m_random();
        for (int i = 0; i < load.engines; ++i) {
            EngineState state;
            state.entry = {.id = "engine-" + std::to_string(i),
                           .service = "s",
                           .zone = std::to_string(i % load.zones),
                           .slots = 16};
            node.engines.push_back(state);
        }
    }
}

Timestamp PlacementSimulation::at(double ms)
{
    return Timestamp {std::chrono::hours(1)} + Duration(static_cast<std::int64_t>(ms * 1000.0));
}

PlacementSimulation::Result PlacementSimulation::run()
{
    const auto end = static_cast<double>(m_load.time.count());
    std::exponential_distribution<double> gap(m_load.requestsPerSecond / 1000.0);
    for (double ms = gap(m_random); ms < end; ms += gap(m_random))
        m_events.emplace(ms, [this](double now) {
            arrive(now);
        });
    for (double ms = 0.0; ms < end; ms += static_cast<double>(m_load.reportAge.count()))
        m_events.emplace(ms, [this](double now) {
            exchangeReports(now);
        });
    while (!m_events.empty() && m_events.begin()->first < end) {
        const auto event = m_events.extract(m_events.begin());
        event.mapped()(event.key());
    }
    return {.meanMs = m_totalMs / m_counted, .lateShare = static_cast<double>(m_late) / m_counted};
}

void PlacementSimulation::exchangeReports(double ms)
{
    // The sums that arrive now were reported one interval ago.
    const auto reported = std::move(m_reported);
    m_reported.assign(m_nodes.size(), std::vector<EngineLoad>(m_engines.size()));
    for (std::size_t n = 0; n < m_nodes.size(); ++n) {
        for (std::size_t e = 0; e < m_engines.size(); ++e) {
            const EngineState &engine = m_nodes[n].engines[e];
            m_reported[n][e] = engine.ownLoad;
            if (engine.ownLoad.requests > 0)
                m_reported[n][e].delay = engine.delay.ownSums(at(ms));
        }
    }
    for (std::size_t e = 0; !reported.empty() && e < m_engines.size(); ++e) {
        EngineLoad sum;
        const auto add = [&sum](const EngineLoad &load, int sign) {
            sum.requests += sign * load.requests;
            sum.tokens += sign * load.tokens;
            sum.unreadTokens += sign * load.unreadTokens;
            sum.delay.weight += sign * load.delay.weight;
            sum.delay.weightedLog += sign * load.delay.weightedLog;
        };
        for (const auto &loads : reported)
            add(loads[e], 1);
        for (std::size_t n = 0; n < m_nodes.size(); ++n) {
            EngineState &engine = m_nodes[n].engines[e];
            add(reported[n][e], -1);
            engine.setPeerLoad(sum, at(ms));
            if (!m_load.averagesReports)
                engine.usualPeerUnread = static_cast<double>(sum.unreadTokens);
            add(reported[n][e], 1);
        }
    }
}

std::size_t PlacementSimulation::choose(Node &node, const RequestSize &work, EngineChoice &choice,
                                        double ms)
{
    const auto zone = std::to_string((&node - m_nodes.data()) % m_load.zones);
    const ChoiceConditions conditions {.zone = zone,
                                       .nodes = m_load.nodes,
                                       .random = m_random(),
                                       .model = m_hasModel ? &node.model : nullptr};
    auto &candidates = node.candidates;
    const auto requests = [&](std::size_t i) {
        return candidates[i]->requests(at(ms));
    };
    std::size_t best = m_random() % candidates.size();
    if (m_policy == Policy::Chooser) {
        choice = m_chooser.choose(candidates, work, conditions, {}, at(ms));
        return choice.engine ? static_cast<std::size_t>(choice.engine - node.engines.data())
                             : m_engines.size();
    }
    if (m_policy == Policy::RoundRobin)
        best = node.next++ % candidates.size();
    const std::size_t compared = m_policy == Policy::LeastLoaded ? candidates.size()
            : m_policy == Policy::TwoChoices                     ? 1
                                                                 : 0;
    for (std::size_t i = 0; i < compared; ++i) {
        const std::size_t other = compared == 1 ? m_random() % candidates.size() : i;
        if (requests(other) < requests(best))
            best = other;
    }
    return static_cast<std::size_t>(candidates[best] - node.engines.data());
}

void PlacementSimulation::arrive(double ms)
{
    std::uniform_real_distribution<double> uniform;
    const bool isFirstZone = uniform(m_random) < m_load.firstZoneShare;
    const auto zones = static_cast<std::size_t>(m_load.zones);
    const std::size_t zone = isFirstZone ? 0 : 1 + m_random() % (zones - 1);
    Node &node = m_nodes[zone + zones * (m_random() % (m_nodes.size() / zones))];
    node.candidates.clear();
    for (std::size_t i = 0; i < m_engines.size(); ++i) {
        if (m_load.speed(static_cast<int>(i), ms) > 0.0)
            node.candidates.push_back(&node.engines[i]);
    }
    const bool isHot = uniform(m_random) < m_load.hotShare;
    const std::uint64_t prefix = isHot ? 1 : 2 + m_random() % m_load.prefixes;
    const auto own = static_cast<std::int64_t>(m_load.ownTokens * (0.5 + uniform(m_random)));
    RequestSize work;
    work.parts = {{.id = prefix, .tokens = static_cast<std::int64_t>(m_load.sharedTokens)},
                  {.id = 1000, .tokens = own}};
    work.promptTokens = work.parts[0].tokens + own;
    work.outputTokens = 100;
    EngineChoice choice;
    const std::size_t e = choose(node, work, choice, ms);
    if (e == m_engines.size()) {
        ++m_counted;
        ++m_late;
        return;
    }
    Engine &engine = m_engines[e];
    constexpr double cacheMs = 10000.0;
    const auto [cached, added] = engine.cache.try_emplace(prefix, ms);
    const bool isCached = !added && ms - std::exchange(cached->second, ms) < cacheMs;
    const double start = std::max(ms, engine.freeAt);
    const double speed = std::max(m_load.speed(static_cast<int>(e), start), 0.1);
    const auto read = static_cast<double>(isCached ? own : work.promptTokens);
    engine.freeAt = start + read / m_load.tokensPerMs / speed;
    const double firstEvent = engine.freeAt + 5.0;
    EngineState &state = node.engines[e];
    const EngineLoad load {
            .requests = 1,
            .tokens = work.tokens(),
            .unreadTokens = static_cast<std::int64_t>(choice.prediction.work.readTokens)};
    state.ownLoad.requests += load.requests;
    state.ownLoad.tokens += load.tokens;
    state.ownLoad.unreadTokens += load.unreadTokens;
    const std::uint64_t id = m_random() + static_cast<std::uint64_t>(ms * 1e6);
    if (m_hasModel) {
        state.delay.begin(id, choice.prediction.nominalMs, at(ms));
        node.model.recordPrefix(prefix, static_cast<double>(own), at(ms));
    }
    m_events.emplace(
            firstEvent,
            [this, &node, &state, load, id, ms, prediction = choice.prediction](double now) {
                state.ownLoad.unreadTokens -= load.unreadTokens;
                if (m_hasModel) {
                    state.delay.end(id);
                    node.model.recordFirstEvent(state, prediction, now - ms, at(now));
                }
                if (ms < static_cast<double>(m_load.time.count()) / 3.0)
                    return;
                ++m_counted;
                m_totalMs += now - ms;
                m_late += now - ms > 500.0 ? 1 : 0;
            });
    m_events.emplace(firstEvent + m_load.streamMs, [&state, load](double) {
        state.ownLoad.requests -= load.requests;
        state.ownLoad.tokens -= load.tokens;
    });
}
