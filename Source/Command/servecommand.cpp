#include "Core/sesamecore.h"
#include "Http/clientmemory.h"
#include "Node/entrynode.h"
#include "commands.h"
#include "textfile.h"

#include <absl/flags/flag.h>

#include <cstdio>

ABSL_FLAG(std::string, settings, "", "Path of the node's settings file.");

namespace sesame {

namespace {

int runServeCommand(std::span<const std::string> /*arguments*/)
{
    const std::string path = absl::GetFlag(FLAGS_settings);
    if (path.empty()) {
        std::fputs("sesameproxy: serve needs --settings FILE\n", stderr);
        return ExitUsage;
    }
    const std::optional<std::string> text = readTextFile(path);
    if (!text)
        return ExitUsage;
    std::vector<SettingsError> errors;
    const std::optional<NodeSettings> settings = parseNodeSettings(*text, path, errors);
    printErrors(errors);
    if (!settings)
        return ExitUsage;
    limitAllocatorSlack();
    return runEntryNode(*settings);
}

} // namespace

Command serveCommand()
{
    return {.name = "serve",
            .synopsis = "--settings FILE",
            .help = "Runs an entry node until it receives SIGTERM or a drain request.\n",
            .argumentCount = 0,
            .flags = {"settings"},
            .run = runServeCommand};
}

} // namespace sesame
