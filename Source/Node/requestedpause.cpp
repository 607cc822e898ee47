#include "Node/requestedpause.h"

#include "Adapter/log.h"
#include "Http/httptypes.h"

#include <random>

namespace sesame {

namespace {

constexpr int tooManyRequests = 429;
constexpr int unavailable = 503;

} // namespace

std::optional<std::chrono::milliseconds> requestedPause(const BackendReply &reply)
{
    const int status = reply.reply.status;
    if (reply.status != CallStatus::Replied || (status != tooManyRequests && status != unavailable))
        return std::nullopt;
    return parseRetrySeconds(reply.reply.header("retry-after"));
}

void recordRequestedPause(NodeContext &context, const BackendView &server,
                          std::optional<std::chrono::milliseconds> pause)
{
    if (!pause)
        return;
    thread_local std::mt19937_64 generator(std::random_device {}());
    std::uniform_real_distribution<double> distribution(0.0, 1.0);
    const Duration kept = context.backends.lock()->recordPause(
            server.id, server.incarnation, *pause, distribution(generator), context.clock.now());
    logEvent(LogLevel::Info, "backend server asked for a pause",
             {{"engine", server.id},
              {"asked_ms", static_cast<std::int64_t>(pause->count())},
              {"kept_ms", std::chrono::duration_cast<std::chrono::milliseconds>(kept).count()}});
}

} // namespace sesame
