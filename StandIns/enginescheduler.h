#pragma once

#include "enginestream.h"
#include "modelengine.h"
#include "prefixcache.h"

#include <array>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <thread>

namespace sesame {

/*!
    Load that GET /v1/load reports, measured at \c time.
*/
struct EngineLoad
{
    std::size_t queued = 0;
    std::size_t running = 0;
    Timestamp time;
};

enum class CancelResult { Unknown, BeforeStart, AfterStart };

/*!
    The next token of a stream, or the reason why there is none.
*/
struct EngineRead
{
    enum class Status { Token, Waiting, Finished, Lost } status = Status::Waiting;
    std::string token;
};

/*!
    Schedules requests with continuous batching. At most the configured number of requests runs at
    once, the others wait in order of priority. After prefill, each running request produces one
    token per interval.
*/
class EngineScheduler
{
public:
    explicit EngineScheduler(const ModelEngineOptions &options);
    ~EngineScheduler();
    EngineScheduler(const EngineScheduler &) = delete;
    EngineScheduler &operator=(const EngineScheduler &) = delete;

    /*!
        Queues \a stream. Returns false if its key is in use or was cancelled before it arrived.
    */
    bool submit(const EngineStreamPtr &stream);

    /*!
        Returns the stream of request \a id and \a attempt, or of its newest attempt if none is
        given. Returns null if there is no such stream.
    */
    EngineStreamPtr find(const std::string &id, std::optional<std::uint64_t> attempt);

    void attach(const EngineStreamPtr &stream);
    void detach(const EngineStreamPtr &stream);

    /*!
        Returns token \a index of \a stream. Waits for it up to \a wait.
    */
    EngineRead read(const EngineStreamPtr &stream, std::uint64_t index, Duration wait);

    /*!
        Cancels request \a id. The id of an unknown request is stored and the request is refused if
        it arrives later, so that the answer "not started" remains correct.
    */
    CancelResult cancel(const std::string &id, std::optional<std::uint64_t> attempt);

    /*!
        Stops \a stream so that its state can be exported. Returns false if it has ended.
    */
    bool stopForExport(const EngineStreamPtr &stream);

    EngineLoad load();
    std::vector<EngineCacheEvent> cacheEventsAfter(std::uint64_t after);

    /*!
        Returns how often each request was started, by request id.
    */
    std::map<std::string, std::uint64_t> executionCounts();

    /*!
        Returns the number of prompt tokens that were computed and the number that were cached.
    */
    std::pair<std::uint64_t, std::uint64_t> prefillTokenCounts();

private:
    using Schedule = std::multimap<Timestamp, EngineStreamPtr>;

    void run();
    void startQueued(Timestamp now);
    void start(const EngineStreamPtr &stream, Timestamp now);
    void produceDueTokens(Timestamp now);
    void runPeriodicTasks(Timestamp now);
    void finish(const EngineStreamPtr &stream, EngineStreamState state);
    Duration computePrefillTime(const EngineStream &stream, Timestamp now);

    const ModelEngineOptions m_options;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_stopping = false;
    std::map<EngineStreamKey, EngineStreamPtr> m_streams;
    std::array<std::deque<EngineStreamPtr>, 3> m_queues;
    Schedule m_running; //!< Running streams by the time of their next token.
    std::set<EngineStreamKey> m_cancelledKeys;
    std::set<std::string> m_cancelledIds;
    PrefixCache m_cache;
    EngineLoad m_load;
    Timestamp m_nextPeriodicTasks;
    std::map<std::string, std::uint64_t> m_executionCounts;
    std::uint64_t m_computedTokens = 0;
    std::uint64_t m_cachedTokens = 0;
    std::thread m_thread;
};

} // namespace sesame
