#include "caller.h"

#include "Adapter/systemclock.h"
#include "applicationcall.h"
#include "callerreport.h"
#include "chatcall.h"
#include "enginetokens.h"

#include <atomic>
#include <cstdio>
#include <random>
#include <thread>

namespace sesame {

namespace {

/*!
    Assigns request numbers and start times to the sending threads.
*/
class RequestSchedule
{
public:
    explicit RequestSchedule(const CallerOptions &options)
        : m_options(options), m_begin(SystemClock().now())
    {
    }

    /*!
        Waits until the next request is due. Returns std::nullopt at the end of the run.
    */
    std::optional<std::uint64_t> waitForNext()
    {
        const std::uint64_t n = m_next++;
        Timestamp due = SystemClock().now();
        if (m_options.rate > 0.0) {
            const std::chrono::duration<double> delay(static_cast<double>(n) / m_options.rate);
            due = m_begin + std::chrono::duration_cast<Duration>(delay);
        }
        const bool hasDuration = m_options.duration.count() > 0;
        if (hasDuration ? due >= m_begin + m_options.duration : n >= m_options.requests)
            return std::nullopt;
        std::this_thread::sleep_until(due);
        return n;
    }

    double elapsedSeconds() const
    {
        return std::chrono::duration<double>(SystemClock().now() - m_begin).count();
    }

private:
    const CallerOptions &m_options;
    const Timestamp m_begin;
    std::atomic<std::uint64_t> m_next {0};
};

std::string makePrompt(const CallerOptions &options, std::uint64_t n)
{
    if (!options.prompt.empty())
        return options.prompt;
    constexpr std::uint64_t prefixSeedShift = 32;
    const std::uint64_t prefix = n % std::max<std::size_t>(options.prefixes, 1);
    const std::uint64_t prefixHash = (options.seed << prefixSeedShift) + prefix;
    std::string text = tokenText(prefixHash, 0, options.prefixWords);
    const std::uint64_t ownWords = options.promptWords
            - std::min(options.promptWords, options.prefixWords);
    text.append(tokenText(~prefixHash ^ (n << 1U), 0, ownWords));
    return text.append(std::to_string(n));
}

CallResult performCall(const CallerOptions &options, EntryList *entries, const std::string &runId,
                       std::uint64_t n)
{
    const std::string id = runId + "-" + std::to_string(n);
    if (options.callsApplication) {
        const bool hasKey = !options.idempotencyKey.empty();
        return callApplication(options, entries, hasKey ? options.idempotencyKey : id);
    }
    const bool hasGivenId = n == 0 && !options.requestId.empty();
    return ChatCall(options, entries, hasGivenId ? options.requestId : id, makePrompt(options, n))
            .run();
}

} // namespace

int runCaller(const CallerOptions &options)
{
    EntryList entries(options.entryUrls, options.callsEngineDirectly, options.seed);
    CallerReport report;
    RequestSchedule schedule(options);
    const std::string runId = "run" + std::to_string(std::random_device()());
    std::vector<std::thread> threads;
    for (std::size_t n = 0; n < options.concurrency; ++n) {
        threads.emplace_back([&] {
            while (const auto number = schedule.waitForNext()) {
                const CallResult result = performCall(options, &entries, runId, *number);
                report.add(result);
                if (options.printsAnswers)
                    std::printf("%s\n", result.text.c_str());
            }
        });
    }
    for (std::thread &thread : threads)
        thread.join();
    const std::string text = report.format(schedule.elapsedSeconds(), options.printsJson);
    std::fputs(text.c_str(), stdout);
    const bool isSingleRequest = options.duration.count() == 0 && options.requests == 1;
    return report.wrongAnswerCount() > 0 || (isSingleRequest && report.incompleteCount() > 0) ? 1
                                                                                              : 0;
}

} // namespace sesame
