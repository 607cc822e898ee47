#include "Adapter/log.h"
#include "Core/sesamecore.h"
#include "Http/clientmemory.h"
#include "Serving/sesameserving.h"
#include "commands.h"
#include "sesameplatform.h"
#include "textfile.h"

#include <csignal>
#include <cstdio>

namespace sesame {

namespace {

/*!
    Blocks or unblocks the signals that ServingNode handles. Before it handles them and after its
    end, their default action would kill the process; blocked ones wait.
*/
void setSignalsBlocked(bool isBlocked)
{
    sigset_t signals;
    sigemptyset(&signals);
    for (const int signal : {SIGTERM, SIGINT, SIGHUP})
        sigaddset(&signals, signal);
    pthread_sigmask(isBlocked ? SIG_BLOCK : SIG_UNBLOCK, &signals, nullptr);
}

int runServePlatformCommand(std::span<const std::string> /*arguments*/)
{
    setSignalsBlocked(true);
    // A reader of the log that goes away must not end the node.
    std::signal(SIGPIPE, SIG_IGN);
    const std::optional<std::string> path = platform::settingsPath();
    if (!path) {
        std::fputs("sesameproxy: the platform's environment variable for the settings file is not "
                   "set\n",
                   stderr);
        return ExitUsage;
    }
    const std::optional<std::string> text = readTextFile(*path);
    if (!text)
        return ExitUsage;
    std::vector<SettingsError> errors;
    const std::optional<ServingSettings> settings = platform::readSettings(*text, *path, errors);
    printErrors(errors);
    if (!settings)
        return ExitUsage;
    if (settings->memoryLimitBytes > 0)
        limitAllocatorSlack();
    initializeQueuedLog("info", settings->node);
    asio::io_context context(1);
    ServingNode node(context, *settings, platform::makeEnvironment(context, *settings));
    if (const std::optional<std::string> reason = node.start()) {
        logEvent(LogLevel::Error, "node.failed", {{"reason", *reason}});
        finishQueuedLog();
        return ExitFailure;
    }
    setSignalsBlocked(false);
    context.run();
    setSignalsBlocked(true);
    finishQueuedLog();
    return ExitSuccess;
}

} // namespace

Command servePlatformCommand()
{
    return {.name = "serve-platform",
            .synopsis = "",
            .help
            = "Runs a node on the platform until it receives SIGTERM. The platform passes the path "
              "of the settings file in an environment variable.\n",
            .argumentCount = 0,
            .flags = {},
            .run = runServePlatformCommand};
}

} // namespace sesame
