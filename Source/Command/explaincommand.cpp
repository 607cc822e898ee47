#include "Adapter/requesttimeline.h"
#include "commands.h"

#include <cstdio>

namespace sesame {

namespace {

int runExplainCommand(std::span<const std::string> arguments)
{
    RequestTimeline timeline(arguments[0]);
    for (const std::string &path : arguments.subspan(1)) {
        if (timeline.addLog(path))
            continue;
        std::fprintf(stderr, "%s: cannot be read\n", path.c_str());
        return ExitUsage;
    }
    if (timeline.isEmpty()) {
        std::fprintf(stderr, "request %s: not found in the given logs\n", arguments[0].c_str());
        return ExitFailure;
    }
    std::fputs(timeline.format().c_str(), stdout);
    return ExitSuccess;
}

} // namespace

Command explainCommand()
{
    return {.name = "explain",
            .synopsis = "ID LOG...",
            .help = "Prints the history of the request ID, from the logs of one or more platform "
                    "nodes.\nLines of the request begin with an asterisk; the other lines show "
                    "what its nodes logged\nabout its engines, the configuration and the store "
                    "at about the same time.\nExits with 1 if the request is not found in any "
                    "log.\n",
            .argumentCount = 2,
            .acceptsMoreArguments = true,
            .flags = {},
            .run = runExplainCommand};
}

} // namespace sesame
