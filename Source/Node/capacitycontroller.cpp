#include "Node/capacitycontroller.h"

#include "Adapter/log.h"

#include <algorithm>
#include <cmath>

namespace sesame {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds leaseDuration {10'000};
// With 420 nodes, all candidates together read the lease 168 times per second; the store serves
// 2,000 reads per second.
constexpr milliseconds leaseRenewalInterval = leaseDuration / 4;
constexpr milliseconds startOrderTimeout {2'000}; // Request timeout of the cloud client.
// Fraction of the slots that is planned for demand; the rest absorbs changes between two
// reconciliations.
constexpr double targetSlotUtilisation = 0.8;
// Slots that are planned for a model without requests, also after the loss of a zone.
constexpr double minModelDemand = 1.0;
// Half-life of the measured demand in capacity intervals. The slow decay prevents engines from
// being stopped in a short pause between bursts.
constexpr double demandHalfLifeIntervals = 10.0;
// Consecutive reconciliations with a surplus before an engine is stopped, because starting it
// again takes minutes of model loading.
constexpr std::uint32_t surplusCyclesBeforeStop = 30;
// Must exceed the lag of the instance list plus the time to load the model weights.
constexpr std::chrono::minutes startTimeout {10};
// Covers the 2 s in which the leave announcement reaches all nodes, and the lag of load reports.
constexpr std::chrono::seconds leaveGracePeriod {5};

CapacityOption makeOption(const StartSlot &slot)
{
    CapacityOption option;
    option.zone = slot.zone;
    option.backendClass = slot.backendClass;
    option.market = slot.market;
    return option;
}

bool isOptionFor(const CapacityOption &a, std::string_view className, std::string_view zone,
                 Market market)
{
    return a.backendClass == className && a.zone == zone && a.market == market;
}

StartSlot *findSlot(std::vector<StartSlot> &slots, std::string_view clientToken)
{
    const auto it = std::find_if(slots.begin(), slots.end(), [clientToken](const StartSlot &slot) {
        return slot.clientToken == clientToken;
    });
    return it == slots.end() ? nullptr : &*it;
}

/*!
    Returns the backend class of \a model with the lowest price per slot, or a null pointer if
    \a config has none.
*/
const BackendClass *findCheapestClass(const FleetConfig &config, const Model &model)
{
    const BackendClass *best = nullptr;
    for (const BackendClass &entry : config.backendClasses) {
        const auto &names = model.backendClasses;
        if (std::find(names.begin(), names.end(), entry.name) == names.end())
            continue;
        if (!best || entry.pricePerHour / entry.slots < best->pricePerHour / best->slots)
            best = &entry;
    }
    return best;
}

const ListedInstance *findListed(const std::vector<ListedInstance> &listed, std::string_view id)
{
    const auto it = std::find_if(listed.begin(), listed.end(), [id](const ListedInstance &entry) {
        return entry.id == id;
    });
    return it == listed.end() ? nullptr : &*it;
}

const BackendView *findEngine(const std::vector<BackendView> &engines, std::string_view id)
{
    const auto it = std::find_if(engines.begin(), engines.end(), [id](const BackendView &engine) {
        return engine.id == id;
    });
    return it == engines.end() ? nullptr : &*it;
}

} // namespace

CapacityController::CapacityController(NodeContext &context, PeerExchange &peers)
    : m_context(context), m_peers(peers), m_cloud(context.settings.cloudUrl, startOrderTimeout),
      m_orderTarget(context),
      m_lease(context.store, context.clock,
              {.name = "capacity",
               .holderId = context.settings.node + "#" + std::to_string(context.incarnation),
               .duration = leaseDuration}),
      m_startRecord(context.store, "capacity", makeRandomSeed()),
      m_checkedOrders(context.store, context.clock, m_lease, m_orderTarget,
                      {.name = "models-checked",
                       .fencing = Fencing::Checked,
                       .maxOrderDuration = EngineOrderTarget::sendTimeout}),
      m_uncheckedOrders(context.store, context.clock, m_lease, m_orderTarget,
                        {.name = "models-ignored",
                         .fencing = Fencing::Ignored,
                         .maxOrderDuration = EngineOrderTarget::sendTimeout}),
      m_random(makeRandomSeed())
{
}

void CapacityController::tick()
{
    const auto config = m_context.config();
    if (!config || !config->defaults.capacityControl
        || m_context.lifecycle.phase() != NodePhase::Serving) {
        releaseLease();
        return;
    }
    const Timestamp now = m_context.clock.now();
    sampleDemand(*config, now);
    if (!maintainLease(now) || now < m_nextReconcile)
        return;
    m_nextReconcile = now + config->defaults.capacityInterval;
    reconcileFleet(*config);
}

void CapacityController::sampleDemand(const FleetConfig &config, Timestamp now)
{
    const double nodes = m_context.countLiveNodes();
    const double intervals = std::chrono::duration<double>(now - m_demandSampledAt)
            / std::chrono::duration<double>(config.defaults.capacityInterval);
    const double decayFactor = std::exp2(-intervals / demandHalfLifeIntervals);
    m_demandSampledAt = now;
    for (const Model &model : config.models) {
        const auto open = m_context.admission.lock()->countOpenItems(model.name);
        auto &demand = m_demand[model.name];
        for (std::size_t rank = 0; rank < rankCount; ++rank)
            demand[rank] = std::max(demand[rank] * decayFactor, open[rank] * nodes);
    }
}

/*!
    Acquires or renews the lease when its renewal interval has passed. Returns true if this node
    holds the lease.
*/
bool CapacityController::maintainLease(Timestamp now)
{
    if (now >= m_nextLeaseAttempt) {
        m_nextLeaseAttempt = now + leaseRenewalInterval;
        m_lease.acquire();
    }
    const bool held = m_lease.isHeld(m_context.clock.now());
    const std::uint64_t fencingNumber = held ? m_lease.fencingNumber() : 0;
    if (fencingNumber != m_loggedFencingNumber) {
        logEvent(LogLevel::Info, held ? "capacity lease acquired" : "capacity lease lost",
                 {{"fencing", static_cast<std::int64_t>(fencingNumber)}});
        m_slotSeenAt.clear();
        m_leavingSeenAt.clear();
        m_surplusCycles.clear();
    }
    m_loggedFencingNumber = fencingNumber;
    return held;
}

void CapacityController::releaseLease()
{
    if (m_loggedFencingNumber == 0)
        return;
    m_loggedFencingNumber = 0;
    m_lease.release();
    logEvent(LogLevel::Info, "capacity lease released");
}

void CapacityController::reconcileFleet(const FleetConfig &config)
{
    reconcileModelOrders(config, Fencing::Checked, m_checkedOrders);
    reconcileModelOrders(config, Fencing::Ignored, m_uncheckedOrders);
    if (!maintainLease(m_context.clock.now()) || !m_startRecord.takeOver(m_lease.fencingNumber()))
        return;
    const auto view = observeFleet();
    if (!view)
        return;
    retryUnansweredStarts();
    stopDrainedInstances(*view);
    // Classes with urgent demand are planned first, because the limit may not cover all classes.
    std::vector<std::pair<double, const BackendClass *>> classesByUrgency;
    for (const BackendClass &entry : config.backendClasses) {
        if (entry.kind == BackendKind::ModelEngine)
            classesByUrgency.emplace_back(computeDemand(config, entry).urgent, &entry);
    }
    std::stable_sort(classesByUrgency.begin(), classesByUrgency.end(),
                     [](const auto &a, const auto &b) {
                         return a.first > b.first;
                     });
    for (const auto &[urgent, entry] : classesByUrgency)
        applyPlan(config, *entry, *view);
}

std::optional<CapacityController::FleetView> CapacityController::observeFleet()
{
    auto listed = m_cloud.fetchAllInstances();
    if (!listed)
        return std::nullopt;
    const bool empty = listed->empty();
    std::erase_if(*listed, [](const ListedInstance &entry) {
        return entry.kind != InstanceKind::Engine;
    });
    FleetView view {.listed = std::move(*listed),
                    .engines = m_context.backends.lock()->engines(m_context.clock.now()),
                    .limit = m_context.fleet.lock()->capacityLimit()};
    if (!updateSlots(view, empty))
        return std::nullopt;
    return view;
}

/*!
    Updates the recorded slots from the instance list. Returns false if the slots could not be
    saved.
*/
bool CapacityController::updateSlots(const FleetView &view, bool listEmpty)
{
    const Timestamp now = m_context.clock.now();
    Slots slots = m_startRecord.slots();
    bool changed = false;
    const auto isGone = [&](const StartSlot &slot) {
        const Timestamp firstSeen = m_slotSeenAt.try_emplace(slot.clientToken, now).first->second;
        if (slot.instance.empty() || findListed(view.listed, slot.instance))
            return false;
        // A missing instance is gone, unless the list contains no instance at all: such a list is
        // treated as a fault of the API. An instance that was never listed may still be starting.
        if (slot.state != StartState::Started)
            return !listEmpty;
        return now >= firstSeen + startTimeout;
    };
    changed = std::erase_if(slots, isGone) > 0;
    for (StartSlot &slot : slots) {
        if (slot.state == StartState::Started && findListed(view.listed, slot.instance)) {
            slot.state = StartState::Listed;
            changed = true;
        }
    }
    return !changed || m_startRecord.save(std::move(slots));
}

/*!
    Retries the starts of this or an earlier lease holder whose replies were lost. Their slots
    already count against the limit, so they are retried regardless of the current demand.
*/
void CapacityController::retryUnansweredStarts()
{
    const Slots slots = m_startRecord.slots();
    for (const StartSlot &slot : slots) {
        if (slot.state == StartState::Asked && !sendStartOrder(slot.clientToken))
            return;
    }
}

/*!
    Sends the start order that is recorded for \a token. Returns false if no further order may be
    sent.
*/
bool CapacityController::sendStartOrder(const std::string &token)
{
    Slots slots = m_startRecord.slots();
    StartSlot *slot = findSlot(slots, token);
    if (!slot || !maintainLease(m_context.clock.now())
        || !m_lease.canOrder(m_context.clock.now(), startOrderTimeout))
        return false;
    const StartResult result = m_cloud.start({.clientToken = slot->clientToken,
                                              .className = slot->backendClass,
                                              .zone = slot->zone,
                                              .market = slot->market});
    logEvent(LogLevel::Info, "engine start ordered",
             {{"class", slot->backendClass},
              {"zone", slot->zone},
              {"on_demand", slot->market == Market::OnDemand},
              {"token", slot->clientToken},
              {"instance", result.instance},
              {"refused", result.status == StartStatus::Refused}});
    const CapacityOption option = makeOption(*slot);
    CapacityPlanner &planner = m_planners[slot->backendClass];
    if (result.status == StartStatus::Started && !result.instance.empty()) {
        slot->state = StartState::Started;
        slot->instance = result.instance;
        planner.recordStart(option);
    } else if (result.status == StartStatus::Refused) {
        slot->state = StartState::Idle;
        planner.recordRefusal(option, m_context.clock.now(), m_random);
    } else {
        return true;
    }
    return m_startRecord.save(std::move(slots));
}

bool CapacityController::isOwned(std::string_view instance) const
{
    const Slots &slots = m_startRecord.slots();
    return std::any_of(slots.begin(), slots.end(), [instance](const StartSlot &slot) {
        return slot.instance == instance;
    });
}

CapacityDemand CapacityController::computeDemand(const FleetConfig &config,
                                                 const BackendClass &backendClass) const
{
    CapacityDemand demand;
    for (const Model &model : config.models) {
        const auto it = m_demand.find(model.name);
        if (findCheapestClass(config, model) != &backendClass || it == m_demand.end())
            continue;
        const auto &open = it->second;
        demand.urgent += open[static_cast<std::size_t>(Rank::Urgent)];
        for (const double n : open)
            demand.total += n;
        // The minimum keeps the last engine of a model without requests.
        demand.urgent = std::max(demand.urgent, minModelDemand);
        demand.total = std::max(demand.total, minModelDemand);
    }
    demand.urgent /= targetSlotUtilisation;
    demand.total /= targetSlotUtilisation;
    return demand;
}

/*!
    Returns the number of instances of \a option that run or are being started. Leaving instances
    are not counted.
*/
std::uint32_t CapacityController::countRunning(const CapacityOption &option,
                                               const FleetView &view) const
{
    std::uint32_t count = 0;
    for (const ListedInstance &entry : view.listed) {
        if (!entry.leaving && !isOwned(entry.id)
            && isOptionFor(option, entry.className, entry.zone, entry.market))
            ++count;
    }
    for (const StartSlot &slot : m_startRecord.slots()) {
        const ListedInstance *entry = findListed(view.listed, slot.instance);
        const bool active = slot.state != StartState::Idle && slot.state != StartState::Leaving;
        if (active && !(entry && entry->leaving)
            && isOptionFor(option, slot.backendClass, slot.zone, slot.market))
            ++count;
    }
    return count;
}

std::vector<CapacityOption> CapacityController::listOptions(const FleetConfig &config,
                                                            const BackendClass &backendClass,
                                                            const FleetView &view) const
{
    // The highest known reclaimable price is used for zones whose price is unknown.
    double highestPrice = 0.0;
    for (const ListedInstance &entry : view.listed) {
        if (entry.className == backendClass.name && entry.market == Market::Reclaimable)
            highestPrice = std::max(highestPrice, entry.pricePerHour);
    }
    std::vector<CapacityOption> options;
    for (const Market market : {Market::Reclaimable, Market::OnDemand}) {
        for (const std::string &zone : config.zones) {
            CapacityOption option;
            option.zone = zone;
            option.backendClass = backendClass.name;
            option.market = market;
            option.capacity = backendClass.slots;
            const bool isPriceKnown = market == Market::Reclaimable && highestPrice > 0.0;
            option.pricePerHour = isPriceKnown ? highestPrice : backendClass.pricePerHour;
            for (const ListedInstance &entry : view.listed) {
                if (isOptionFor(option, entry.className, entry.zone, entry.market)
                    && entry.pricePerHour > 0.0)
                    option.pricePerHour = entry.pricePerHour;
            }
            option.running = countRunning(option, view);
            options.push_back(std::move(option));
        }
    }
    return options;
}

WeightLoadState CapacityController::computeLoadState(const std::string &className,
                                                     const FleetView &view) const
{
    WeightLoadState state;
    for (const BackendView &engine : view.engines)
        state.warmPeers += engine.className == className && engine.report ? 1 : 0;
    const Timestamp now = m_context.clock.now();
    for (const StartSlot &slot : m_startRecord.slots()) {
        if (slot.backendClass != className || slot.state == StartState::Idle
            || slot.state == StartState::Leaving)
            continue;
        const BackendView *engine = findEngine(view.engines, slot.instance);
        const auto since = m_slotSeenAt.find(slot.clientToken);
        const bool recent = since == m_slotSeenAt.end() || now < since->second + startTimeout;
        if (!(engine && engine->report) && recent)
            ++state.fromStore;
    }
    return state;
}

void CapacityController::applyPlan(const FleetConfig &config, const BackendClass &backendClass,
                                   const FleetView &view)
{
    const CapacityDemand demand = computeDemand(config, backendClass);
    const auto options = listOptions(config, backendClass, view);
    CapacityPlanner &planner = m_planners[backendClass.name];
    planner.raiseCapacityLimit(view.limit);
    const CapacityPlan plan = planner.plan(demand, options, m_context.clock.now());
    const WeightLoadState loads = computeLoadState(backendClass.name, view);
    for (const PlannedStart &start : planner.nextStarts(plan, options, loads))
        startInstance(options[start.option], view);
    stopSurplus(backendClass, plan, options, view);
}

/*!
    Records a slot for an instance of \a option and starts the instance, unless that would exceed
    the capacity limit.
*/
void CapacityController::startInstance(const CapacityOption &option, const FleetView &view)
{
    if (!m_lease.isHeld(m_context.clock.now()) || !m_startRecord.takeOver(m_lease.fencingNumber()))
        return;
    Slots slots = m_startRecord.slots();
    const auto others = std::count_if(view.listed.begin(), view.listed.end(),
                                      [this](const ListedInstance &entry) {
                                          return !isOwned(entry.id);
                                      });
    const std::size_t counted = slots.size() + static_cast<std::size_t>(others);
    auto it = std::find_if(slots.begin(), slots.end(), [](const StartSlot &slot) {
        return slot.state == StartState::Idle;
    });
    if (counted + (it == slots.end() ? 1 : 0) > view.limit)
        return;
    if (it == slots.end())
        it = slots.insert(slots.end(), m_startRecord.makeSlot());
    const std::string token = it->clientToken;
    it->state = StartState::Asked;
    it->backendClass = option.backendClass;
    it->zone = option.zone;
    it->market = option.market;
    if (m_startRecord.save(std::move(slots)))
        sendStartOrder(token);
}

/*!
    Marks one instance as leaving after surplusCyclesBeforeStop consecutive reconciliations with
    more instances than planned.
*/
void CapacityController::stopSurplus(const BackendClass &backendClass, const CapacityPlan &plan,
                                     std::span<const CapacityOption> options, const FleetView &view)
{
    std::uint32_t &cycles = m_surplusCycles[backendClass.name];
    std::uint32_t planned = 0;
    std::uint32_t running = 0;
    for (std::size_t n = 0; n < options.size(); ++n) {
        planned += plan.counts[n];
        running += options[n].running;
    }
    if (!plan.urgentCovered || !plan.totalCovered || running <= planned) {
        cycles = 0;
        return;
    }
    if (++cycles < surplusCyclesBeforeStop)
        return;
    Slots slots = m_startRecord.slots();
    const auto isSurplus = [&](const StartSlot &slot) {
        for (std::size_t n = 0; n < options.size(); ++n) {
            if (isOptionFor(options[n], slot.backendClass, slot.zone, slot.market))
                return slot.state == StartState::Listed && options[n].running > plan.counts[n];
        }
        return false;
    };
    const auto it = std::find_if(slots.begin(), slots.end(), isSurplus);
    if (it == slots.end())
        return;
    cycles = 0;
    it->state = StartState::Leaving;
    logEvent(LogLevel::Info, "surplus engine marked as leaving",
             {{"instance", it->instance}, {"zone", it->zone}});
    if (m_startRecord.save(std::move(slots)))
        stopDrainedInstances(view);
}

/*!
    Announces the leaving instances, and stops those that are idle after the grace period.
*/
void CapacityController::stopDrainedInstances(const FleetView &view)
{
    const Timestamp now = m_context.clock.now();
    for (const StartSlot &slot : m_startRecord.slots()) {
        if (slot.state != StartState::Leaving)
            continue;
        const Timestamp since = m_leavingSeenAt.try_emplace(slot.clientToken, now).first->second;
        if (const ListedInstance *entry = findListed(view.listed, slot.instance)) {
            const auto rumour = m_context.backends.lock()->markLeaving(entry->id,
                                                                       entry->incarnation, now);
            if (rumour)
                m_peers.announce(std::span(&*rumour, 1));
        }
        const BackendView *engine = findEngine(view.engines, slot.instance);
        const bool idle = !engine
                || (engine->report && engine->reportAge < leaveGracePeriod && engine->inFlight == 0
                    && engine->report->running == 0 && engine->report->queued == 0);
        if (idle && now >= since + leaveGracePeriod
            && m_lease.canOrder(m_context.clock.now(), startOrderTimeout))
            m_cloud.stop(slot.instance);
    }
}

/*!
    Requests that every model is loaded on all engines of its backend classes with \a fencing.
    Engines that do not report their loaded models are left out.
*/
void CapacityController::reconcileModelOrders(const FleetConfig &config, Fencing fencing,
                                              Issuer &issuer)
{
    std::set<std::string> wanted;
    std::set<std::string, std::less<>> unreported;
    for (const BackendView &engine : m_context.backends.lock()->engines(m_context.clock.now())) {
        if (!engine.report)
            unreported.insert(engine.id);
        const bool reportsModels = engine.report && !engine.report->models.empty();
        for (const BackendClass &entry : config.backendClasses) {
            if (!reportsModels || entry.name != engine.className || entry.fencing != fencing)
                continue;
            for (const Model &model : config.models) {
                const auto &names = model.backendClasses;
                if (std::find(names.begin(), names.end(), entry.name) != names.end())
                    wanted.insert(EngineOrderTarget::makeTarget(engine.id, model.name));
            }
        }
    }
    const auto known = issuer.targets();
    if (!known)
        return;
    for (const std::string &target : *known) {
        if (!wanted.contains(target)
            && !unreported.contains(EngineOrderTarget::parseEngine(target)))
            issuer.removeTarget(target);
    }
    for (const std::string &target : wanted) {
        if (!known->contains(target))
            issuer.setDesiredState(target, modelLoaded);
    }
    const ReconcileResult result = issuer.reconcile();
    if (result.failed > 0)
        logEvent(LogLevel::Warning, "engine orders failed",
                 {{"count", static_cast<std::int64_t>(result.failed)}});
}

} // namespace sesame
