#include "modelengine.h"

#include "Adapter/httpserver.h"
#include "Core/lastreason.h"
#include "enginehandler.h"
#include "termination.h"

#include <cstdio>

namespace sesame {

int runModelEngine(const ModelEngineOptions &options)
{
    blockTerminationSignals();
    EngineHandler handler(options);
    constexpr std::size_t maxImportBytes = 16U << 20U;
    const auto server = HttpServer::start(
            {.address = options.address, .bodyLimitBytes = maxImportBytes},
            [&handler](const HttpRequest &request) {
                return handler.handle(request);
            });
    if (!server) {
        std::fprintf(stderr, "model engine: %s\n", lastReason().text.c_str());
        return 1;
    }
    waitForTermination();
    return 0;
}

} // namespace sesame
