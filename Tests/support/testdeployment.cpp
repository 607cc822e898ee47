#include "support/testdeployment.h"

#include "Adapter/backendclient.h"
#include "Adapter/json.h"

#include <unistd.h>

#include <array>
#include <cstdlib>
#include <filesystem>
#include <regex>

namespace sesame::test {

namespace {

constexpr std::array<const char *, 4> zones {"pathum-a", "pathum-b", "nonthaburi", "ayutthaya"};
constexpr int startTimeoutMillis = 10'000;
constexpr int pollMillis = 50;
constexpr int firstNetwork = 64; // 127.64.0.0 and above, apart from the addresses of the demo.
constexpr int networkCount = 190;
constexpr const char *accountKey = "nunkapok-hotel-key";

bool waitForUrl(const std::string &url, int timeoutMillis)
{
    for (int waited = 0; waited < timeoutMillis; waited += pollMillis) {
        if (callUrl("GET", url, {}, {}, 1000).status == 200)
            return true;
        sleepMillis(pollMillis);
    }
    return false;
}

std::string joinWith(const std::vector<std::string> &parts, const std::string &separator)
{
    std::string text;
    for (const std::string &part : parts)
        text += (text.empty() ? "" : separator) + part;
    return text;
}

void require(bool holds, const std::string &text)
{
    if (holds)
        return;
    std::fprintf(stderr, "test deployment: %s\n", text.c_str());
    std::abort();
}

std::string instanceJson(const TestDeployment::Backend &backend, const std::string &kind,
                         const std::string &className, const std::string &service)
{
    return R"({"id":")" + backend.id + R"(","incarnation":1,"kind":")" + kind + R"(","class":")"
            + className + R"(","service":")" + service + R"(","address":")" + backend.url
            + R"(","zone":")" + backend.zone
            + R"(","market":"reclaimable","price_per_hour":2.0,"state":"running"})";
}

} // namespace

TestDeployment::TestDeployment(const TestDeploymentOptions &options) : m_options(options)
{
    std::string pattern = (std::filesystem::temp_directory_path() / "sesametestXXXXXX").string();
    require(mkdtemp(pattern.data()) != nullptr, "no temporary directory");
    m_directory = pattern;
    m_network = "127." + std::to_string(firstNetwork + getpid() % networkCount);
    writeFleetFile();
    startPlatform();
    startBackends();
    for (int n = 0; n < m_options.nodes; ++n) {
        const std::size_t zone = static_cast<std::size_t>(n) % zones.size();
        m_nodes.push_back({.name = "entry-" + std::to_string(n + 1),
                           .zone = zones[zone],
                           .host = m_network + "." + std::to_string(zone + 1) + "."
                                   + std::to_string(11 + n)});
        writeNodeSettings(m_nodes.back());
        startNode(static_cast<std::size_t>(n));
    }
    for (const Node &node : m_nodes)
        require(waitForUrl("http://" + node.operatorAddress() + "/v1/status", startTimeoutMillis),
                node.name + " does not start");
    require(apply(fleetFile(), {"--without_nodes", "--wait_seconds=10"}) == 0, "apply failed");
    require(waitUntilServing(1, startTimeoutMillis), "the nodes do not serve");
}

TestDeployment::~TestDeployment()
{
    if (!std::getenv("SESAME_KEEP_LOGS"))
        std::filesystem::remove_all(m_directory);
}

void TestDeployment::writeFleetFile()
{
    std::string text = readFile(PROJECT_DIRECTORY "/examples/nunkapok.toml");
    text = std::regex_replace(text, std::regex("entry_ttl_seconds = \\d+"),
                              "entry_ttl_seconds = 2");
    text = std::regex_replace(text, std::regex("capacity_limit = \\d+"),
                              "capacity_limit = " + std::to_string(m_options.capacityLimit));
    writeFile(fleetFile(), text);
}

void TestDeployment::startPlatform()
{
    const std::string host = m_network + ".0.1";
    m_storeUrl = "http://" + host + ":7001";
    m_cloudUrl = "http://" + host + ":7002";
    m_processes.start({STANDINS_BINARY, "objectservice", "--address=" + host + ":7001"},
                      logFile("objectservice"));
    m_processes.start({STANDINS_BINARY, "cloud", "--address=" + host + ":7002"}, logFile("cloud"));
    require(waitForUrl(m_storeUrl + "/v1/list?prefix=x", startTimeoutMillis), "no object service");
    require(waitForUrl(m_cloudUrl + "/v1/instances", startTimeoutMillis), "no cloud");
}

void TestDeployment::startBackends()
{
    for (int n = 0; n < m_options.engines; ++n) {
        const std::size_t zone = static_cast<std::size_t>(n) % zones.size();
        const std::string address = m_network + "." + std::to_string(zone + 1) + "."
                + std::to_string(50 + n) + ":9000";
        Backend engine {.id = "engine-" + std::to_string(n + 1),
                        .zone = zones[zone],
                        .url = "http://" + address};
        std::vector<std::string> command {STANDINS_BINARY,
                                          "engine",
                                          "--address=" + address,
                                          "--instance=" + engine.id,
                                          "--slots=" + std::to_string(m_options.slots),
                                          "--token_ms=" + std::to_string(m_options.tokenMillis)};
        command.insert(command.end(), m_options.engineArguments.begin(),
                       m_options.engineArguments.end());
        engine.pid = m_processes.start(command, logFile(engine.id));
        m_engines.push_back(engine);
    }
    for (int n = 0; n < m_options.applications; ++n) {
        const std::size_t zone = static_cast<std::size_t>(n) % zones.size();
        const std::string address = m_network + "." + std::to_string(zone + 1) + "."
                + std::to_string(90 + n) + ":9100";
        Backend application {.id = "application-" + std::to_string(n + 1),
                             .zone = zones[zone],
                             .url = "http://" + address};
        application.pid = m_processes.start(
                {STANDINS_BINARY, "application", "--address=" + address}, logFile(application.id));
        m_applications.push_back(application);
    }
    for (const Backend &engine : m_engines)
        require(waitForUrl(engine.url + "/v1/load", startTimeoutMillis), "no " + engine.id);
    for (const Backend &application : m_applications)
        require(waitForUrl(application.url + "/control/executions", startTimeoutMillis),
                "no " + application.id);
    registerBackends();
}

