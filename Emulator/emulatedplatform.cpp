#include "emulatedplatform.h"

namespace sesame {

namespace {

constexpr int firstEnginePortOffset = 2;
constexpr int firstNodePortOffset = 20;

} // namespace

EmulatedPlatform::EmulatedPlatform(asio::io_context &context, std::uint16_t firstPort,
                                   EngineCapacity engineCapacity)
    : store(context, endpoint(firstPort)), duties(context, endpoint(firstPort + 1)),
      m_firstPort(firstPort), m_context(context), m_engineCapacity(engineCapacity)
{
    for (int i = 0; i < modelEngineCount + plainEngineCount; ++i) {
        addEngines(i < modelEngineCount ? "model" : "plain", "v1", 1);
    }
    putConfig(1);
}

Tcp::endpoint EmulatedPlatform::endpoint(int port)
{
    return {asio::ip::make_address_v4("127.0.0.1"), static_cast<std::uint16_t>(port)};
}

Tcp::endpoint EmulatedPlatform::nodeEndpoint(int index, int offset) const
{
    return {asio::ip::make_address_v4("127.0.1." + std::to_string(index)),
            static_cast<std::uint16_t>(m_firstPort + firstNodePortOffset + offset)};
}

Tcp::endpoint EmulatedPlatform::engineEndpoint(std::size_t index) const
{
    return endpoint(m_firstPort + firstEnginePortOffset + static_cast<int>(index));
}

std::string EmulatedPlatform::engineAddress(std::size_t index) const
{
    const Tcp::endpoint address = engineEndpoint(index);
    return address.address().to_string() + ":" + std::to_string(address.port());
}

std::size_t EmulatedPlatform::addEngines(const std::string &service, const std::string &version,
                                         int count)
{
    const std::size_t first = engines.size();
    for (int i = 0; i < count; ++i) {
        const std::size_t index = engines.size();
        engines.push_back(std::make_unique<EmulatedEngine>(m_context, "i-" + std::to_string(index),
                                                           engineEndpoint(index)));
        m_engineKinds.push_back({.service = service, .version = version});
        putEngine(*engines.back(), "ready");
    }
    return first;
}

void EmulatedPlatform::upgradeEngine(std::size_t index, const std::string &version)
{
    constexpr std::int64_t secondIncarnation = 2;
    engines[index]->restart();
    m_engineKinds[index].version = version;
    putEngine(*engines[index], "ready", secondIncarnation);
}

int EmulatedPlatform::stopOtherEngines(const std::string &service, const std::string &version)
{
    int running = 0;
    for (std::size_t i = 0; i < engines.size(); ++i) {
        if (m_engineKinds[i].service != service || m_engineKinds[i].version == version)
            continue;
        running += engines[i]->runningCount();
        engines[i]->stop();
        store.erase("servers", engines[i]->id());
    }
    return running;
}

void EmulatedPlatform::orderRollout(const std::string &service, const std::string &target,
                                    double seconds)
{
    store.put("rollouts", service,
              R"({"service":")" + service + R"(","target":")" + target + R"(","durationS":)"
                      + std::to_string(seconds) + "}");
}

void EmulatedPlatform::putEngine(const EmulatedEngine &engine, const std::string &state,
                                 std::int64_t incarnation)
{
    std::size_t index = 0;
    while (engines[index].get() != &engine)
        ++index;
    store.put("servers", engine.id(),
              std::string("{\"service\":\"") + m_engineKinds[index].service + "\",\"address\":\""
                      + engineAddress(index) + "\",\"zone\":\"z\",\"version\":\""
                      + m_engineKinds[index].version
                      + "\",\"slots\":" + std::to_string(m_engineCapacity.slots) + ",\"state\":\""
                      + state + "\",\"warmupLeftMs\":0,\"sequence\":1,\"born\":"
                      + std::to_string(incarnation) + "}");
}

void EmulatedPlatform::putConfig(std::int64_t version, bool extraRoute)
{
    const auto route = [](const std::string &prefix, const std::string &kind,
                          const std::string &service, const std::string &more) {
        return "{\"name\":\"r" + prefix + "\",\"hostname\":\"app.example\",\"pathPrefix\":\""
                + prefix + "\",\"routeType\":\"" + kind + "\",\"timeoutMs\":3000,"
                + "\"targetLatencyMs\":200,\"priority\":1,\"service\":\"" + service + "\"," + more
                + "}";
    };
    std::string routes = route("/stream/", "streaming", "model",
                               "\"maxAttempts\":1,\"streamResume\":false")
            + ","
            + route("/stream/again/", "streaming", "model",
                    "\"maxAttempts\":2,\"streamResume\":true,\"targetGapMs\":100")
            + "," + route("/book/", "unsafe", "plain", "\"maxAttempts\":2") + ","
            + route("/read/", "safe", "plain", "\"maxAttempts\":2") + ","
            + route("/open/", "safe", "plain", "\"maxAttempts\":2,\"anonymous\":true");
    if (extraRoute)
        routes += "," + route("/extra/", "safe", "plain", "\"maxAttempts\":2");
    store.put("config", "main",
              "{\"version\":" + std::to_string(version) + ",\"routes\":[" + routes
                      + "],\"services\":[{\"name\":\"model\",\"maxConnections\":"
                      + std::to_string(m_engineCapacity.connections)
                      + ",\"engine\":{\"slots\":" + std::to_string(m_engineCapacity.slots)
                      + ","
                        "\"kvCapacity\":100000}},{\"name\":\"plain\","
                        "\"maxConnections\":50}],\"limits\":{\"maxHeaderBytes\":16384,"
                        "\"maxBodyBytes\":"
                      + std::to_string(m_bodyLimit)
                      + ",\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
                        "\"tenants\":[{\"name\":\"large\",\"apiKeys\":[\"key-large\"]},"
                        "{\"name\":\"small\",\"apiKeys\":[\"key-small\"],\"ratePerS\":2,"
                        "\"burst\":5}]}");
}

std::string EmulatedPlatform::formatSettings(int index, bool isFirstStart) const
{
    const auto format = [](const Tcp::endpoint &address) {
        return "\"" + address.address().to_string() + ":" + std::to_string(address.port()) + "\"\n";
    };
    const std::string revocation = m_revocationLimit ? "  revokeFailClosed: true\n  revokeMs: "
                    + std::to_string(m_revocationLimit->count()) + "\n"
                                                     : "";
    std::string contracts;
    for (const std::string &contract : m_contracts)
        contracts += (contracts.empty() ? "contracts: [\"" : ", \"") + contract + "\"";
    if (!contracts.empty())
        contracts += "]\n";
    const int exchange = m_firstPort + firstNodePortOffset + 3;
    return "nodeName: \"node-" + std::to_string(index) + "\"\nzone: \"z\"\nlisten:\n  frontend: "
            + format(entryAddress(index)) + "  readiness: " + format(readinessAddress(index))
            + "  directory: " + format(directoryAddress(index)) + "internalPorts: ["
            + std::to_string(exchange) + ", " + std::to_string(exchange + 1)
            + "]\nbootstrap: " + (isFirstStart ? "true" : "false")
            + "\nlimits:\n  fileDescriptors: " + std::to_string(m_descriptors)
            + (m_memoryMb > 0 ? "\n  memoryMb: " + std::to_string(m_memoryMb) : "")
            + "\nbounds:\n  leaseMs: 1500\n  graceS: " + std::to_string(m_stopGrace.count())
            + "\n  reportWindowS: 1\n  retrySlack: 54\n" + revocation
            + "platform:\n  address: " + format(endpoint(m_firstPort))
            + "cloud:\n  address: " + format(endpoint(m_firstPort + 1))
            + "  duties: [\"metering\", \"autoscale\"]\n" + contracts;
}

} // namespace sesame
