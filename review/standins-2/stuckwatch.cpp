// Another writer writes a few large entries that name no engine into the list of engines. A second
// later, an engine reports that it is draining, serves for a while as the pages say, and leaves.
#include "harness.h"

using namespace review;

namespace {

constexpr int nodes = 3;
constexpr int slots = 20;
constexpr int oddEntries = 24;
constexpr std::size_t entryBytes = 900'000; // valueBytes is 1,048,576.
constexpr auto drainTime = 2000ms; // drainMs
constexpr auto longerTime = 3000ms; // "and a little longer (at times many seconds)"
constexpr auto workTime = 300ms;
constexpr int clients = 18;

struct Arrivals
{
    std::mutex mutex;
    long ackMs = 0; // Time of the store's answer to the draining report.
    long leftMs = 0; // Time at which the engine leaves.
    std::map<std::string, int> runs; // By request id.
    int late = 0;
    int cut = 0;
    std::vector<Connection *> open;
};

// Serves the requests of an engine. Returns whether the connection is kept.
bool serve(Deployment &d, int engine, Arrivals &arrivals, Connection &c, Message &request)
{
    const std::string id = request.field("Sesameproxy-Attempt-Id");
    const long now = sinceStartMs();
    {
        const std::lock_guard lock(arrivals.mutex);
        if (arrivals.leftMs > 0)
            return false;
        ++arrivals.runs[id];
        if (arrivals.ackMs > 0 && now > arrivals.ackMs + drainTime.count()) {
            ++arrivals.late;
            d.record.add("engine %d: %s arrives %ld ms after the ack of its draining", engine,
                         id.c_str(), now - arrivals.ackMs);
        }
    }
    std::this_thread::sleep_for(workTime);
    const std::lock_guard lock(arrivals.mutex);
    if (arrivals.leftMs > 0) {
        ++arrivals.cut;
        d.record.add("engine %d: has left while it ran %s", engine, id.c_str());
        return false;
    }
    return c.send(formatAnswer(200, "booked",
                               "Sesameproxy-Attempt-Id: " + id
                                       + "\r\nSesameproxy-Response-Seal: seal\r\n"));
}

} // namespace

int main(int argc, char **argv)
{
    Deployment d(argc, argv);
    Arrivals arrivals[2];
    std::vector<std::unique_ptr<Server>> servers;
    for (int i = 0; i < 2; ++i)
        servers.push_back(std::make_unique<Server>(
                d.engineIp(i + 1), d.port(), [&, i](Connection &c, Message &request) {
                    return serve(d, i + 1, arrivals[i], c, request);
                }));
    d.writeConfig("{\"name\":\"book\",\"hostname\":\"app.example\",\"pathPrefix\":\"/book/\","
                  "\"routeType\":\"unsafe\",\"timeoutMs\":2500,\"targetLatencyMs\":150,"
                  "\"priority\":2,\"service\":\"app\",\"maxAttempts\":1,\"anonymous\":false}",
                  "{\"name\":\"app\",\"healthPath\":\"/healthz\",\"maxConnections\":100,"
                  "\"protocol\":\"h1\",\"tls\":false}");
    for (int i = 1; i <= 2; ++i)
        d.writeEngine(i, "app", slots);
    for (int node = 1; node <= nodes; ++node)
        d.startNode(node);
    if (!d.waitUntilReady())
        d.finish(exitNotRun);
    std::atomic<bool> isDone {false};
    std::atomic<int> lost {0};
    std::atomic<int> answered {0};
    std::vector<std::thread> threads;
    for (int i = 0; i < clients; ++i) {
        threads.emplace_back([&, i] {
            const int node = 1 + i % nodes;
            std::unique_ptr<Connection> c;
            for (int n = 0; !isDone; ++n) {
                if (!c)
                    c = Connection::connect(d.nodeIp(node), d.entryPort());
                const std::string id = "book-" + std::to_string(i) + "-" + std::to_string(n);
                Message answer;
                const bool isAnswered = c
                        && c->send("POST /book/x HTTP/1.1\r\nHost: app.example\r\n"
                                   "Authorization: Token key-a\r\nSesameproxy-Attempt-Id: "
                                   + id
                                   + "\r\nSesameproxy-Deadline-Ms: 2500\r\nContent-Length: 5\r\n"
                                     "\r\nhello")
                        && c->readHead(answer, Clock::now() + 3s)
                        && c->readBody(answer, Clock::now() + 3s);
                if (isAnswered && answer.status() == 200) {
                    ++answered;
                } else {
                    ++lost;
                    d.record.add("client: %s at node %d answered with %d", id.c_str(), node,
                                 isAnswered ? answer.status() : 0);
                    c.reset();
                }
                std::this_thread::sleep_for(100ms);
            }
        });
    }
    std::this_thread::sleep_for(1s);
    if (d.hasTrouble) {
        const std::string entry = "{\"service\":7,\"note\":\"" + std::string(entryBytes, 'n')
                + "\"}";
        for (int i = 0; i < oddEntries; ++i)
            d.store.put("servers", "odd-" + std::to_string(i), entry);
        d.record.add("another writer wrote %d entries of %zu bytes", oddEntries, entry.size());
    }
    std::this_thread::sleep_for(1s);
    d.writeEngine(1, "app", slots, "b", "draining");
    {
        const std::lock_guard lock(arrivals[0].mutex);
        arrivals[0].ackMs = sinceStartMs();
    }
    d.record.add("the store has accepted that engine 1 is draining");
    std::this_thread::sleep_for(drainTime + longerTime);
    {
        const std::lock_guard lock(arrivals[0].mutex);
        arrivals[0].leftMs = sinceStartMs();
    }
    d.store.remove("servers", "i-1");
    d.record.add("engine 1 has left");
    std::this_thread::sleep_for(2s);
    isDone = true;
    for (std::thread &thread : threads)
        thread.join();
    const std::lock_guard lock(arrivals[0].mutex);
    d.record.add("%d requests answered with 200, %d not; %d reached engine 1 over %ld ms after the "
                 "ack, %d were cut when it left",
                 answered.load(), lost.load(), arrivals[0].late,
                 static_cast<long>(drainTime.count()), arrivals[0].cut);
    d.finish(arrivals[0].late > 0 ? exitBroken : exitHeld);
}