void TestDeployment::registerBackends()
{
    std::vector<std::string> instances;
    for (const Backend &engine : m_engines)
        instances.push_back(instanceJson(engine, "engine", "engine-large", ""));
    for (const Backend &application : m_applications)
        instances.push_back(instanceJson(application, "service", "order-system", "orders"));
    const std::string body = R"({"instances":[)" + joinWith(instances, ",") + "]}";
    require(callUrl("POST", m_cloudUrl + "/control/instances", body).status == 200,
            "instances not registered");
}

void TestDeployment::writeNodeSettings(const Node &node)
{
    writeFile(m_directory + "/" + node.name + ".toml",
              "node = \"" + node.name + "\"\ninstance = \"i-" + node.name + "\"\nzone = \""
                      + node.zone + "\"\ncaller_address = \"" + node.host
                      + ":8100\"\npeer_address = \"" + node.host + ":8200\"\noperator_address = \""
                      + node.host + ":8300\"\nobject_service_url = \"" + m_storeUrl
                      + "\"\ncloud_url = \"" + m_cloudUrl
                      + "\"\npeer_key = \"test-peer-key-0001\"\ntoken_key = "
                        "\"test-token-key-0001\"\nseeds = [\""
                      + m_network + ".1.11:8200\"]\n" + m_options.nodeSettings);
}

void TestDeployment::startNode(std::size_t n)
{
    Node &node = m_nodes[n];
    node.pid = m_processes.start(
            {SESAMEPROXY_BINARY, "serve", "--settings", m_directory + "/" + node.name + ".toml"},
            logFile(node.name));
}

bool TestDeployment::waitUntilServing(std::uint64_t version, int timeoutMillis,
                                      const std::vector<std::size_t> &indexes)
{
    std::vector<std::size_t> waiting = indexes;
    for (std::size_t n = 0; indexes.empty() && n < m_nodes.size(); ++n)
        waiting.push_back(n);
    for (int waited = 0; waited < timeoutMillis; waited += pollMillis) {
        std::erase_if(waiting, [&](std::size_t n) {
            const TestReply reply = callUrl(
                    "GET", "http://" + m_nodes[n].operatorAddress() + "/v1/status");
            const JsonPtr body = parseJson(reply.body);
            return jsonString(body.get(), "phase") == "serving"
                    && jsonInteger(body.get(), "fleet_version")
                    >= static_cast<std::int64_t>(version);
        });
        if (waiting.empty())
            return true;
        sleepMillis(pollMillis);
    }
    return false;
}

int TestDeployment::apply(const std::string &file, std::vector<std::string> extra)
{
    std::vector<std::string> command {SESAMEPROXY_BINARY, "apply", file, "--store=" + m_storeUrl,
                                      "--nodes=" + operatorList()};
    command.insert(command.end(), extra.begin(), extra.end());
    return runCommand(command, logFile("apply"), 60'000);
}

std::string TestDeployment::entryList() const
{
    std::vector<std::string> parts;
    for (const Node &node : m_nodes)
        parts.push_back(node.callerUrl());
    return joinWith(parts, ",");
}

std::string TestDeployment::operatorList() const
{
    std::vector<std::string> parts;
    for (const Node &node : m_nodes)
        parts.push_back(node.operatorAddress());
    return joinWith(parts, ",");
}

std::vector<std::string> TestDeployment::callerCommand(const std::string &mode,
                                                       std::vector<std::string> extra) const
{
    std::vector<std::string> command {STANDINS_BINARY, "caller", mode, "--entries=" + entryList(),
                                      std::string("--key=") + accountKey};
    command.insert(command.end(), extra.begin(), extra.end());
    return command;
}

std::map<std::string, std::int64_t> TestDeployment::countExecutions() const
{
    std::map<std::string, std::int64_t> counts;
    for (const Backend &application : m_applications) {
        const TestReply reply = callUrl("GET", application.url + "/control/executions");
        const JsonPtr body = parseJson(reply.body);
        const char *key = nullptr;
        json_t *value = nullptr;
        json_object_foreach(body.get(), key, value) counts[key] += json_integer_value(value);
    }
    return counts;
}

TestReply callUrl(const std::string &method, const std::string &url, const std::string &body,
                  const std::vector<std::pair<std::string, std::string>> &headers,
                  int timeoutMillis)
{
    const BackendReply reply = callBackend({.method = method,
                                            .url = url,
                                            .headers = headers,
                                            .body = body,
                                            .timeout = std::chrono::milliseconds(timeoutMillis)});
    if (reply.status != CallStatus::Replied)
        return {};
    const std::string code(reply.reply.header("x-result-code"));
    return {.status = reply.reply.status,
            .body = reply.reply.body,
            .outcome = std::string(reply.reply.header("x-outcome")),
            .code = code.empty() ? 0 : std::stoi(code)};
}

std::vector<std::pair<std::string, std::string>> callerHeaders(const std::string &idempotencyKey)
{
    std::vector<std::pair<std::string, std::string>> headers {
            {"Authorization", std::string("Bearer ") + accountKey}};
    if (!idempotencyKey.empty())
        headers.emplace_back("Idempotency-Key", idempotencyKey);
    return headers;
}

} // namespace sesame::test
