#pragma once

#include "Adapter/sesameadapter.h"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace sesame {

struct ApplicationEngineOptions
{
    Endpoint address;
};

/*!
    Stand-in for an application engine: the order system and the franchise portal.

    Dispatches and fees are deliberately not idempotent: each received call is executed and counted
    by its Idempotency-Key, so that a test detects every repeated execution.
*/
class ApplicationEngine
{
public:
    /*!
        Answers one HTTP request. May be called from several threads.
    */
    HttpResponse handle(const HttpRequest &request);

    /*!
        Ends the injected delays so that the server can stop.
    */
    void stop();

private:
    struct Faults
    {
        std::int64_t delayMillis = 0;
        std::int64_t dropsBeforeExecution = 0;
        std::int64_t dropsAfterExecution = 0;
    };

    HttpResponse handleControl(const HttpRequest &request);
    HttpResponse handleCall(const HttpRequest &request);
    HttpResponse execute(const HttpRequest &request);

    std::mutex m_mutex;
    std::condition_variable m_stopped;
    std::map<std::string, std::int64_t> m_executions;
    std::int64_t m_executionCount = 0;
    Faults m_faults;
    bool m_stopping = false;
};

/*!
    Serves an ApplicationEngine until SIGTERM or SIGINT arrives. Returns the exit code.
*/
int runApplicationEngine(const ApplicationEngineOptions &options);

} // namespace sesame
