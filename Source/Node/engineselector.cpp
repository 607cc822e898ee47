#include "Node/engineselector.h"

#include <algorithm>
#include <map>

namespace sesame {

std::string formatIncarnation(const BackendView &engine)
{
    return engine.id + "#" + std::to_string(engine.incarnation);
}

const Model *findModel(const FleetConfig &config, std::string_view name)
{
    for (const Model &model : config.models) {
        if (model.name == name)
            return &model;
    }
    return nullptr;
}

std::vector<BackendView> EngineSelector::listPoolEngines(const FleetConfig &config,
                                                         const EnginePool &pool)
{
    const Timestamp now = m_context.clock.now();
    std::map<std::string, BackendView> engines;
    for (const std::string &name : pool.models) {
        const Model *model = findModel(config, name);
        auto backends = m_context.backends.lock();
        for (BackendView &engine : backends->usableEngines(name, model->backendClasses, now))
            engines.try_emplace(engine.id, std::move(engine));
    }
    std::vector<BackendView> list;
    list.reserve(engines.size());
    for (auto &[id, engine] : engines)
        list.push_back(std::move(engine));
    return list;
}

PoolCapacity EngineSelector::measureCapacity(const std::vector<BackendView> &engines)
{
    PoolCapacity capacity;
    capacity.liveNodes = m_context.countLiveNodes();
    std::uint32_t usedSlots = 0;
    for (const EngineView &engine : makeEngineViews(engines)) {
        const std::uint32_t used = engine.queued + engine.running;
        capacity.fleetSlots += engine.slots;
        usedSlots += used;
    }
    // Computed over all engines, so that the queue of an overloaded engine reduces the free slots
    // of the others.
    capacity.fleetFreeSlots = capacity.fleetSlots - std::min(capacity.fleetSlots, usedSlots);
    return capacity;
}

std::vector<EngineView> EngineSelector::makeEngineViews(const std::vector<BackendView> &engines)
{
    std::vector<EngineView> views;
    const auto config = m_context.config();
    for (const BackendView &engine : engines) {
        EngineView view;
        view.id = engine.id;
        view.zone = engine.zone;
        view.pricePerHour = engine.pricePerHour;
        view.reclaimsPerHour = engine.market == Market::Reclaimable ? 1.0 : 0.0;
        for (const BackendClass &backendClass : config->backendClasses) {
            if (backendClass.name == engine.className)
                view.slots = backendClass.slots;
        }
        if (engine.report) {
            view.slots = engine.report->slots;
            view.queued = engine.report->queued;
            view.running = engine.report->running;
            view.tokenMs = engine.report->tokenIntervalMs;
            view.prefillTokensPerSecond = engine.report->prefillTokensPerSecond;
        }
        view.ownInFlight = engine.inFlight;
        view.ownAtReport = engine.inFlight - std::min(engine.inFlight, engine.sentSinceReport);
        view.reportAge = engine.reportAge;
        views.push_back(std::move(view));
    }
    return views;
}

std::optional<BackendView> EngineSelector::choose(ModelStream &stream,
                                                  const std::set<std::string> &excluded)
{
    const auto config = m_context.config();
    const Model *model = findModel(*config, stream.model());
    if (!model)
        return std::nullopt;
    const Timestamp now = m_context.clock.now();
    const auto engines = m_context.backends.lock()->usableEngines(model->name,
                                                                  model->backendClasses, now);
    auto index = findAnnouncedEngine(stream, engines, excluded);
    if (!index)
        index = routeToEngine(stream, engines, excluded);
    if (!index)
        return std::nullopt;
    const BackendView &engine = engines[*index];
    if (!canRunOn(stream, engine))
        return std::nullopt;
    if (!m_context.backends.lock()->beginCall(engine.id, engine.incarnation, now))
        return std::nullopt;
    m_context.router.lock()->recordSend(engine.id, stream.promptBlocks(), now);
    return engine;
}

/*!
    Returns the index of the engine that this node has announced for the suspect \a stream, if it
    is usable. A suspect must stay with it: each change of the engine starts the wait for the peers'
    announcements again, and two nodes could evade each other for ever.
*/
std::optional<std::size_t>
EngineSelector::findAnnouncedEngine(const ModelStream &stream,
                                    const std::vector<BackendView> &engines,
                                    const std::set<std::string> &excluded)
{
    const std::string announced = m_context.suspects.lock()->announcedEngine(stream.fingerprint());
    for (std::size_t i = 0; !announced.empty() && i < engines.size(); ++i) {
        if (formatIncarnation(engines[i]) == announced && !excluded.contains(engines[i].id))
            return i;
    }
    return std::nullopt;
}

std::optional<std::size_t> EngineSelector::routeToEngine(ModelStream &stream,
                                                         const std::vector<BackendView> &engines,
                                                         const std::set<std::string> &excluded)
{
    const std::vector<EngineView> views = makeEngineViews(engines);
    std::vector<std::string> excludedIds(excluded.begin(), excluded.end());
    excludeTakenEngines(stream, engines, excludedIds);
    RouteQuery query;
    query.blocks = stream.promptBlocks();
    query.promptTokens = static_cast<std::uint32_t>(estimateTokenCount(stream.request().prompt));
    query.outputTokens = static_cast<std::uint32_t>(stream.request().maxTokens);
    query.rank = stream.rank();
    query.entryZone = m_context.settings.zone;
    query.liveNodes = m_context.countLiveNodes();
    query.tieBreak = stream.fingerprint();
    query.excluded = excludedIds;
    const auto choice = m_context.router.lock()->choose(query, views, m_context.clock.now());
    if (!choice)
        return std::nullopt;
    return choice->engine;
}

void EngineSelector::excludeTakenEngines(const ModelStream &stream,
                                         const std::vector<BackendView> &engines,
                                         std::vector<std::string> &excluded)
{
    auto suspects = m_context.suspects.lock();
    if (!suspects->isSuspect(stream.fingerprint()))
        return;
    const auto taken = suspects->enginesOfOtherSuspects(stream.fingerprint());
    for (const BackendView &engine : engines) {
        if (std::find(taken.begin(), taken.end(), formatIncarnation(engine)) != taken.end())
            excluded.push_back(engine.id);
    }
}

bool EngineSelector::canRunOn(const ModelStream &stream, const BackendView &engine)
{
    const Timestamp now = m_context.clock.now();
    auto suspects = m_context.suspects.lock();
    const std::string announced = suspects->announcedEngine(stream.fingerprint());
    if (!announced.empty() && announced != formatIncarnation(engine))
        suspects->withdraw(stream.fingerprint(), now);
    return suspects->tryRunOn(stream.fingerprint(), formatIncarnation(engine), now);
}

} // namespace sesame
