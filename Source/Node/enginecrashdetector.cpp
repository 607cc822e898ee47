#include "Node/enginecrashdetector.h"

#include "Adapter/backendclient.h"
#include "Adapter/json.h"
#include "Adapter/log.h"
#include "Node/engineselector.h"

namespace sesame {

namespace {
constexpr std::chrono::milliseconds crashCheckTimeout {500};
} // namespace

void EngineCrashDetector::beginRun(const BackendView &engine, std::uint64_t fingerprint)
{
    const std::lock_guard lock(m_mutex);
    m_running[formatIncarnation(engine)].insert(fingerprint);
}

void EngineCrashDetector::endRun(const BackendView &engine, std::uint64_t fingerprint)
{
    const std::lock_guard lock(m_mutex);
    const auto running = m_running.find(formatIncarnation(engine));
    if (running == m_running.end())
        return;
    const auto it = running->second.find(fingerprint);
    if (it != running->second.end())
        running->second.erase(it);
    if (running->second.empty())
        m_running.erase(running);
}

void EngineCrashDetector::checkEngine(const BackendView &engine)
{
    const HttpCall call {.method = "GET",
                         .url = engine.address + "/v1/load",
                         .headers = {},
                         .body = {},
                         .timeout = crashCheckTimeout};
    const BackendReply reply = callBackend(call);
    if (reply.status == CallStatus::Replied) {
        const JsonPtr body = parseJson(reply.reply.body);
        if (jsonInteger(body.get(), "incarnation", engine.incarnation) == engine.incarnation)
            return;
    }
    recordCrash(engine);
}

void EngineCrashDetector::recordCrash(const BackendView &engine)
{
    const std::string incarnation = formatIncarnation(engine);
    std::vector<Fingerprint> running;
    {
        const std::lock_guard lock(m_mutex);
        if (!m_crashed.insert(incarnation).second)
            return;
        const auto it = m_running.find(incarnation);
        if (it != m_running.end())
            running.assign(it->second.begin(), it->second.end());
    }
    logEvent(LogLevel::Warning, "engine crashed",
             {{"engine", engine.id},
              {"incarnation", engine.incarnation},
              {"requests", static_cast<std::int64_t>(running.size())}});
    const Timestamp now = m_context.clock.now();
    m_context.suspects.lock()->recordCrash(incarnation, engine.zone, running, now);
}

} // namespace sesame
