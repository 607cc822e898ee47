// Clients that the operator does not control send ordinary requests whose heads, of legal size,
// name thousands of fields in Connection and hold thousands of short fields. Ordinary clients of
// the same node wait meanwhile.
#include "harness.h"

using namespace review;

namespace {

constexpr int nodes = 3;
constexpr int hostileClients = 300;
constexpr int ordinaryClients = 20;
constexpr auto timeLimit = 2500ms; // timeoutMs of the route, and the clients' deadline.
constexpr auto lateLimit = 500ms;

std::string requestText(const std::string &id, const std::string &fields)
{
    return "POST /book/x HTTP/1.1\r\nHost: app.example\r\nAuthorization: Token key-a\r\n"
           "Sesameproxy-Attempt-Id: "
            + id + "\r\nSesameproxy-Deadline-Ms: 2500\r\n" + fields
            + "Content-Length: 5\r\n\r\nhello";
}

// About 16,000 bytes: half of them are the list in Connection, half of them fields.
std::string hostileFields()
{
    std::string text = "Connection: a";
    while (text.size() < 8000)
        text += ",a";
    text += "\r\n";
    while (text.size() < 15'900)
        text += "b:\r\n";
    return text;
}

struct Outcome
{
    bool unansweredAtLimit = false;
    bool unansweredLater = false;
};

// Returns the milliseconds until the node answered the readiness check, at most those of limit.
long askReady(Deployment &d, int node, std::chrono::milliseconds limit)
{
    const auto start = Clock::now();
    const auto c = Connection::connect(d.nodeIp(node), d.port() + 2);
    Message answer;
    if (c && c->send("GET /api/readyz HTTP/1.1\r\nHost: n\r\n\r\n"))
        c->readHead(answer, start + limit);
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - start).count();
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
    d.writeEngine(1, "app", 100);
    for (int node = 1; node <= nodes; ++node)
        d.startNode(node);
    if (!d.waitUntilReady())
        d.finish(exitNotRun);
    const std::string fields = hostileFields();
    std::vector<std::unique_ptr<Connection>> hostile;
    if (d.hasTrouble) {
        for (int i = 0; i < hostileClients; ++i) {
            hostile.push_back(Connection::connect(d.nodeIp(1), d.entryPort()));
            if (hostile.back())
                hostile.back()->send(requestText("hostile-" + std::to_string(i), fields));
        }
        d.record.add("%d clients sent a request each, with heads of about %zu bytes",
                     hostileClients, requestText("hostile-1", fields).size() - 5);
    }
    std::this_thread::sleep_for(200ms);
    std::vector<Outcome> outcomes(ordinaryClients);
    std::vector<std::thread> clients;
    for (int i = 0; i < ordinaryClients; ++i) {
        clients.emplace_back([&, i] {
            const std::string id = "ordinary-" + std::to_string(i);
            const auto sentAt = Clock::now();
            const auto c = Connection::connect(d.nodeIp(1), d.entryPort());
            Message answer;
            const bool isSent = c && c->send(requestText(id, ""));
            bool isAnswered = isSent && c->readHead(answer, sentAt + timeLimit);
            outcomes[i].unansweredAtLimit = !isAnswered;
            if (isSent && !isAnswered)
                isAnswered = c->readHead(answer, sentAt + timeLimit + lateLimit);
            outcomes[i].unansweredLater = !isAnswered;
            d.record.add("client: %s answered with %d after %ld ms", id.c_str(),
                         isAnswered ? answer.status() : 0,
                         static_cast<long>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                                   Clock::now() - sentAt)
                                                   .count()));
        });
        std::this_thread::sleep_for(50ms);
    }
    const long readyMs = askReady(d, 1, 30s);
    d.record.add("node 1: readiness answered after %ld ms", readyMs);
    d.record.add("node 2: readiness answered after %ld ms", askReady(d, 2, 5s));
    for (std::thread &client : clients)
        client.join();
    // How long the node is busy with the hostile requests, for the record only.
    const auto end = Clock::now() + 60s;
    while (Clock::now() < end) {
        const auto c = Connection::connect(d.nodeIp(1), d.entryPort());
        Message answer;
        if (c && c->send(requestText("probe", "")) && c->readHead(answer, Clock::now() + 1s)
            && answer.status() == 200)
            break;
    }
    d.record.add("node 1 answers an ordinary request within a second again");
    int atLimit = 0;
    int later = 0;
    for (const Outcome &outcome : outcomes) {
        atLimit += outcome.unansweredAtLimit ? 1 : 0;
        later += outcome.unansweredLater ? 1 : 0;
    }
    d.record.add("%d of %d ordinary requests unanswered at timeoutMs, %d half a second later",
                 atLimit, ordinaryClients, later);
    d.finish(2 * later > atLimit ? exitBroken : exitHeld);
}
