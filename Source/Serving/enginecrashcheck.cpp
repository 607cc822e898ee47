#include "Serving/enginecrashcheck.h"

#include "Adapter/log.h"
#include "Serving/clocks.h"

#include <xxhash.h>

namespace sesame {

namespace {

void logResult(ServingState &state, const LostRequest &lost, const wire::PromptCrash &crash,
               const boost::system::error_code &ec)
{
    state.metrics.recordCrashCheck(lost.service, ec ? "crashed" : "alive");
    const CrashCount count = state.crashes.total(lost.fingerprint);
    logEvent(LogLevel::Warning, "engine.crash_checked",
             {{"request", lost.id},
              {"engine", lost.engine},
              {"crashed", bool(ec)},
              {"reason", ec ? ec.message() : "connected"},
              {"events", static_cast<std::int64_t>(lost.events)},
              {"shared_parts", formatPartIds(crash.parts)},
              {"request_crashes", count.crashes},
              {"request_successes", count.successes}});
}

} // namespace

void EngineCrashCheck::start(const LostRequest &lost)
{
    const EngineState *engine = m_state.engines.find(lost.engine);
    const auto address = engine ? parseTcpEndpoint(engine->entry.address) : std::nullopt;
    if (!address)
        return;
    m_state.connectionPool.closeIdle(lost.engine);
    wire::PromptCrash crash;
    crash.request = static_cast<std::int64_t>(lost.fingerprint);
    crash.engine = static_cast<std::int64_t>(
            XXH3_64bits_withSeed(lost.engine.data(), lost.engine.size(),
                                 static_cast<XXH64_hash_t>(engine->entry.incarnation)));
    crash.sentMillis = lost.sentMillis;
    crash.crashMillis = m_state.commonMillis();
    crash.parts = lost.sharedParts;
    ServingState &state = m_state;
    m_state.connectionPool.acquire(
            lost.engine, *address, 0, false,
            [&state, lost, crash](const boost::system::error_code &ec,
                                  const EngineConnectionPool::Connection &connection) {
                if (ec)
                    recordCrash(state, lost, crash, ec);
                else
                    state.connectionPool.release(lost.engine, connection);
                logResult(state, lost, crash, ec);
            });
}

void EngineCrashCheck::recordCrash(ServingState &state, const LostRequest &lost,
                                   const wire::PromptCrash &crash,
                                   const boost::system::error_code &ec)
{
    state.crashes.recordCrash(lost.fingerprint, steadyNow());
    state.engines.recordConnectFailure(lost.engine, steadyNow());
    // An engine that does not answer at all may be cut off. One that had begun the answer did not
    // crash on its beginning.
    if (ec == asio::error::connection_refused && lost.events <= eventsOfBeginning)
        state.recordPromptCrash(crash);
}

} // namespace sesame
