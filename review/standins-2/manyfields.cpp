// Clients that the operator does not control send heads of legal size that consist of very short
// fields, begin a chunked body and stop just short of its end. This program acts as the platform:
// it ends a node whose memory exceeds that of its machine, and starts it again.
#include "harness.h"

using namespace review;

namespace {

constexpr int nodes = 2;
constexpr int memoryMb = 260;
constexpr int clientsPerNode = 1200;
constexpr int attacks = 3;
constexpr std::size_t headLimit = 16384;
constexpr long kibPerMb = 1024;

// Returns a request of the ordinary form, without its body.
std::string ordinaryHead(const std::string &id)
{
    return "POST /book/x HTTP/1.1\r\nHost: app.example\r\nAuthorization: Token key-a\r\n"
           "Sesameproxy-Attempt-Id: "
            + id + "\r\nSesameproxy-Deadline-Ms: 2500\r\n";
}

std::string hostileText(int client)
{
    std::string text = ordinaryHead("hostile-" + std::to_string(client))
            + "Transfer-Encoding: chunked\r\n";
    // The head stays below the limit of the manifest.
    while (text.size() + 200 < headLimit)
        text += "a:\r\n";
    // One byte of the chunk and the end of the body are missing.
    return text + "\r\n400\r\n" + std::string(1023, 'b');
}

int sendOrdinary(Deployment &deployment, int node, const std::string &id)
{
    const auto connection = Connection::connect(deployment.nodeIp(node), deployment.entryPort());
    Message answer;
    int status = 0;
    if (connection && connection->send(ordinaryHead(id) + "Content-Length: 5\r\n\r\nhello")
        && connection->readHead(answer, Clock::now() + 3s))
        status = answer.status();
    deployment.record.add("node %d: ordinary request %s answered with %d", node, id.c_str(),
                          status);
    return status;
}

// Returns whether the node's process ended or had to be ended.
bool attack(Deployment &deployment, int node, int round)
{
    std::vector<std::unique_ptr<Connection>> clients;
    long peak = 0;
    const auto mustEnd = [&] {
        peak = std::max(peak, deployment.memoryKib(node, "VmRSS"));
        return peak > memoryMb * kibPerMb;
    };
    if (deployment.hasTrouble) {
        for (int i = 0; i < clientsPerNode && !mustEnd(); ++i) {
            auto client = Connection::connect(deployment.nodeIp(node), deployment.entryPort());
            if (client && client->send(hostileText(i)))
                clients.push_back(std::move(client));
        }
    }
    const auto end = Clock::now() + 3s;
    while (Clock::now() < end && !mustEnd())
        std::this_thread::sleep_for(20ms);
    const auto status = deployment.exitStatus(node);
    deployment.record.add("node %d, round %d: %zu clients with heads of %zu bytes, memory %ld KiB "
                          "of %ld KiB%s",
                          node, round, clients.size(), hostileText(0).find("\r\n\r\n") + 4, peak,
                          memoryMb * kibPerMb, status ? ", process ended by itself" : "");
    if (!status && peak <= memoryMb * kibPerMb) {
        sendOrdinary(deployment, node, "after-" + std::to_string(round));
        return false;
    }
    if (!status)
        deployment.killNode(node);
    clients.clear();
    deployment.startNode(node, {.memoryMb = memoryMb});
    return true;
}

} // namespace

int main(int argc, char **argv)
{
    Deployment d(argc, argv);
    std::atomic<int> run {0};
    const Server engine(d.engineIp(1), d.port(), [&](Connection &c, Message &request) {
        ++run;
        return c.send(
                formatAnswer(200, "booked",
                             "Sesameproxy-Attempt-Id: " + request.field("Sesameproxy-Attempt-Id")
                                     + "\r\nSesameproxy-Response-Seal: seal\r\n"));
    });
    d.writeConfig("{\"name\":\"book\",\"hostname\":\"app.example\",\"pathPrefix\":\"/book/\","
                  "\"routeType\":\"unsafe\",\"timeoutMs\":2500,\"targetLatencyMs\":150,"
                  "\"priority\":2,\"service\":\"app\",\"maxAttempts\":1,\"anonymous\":false}",
                  "{\"name\":\"app\",\"healthPath\":\"/healthz\",\"maxConnections\":100,"
                  "\"protocol\":\"h1\",\"tls\":false}");
    d.writeEngine(1, "app", 6);
    for (int node = 1; node <= nodes; ++node)
        d.startNode(node, {.memoryMb = memoryMb});
    if (!d.waitUntilReady())
        d.finish(exitNotRun);
    for (int node = 1; node <= nodes; ++node) {
        if (sendOrdinary(d, node, "before") != 200)
            d.finish(exitNotRun);
    }
    std::map<int, int> ends;
    for (int round = 1; round <= attacks; ++round) {
        for (int node = 1; node <= nodes; ++node)
            ends[node] += attack(d, node, round) ? 1 : 0;
        if (!d.waitUntilReady())
            d.finish(exitNotRun);
    }
    int broken = 0;
    for (const auto &[node, n] : ends) {
        d.record.add("node %d ended %d times", node, n);
        broken += n >= 3 ? 1 : 0;
    }
    // The rule: on two machines or more, processes end three times.
    d.finish(broken >= 2 ? exitBroken : exitHeld);
}
