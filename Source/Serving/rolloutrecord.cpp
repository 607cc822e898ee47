#include "Serving/rolloutrecord.h"

#include "Adapter/log.h"
#include "Serving/clocks.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace sesame {

namespace {

//! Shorter times count as this one. Below it, the delays of the machine differ by more than a bad
//! version does.
constexpr double shortestMillis = 10.0;

double randomPhase()
{
    std::random_device device;
    return std::uniform_real_distribution<double>(0.0, 1.0)(device);
}

} // namespace

RolloutRecord::RolloutRecord() : m_exposure(randomPhase()) { }

void RolloutRecord::adoptStep(const wire::RolloutStep &step, std::string_view source)
{
    if (!book.merge(step))
        return;
    logEvent(LogLevel::Info, "rollout.step_adopted",
             {{"service", step.serviceName},
              {"target", step.target},
              {"order", step.order},
              {"number", step.number},
              {"state", rolloutStateName(stateOf(step))},
              {"share", static_cast<std::int64_t>(step.share)},
              {"source", source}});
    if (isFinal(stateOf(step))) {
        std::erase_if(m_evidence, [&](const auto &item) {
            return std::get<0>(item.first) == step.serviceName;
        });
    }
}

bool RolloutRecord::choosesTarget(const std::string &service)
{
    const auto step = book.stepInForce(service);
    if (!step || isFinal(stateOf(*step)) || !m_isInTouch || step->share <= 0)
        return false;
    return m_exposure.choose(service, step->order, step->share);
}

RolloutRecord::SeenVersion &RolloutRecord::seenVersion(const std::string &service,
                                                       const std::string &version)
{
    const Timestamp now = bootNow();
    const auto [found, added] = m_versions.try_emplace({service, version},
                                                       SeenVersion {.seenAt = now});
    SeenVersion &seen = found->second;
    if (!seen.isCleared) {
        // An order is written before the engines of its target, so it is part of each state of the
        // store from after the first sight of such an engine.
        const auto age = orderReplica.age(now);
        seen.isCleared = age
                && (now - *age >= seen.seenAt
                    || (seen.revision > 0 && orderReplica.stateRevision() >= seen.revision));
    }
    return seen;
}

void RolloutRecord::noteEngine(const EngineEntry &entry, std::int64_t revision)
{
    m_versions.try_emplace({entry.service, entry.version},
                           SeenVersion {.seenAt = bootNow(), .revision = revision});
}

void RolloutRecord::removeWithheld(std::vector<EngineState *> &engines, const std::string &service,
                                   bool prefersTarget)
{
    const auto step = book.stepInForce(service);
    std::vector<EngineState *> soleVersion;
    bool hasOthers = false;
    std::erase_if(engines, [&](EngineState *engine) {
        const std::string &version = engine->entry.version;
        SeenVersion &seen = seenVersion(service, version);
        if (!seen.isCleared)
            return true;
        const bool isTarget = step && version == step->target;
        seen.wasInUse = seen.wasInUse || !isTarget || stateOf(*step) == RolloutState::Completed;
        hasOthers = hasOthers || !isTarget;
        if (isTarget && seen.wasInUse && !isFinal(stateOf(*step)))
            soleVersion.push_back(engine);
        return !book.allows(service, version, prefersTarget, m_isInTouch);
    });
    // An order may name the version that all engines have already.
    if (engines.empty() && !hasOthers)
        engines = std::move(soleVersion);
}

bool RolloutRecord::isRolledBack(const EngineEntry &entry) const
{
    const auto step = book.stepInForce(entry.service);
    return step && isFinal(stateOf(*step))
            && !book.allows(entry.service, entry.version, false, m_isInTouch);
}

VersionCounts *RolloutRecord::evidence(const EngineEntry &entry, const std::string &route)
{
    const auto step = book.stepInForce(entry.service);
    if (!step || isFinal(stateOf(*step)))
        return nullptr;
    std::erase_if(m_evidence, [&](const auto &item) {
        return std::get<0>(item.first) == entry.service && std::get<1>(item.first) != step->order;
    });
    return &m_evidence[{entry.service, step->order, entry.version, route}];
}

void RolloutRecord::recordSend(const EngineEntry &entry, const std::string &route)
{
    if (VersionCounts *counts = evidence(entry, route))
        counts->sent += 1.0;
}

void RolloutRecord::recordOutcome(const EngineEntry &entry, const std::string &route,
                                  SendEvidence outcome, Duration firstEvent)
{
    VersionCounts *counts = outcome == SendEvidence::Unfinished ? nullptr : evidence(entry, route);
    if (!counts)
        return;
    counts->answers += 1.0;
    if (outcome == SendEvidence::Failed) {
        counts->failures += 1.0;
        return;
    }
    const double ms = std::chrono::duration<double, std::milli>(firstEvent).count();
    const double logTime = std::log(std::max(ms, shortestMillis));
    counts->logTimeSum += logTime;
    counts->logTimeSquareSum += logTime * logTime;
}

void RolloutRecord::report(wire::Tally &tally) const
{
    if (book.isEmpty())
        return;
    for (const auto &[key, counts] : m_evidence) {
        wire::VersionEvidence item;
        std::tie(item.serviceName, item.order, item.version, item.route) = key;
        item.sent = static_cast<std::int64_t>(counts.sent);
        item.answers = static_cast<std::int64_t>(counts.answers);
        item.failures = static_cast<std::int64_t>(counts.failures);
        item.logTimeSum = counts.logTimeSum;
        item.logTimeSquareSum = counts.logTimeSquareSum;
        tally.versions.push_back(std::move(item));
    }
    tally.__isset.versions = !tally.versions.empty();
    const std::vector<wire::RolloutStep> steps = book.steps();
    if (!steps.empty())
        tally.__set_rolloutSteps(steps);
}

} // namespace sesame
