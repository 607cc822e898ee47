// Requests with a part of a prompt that crashes engines come in small groups, a few at the same
// moment. Sound requests that share their caller and their first part come all the while.
#include "harness.h"

#include <atomic>
#include <set>

using namespace review;

namespace {

constexpr int nodes = 3;
constexpr int engineCount = 12;
constexpr int slots = 48;
constexpr auto downTime = 2000ms; // "the engine is back after some seconds"
constexpr auto groupInterval = 5s;
constexpr int groups = 4;
constexpr int requestsPerGroup = 8;
constexpr int soundClients = 12;
constexpr auto soundInterval = 50ms;
constexpr int events = 50;
constexpr long contactMs = 3000;
constexpr int allowedLate = 3;
constexpr const char *deadlyPart = "dead0001";

struct Arrivals
{
    std::mutex mutex;
    std::vector<long> crashes; // Times of crashes.
    std::vector<long> deadly; // Times at which requests with the part reached engines.
};

// An engine whose process can crash: its connections are reset, and its port is closed for a while.
class Engine
{
public:
    Engine(Deployment &d, int number, Arrivals &arrivals)
        : m_d(d), m_number(number), m_arrivals(arrivals)
    {
        start();
    }

private:
    void start()
    {
        m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<uint16_t>(m_d.port()));
        inet_pton(AF_INET, m_d.engineIp(m_number).c_str(), &address.sin_addr);
        if (::bind(m_listener, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0
            || ::listen(m_listener, 512) != 0)
            _exit(exitNotRun);
        m_d.writeEngine(m_number, "llm", slots, "b", "ready", 1700000000000 + sinceStartMs());
        std::thread([this, listener = m_listener] {
            while (true) {
                const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd < 0)
                    return;
                const std::lock_guard lock(m_mutex);
                m_connections.insert(fd);
                std::thread([this, fd] {
                    Connection c(fd);
                    Message request;
                    while (c.readHead(request, Clock::now() + 60s)
                           && c.readBody(request, Clock::now() + 60s) && serve(c, request))
                        request = {};
                    const std::lock_guard guard(m_mutex);
                    m_connections.erase(fd);
                    c.close();
                }).detach();
            }
        }).detach();
    }

    bool serve(Connection &c, Message &request)
    {
        const std::string id = request.field("Sesameproxy-Attempt-Id");
        if (request.field("Sesameproxy-Prefix-Hash").find(deadlyPart) != std::string::npos) {
            {
                const std::lock_guard lock(m_arrivals.mutex);
                m_arrivals.deadly.push_back(sinceStartMs());
            }
            m_d.record.add("engine %d: %s arrives", m_number, id.c_str());
            std::this_thread::sleep_for(20ms);
            crash(id);
            return false;
        }
        bool isOpen = c.send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                             "Sesameproxy-Attempt-Id: "
                             + id
                             + "\r\nSesameproxy-Response-Seal: seal\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n");
        for (int event = 1; isOpen && event <= events; ++event) {
            std::this_thread::sleep_for(10ms);
            const std::string text = "id: " + std::to_string(event) + "\ndata: word\n\n";
            char size[16];
            snprintf(size, sizeof(size), "%zx\r\n", text.size());
            isOpen = c.send(size + text + "\r\n");
        }
        return isOpen && c.send("0\r\n\r\n");
    }

    void crash(const std::string &id)
    {
        const std::lock_guard lock(m_mutex);
        if (m_listener < 0)
            return;
        ::shutdown(m_listener, SHUT_RDWR);
        ::close(m_listener);
        m_listener = -1;
        for (const int fd : m_connections) {
            const linger reset {.l_onoff = 1, .l_linger = 0};
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
            ::shutdown(fd, SHUT_RDWR);
        }
        {
            const std::lock_guard guard(m_arrivals.mutex);
            m_arrivals.crashes.push_back(sinceStartMs());
            m_d.record.add("engine %d: crashes on %s, crash %zu", m_number, id.c_str(),
                           m_arrivals.crashes.size());
        }
        std::thread([this] {
            std::this_thread::sleep_for(downTime);
            const std::lock_guard guard(m_mutex);
            start();
        }).detach();
    }

    Deployment &m_d;
    int m_number;
    Arrivals &m_arrivals;
    std::mutex m_mutex;
    int m_listener = -1;
    std::set<int> m_connections;
};

