#pragma once

#include "Adapter/httpmessage.h"
#include "enginescheduler.h"

#include <atomic>

namespace sesame {

/*!
    Answers the requests of the model engine's HTTP interface.
*/
class EngineHandler
{
public:
    explicit EngineHandler(const ModelEngineOptions &options)
        : m_options(options), m_models(options.models), m_scheduler(options)
    {
    }

    HttpResponse handle(const HttpRequest &request);

private:
    HttpResponse handleChatRequest(const HttpRequest &request);
    HttpResponse handleStreamRequest(const HttpRequest &request);
    HttpResponse makeStreamResponse(const EngineStreamPtr &stream, std::uint64_t from);
    HttpResponse makeCompleteResponse(const EngineStreamPtr &stream);
    HttpResponse reportLoad();
    HttpResponse reportCacheEvents(const HttpRequest &request);
    HttpResponse exportState(const HttpRequest &request);
    HttpResponse importState(const HttpRequest &request);
    HttpResponse handleOrder(const HttpRequest &request);
    HttpResponse handleControl(const HttpRequest &request);
    HttpResponse reportExecutions();
    bool servesModel(const std::string &model);

    const ModelEngineOptions m_options;
    std::mutex m_ordersMutex; //!< Guards the members up to m_highestFencingNumber.
    std::vector<std::string> m_models;
    std::string m_role;
    std::int64_t m_highestFencingNumber = 0;
    std::atomic<bool> m_leaving {false};
    std::atomic<std::uint64_t> m_nextId {1};
    EngineScheduler m_scheduler;
};

} // namespace sesame
