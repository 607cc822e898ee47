#include "Serving/enginegate.h"

#include "Adapter/log.h"
#include "Serving/clocks.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace sesame {

namespace {

using namespace std::chrono_literals;

//! Age of the entries from which on their versions are not relied on. Nodes in touch with the store
//! or with other nodes hear more often that the entries are current.
constexpr Duration maxVersionAge = 2s;
constexpr unsigned firstErrorStatus = 400;
constexpr unsigned misdirectedRequest = 421;
constexpr unsigned tooManyRequests = 429;
constexpr unsigned unavailable = 503;
//! Engines that a log line names.
constexpr int maxDescribedEngines = 3;
//! Characters of an unusable header value that a log line contains.
constexpr std::size_t maxLoggedValueLength = 40;

EngineBoot bootOf(const EngineState &engine)
{
    return {.id = engine.entry.id, .incarnation = engine.entry.incarnation};
}

std::int64_t toMillis(Duration duration)
{
    return std::chrono::duration_cast<Milliseconds>(duration).count();
}

} // namespace

std::vector<EngineState *> EngineGate::openEngines(const std::string &service,
                                                   bool prefersTarget) const
{
    std::vector<EngineState *> engines = m_state.engines.findUsable(service);
    if (m_state.settings.rollout)
        m_state.rollouts.removeWithheld(engines, service, prefersTarget);
    if (m_state.engineNotices.size() == 0)
        return engines;
    const Timestamp now = bootNow();
    std::erase_if(engines, [&](const EngineState *engine) {
        return engine->ownLoad.requests >= m_state.engineNotices.requestLimit(bootOf(*engine), now);
    });
    return engines;
}

bool EngineGate::maySend(const EngineState &engine) const
{
    return engine.usable && !m_state.rollouts.isRolledBack(engine.entry)
            && m_state.engineNotices.requestLimit(bootOf(engine), bootNow()) > 0;
}

bool EngineGate::knowsVersionsSinceSuspension() const
{
    m_state.recordRun();
    const Timestamp now = bootNow();
    const std::optional<Duration> age = m_state.engineReplica.age(now);
    return age && now - *age >= m_state.suspension.resumedAt();
}

bool EngineGate::knowsVersions() const
{
    return knowsVersionsSinceSuspension() && m_state.engineReplica.age(bootNow()) <= maxVersionAge;
}

std::optional<Milliseconds> EngineGate::timeUntilReturn(const std::string &service) const
{
    const Timestamp now = bootNow();
    std::optional<Milliseconds> earliest;
    for (const EngineState *engine : m_state.engines.findUsable(service)) {
        const auto withholding = m_state.engineNotices.withholding(bootOf(*engine), now);
        if (withholding && withholding->isLeaving)
            continue;
        const Duration pause = withholding ? withholding->until - now : Duration::zero();
        const auto wait = std::chrono::ceil<Milliseconds>(pause);
        earliest = std::min(earliest.value_or(wait), wait);
    }
    return earliest;
}

std::string EngineGate::describeWithheld(const std::string &service) const
{
    if (m_state.engineNotices.size() == 0)
        return {};
    const Timestamp now = bootNow();
    std::string text;
    int n = 0;
    for (const EngineState *engine : m_state.engines.findUsable(service)) {
        const auto withholding = m_state.engineNotices.withholding(bootOf(*engine), now);
        if (!withholding || ++n > maxDescribedEngines)
            continue;
        absl::StrAppend(&text, text.empty() ? "" : "; ", engine->entry.id);
        if (withholding->isLeaving)
            absl::StrAppend(&text, " is leaving");
        else
            absl::StrAppend(&text, " asked for ", toMillis(withholding->asked), " ms, ",
                            toMillis(now - withholding->askedAt), " ms ago");
    }
    if (n > maxDescribedEngines)
        absl::StrAppend(&text, "; ", n - maxDescribedEngines, " more");
    return text;
}

void EngineGate::recordAnswer(const EngineAnswer &answer)
{
    const EngineState *engine = m_state.engines.find(answer.engine);
    // Status 421 comes from another engine at the address.
    if (!engine || answer.status == misdirectedRequest)
        return;
    const EngineBoot boot = bootOf(*engine);
    if (answer.info.isLeaving && m_state.engineNotices.recordLeaving(boot, bootNow())) {
        logEvent(LogLevel::Info, "engine.leaving",
                 {{"request", answer.request},
                  {"engine", answer.engine},
                  {"status", static_cast<std::int64_t>(answer.status)}});
        m_state.connectionPool.closeIdle(answer.engine);
    }
    if (answer.status < firstErrorStatus)
        m_state.engineNotices.recordAnswer(boot, bootNow());
    recordPause(answer, boot);
}

void EngineGate::recordPause(const EngineAnswer &answer, const EngineBoot &boot)
{
    const auto &[usable, unusable] = answer.info.retryAfter;
    if (!usable && unusable.empty())
        return;
    const bool turnsAway = answer.status == unavailable || answer.status == tooManyRequests;
    if (!usable || !turnsAway) {
        logEvent(LogLevel::Info, "engine.pause_ignored",
                 {{"request", answer.request},
                  {"engine", answer.engine},
                  {"status", static_cast<std::int64_t>(answer.status)},
                  {"value",
                   usable ? absl::StrCat(usable->count(), " ms")
                          : unusable.substr(0, maxLoggedValueLength)}});
        return;
    }
    std::uniform_real_distribution<double> distribution(0.0, 1.0);
    const Duration kept = m_state.engineNotices.recordPause(
            boot, *usable, distribution(m_state.random), bootNow());
    logEvent(LogLevel::Info, "engine.paused",
             {{"request", answer.request},
              {"engine", answer.engine},
              {"status", static_cast<std::int64_t>(answer.status)},
              {"asked_ms", static_cast<std::int64_t>(usable->count())},
              {"kept_ms", toMillis(kept)}});
}

} // namespace sesame