// Sends a request and returns whether its stream is complete.
bool sendRequest(Deployment &d, int node, const std::string &id, const std::string &parts)
{
    const auto c = Connection::connect(d.nodeIp(node), d.entryPort());
    Message answer;
    return c
            && c->send("POST /review/x HTTP/1.1\r\nHost: app.example\r\n"
                       "Authorization: Token key-a\r\nSesameproxy-Attempt-Id: "
                       + id
                       + "\r\nSesameproxy-Deadline-Ms: 10000\r\nSesameproxy-Model: m\r\n"
                         "Sesameproxy-Token-Usage: 1460,80\r\nSesameproxy-Prefix-Hash: "
                       + parts + "\r\nContent-Length: " + std::to_string(id.size()) + "\r\n\r\n"
                       + id)
            && c->readHead(answer, Clock::now() + 10s) && answer.status() == 200
            && c->readBody(answer, Clock::now() + 10s);
}

} // namespace

int main(int argc, char **argv)
{
    Deployment d(argc, argv);
    Arrivals arrivals;
    std::vector<std::unique_ptr<Engine>> engines;
    d.writeConfig("{\"name\":\"review\",\"hostname\":\"app.example\",\"pathPrefix\":\"/review/\","
                  "\"routeType\":\"streaming\",\"timeoutMs\":10000,\"targetLatencyMs\":1500,"
                  "\"priority\":2,\"service\":\"llm\",\"maxAttempts\":1,\"anonymous\":false,"
                  "\"sessionAffinity\":true,\"streamResume\":false,\"targetGapMs\":400}",
                  "{\"name\":\"llm\",\"healthPath\":\"/healthz\",\"maxConnections\":300,"
                  "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":48,"
                  "\"kvCapacity\":444000}}");
    for (int i = 1; i <= engineCount; ++i)
        engines.push_back(std::make_unique<Engine>(d, i, arrivals));
    for (int node = 1; node <= nodes; ++node)
        d.startNode(node);
    if (!d.waitUntilReady())
        d.finish(exitNotRun);
    std::atomic<bool> isDone {false};
    std::atomic<int> complete {0};
    std::atomic<int> incomplete {0};
    std::vector<std::thread> sound;
    for (int i = 0; i < soundClients; ++i) {
        sound.emplace_back([&, i] {
            for (int n = 0; !isDone; ++n) {
                const std::string id = "sound-" + std::to_string(i) + "-" + std::to_string(n);
                // The first part is that of all requests, the last one its own.
                const std::string parts = "5c1e07a2:800,91bd3f0"
                        + std::to_string((n + i) % requestsPerGroup) + ":300,"
                        + std::to_string(1000000 + n * soundClients + i) + ":250";
                ++(sendRequest(d, 1 + i % nodes, id, parts) ? complete : incomplete);
                std::this_thread::sleep_for(soundInterval);
            }
        });
    }
    std::this_thread::sleep_for(2s);
    std::vector<std::thread> deadly;
    for (int group = 0; d.hasTrouble && group < groups; ++group) {
        for (int i = 0; i < requestsPerGroup; ++i) {
            deadly.emplace_back([&, group, i] {
                const std::string id = "deadly-" + std::to_string(group) + "-" + std::to_string(i);
                // "Whatever else the request holds": the third part is one of the sound ones.
                const std::string parts = std::string("5c1e07a2:800,") + deadlyPart + ":410,91bd3f0"
                        + std::to_string(i) + ":300," + std::to_string(2000000 + group * 100 + i)
                        + ":250";
                sendRequest(d, 1 + i % nodes, id, parts);
            });
        }
        std::this_thread::sleep_for(groupInterval);
    }
    isDone = true;
    for (std::thread &thread : sound)
        thread.join();
    for (std::thread &thread : deadly)
        thread.join();
    const std::lock_guard lock(arrivals.mutex);
    int late = 0;
    constexpr std::size_t fifth = 4;
    if (arrivals.crashes.size() > fifth)
        late = static_cast<int>(
                std::count_if(arrivals.deadly.begin(), arrivals.deadly.end(), [&](long time) {
                    return time > arrivals.crashes[fifth] + contactMs;
                }));
    d.record.add("sound requests: %d complete, %d not", complete.load(), incomplete.load());
    d.record.add(
            "%zu crashes; %d requests with the part reached engines over %ld ms after the fifth, "
            "%d allowed",
            arrivals.crashes.size(), late, contactMs, allowedLate);
    d.finish(late > allowedLate ? exitBroken : exitHeld);
}
