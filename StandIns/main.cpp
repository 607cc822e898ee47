#include "Core/nodesettingsfile.h"
#include "applicationengine.h"
#include "callercommand.h"
#include "cloud.h"
#include "modelengine.h"
#include "objectservice.h"
#include "termination.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <array>
#include <cstdio>

ABSL_FLAG(std::string, address, "127.0.0.1:9000", "IP:PORT to listen on");
ABSL_FLAG(std::string, instance, "engine", "instance id of this process");
ABSL_FLAG(std::uint64_t, incarnation, 1, "incarnation of this process");
ABSL_FLAG(std::uint32_t, slots, 8, "engine: maximum number of running requests");
ABSL_FLAG(double, token_ms, 20.0, "engine: milliseconds between tokens of a stream");
ABSL_FLAG(double, prefill_tokens_per_s, 8000.0, "engine: prompt tokens computed per second");
ABSL_FLAG(std::vector<std::string>, models, {}, "engine: models served, all if empty");
ABSL_FLAG(std::uint32_t, cache_blocks, 4096, "engine: prompt blocks kept in the prefix cache");
ABSL_FLAG(std::uint32_t, load_lag_ms, 200, "engine: maximum age of a load report in milliseconds");
ABSL_FLAG(std::uint32_t, cache_event_delay_ms, 500,
          "engine: delay of cache events in milliseconds");
ABSL_FLAG(std::string, fencing, "checked",
          "engine: fencing numbers in orders are checked or ignored");

namespace {

using namespace sesame;

constexpr int usageExitCode = 2;

struct CommandLine
{
    Endpoint address;
    std::string_view argument; //!< Argument after the command, for example "chat".
};

int runEngineCommand(const CommandLine &line)
{
    return runModelEngine(
            {.address = line.address,
             .slotCount = absl::GetFlag(FLAGS_slots),
             .tokenMillis = absl::GetFlag(FLAGS_token_ms),
             .prefillTokensPerSecond = absl::GetFlag(FLAGS_prefill_tokens_per_s),
             .instance = absl::GetFlag(FLAGS_instance),
             .incarnation = absl::GetFlag(FLAGS_incarnation),
             .models = absl::GetFlag(FLAGS_models),
             .cacheBlocks = absl::GetFlag(FLAGS_cache_blocks),
             .maxLoadReportAge = std::chrono::milliseconds(absl::GetFlag(FLAGS_load_lag_ms)),
             .cacheEventDelay = std::chrono::milliseconds(
                     absl::GetFlag(FLAGS_cache_event_delay_ms)),
             .checksFencingNumbers = absl::GetFlag(FLAGS_fencing) == "checked"});
}

int runCallerSubcommand(const CommandLine &line)
{
    if (line.argument == "chat" || line.argument == "app")
        return runCallerCommand(line.argument == "app");
    std::fprintf(stderr, "usage: sesamestandins caller chat|app ...\n");
    return usageExitCode;
}

int runObjectServiceCommand(const CommandLine &line)
{
    return runObjectService({.address = line.address});
}

int runCloudCommand(const CommandLine &line)
{
    return runCloud({.address = line.address});
}

int runApplicationCommand(const CommandLine &line)
{
    return runApplicationEngine({.address = line.address});
}

struct Command
{
    std::string_view name;
    int (*run)(const CommandLine &line);
};

constexpr std::array commands {
        Command {"objectservice", runObjectServiceCommand},
        Command {"cloud", runCloudCommand},
        Command {"engine", runEngineCommand},
        Command {"application", runApplicationCommand},
        Command {"caller", runCallerSubcommand},
};

} // namespace

int main(int argc, char *argv[])
{
    const std::vector<char *> words = absl::ParseCommandLine(argc, argv);
    const std::string_view name = words.size() > 1 ? words[1] : "";
    const auto address = parseEndpoint(absl::GetFlag(FLAGS_address));
    if (!address) {
        std::fprintf(stderr, "--address: expected IP:PORT, found %s\n",
                     absl::GetFlag(FLAGS_address).c_str());
        return usageExitCode;
    }
    for (const Command &command : commands) {
        if (command.name == name)
            return command.run({.address = *address, .argument = words.size() > 2 ? words[2] : ""});
    }
    std::fprintf(stderr, "usage: sesamestandins COMMAND [--address IP:PORT] ...; commands:");
    for (const Command &command : commands)
        std::fprintf(stderr, " %.*s", static_cast<int>(command.name.size()), command.name.data());
    std::fprintf(stderr, "\n");
    return usageExitCode;
}
