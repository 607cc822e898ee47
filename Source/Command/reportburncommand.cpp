#include "Adapter/sesameadapter.h"
#include "Core/sesamecore.h"
#include "commands.h"
#include "operatorclient.h"

#include <absl/flags/flag.h>

#include <cstdio>

ABSL_FLAG(bool, json, false, "Prints JSON instead of a table.");

namespace sesame {

namespace {

int runReportBurnCommand(std::span<const std::string> /*arguments*/)
{
    const std::vector<std::string> nodes = readNodesFlag();
    if (nodes.empty())
        return ExitUsage;
    BurnReport total;
    int exitCode = ExitSuccess;
    for (const std::string &node : nodes) {
        const std::optional<std::string> body = sendOperatorRequest(node, "GET", "/v1/burn");
        const std::optional<BurnReport> report = body ? parseBurnReport(*body) : std::nullopt;
        if (report) {
            mergeBurnReport(total, *report);
            continue;
        }
        std::fprintf(stderr, "%s: not included: %s\n", node.c_str(), lastReason().text.c_str());
        exitCode = ExitFailure;
    }
    const std::string text = absl::GetFlag(FLAGS_json) ? dumpBurnReport(total) + "\n"
                                                       : formatBurnReport(total);
    std::fputs(text.c_str(), stdout);
    return exitCode;
}

} // namespace

Command reportBurnCommand()
{
    return {.name = "report burn",
            .synopsis = "--nodes IP:PORT,... [--json]",
            .help = "Prints how fast each rank and route consumes its error budget, summed over "
                    "the nodes.\nExits with 1 if a node does not answer; the report does not "
                    "include it then.\n",
            .argumentCount = 0,
            .flags = {"nodes", "json"},
            .run = runReportBurnCommand};
}

} // namespace sesame
