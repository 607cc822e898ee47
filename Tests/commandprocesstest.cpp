#include "Adapter/sesameadapter.h"
#include "Core/sesamecore.h"
#include "support/fleetfiles.h"

#include <criterion/criterion.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <string>

#include <sys/wait.h>
#include <unistd.h>

using namespace sesame;

namespace {

// Criterion runs the tests of a program concurrently, so each test has its own ports.
constexpr std::uint16_t applyStorePort = 18951;
constexpr std::uint16_t applyNodePort = 18952;
constexpr std::uint16_t statusNodePort = 18953;

std::string formatAddress(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

struct Result
{
    int exitCode = -1;
    std::string output; //!< Standard output and standard error.
};

Result runProgram(const std::string &arguments)
{
    const std::string line = std::string(SESAMEPROXY_BINARY) + " " + arguments + " 2>&1";
    std::FILE *pipe = popen(line.c_str(), "r");
    cr_assert_not_null(pipe);
    Result result;
    char buf[4096];
    for (std::size_t n = 0; (n = std::fread(buf, 1, sizeof(buf), pipe)) > 0;)
        result.output.append(buf, n);
    const int status = pclose(pipe);
    result.exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return result;
}

void expectRun(const std::string &arguments, int exitCode, const std::string &text)
{
    const Result result = runProgram(arguments);
    cr_expect_eq(result.exitCode, exitCode, "%s: exit code %d\n%s", arguments.c_str(),
                 result.exitCode, result.output.c_str());
    cr_expect(result.output.find(text) != std::string::npos, "%s: no \"%s\" in:\n%s",
              arguments.c_str(), text.c_str(), result.output.c_str());
}

/*!
    A temporary file that the destructor removes.
*/
class TemporaryFile
{
public:
    explicit TemporaryFile(const std::string &text)
        : m_path(std::filesystem::temp_directory_path()
                 / ("commandprocesstest." + std::to_string(getpid()) + "."
                    + std::to_string(nextNumber++) + ".toml"))
    {
        std::ofstream(m_path) << text;
    }

    ~TemporaryFile() { std::remove(m_path.c_str()); }

    TemporaryFile(const TemporaryFile &) = delete;
    TemporaryFile &operator=(const TemporaryFile &) = delete;

    const std::string &path() const { return m_path; }

private:
    static inline int nextNumber = 0;
    std::string m_path;
};

/*!
    Request handlers of an object service and of the operator address of a node that adopts every
    fleet document.
*/
struct FakeServers
{
    std::mutex mutex;
    std::string value;
    std::uint64_t version = 0;
    std::uint64_t nodeLag = 0; //!< Number of versions by which the node is behind the store.
    std::uint64_t nodeLead = 0; //!< Number of versions by which the node is ahead of the store.
    bool losesResponses = false; //!< Writes take effect, but the response has status 504.

    HttpResponse serveStore(const HttpRequest &request)
    {
        const std::lock_guard lock(mutex);
        const bool isWrite = request.method == "PUT";
        const bool isCurrent = request.header("If-Version") == std::to_string(version);
        if (isWrite && isCurrent) {
            value = request.body;
            ++version;
        }
        HttpResponse response;
        response.headers = {{"X-Version", std::to_string(version)}};
        if (isWrite)
            response.status = !isCurrent ? 409 : losesResponses ? 504 : 200;
        else if (version == 0)
            response.status = 404;
        else
            response.body = value;
        return response;
    }

    HttpResponse serveNode(const HttpRequest &request)
    {
        const std::lock_guard lock(mutex);
        HttpResponse response;
        if (request.path == "/v1/drain")
            response.status = request.method == "POST" ? 200 : 404;
        else if (request.path == "/v1/burn")
            response.body = R"({"rows":[]})";
        else
            response.body = "{\"fleet_version\":" + std::to_string(version - nodeLag + nodeLead)
                    + ",\"confirmation\":\"confirmed\"}";
        return response;
    }
};

HttpServer startServer(std::uint16_t port, HttpServer::Handler handler)
{
    auto server = HttpServer::start({.address = {.host = "127.0.0.1", .port = port}},
                                    std::move(handler));
    cr_assert(server.has_value(), "port %d: %s", port, lastReason().text.c_str());
    return std::move(*server);
}

} // namespace

// Guards against a usage error that a calling script takes for success.
Test(command, usageErrorsExitWithTwo)
{
    expectRun("", 2, "Usage:");
    expectRun("start", 2, "unknown command start");
    expectRun("check", 2, "usage: sesameproxy check FILE");
    expectRun("check --json x", 2, "unknown flag --json");
    expectRun("apply f --wait_seconds=x", 2, "--wait_seconds");
    expectRun("apply f --store", 2, "--store needs a value");
    expectRun("apply f --store http://127.0.0.1:1", 2, "--nodes IP:PORT,... is required");
    expectRun("status --nodes localhost:1", 2, "found \"localhost:1\"");
    expectRun("drain --node x", 2, "found \"x\"");
    expectRun("serve", 2, "--settings");
    expectRun("--version", 0, "sesameproxy ");
}

// Guards against a command without help, and against help that omits a flag.
Test(command, everyCommandHasHelp)
{
    for (const char *command : {"serve", "check", "apply", "status", "drain", "report burn"})
        expectRun(std::string(command) + " --help", 0,
                  std::string("Usage: sesameproxy ") + command);
    expectRun("apply --help", 0, "--wait_seconds");
}

// Guards against platform settings that make a node fail later, such as a usage window of no
// length, by which it divides.
Test(command, checkFindsPlatformSettingsOutOfRange)
{
    const std::string file = std::filesystem::temp_directory_path()
            / ("sesamecheck" + std::to_string(getpid()) + ".yaml");
    std::ofstream(file)
            << "nodeName: \"n\"\nzone: \"z\"\nlisten:\n  frontend: \"127.0.0.1:1\"\n"
               "  readiness: \"127.0.0.1:2\"\n  directory: \"127.0.0.1:3\"\ninternalPorts: [4, 5]\n"
               "bounds:\n  reportWindowS: 0\n  graceS: .nan\n  leaseMs: -5\n"
               "  retryBudgetRatio: -0.1\nplatform:\n  address: \"127.0.0.1:6\"\n"
               "cloud:\n  address: \"127.0.0.1:7\"\n";
    expectRun("check " + file, 2, "bounds.reportWindowS: found 0");
    expectRun("check " + file, 2, "bounds.graceS: found nan");
    expectRun("check " + file, 2, "bounds.leaseMs: found -5");
    expectRun("check " + file, 2, "bounds.retryBudgetRatio: found -0.1");
    expectRun("check " + file, 2, "errors in platform settings: 4");
    std::filesystem::remove(file);
}

// Guards against a file that check accepts but serve or apply rejects, and the reverse.
Test(command, checkPrintsEveryError)
{
    const std::string examples = PROJECT_DIRECTORY "/examples/";
    expectRun("check " + examples + "nunkapok.toml", 0, "valid fleet file");
    expectRun("check " + examples + "mimefest.toml", 0, "valid fleet file");
    expectRun("check " + examples + "node.toml", 0, "valid node settings");
    expectRun("check /none", 2, "cannot be read");
    const TemporaryFile file("[fleet]\nname = 1\nzones = [\"a\"]\ncolour = 2\n");
    expectRun("check " + file.path(), 2, ":2: fleet.name: found 1");
    expectRun("check " + file.path(), 2, ":4: fleet.colour: found an unknown key");
    expectRun("serve --settings " + file.path(), 2, "found an unknown key");
}

// Guards against a wrong result of the apply command at any step, from reading the file to the
// nodes' confirmation.
Test(command, applyReportsTheActualResult)
{
    FakeServers servers;
    const std::string nodeAddress = formatAddress(applyNodePort);
    const std::string storeUrl = "http://" + formatAddress(applyStorePort);
    const HttpServer store = startServer(applyStorePort, [&](const HttpRequest &request) {
        return servers.serveStore(request);
    });
    const HttpServer node = startServer(applyNodePort, [&](const HttpRequest &request) {
        return servers.serveNode(request);
    });
    const TemporaryFile first(makeFleetFile(10, "first"));
    const TemporaryFile second(makeFleetFile(11, "second"));
    const TemporaryFile invalid("[fleet]\n");
    const std::string flags = " --store " + storeUrl + " --nodes " + nodeAddress;

    expectRun("apply " + invalid.path() + flags, 2, "1500 invalid_settings");
    cr_expect_eq(servers.version, 0);
    expectRun("apply " + first.path() + flags, 0, nodeAddress + ": confirmed");
    expectRun("apply " + first.path() + flags, 0, "already in the store as version 1");
    expectRun("apply " + second.path() + flags + " --base 7", 3, "+ capacity_limit = 11 # second");
    servers.nodeLead = 3;
    expectRun("apply " + second.path() + flags, 1, "1503 configuration_outdated");
    servers.nodeLead = 0;
    servers.losesResponses = true;
    expectRun("apply " + second.path() + flags + " --base=1", 0, "accepted as version 2");
    servers.losesResponses = false;
    expectRun("apply " + first.path() + flags, 2, "1502 capacity_limit_lowered");
    servers.nodeLag = 1;
    const TemporaryFile third(makeFleetFile(12, "third"));
    expectRun("apply " + third.path() + flags + " --wait_seconds 1", 1,
              nodeAddress + ": not confirmed");
    cr_expect_eq(decodeFleetDocument(servers.value)->version, 3);
    expectRun("apply " + third.path() + " --store " + storeUrl + " --nodes 127.0.0.1:1", 1,
              "no node answers");
    expectRun("apply " + third.path() + " --store http://127.0.0.1:1 --nodes " + nodeAddress, 1,
              "1203 store_unavailable");
}

// Guards against a command that reports success although a node does not respond.
Test(command, nodeCommandsReportUnresponsiveNodes)
{
    FakeServers servers;
    const std::string nodeAddress = formatAddress(statusNodePort);
    const HttpServer node = startServer(statusNodePort, [&](const HttpRequest &request) {
        return servers.serveNode(request);
    });
    expectRun("status --nodes " + nodeAddress, 0, "\"confirmation\":\"confirmed\"");
    expectRun("status --nodes " + nodeAddress + ",127.0.0.1:1", 1, "127.0.0.1:1 no answer");
    expectRun("drain --node " + nodeAddress, 0, "draining");
    expectRun("drain --node 127.0.0.1:1", 1, "not drained");
    expectRun("report burn --nodes " + nodeAddress, 0, "burn rate");
    expectRun("report burn --json --nodes " + nodeAddress + ",127.0.0.1:1", 1, "{\"rows\":[]}");
}
