#include "Serving/rolloutduty.h"

#include "Adapter/log.h"
#include "Serving/clocks.h"

#include <algorithm>
#include <set>

namespace sesame {

namespace {

using namespace std::chrono_literals;

constexpr const char *recordKind = "rolloutsteps";
//! Delay until a call to the store that failed is repeated.
constexpr Duration retryDelay = 250ms;
//! Shortest interval between two writes of a status. The status that the node knows lags behind.
constexpr Duration statusInterval = 1s;
//! Interval at which the evidence of a roll-out in progress is logged.
constexpr std::int64_t evidenceLogMillis = 1000;

wire::RolloutStep readStep(const std::string &service, const json_t *object)
{
    wire::RolloutStep step;
    step.serviceName = service;
    step.target = jsonString(object, "target");
    step.order = jsonInteger(object, "order");
    step.number = jsonInteger(object, "number");
    step.state = static_cast<std::int32_t>(jsonInteger(object, "state"));
    step.share = static_cast<std::int32_t>(jsonInteger(object, "share"));
    return step;
}

json_t *formatStep(const wire::RolloutStep &step)
{
    json_t *object = json_object();
    json_object_set_new(object, "target", json_string(step.target.c_str()));
    json_object_set_new(object, "order", json_integer(step.order));
    json_object_set_new(object, "number", json_integer(step.number));
    json_object_set_new(object, "state", json_integer(step.state));
    json_object_set_new(object, "share", json_integer(step.share));
    return object;
}

VersionCounts toCounts(const wire::VersionEvidence &item)
{
    return {.sent = static_cast<double>(item.sent),
            .answers = static_cast<double>(item.answers),
            .failures = static_cast<double>(item.failures),
            .logTimeSum = item.logTimeSum,
            .logTimeSquareSum = item.logTimeSquareSum};
}

std::uint64_t eraOf(const RolloutOrder &order)
{
    return StoreRevision::fromOrdinal(order.revision).era;
}

bool isSameStatus(std::optional<RolloutState> reported, RolloutState state)
{
    return reported && (*reported == state || (!isFinal(*reported) && !isFinal(state)));
}

} // namespace

RolloutDuty::RolloutDuty(ServingState &state, const DutyCoordinator &duties,
                         std::unique_ptr<ObjectStoreClient> store, RolloutFormat format)
    : m_state(state), m_duties(duties), m_store(std::move(store)), m_format(std::move(format))
{
}

void RolloutDuty::tick()
{
    if (!m_state.settings.rollout || m_state.rollouts.book.isEmpty())
        return;
    m_isHolder = m_duties.isHolder();
    if (m_isHolder && m_term != m_duties.term()) {
        m_term = m_duties.term();
        m_recordsRead = false;
    }
    if (!m_isHolder && !m_state.tally.isAggregator()) {
        for (auto &[name, service] : m_services)
            service.decision.reset();
        return;
    }
    if (m_isHolder && !m_recordsRead)
        readRecords();
    wire::Tally own;
    m_state.rollouts.report(own);
    const std::vector<wire::VersionEvidence> evidence = m_state.tally.versionEvidence(own,
                                                                                      steadyNow());
    std::set<std::string> names;
    for (const auto &[name, order] : m_state.rollouts.book.orders())
        names.insert(name);
    for (const wire::RolloutStep &step : m_state.rollouts.book.steps())
        names.insert(step.serviceName);
    for (const std::string &name : names) {
        if (!synchronize(name))
            decide(name, evidence);
    }
}

bool RolloutDuty::canWrite() const
{
    return m_isHolder && m_recordsRead && !m_callPending && steadyNow() >= m_nextCallTime;
}

/*!
    Returns whether \a order differs from the latest one that has a step.
*/
bool RolloutDuty::isNewOrder(const RolloutOrder &order, const Service &service) const
{
    const wire::RolloutStep *latest = m_state.rollouts.book.latestStep(order.service);
    if (!latest)
        return true;
    if (order.revision <= latest->order)
        return false;
    if (order.target != latest->target)
        return true;
    // The revision also grows with the status, so the same order is told by its content. An order
    // that was written again lacks the status that was reported, and so does one in a store that
    // was restored.
    const bool isRewritten = isFinal(stateOf(*latest)) && !order.reported
            && service.finalReportEra == eraOf(order);
    return isRewritten || (service.duration.count() != 0 && service.duration != order.duration);
}

/*!
    Brings the store up to date with the steps of the service \a name. Returns whether a call to the
    store is necessary first.
*/
bool RolloutDuty::synchronize(const std::string &name)
{
    if (!canWrite())
        return false;
    Service &service = m_services[name];
    const RolloutOrder *order = m_state.rollouts.book.findOrder(name);
    if (order && isNewOrder(*order, service)) {
        beginOrder(*order);
        return true;
    }
    const wire::RolloutStep *step = m_state.rollouts.book.latestStep(name);
    if (!step)
        return false;
    if (service.duration.count() == 0 && order)
        service.duration = order->duration;
    if (!order && !isFinal(stateOf(*step))) {
        applyChange(name, *step,
                    {.state = RolloutState::RolledBack, .share = 0, .reason = "order removed"});
        return true;
    }
    if (json_equal(formatRecord(name, *step).get(), service.recorded.get()) == 0) {
        writeRecord(name, *step);
        return true;
    }
    if (!order || order->target != step->target)
        return false;
    service.finalReportEra.reset();
    if (order->reported && isFinal(*order->reported))
        service.finalReportEra = eraOf(*order);
    if (!isSameStatus(order->reported, stateOf(*step)))
        writeStatus(name, *step);
    return false;
}

void RolloutDuty::beginOrder(const RolloutOrder &order)
{
    Service &service = m_services[order.service];
    service.decision.reset();
    service.startMillis = m_state.commonMillis();
    service.duration = order.duration;
    service.finalReportEra.reset();
    wire::RolloutStep step;
    step.serviceName = order.service;
    step.order = order.revision;
    step.number = 1;
    step.target = order.target;
    step.state = static_cast<std::int32_t>(RolloutState::Starting);
    step.share = 0;
    const bool isKnown = m_state.config && m_state.config->findService(order.service);
    logEvent(isKnown ? LogLevel::Info : LogLevel::Warning, "rollout.ordered",
             {{"service", order.service},
              {"target", order.target},
              {"order", order.revision},
              {"duration_ms", static_cast<std::int64_t>(order.duration.count())},
              {"service_known", isKnown}});
    writeRecord(order.service, step);
}

void RolloutDuty::decide(const std::string &name, std::span<const wire::VersionEvidence> evidence)
{
    Service &service = m_services[name];
    const wire::RolloutStep *step = m_state.rollouts.book.latestStep(name);
    const auto inForce = m_state.rollouts.book.stepInForce(name);
    if (!step || isFinal(stateOf(*step)) || !inForce || inForce->order != step->order) {
        service.decision.reset();
        return;
    }
    const RolloutOrder *order = m_state.rollouts.book.findOrder(name);
    const std::int64_t now = m_state.commonMillis();
    if (!service.decision || service.decidedOrder != step->order) {
        const Milliseconds duration = service.duration.count() != 0 || !order ? service.duration
                                                                              : order->duration;
        service.decision = std::make_unique<RolloutDecision>(
                RolloutDecisionOptions {.exposureShare = m_state.settings.rollout->exposureShare,
                                        .exposureSlack = m_state.settings.rollout->exposureSlack},
                *step, duration, service.startMillis != 0 ? service.startMillis : now, now);
        service.decidedOrder = step->order;
    }
    service.decision->setStep(*step, now);
    const auto change = service.decision->update(makeInputs(*step, evidence), now);
    if (now - service.loggedMillis >= evidenceLogMillis) {
        service.loggedMillis = now;
        logEvent(LogLevel::Info, "rollout.evidence",
                 {{"service", name}, {"evidence", service.decision->describe()}});
    }
    if (change)
        applyChange(name, *step, *change);
}

RolloutInputs RolloutDuty::makeInputs(const wire::RolloutStep &step,
                                      std::span<const wire::VersionEvidence> evidence) const
{
    RolloutInputs inputs;
    for (const wire::VersionEvidence &item : evidence) {
        if (item.serviceName != step.serviceName || item.order != step.order)
            continue;
        RouteEvidence &route = inputs.evidence[item.route];
        (item.version == step.target ? route.target : route.others) += toCounts(item);
    }
    for (const auto &[id, engine] : m_state.engines.engines()) {
        if (engine.entry.service != step.serviceName)
            continue;
        const bool isTarget = engine.entry.version == step.target;
        if (!isTarget)
            inputs.oldRequests += engine.ownLoad.requests + engine.peerLoad.requests;
        if (engine.usable)
            (isTarget ? inputs.hasTarget : inputs.hasOthers) = true;
    }
    return inputs;
}

void RolloutDuty::applyChange(const std::string &name, const wire::RolloutStep &step,
                              const RolloutChange &change)
{
    const bool isRollback = change.state == RolloutState::RolledBack;
    // Only what follows from evidence may be decided without the duties.
    if (!canWrite() && !(isRollback && change.isVerdict))
        return;
    wire::RolloutStep next = step;
    next.number = step.number + 1;
    next.state = static_cast<std::int32_t>(change.state);
    next.share = change.share;
    const Service &service = m_services[name];
    logEvent(isRollback ? LogLevel::Warning : LogLevel::Info, "rollout.step_decided",
             {{"service", name},
              {"target", step.target},
              {"order", step.order},
              {"number", next.number},
              {"state", rolloutStateName(change.state)},
              {"share", static_cast<std::int64_t>(change.share)},
              {"reason", change.reason},
              {"holder", m_isHolder},
              {"since_ms", m_state.commonMillis() - service.startMillis},
              {"evidence", service.decision ? service.decision->describe() : std::string()}});
    if (isRollback)
        m_state.rollouts.adoptStep(next, m_state.settings.node);
    if (canWrite())
        writeRecord(name, next);
}

void RolloutDuty::readRecords()
{
    if (m_callPending || steadyNow() < m_nextCallTime)
        return;
    m_callPending = true;
    m_nextCallTime = steadyNow() + retryDelay;
    m_store->list(recordKind, false, [this, term = m_term](const StoreReadResult &result) {
        m_callPending = false;
        if (result.status != StoreCallStatus::Ok || term != m_term)
            return;
        for (auto &[name, service] : m_services) {
            service.recordRevision = {};
            service.recorded.reset();
        }
        for (const StoredObject &object : result.objects)
            adoptRecord(object, result.era);
        m_recordsRead = true;
    });
}

void RolloutDuty::adoptRecord(const StoredObject &object, std::uint64_t era)
{
    if (object.removed || !object.content)
        return;
    Service &service = m_services[object.name];
    service.recordRevision = {.era = era, .number = object.revision};
    service.recorded = object.content;
    service.startMillis = jsonInteger(object.content.get(), "startMillis");
    service.duration = Milliseconds(jsonInteger(object.content.get(), "durationMs"));
    std::size_t i = 0;
    const json_t *item = nullptr;
    json_array_foreach(json_object_get(object.content.get(), "steps"), i, item)
            m_state.rollouts.adoptStep(readStep(object.name, item), "store");
}

std::shared_ptr<json_t> RolloutDuty::formatRecord(const std::string &name,
                                                  const wire::RolloutStep &step) const
{
    std::shared_ptr<json_t> content(json_object(), JsonDeleter {});
    const Service &service = m_services.at(name);
    json_object_set_new(content.get(), "startMillis", json_integer(service.startMillis));
    json_object_set_new(content.get(), "durationMs", json_integer(service.duration.count()));
    json_t *steps = json_array();
    for (const wire::RolloutStep &known : m_state.rollouts.book.steps()) {
        if (known.serviceName == name && known.target != step.target)
            json_array_append_new(steps, formatStep(known));
    }
    json_array_append_new(steps, formatStep(step));
    json_object_set_new(content.get(), "steps", steps);
    return content;
}

/*!
    Records \a step, which takes effect when that has succeeded. The write depends on the revision
    of the record, so that a holder whose term has lapsed cannot undo a successor's step.
*/
void RolloutDuty::writeRecord(const std::string &name, const wire::RolloutStep &step)
{
    m_callPending = true;
    const std::shared_ptr<json_t> content = formatRecord(name, step);
    const StoreRevision expected = m_services[name].recordRevision;
    const auto done = [this, name, step, term = m_term, content,
                       expected](const StoreWriteResult &result) {
        m_callPending = false;
        // In another era, the condition of the write refers to another revision.
        const bool isSameEra = expected.number == 0 || result.era == expected.era;
        if (result.status == StoreCallStatus::Ok && isSameEra) {
            m_services[name].recordRevision = {.era = result.era, .number = result.revision};
            m_services[name].recorded = content;
            if (m_duties.isHolder() && term == m_duties.term())
                m_state.rollouts.adoptStep(step, "holder");
            return;
        }
        logEvent(LogLevel::Warning, "rollout.record_failed",
                 {{"service", name}, {"number", step.number}});
        // The write may have taken effect, or another holder may have written.
        m_recordsRead = false;
        m_nextCallTime = steadyNow() + retryDelay;
    };
    if (expected.number != 0)
        m_store->replace(recordKind, name, content.get(), expected.number, done);
    else
        m_store->create(recordKind, name, content.get(), done);
}

void RolloutDuty::writeStatus(const std::string &name, const wire::RolloutStep &step)
{
    Service &service = m_services[name];
    if (steadyNow() < service.nextStatusTime)
        return;
    service.nextStatusTime = steadyNow() + statusInterval;
    m_callPending = true;
    const RolloutState state = stateOf(step);
    m_store->replaceStatus(m_format.kind, name, m_format.formatStatus(state, step.target).get(),
                           [this, name, state](const StoreWriteResult &result) {
                               m_callPending = false;
                               logEvent(LogLevel::Info, "rollout.status_written",
                                        {{"service", name},
                                         {"state", rolloutStateName(state)},
                                         {"accepted", result.status == StoreCallStatus::Ok}});
                           });
}

} // namespace sesame
