#include "Serving/enginecrashcheck.h"

#include "Adapter/log.h"
#include "Serving/clocks.h"

#include <absl/strings/str_cat.h>

namespace sesame {

namespace {

/*!
    Returns the ids of \a parts in hexadecimal, in the form in which callers state them.
*/
std::string formatParts(std::span<const PromptPart> parts)
{
    std::string text;
    for (const PromptPart &part : parts)
        absl::StrAppend(&text, text.empty() ? "" : ",", absl::Hex(part.id));
    return text;
}

} // namespace

void EngineCrashCheck::start(const LostRequest &lost)
{
    const EngineState *engine = m_state.engines.find(lost.engine);
    const auto address = engine ? parseTcpEndpoint(engine->entry.address) : std::nullopt;
    if (!address)
        return;
    m_state.connectionPool.closeIdle(lost.engine);
    ServingState &state = m_state;
    m_state.connectionPool.acquire(
            lost.engine, *address, 0, false,
            [&state, lost,
             parts = formatParts(lost.parts)](const boost::system::error_code &ec,
                                              const EngineConnectionPool::Connection &connection) {
                state.metrics.recordCrashCheck(lost.service, ec ? "crashed" : "alive");
                if (!ec) {
                    state.connectionPool.release(lost.engine, connection);
                } else {
                    state.crashes.recordCrash(lost.fingerprint, steadyNow());
                    state.engines.recordConnectFailure(lost.engine, steadyNow());
                }
                const CrashCount count = state.crashes.total(lost.fingerprint);
                logEvent(LogLevel::Warning, "engine.crash_checked",
                         {{"request", lost.id},
                          {"engine", lost.engine},
                          {"crashed", bool(ec)},
                          {"reason", ec ? ec.message() : "connected"},
                          {"events", static_cast<std::int64_t>(lost.events)},
                          {"parts", parts},
                          {"request_crashes", count.crashes},
                          {"request_successes", count.successes}});
            });
}

} // namespace sesame
