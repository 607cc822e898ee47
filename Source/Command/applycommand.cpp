#include "Adapter/objectserviceclient.h"
#include "Core/sesamecore.h"
#include "commands.h"
#include "operatorclient.h"
#include "textfile.h"

#include <absl/flags/flag.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <random>
#include <thread>

ABSL_FLAG(std::string, store, "", "Base URL of the platform's object service.");
ABSL_FLAG(std::uint64_t, base, 0,
          "Version on which the file is based; 0 means the version in the store.");
ABSL_FLAG(unsigned, wait_seconds, 5, "Time to wait for the nodes' confirmation, in seconds.");
ABSL_FLAG(bool, without_nodes, false,
          "Applies the file even if the store has a document and no node answers. This is unsafe "
          "after the store was restored, because the nodes may hold a newer document and keep it.");

namespace sesame {

namespace {

constexpr std::chrono::milliseconds pollInterval {250};
constexpr std::chrono::milliseconds readBackInterval {500};

std::string makeApplyId()
{
    std::random_device device;
    char buf[33];
    std::snprintf(buf, sizeof(buf), "%08x%08x%08x%08x", device(), device(), device(), device());
    return buf;
}

int toExitCode(ApplyStatus status)
{
    switch (status) {
    case ApplyStatus::Accepted:
    case ApplyStatus::AlreadyInForce:
        return ExitSuccess;
    case ApplyStatus::Refused:
        return ExitUsage;
    case ApplyStatus::Conflict:
        return ExitConflict;
    case ApplyStatus::Unavailable:
    case ApplyStatus::Unknown:
        return ExitFailure;
    }
    return ExitFailure;
}

void printRefusal(const ApplyResult &result)
{
    const std::string name(toString(result.code));
    std::fprintf(stderr, "%s\nnot applied: %d %s\n", result.reason.c_str(),
                 static_cast<int>(result.code), name.c_str());
    if (!result.difference.empty())
        std::fprintf(stderr, "lines in the store (-) and in the file (+):\n%s",
                     result.difference.c_str());
}

bool isConfirmed(const std::string &node, std::uint64_t version)
{
    const std::optional<NodeStatus> status = queryNodeStatus(node);
    return status && status->fleetVersion >= version && status->confirmation == "confirmed";
}

/*!
    Waits until all nodes have confirmed \a version or --wait_seconds have passed, and prints the
    result for each node. Returns whether all nodes have confirmed it.
*/
bool waitForNodes(std::vector<std::string> waiting, std::uint64_t version)
{
    const auto start = std::chrono::steady_clock::now();
    const auto deadline = start + std::chrono::seconds(absl::GetFlag(FLAGS_wait_seconds));
    while (true) {
        std::erase_if(waiting, [version](const std::string &node) {
            const bool confirmed = isConfirmed(node, version);
            if (confirmed)
                std::printf("%s: confirmed\n", node.c_str());
            return confirmed;
        });
        if (waiting.empty() || std::chrono::steady_clock::now() >= deadline)
            break;
        std::this_thread::sleep_for(pollInterval);
    }
    for (const std::string &node : waiting)
        std::printf("%s: not confirmed\n", node.c_str());
    return waiting.empty();
}

/*!
    Returns the highest version of the fleet document that any of \a nodes reports, or std::nullopt
    if no node answers.
*/
std::optional<std::uint64_t> queryHighestVersion(const std::vector<std::string> &nodes)
{
    std::optional<std::uint64_t> highest;
    for (const std::string &node : nodes) {
        if (const std::optional<NodeStatus> status = queryNodeStatus(node))
            highest = std::max(highest.value_or(0), status->fleetVersion);
    }
    return highest;
}

int publish(ApplyRequest request, const std::vector<std::string> &nodes)
{
    ObjectServiceClient store({.url = absl::GetFlag(FLAGS_store)});
    const std::optional<std::uint64_t> highest = queryHighestVersion(nodes);
    if (!highest && !absl::GetFlag(FLAGS_without_nodes)
        && store.read(fleetObjectKey).status != StoreStatus::NotFound) {
        std::fputs("sesameproxy: no node answers; see --without_nodes\n", stderr);
        return ExitFailure;
    }
    request.highestNodeVersion = highest.value_or(0);
    FleetPublisher<ObjectServiceClient> publisher(store, [] {
        std::this_thread::sleep_for(readBackInterval);
    });
    const ApplyResult result = publisher.apply(request);
    const int exitCode = toExitCode(result.status);
    if (exitCode != ExitSuccess) {
        printRefusal(result);
        return exitCode;
    }
    const bool unchanged = result.status == ApplyStatus::AlreadyInForce;
    std::printf("%s version %llu\n", unchanged ? "already in the store as" : "accepted as",
                static_cast<unsigned long long>(result.version));
    std::fflush(stdout);
    return waitForNodes(nodes, result.version) ? ExitSuccess : ExitFailure;
}

int runApplyCommand(std::span<const std::string> arguments)
{
    const std::string &path = arguments[0];
    if (!absl::GetFlag(FLAGS_store).starts_with("http://")) {
        std::fputs("sesameproxy: apply needs --store http://IP:PORT\n", stderr);
        return ExitUsage;
    }
    const std::vector<std::string> nodes = readNodesFlag();
    if (nodes.empty())
        return ExitUsage;
    const std::optional<std::string> text = readTextFile(path);
    if (!text)
        return ExitUsage;
    ApplyRequest request {.fleetFile = *text, .fileName = path, .applyId = makeApplyId()};
    if (const std::uint64_t base = absl::GetFlag(FLAGS_base); base > 0)
        request.baseVersion = base;
    return publish(std::move(request), nodes);
}

} // namespace

Command applyCommand()
{
    return {.name = "apply",
            .synopsis = "FILE --store URL --nodes IP:PORT,... [--base VERSION] [--wait_seconds N] "
                        "[--without_nodes]",
            .help
            = "Checks a fleet file, writes it to the object service and prints which nodes have "
              "confirmed it.\nExit codes: 0 if all nodes have confirmed it; 1 if it was "
              "accepted but a node has not\nconfirmed it in time, or if it is unknown "
              "whether it was accepted; 2 if it was refused;\n3 if another operator has "
              "changed the document since the base version.\n",
            .argumentCount = 1,
            .flags = {"store", "nodes", "base", "wait_seconds", "without_nodes"},
            .run = runApplyCommand};
}

} // namespace sesame
