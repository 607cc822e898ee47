// Another writer fills the list of engines with large entries that name no engine. This program
// acts as the platform: it ends a node whose memory exceeds that of its machine, and starts it
// again.
#include "harness.h"

using namespace review;

namespace {

constexpr int nodes = 2;
constexpr int memoryMb = 260;
constexpr int oddEntries = 100;
constexpr std::size_t entryBytes = 1'000'000; // valueBytes is 1,048,576.
constexpr int endsOfRule = 3;
constexpr auto observation = 75s;
constexpr long kibPerMb = 1024;

int sendOrdinary(Deployment &d, int node, const std::string &id)
{
    const auto c = Connection::connect(d.nodeIp(node), d.entryPort());
    Message answer;
    int status = 0;
    if (c
        && c->send("POST /book/x HTTP/1.1\r\nHost: app.example\r\nAuthorization: Token key-a\r\n"
                   "Sesameproxy-Attempt-Id: "
                   + id + "\r\nSesameproxy-Deadline-Ms: 2500\r\nContent-Length: 5\r\n\r\nhello")
        && c->readHead(answer, Clock::now() + 3s))
        status = answer.status();
    d.record.add("node %d: ordinary request %s answered with %d", node, id.c_str(), status);
    return status;
}

} // namespace

int main(int argc, char **argv)
{
    Deployment d(argc, argv);
    const Server engine(d.engineIp(1), d.port(), [&](Connection &c, Message &request) {
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
    const NodeOptions machine {.memoryMb = memoryMb};
    for (int node = 1; node <= nodes; ++node)
        d.startNode(node, machine);
    if (!d.waitUntilReady())
        d.finish(exitNotRun);
    for (int node = 1; node <= nodes; ++node) {
        if (sendOrdinary(d, node, "before") != 200)
            d.finish(exitNotRun);
    }
    if (d.hasTrouble) {
        // The service is of another type.
        const std::string entry = "{\"service\":7,\"note\":\"" + std::string(entryBytes, 'n')
                + "\"}";
        for (int i = 0; i < oddEntries; ++i)
            d.store.put("servers", "odd-" + std::to_string(i), entry);
        d.record.add("another writer wrote %d entries of %zu bytes", oddEntries, entry.size());
    }
    std::map<int, int> ends;
    std::map<int, long> peaks;
    const auto end = Clock::now() + (d.hasTrouble ? observation : std::chrono::seconds(30));
    const auto isBroken = [&] {
        int n = 0;
        for (const auto &[node, count] : ends)
            n += count >= endsOfRule ? 1 : 0;
        return n >= 2;
    };
    while (Clock::now() < end && !isBroken()) {
        for (int node = 1; node <= nodes; ++node) {
            const long peak = d.memoryKib(node, "VmHWM");
            peaks[node] = std::max(peaks[node], peak);
            const auto status = d.exitStatus(node);
            if (!status && peak <= memoryMb * kibPerMb)
                continue;
            if (!status)
                d.killNode(node);
            ++ends[node];
            d.record.add("node %d ended, time %d: peak %ld KiB of %ld KiB%s", node, ends[node],
                         peak, memoryMb * kibPerMb, status ? ", process ended by itself" : "");
            std::this_thread::sleep_for(500ms);
            d.startNode(node, machine);
        }
        std::this_thread::sleep_for(10ms);
    }
    for (int node = 1; node <= nodes; ++node) {
        d.record.add("node %d: peak of all its processes %ld KiB, ended %d times", node,
                     peaks[node], ends[node]);
        sendOrdinary(d, node, "after");
    }
    // The rule: on two machines or more, processes end three times.
    d.finish(isBroken() ? exitBroken : exitHeld);
}
