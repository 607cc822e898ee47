#include "Core/sesamecore.h"
#include "commands.h"
#include "operatorclient.h"

#include <absl/flags/flag.h>

#include <cstdio>

ABSL_FLAG(std::string, node, "", "Operator address of the node, IP:PORT.");

namespace sesame {

namespace {

int runDrainCommand(std::span<const std::string> /*arguments*/)
{
    const std::string node = absl::GetFlag(FLAGS_node);
    if (!parseEndpoint(node)) {
        std::fprintf(stderr, "sesameproxy: --node: found \"%s\", allowed: IP:PORT\n", node.c_str());
        return ExitUsage;
    }
    if (!sendOperatorRequest(node, "POST", "/v1/drain")) {
        std::fprintf(stderr, "%s: not drained: %s\n", node.c_str(), lastReason().text.c_str());
        return ExitFailure;
    }
    std::printf("%s: draining\n", node.c_str());
    return ExitSuccess;
}

} // namespace

Command drainCommand()
{
    return {.name = "drain",
            .synopsis = "--node IP:PORT",
            .help = "Tells a node to shut down gracefully: it is removed from the entry list, "
                    "completes its\nrequests in progress and exits. The command does not wait "
                    "for the exit.\n",
            .argumentCount = 0,
            .flags = {"node"},
            .run = runDrainCommand};
}

} // namespace sesame
