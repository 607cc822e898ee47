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
        std::fprintf(stderr, "request %s: no line in the given logs\n", arguments[0].c_str());
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
            .help = "Prints what became of the request ID, from the logs of one or more platform "
                    "nodes.\nLines of the request begin with a star; the others tell what its "
                    "nodes learned\nof its engines, the configuration and the store near it in "
                    "time.\nExit code 1 if no log has a line of the request.\n",
            .argumentCount = 2,
            .acceptsMoreArguments = true,
            .flags = {},
            .run = runExplainCommand};
}

} // namespace sesame
