#include "Core/sesamecore.h"
#include "commands.h"
#include "operatorclient.h"

#include <cstdio>

namespace sesame {

namespace {

int runStatusCommand(std::span<const std::string> /*arguments*/)
{
    const std::vector<std::string> nodes = readNodesFlag();
    if (nodes.empty())
        return ExitUsage;
    int exitCode = ExitSuccess;
    for (const std::string &node : nodes) {
        const std::optional<NodeStatus> status = queryNodeStatus(node);
        std::printf("%s %s\n", node.c_str(),
                    status ? escapeControls(status->json).c_str() : "no answer");
        if (!status || status->confirmation != "confirmed")
            exitCode = ExitFailure;
    }
    return exitCode;
}

} // namespace

Command statusCommand()
{
    return {.name = "status",
            .synopsis = "--nodes IP:PORT,...",
            .help = "Prints the status of each node as JSON. Exits with 1 unless every node "
                    "answers\nwith the confirmation \"confirmed\".\n",
            .argumentCount = 0,
            .flags = {"nodes"},
            .run = runStatusCommand};
}

} // namespace sesame
