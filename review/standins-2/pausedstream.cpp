// A node is stopped as planned while one of two sound engines makes no events for a while, as an
// engine does that reads long prompts or has preempted requests. The streams of that engine go on
// after the pause and end long before the end of the grace.
#include "harness.h"

using namespace review;

namespace {

constexpr int nodes = 3;
constexpr int slots = 8;
constexpr int streams = 14;
constexpr int events = 30;
constexpr auto eventInterval = 100ms;
// Clients of this kind of request leave after a gap of 3.2 s (eight times the longest pause).
constexpr auto pauseTime = 2200ms;
constexpr auto pauseDelay = 200ms;
constexpr auto stopDelay = 1000ms;
constexpr long graceMs = 8000;
constexpr long timeoutMs = 10000;

struct Engine
{
    std::mutex mutex;
    std::condition_variable changed;
    int running = 0;
    std::atomic<long> pauseBegin {0}; // Milliseconds since the start; 0 if there is no pause.
};

struct Run
{
    int begun = 0; // Engines that began to work on the request.
    int droppedByNode = 0; // Engines whose connection the node closed during the work.
    long lastDropMs = 0;
};

struct Runs
{
    std::mutex mutex;
    std::map<std::string, Run> runs;
};

bool isPaused(const Engine &engine)
{
    const long begin = engine.pauseBegin;
    return begin > 0 && sinceStartMs() >= begin && sinceStartMs() < begin + pauseTime.count();
}

// Answers with a stream of events whose ids begin after Last-Event-Id. Drops the request when its
// connection closes.
bool serveStream(Deployment &d, int number, Engine &engine, Runs &runs, Connection &c,
                 Message &request)
{
    const std::string id = request.field("Sesameproxy-Attempt-Id");
    {
        std::unique_lock lock(engine.mutex);
        while (!engine.changed.wait_for(lock, 50ms, [&] {
            return engine.running < slots;
        })) {
            if (c.isClosedByPeer())
                return false;
        }
        ++engine.running;
    }
    int event = atoi(request.field("Last-Event-Id").c_str());
    d.record.add("engine %d: begins %s after event %d", number, id.c_str(), event);
    {
        const std::lock_guard lock(runs.mutex);
        ++runs.runs[id].begun;
    }
    bool isOpen = c.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                         "Sesameproxy-Attempt-Id: "
                         + id
                         + "\r\nSesameproxy-Response-Seal: seal\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n");
    while (isOpen && event < events) {
        std::this_thread::sleep_for(eventInterval);
        while (isOpen && isPaused(engine)) {
            std::this_thread::sleep_for(20ms);
            isOpen = !c.isClosedByPeer();
        }
        if (!isOpen || c.isClosedByPeer()) {
            isOpen = false;
            break;
        }
        const std::string text = "id: " + std::to_string(++event) + "\ndata: word\n\n";
        char size[16];
        snprintf(size, sizeof(size), "%zx\r\n", text.size());
        isOpen = c.send(size + text + "\r\n");
    }
    {
        const std::lock_guard lock(engine.mutex);
        --engine.running;
    }
    engine.changed.notify_all();
    if (isOpen) {
        d.record.add("engine %d: ends %s", number, id.c_str());
        return c.send("0\r\n\r\n");
    }
    d.record.add("engine %d: the node closed the connection of %s after event %d%s", number,
                 id.c_str(), event, isPaused(engine) ? ", in the pause" : "");
    const std::lock_guard lock(runs.mutex);
    ++runs.runs[id].droppedByNode;
    runs.runs[id].lastDropMs = sinceStartMs();
    return false;
}

struct Outcome
{
    std::string id;
    int status = 0;
    bool isComplete = false;
    bool isClosed = false; // The channel ended before the answer did.
    bool hasOrder = true;
    int lastEvent = 0;
    long endMs = 0;
};

