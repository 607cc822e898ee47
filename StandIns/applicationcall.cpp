#include "applicationcall.h"

#include "Adapter/backendclient.h"
#include "Adapter/json.h"
#include "Adapter/systemclock.h"
#include "Core/resultcode.h"

#include <algorithm>
#include <thread>

namespace sesame {

namespace {

constexpr std::int64_t minRetryDelayMillis = 20;
constexpr std::int64_t maxRetryDelayMillis = 2000;

bool isClientError(int status)
{
    return status >= 400 && status < 500;
}

bool canRetry(const BackendReply &answer, const CallResult &result)
{
    if (answer.status != CallStatus::Replied)
        return true;
    if (result.code == static_cast<int>(ResultCode::ExecutionInProgress))
        return true;
    return result.outcome == "not_run" && !isClientError(answer.reply.status);
}

HttpCall makeCall(const CallerOptions &options, const std::string &entry, const std::string &key)
{
    HttpCall call {.method = options.method,
                   .url = entry + options.path,
                   .headers = {{"Content-Type", "application/json"},
                               {"Authorization", "Bearer " + options.accountKey},
                               {"Idempotency-Key", key}},
                   .body = options.body,
                   .timeout = options.idleLimit};
    if (!options.rank.empty())
        call.headers.emplace_back("X-Rank", options.rank);
    return call;
}

void readAnswer(const HttpReply &reply, CallResult *result)
{
    const JsonPtr body = parseJson(reply.body);
    const std::string fallback = reply.status < 300 ? "complete" : "failed";
    const std::string_view header = reply.header("x-outcome");
    result->outcome = header.empty() ? jsonString(body.get(), "outcome", fallback) : header;
    const std::string code(reply.header("x-result-code"));
    result->code = static_cast<int>(std::strtol(code.c_str(), nullptr, 10));
    result->text = reply.body;
}

} // namespace

CallResult callApplication(const CallerOptions &options, EntryList *entries,
                           const std::string &idempotencyKey)
{
    const Timestamp begin = SystemClock().now();
    CallResult result;
    std::string entry;
    std::int64_t nextDelay = minRetryDelayMillis;
    while (true) {
        entry = entries->choose(entry);
        const BackendReply answer = callBackend(makeCall(options, entry, idempotencyKey));
        if (answer.status == CallStatus::Replied)
            readAnswer(answer.reply, &result);
        else
            entries->expire();
        const bool isPastDeadline = SystemClock().now() - begin > options.deadline;
        if (isPastDeadline || !canRetry(answer, result))
            break;
        ++result.resends;
        const JsonPtr body = parseJson(answer.reply.body);
        const std::int64_t requestedDelay = jsonInteger(body.get(), "retry_after_ms", nextDelay);
        const std::int64_t delay = std::clamp(requestedDelay, minRetryDelayMillis,
                                              maxRetryDelayMillis);
        std::this_thread::sleep_for(std::chrono::milliseconds(delay));
        nextDelay = std::min(2 * nextDelay, maxRetryDelayMillis);
    }
    const auto elapsed = std::chrono::duration<double, std::milli>(SystemClock().now() - begin);
    result.firstTokenMillis = elapsed.count();
    return result;
}

} // namespace sesame
