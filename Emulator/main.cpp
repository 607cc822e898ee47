#include "emulatedplatform.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <cstdio>
#include <fstream>

ABSL_FLAG(int, first_port, 21000, "First loopback port.");
ABSL_FLAG(int, nodes, 7, "Number of nodes for which settings files are written.");
ABSL_FLAG(std::string, settings_directory, ".", "Directory of the node-N.yaml settings files.");

int main(int argc, char *argv[])
{
    absl::SetProgramUsageMessage("Emulates the platform with two services on loopback addresses.");
    absl::ParseCommandLine(argc, argv);
    boost::asio::io_context context(1);
    sesame::EmulatedPlatform platform(context,
                                      static_cast<std::uint16_t>(absl::GetFlag(FLAGS_first_port)));
    for (int n = 1; n <= absl::GetFlag(FLAGS_nodes); ++n) {
        const std::string directory = absl::GetFlag(FLAGS_settings_directory);
        std::ofstream(directory + "/node-" + std::to_string(n) + ".yaml")
                << platform.formatSettings(n);
    }
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const auto &, int) {
        context.stop();
    });
    context.run();
    std::printf("windows reported: %zu, violations: %zu\n", platform.duties.windowCount(),
                platform.duties.violations().size());
    return platform.duties.violations().empty() ? 0 : 1;
}
