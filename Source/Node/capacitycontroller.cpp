#include "Node/capacitycontroller.h"

#include "Adapter/log.h"

#include <algorithm>
#include <cmath>

namespace sesame {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds leaseDuration {10'000};
// At 420 nodes the candidates' reads of the lease come to 168/s of the store's 2,000/s.
constexpr milliseconds leaseInterval = leaseDuration / 4;
constexpr milliseconds longestStart {2'000}; // Timeout of the cloud client.
// Part of the slots that demand may fill; the rest absorbs what happens between two steps.
constexpr double targetUtilisation = 0.8;
// A model without requests keeps this many slots, also after the loss of a zone.
constexpr double leastDemand = 1.0;
// Measured demand is halved in this many steps, so that a lull between bursts stops nothing.
constexpr double stepsPerHalving = 10.0;
// Stopping and starting an engine costs minutes of loading.
constexpr std::uint32_t surplusStepsToStop = 30;
// Longer than the lag of the cloud's list and the loading of weights.
constexpr std::chrono::minutes startTimeout {10};
// The rumour of a leave reaches all nodes within 2 s, and load reports lag.
constexpr std::chrono::seconds leaveTime {5};

CapacityOption slotOption(const StartSlot &slot)
{
    CapacityOption option;
    option.zone = slot.zone;
    option.backendClass = slot.backendClass;
    option.market = slot.market;
    return option;
}

bool isSame(const CapacityOption &a, std::string_view className, std::string_view zone,
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
    Returns the class of \a model with the cheapest slots, or a null pointer.
*/
const BackendClass *cheapestClass(const FleetConfig &config, const Model &model)
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
    : m_context(context), m_peers(peers), m_cloud(context.settings.cloudUrl, longestStart),
      m_engines(context),
      m_lease(context.store, context.clock,
              {.name = "capacity",
               .holderId = context.settings.node + "#" + std::to_string(context.incarnation),
               .duration = leaseDuration}),
      m_record(context.store, "capacity", randomSeed()),
      m_checkedOrders(context.store, context.clock, m_lease, m_engines,
                      {.name = "models-checked",
                       .fencing = Fencing::Checked,
                       .maxOrderDuration = EngineOrderTarget::longestSend}),
      m_uncheckedOrders(context.store, context.clock, m_lease, m_engines,
                        {.name = "models-ignored",
                         .fencing = Fencing::Ignored,
                         .maxOrderDuration = EngineOrderTarget::longestSend}),
      m_random(randomSeed())
{
}

void CapacityController::tick()
{
    const auto config = m_context.config();
    if (!config || !config->defaults.capacityControl
        || m_context.lifecycle.phase() != NodePhase::Serving) {
        resign();
        return;
    }
    const Timestamp now = m_context.clock.now();
    sampleDemand(*config, now);
    if (!holdLease(now) || now < m_nextStep)
        return;
    m_nextStep = now + config->defaults.capacityInterval;
    step(*config);
}

void CapacityController::sampleDemand(const FleetConfig &config, Timestamp now)
{
    const double nodes = m_context.liveNodes();
    const double steps = std::chrono::duration<double>(now - m_sampledAt)
            / std::chrono::duration<double>(config.defaults.capacityInterval);
    const double kept = std::exp2(-steps / stepsPerHalving);
    m_sampledAt = now;
    for (const Model &model : config.models) {
        const auto open = m_context.admission.lock()->countOpenItems(model.name);
        auto &demand = m_demand[model.name];
        for (std::size_t rank = 0; rank < rankCount; ++rank)
            demand[rank] = std::max(demand[rank] * kept, open[rank] * nodes);
    }
}

/*!
    Takes or renews the lease when that is due. Returns whether this node holds it.
*/
bool CapacityController::holdLease(Timestamp now)
{
    if (now >= m_nextLease) {
        m_nextLease = now + leaseInterval;
        m_lease.acquire();
    }
    const bool held = m_lease.isHeld(m_context.clock.now());
    const std::uint64_t term = held ? m_lease.fencingNumber() : 0;
    if (term != m_loggedTerm) {
        logEvent(LogLevel::Info, held ? "capacity lease acquired" : "capacity lease lost",
                 {{"fencing", static_cast<std::int64_t>(term)}});
        m_slotSince.clear();
        m_leavingSince.clear();
        m_surplusSteps.clear();
    }
    m_loggedTerm = term;
    return held;
}

void CapacityController::resign()
{
    if (m_loggedTerm == 0)
        return;
    m_loggedTerm = 0;
    m_lease.release();
    logEvent(LogLevel::Info, "capacity lease released");
}

void CapacityController::step(const FleetConfig &config)
{
    orderModels(config, Fencing::Checked, m_checkedOrders);
    orderModels(config, Fencing::Ignored, m_uncheckedOrders);
    if (!holdLease(m_context.clock.now()) || !m_record.takeOver(m_lease.fencingNumber()))
        return;
    const auto view = observe();
    if (!view)
        return;
    repeatUnanswered();
    stopIdle(*view);
    // Urgent work has the first claim on what the limit leaves.
    std::vector<std::pair<double, const BackendClass *>> order;
    for (const BackendClass &entry : config.backendClasses) {
        if (entry.kind == BackendKind::ModelEngine)
            order.emplace_back(demandOf(config, entry).urgent, &entry);
    }
    std::stable_sort(order.begin(), order.end(), [](const auto &a, const auto &b) {
        return a.first > b.first;
    });
    for (const auto &[urgent, entry] : order)
        followPlan(config, *entry, *view);
}

std::optional<CapacityController::View> CapacityController::observe()
{
    auto listed = m_cloud.fetchAllInstances();
    if (!listed)
        return std::nullopt;
    const bool empty = listed->empty();
    std::erase_if(*listed, [](const ListedInstance &entry) {
        return entry.kind != InstanceKind::Engine;
    });
    View view {.listed = std::move(*listed),
               .engines = m_context.backends.lock()->engines(m_context.clock.now()),
               .limit = m_context.fleet.lock()->capacityLimit()};
    if (!adoptList(view, empty))
        return std::nullopt;
    return view;
}

/*!
    Updates the slots from the list. Returns false if they could not be recorded.
*/
bool CapacityController::adoptList(const View &view, bool listEmpty)
{
    const Timestamp now = m_context.clock.now();
    Slots slots = m_record.slots();
    bool changed = false;
    const auto isGone = [&](const StartSlot &slot) {
        const Timestamp since = m_slotSince.try_emplace(slot.clientToken, now).first->second;
        if (slot.instance.empty() || findListed(view.listed, slot.instance))
            return false;
        // A list without any instance is a fault of the API.
        if (slot.state != StartState::Started)
            return !listEmpty;
        return now >= since + startTimeout;
    };
    changed = std::erase_if(slots, isGone) > 0;
    for (StartSlot &slot : slots) {
        if (slot.state == StartState::Started && findListed(view.listed, slot.instance)) {
            slot.state = StartState::Listed;
            changed = true;
        }
    }
    return !changed || m_record.save(std::move(slots));
}

/*!
    Repeats the starts whose answers were lost, by this holder or an earlier one. They count
    against the limit already, so they are repeated whatever the demand is now.
*/
void CapacityController::repeatUnanswered()
{
    const Slots slots = m_record.slots();
    for (const StartSlot &slot : slots) {
        if (slot.state == StartState::Asked && !sendStart(slot.clientToken))
            return;
    }
}

/*!
    Sends the start that is recorded for \a token. Returns false if no more may be sent.
*/
bool CapacityController::sendStart(const std::string &token)
{
    Slots slots = m_record.slots();
    StartSlot *slot = findSlot(slots, token);
    if (!slot || !holdLease(m_context.clock.now())
        || !m_lease.canOrder(m_context.clock.now(), longestStart))
        return false;
    const StartResult result = m_cloud.start({.clientToken = slot->clientToken,
                                              .className = slot->backendClass,
                                              .zone = slot->zone,
                                              .market = slot->market});
    logEvent(LogLevel::Info, "ordered the start of an engine",
             {{"class", slot->backendClass},
              {"zone", slot->zone},
              {"on_demand", slot->market == Market::OnDemand},
              {"token", slot->clientToken},
              {"instance", result.instance},
              {"refused", result.status == StartStatus::Refused}});
    const CapacityOption option = slotOption(*slot);
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
    return m_record.save(std::move(slots));
}

bool CapacityController::isOwned(std::string_view instance) const
{
    const Slots &slots = m_record.slots();
    return std::any_of(slots.begin(), slots.end(), [instance](const StartSlot &slot) {
        return slot.instance == instance;
    });
}

CapacityDemand CapacityController::demandOf(const FleetConfig &config,
                                            const BackendClass &backendClass) const
{
    CapacityDemand demand;
    for (const Model &model : config.models) {
        const auto it = m_demand.find(model.name);
        if (cheapestClass(config, model) != &backendClass || it == m_demand.end())
            continue;
        const auto &open = it->second;
        demand.urgent += open[static_cast<std::size_t>(Rank::Urgent)];
        for (const double n : open)
            demand.total += n;
        // Below, a model that nobody asks for now must not lose its last engine.
        demand.urgent = std::max(demand.urgent, leastDemand);
        demand.total = std::max(demand.total, leastDemand);
    }
    demand.urgent /= targetUtilisation;
    demand.total /= targetUtilisation;
    return demand;
}

/*!
    Returns how many instances of \a option run or are being started, without leaving ones.
*/
std::uint32_t CapacityController::countRunning(const CapacityOption &option, const View &view) const
{
    std::uint32_t count = 0;
    for (const ListedInstance &entry : view.listed) {
        if (!entry.leaving && !isOwned(entry.id)
            && isSame(option, entry.className, entry.zone, entry.market))
            ++count;
    }
    for (const StartSlot &slot : m_record.slots()) {
        const ListedInstance *entry = findListed(view.listed, slot.instance);
        const bool active = slot.state != StartState::Idle && slot.state != StartState::Leaving;
        if (active && !(entry && entry->leaving)
            && isSame(option, slot.backendClass, slot.zone, slot.market))
            ++count;
    }
    return count;
}

std::vector<CapacityOption> CapacityController::optionsOf(const FleetConfig &config,
                                                          const BackendClass &backendClass,
                                                          const View &view) const
{
    // A zone whose reclaimable price is not known counts as the dearest known one.
    double dearest = 0.0;
    for (const ListedInstance &entry : view.listed) {
        if (entry.className == backendClass.name && entry.market == Market::Reclaimable)
            dearest = std::max(dearest, entry.pricePerHour);
    }
    std::vector<CapacityOption> options;
    for (const Market market : {Market::Reclaimable, Market::OnDemand}) {
        for (const std::string &zone : config.zones) {
            CapacityOption option;
            option.zone = zone;
            option.backendClass = backendClass.name;
            option.market = market;
            option.capacity = backendClass.slots;
            const bool known = market == Market::Reclaimable && dearest > 0.0;
            option.pricePerHour = known ? dearest : backendClass.pricePerHour;
            for (const ListedInstance &entry : view.listed) {
                if (isSame(option, entry.className, entry.zone, entry.market)
                    && entry.pricePerHour > 0.0)
                    option.pricePerHour = entry.pricePerHour;
            }
            option.running = countRunning(option, view);
            options.push_back(std::move(option));
        }
    }
    return options;
}

WeightLoadState CapacityController::loadState(const std::string &className, const View &view) const
{
    WeightLoadState loads;
    for (const BackendView &engine : view.engines)
        loads.warmPeers += engine.className == className && engine.report ? 1 : 0;
    const Timestamp now = m_context.clock.now();
    for (const StartSlot &slot : m_record.slots()) {
        if (slot.backendClass != className || slot.state == StartState::Idle
            || slot.state == StartState::Leaving)
            continue;
        const BackendView *engine = findEngine(view.engines, slot.instance);
        const auto since = m_slotSince.find(slot.clientToken);
        const bool recent = since == m_slotSince.end() || now < since->second + startTimeout;
        if (!(engine && engine->report) && recent)
            ++loads.fromStore;
    }
    return loads;
}

void CapacityController::followPlan(const FleetConfig &config, const BackendClass &backendClass,
                                    const View &view)
{
    const CapacityDemand demand = demandOf(config, backendClass);
    const auto options = optionsOf(config, backendClass, view);
    CapacityPlanner &planner = m_planners[backendClass.name];
    planner.raiseCapacityLimit(view.limit);
    const CapacityPlan plan = planner.plan(demand, options, m_context.clock.now());
    const WeightLoadState loads = loadState(backendClass.name, view);
    for (const PlannedStart &start : planner.nextStarts(plan, options, loads))
        startOne(options[start.option], view);
    stopSurplus(backendClass, plan, options, view);
}

/*!
    Records a slot for an instance of \a option, if the limit leaves one, and starts it.
*/
void CapacityController::startOne(const CapacityOption &option, const View &view)
{
    if (!m_lease.isHeld(m_context.clock.now()) || !m_record.takeOver(m_lease.fencingNumber()))
        return;
    Slots slots = m_record.slots();
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
        it = slots.insert(slots.end(), m_record.makeSlot());
    const std::string token = it->clientToken;
    it->state = StartState::Asked;
    it->backendClass = option.backendClass;
    it->zone = option.zone;
    it->market = option.market;
    if (m_record.save(std::move(slots)))
        sendStart(token);
}

/*!
    Makes one instance leave if more than planned have run for a while.
*/
void CapacityController::stopSurplus(const BackendClass &backendClass, const CapacityPlan &plan,
                                     std::span<const CapacityOption> options, const View &view)
{
    std::uint32_t &steps = m_surplusSteps[backendClass.name];
    std::uint32_t planned = 0;
    std::uint32_t running = 0;
    for (std::size_t n = 0; n < options.size(); ++n) {
        planned += plan.counts[n];
        running += options[n].running;
    }
    if (!plan.urgentCovered || !plan.totalCovered || running <= planned) {
        steps = 0;
        return;
    }
    if (++steps < surplusStepsToStop)
        return;
    Slots slots = m_record.slots();
    const auto isSurplus = [&](const StartSlot &slot) {
        for (std::size_t n = 0; n < options.size(); ++n) {
            if (isSame(options[n], slot.backendClass, slot.zone, slot.market))
                return slot.state == StartState::Listed && options[n].running > plan.counts[n];
        }
        return false;
    };
    const auto it = std::find_if(slots.begin(), slots.end(), isSurplus);
    if (it == slots.end())
        return;
    steps = 0;
    it->state = StartState::Leaving;
    logEvent(LogLevel::Info, "takes a surplus engine out of service",
             {{"instance", it->instance}, {"zone", it->zone}});
    if (m_record.save(std::move(slots)))
        stopIdle(view);
}

/*!
    Announces the leaving instances, and stops those that have had time to finish their work.
*/
void CapacityController::stopIdle(const View &view)
{
    const Timestamp now = m_context.clock.now();
    for (const StartSlot &slot : m_record.slots()) {
        if (slot.state != StartState::Leaving)
            continue;
        const Timestamp since = m_leavingSince.try_emplace(slot.clientToken, now).first->second;
        if (const ListedInstance *entry = findListed(view.listed, slot.instance)) {
            const auto rumour = m_context.backends.lock()->markLeaving(entry->id,
                                                                       entry->incarnation, now);
            if (rumour)
                m_peers.announce(std::span(&*rumour, 1));
        }
        const BackendView *engine = findEngine(view.engines, slot.instance);
        const bool idle = !engine
                || (engine->report && engine->reportAge < leaveTime && engine->inFlight == 0
                    && engine->report->running == 0 && engine->report->queued == 0);
        if (idle && now >= since + leaveTime
            && m_lease.canOrder(m_context.clock.now(), longestStart))
            m_cloud.stop(slot.instance);
    }
}

/*!
    Wants every model loaded on all engines of its classes with \a fencing that say what they
    have loaded.
*/
void CapacityController::orderModels(const FleetConfig &config, Fencing fencing, Issuer &issuer)
{
    std::set<std::string> wanted;
    std::set<std::string, std::less<>> unreported;
    for (const BackendView &engine : m_context.backends.lock()->engines(m_context.clock.now())) {
        if (!engine.report)
            unreported.insert(engine.id);
        const bool selective = engine.report && !engine.report->models.empty();
        for (const BackendClass &entry : config.backendClasses) {
            if (!selective || entry.name != engine.className || entry.fencing != fencing)
                continue;
            for (const Model &model : config.models) {
                const auto &names = model.backendClasses;
                if (std::find(names.begin(), names.end(), entry.name) != names.end())
                    wanted.insert(EngineOrderTarget::targetName(engine.id, model.name));
            }
        }
    }
    const auto known = issuer.targets();
    if (!known)
        return;
    for (const std::string &target : *known) {
        if (!wanted.contains(target) && !unreported.contains(EngineOrderTarget::engineOf(target)))
            issuer.removeTarget(target);
    }
    for (const std::string &target : wanted) {
        if (!known->contains(target))
            issuer.setDesiredState(target, modelLoaded);
    }
    const ReconcileResult result = issuer.reconcile();
    if (result.failed > 0)
        logEvent(LogLevel::Warning, "orders to engines failed",
                 {{"count", static_cast<std::int64_t>(result.failed)}});
}

} // namespace sesame