void runClient(Deployment &d, Outcome &outcome)
{
    const auto c = Connection::connect(d.nodeIp(1), d.entryPort());
    Message answer;
    if (c
        && c->send("POST /notes/x HTTP/1.1\r\nHost: app.example\r\nAuthorization: Token key-a\r\n"
                   "Sesameproxy-Attempt-Id: "
                   + outcome.id
                   + "\r\nSesameproxy-Deadline-Ms: 10000\r\nSesameproxy-Model: m\r\n"
                     "Sesameproxy-Token-Usage: 600,240\r\nContent-Length: 5\r\n\r\nhello")
        && c->readHead(answer, Clock::now() + 10s)) {
        outcome.status = answer.status();
        std::string text;
        outcome.isComplete = c->readBody(answer, Clock::now() + 10s, [&](const auto &piece) {
            text += piece;
            while (text.find("\n\n") != std::string::npos) {
                const int id = atoi(text.substr(text.find("id: ") + 4).c_str());
                outcome.hasOrder = outcome.hasOrder && id == outcome.lastEvent + 1;
                outcome.lastEvent = id;
                text.erase(0, text.find("\n\n") + 2);
            }
        });
        outcome.isClosed = !outcome.isComplete && !c->timedOut();
    }
    outcome.endMs = sinceStartMs();
    d.record.add("client: %s answered with %d, %s after event %d", outcome.id.c_str(),
                 outcome.status,
                 outcome.isComplete ? "complete" : (outcome.isClosed ? "cut" : "unfinished"),
                 outcome.lastEvent);
}

} // namespace

int main(int argc, char **argv)
{
    Deployment d(argc, argv);
    Engine engines[2];
    Runs runs;
    std::vector<std::unique_ptr<Server>> servers;
    for (int i = 0; i < 2; ++i)
        servers.push_back(std::make_unique<Server>(
                d.engineIp(i + 1), d.port(), [&, i](Connection &c, Message &request) {
                    return serveStream(d, i + 1, engines[i], runs, c, request);
                }));
    d.writeConfig("{\"name\":\"notes\",\"hostname\":\"app.example\",\"pathPrefix\":\"/notes/\","
                  "\"routeType\":\"streaming\",\"timeoutMs\":10000,\"targetLatencyMs\":500,"
                  "\"priority\":0,\"service\":\"llm\",\"maxAttempts\":2,\"anonymous\":false,"
                  "\"sessionAffinity\":true,\"streamResume\":true,\"targetGapMs\":400}",
                  "{\"name\":\"llm\",\"healthPath\":\"/healthz\",\"maxConnections\":300,"
                  "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":8,"
                  "\"kvCapacity\":444000}}");
    for (int i = 1; i <= 2; ++i)
        d.writeEngine(i, "llm", slots);
    for (int node = 1; node <= nodes; ++node)
        d.startNode(node);
    if (!d.waitUntilReady())
        d.finish(exitNotRun);
    std::vector<Outcome> outcomes(streams);
    std::vector<std::thread> clients;
    for (int i = 0; i < streams; ++i) {
        outcomes[i].id = "stream-" + std::to_string(i);
        clients.emplace_back([&d, &outcome = outcomes[i]] {
            runClient(d, outcome);
        });
        std::this_thread::sleep_for(20ms);
    }
    std::this_thread::sleep_for(stopDelay);
    long stopMs = 0;
    if (d.hasTrouble) {
        stopMs = sinceStartMs();
        d.record.add("SIGTERM to node 1");
        kill(d.processOf(1), SIGTERM);
        std::this_thread::sleep_for(pauseDelay);
        d.record.add("engine 1 makes no events for %ld ms", static_cast<long>(pauseTime.count()));
        engines[0].pauseBegin = sinceStartMs();
    }
    for (std::thread &client : clients)
        client.join();
    int lost = 0;
    int disordered = 0;
    for (const Outcome &outcome : outcomes) {
        const Run &run = runs.runs[outcome.id];
        disordered += outcome.hasOrder ? 0 : 1;
        // Counted: passed on to an engine, ended without a complete answer, ended by the node and
        // not by the engine, before the timeout and before the last sixth of the grace.
        const bool isLost = run.begun > 0 && outcome.isClosed && run.droppedByNode == run.begun
                && stopMs > 0 && outcome.endMs - stopMs < graceMs * 5 / 6
                && outcome.endMs < timeoutMs + stopMs;
        if (isLost)
            d.record.add("LOST: %s, cut %ld ms after SIGTERM", outcome.id.c_str(),
                         outcome.endMs - stopMs);
        lost += isLost ? 1 : 0;
    }
    d.record.add("%d of %d streams lost, %d out of order", lost, streams, disordered);
    d.finish(lost > 0 ? exitBroken : exitHeld);
}
