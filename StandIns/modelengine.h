#pragma once

#include "Core/nodesettings.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace sesame {

struct ModelEngineOptions
{
    Endpoint address;
    std::size_t slotCount = 8;
    double tokenMillis = 20.0; //!< Interval between two tokens of a stream.
    double prefillTokensPerSecond = 8000.0;
    std::string instance = "engine";
    std::uint64_t incarnation = 1;
    std::vector<std::string> models; //!< Served models. If empty, all models are served.
    std::size_t cacheBlocks = 4096;
    std::chrono::milliseconds maxLoadReportAge {200}; //!< Age that a load report can have.
    std::chrono::milliseconds cacheEventDelay {500};
    bool checksFencingNumbers = true;
};

/*!
    Serves the model engine's interface until SIGTERM or SIGINT arrives. Returns the exit code.
*/
int runModelEngine(const ModelEngineOptions &options);

} // namespace sesame
