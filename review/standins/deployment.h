#pragma once

// A small deployment as the users' pages describe it: the platform's store and cloud, engines, and
// the project's nodes as processes that are started again when they end.

#include "net.h"

#include <jansson.h>

#include <csignal>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <deque>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <sstream>

namespace review {

inline const Clock::time_point startTime = Clock::now();

inline std::int64_t elapsedMillis()
{
    return std::chrono::duration_cast<Millis>(Clock::now() - startTime).count();
}

/*!
    Writes one line to the record of the run.
*/
inline void record(const char *format, ...)
{
    static std::mutex mutex;
    static FILE *const file = std::fopen(std::getenv("REVIEW_RECORD"), "w");
    char text[1024];
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(text, sizeof(text), format, arguments);
    va_end(arguments);
    const std::lock_guard lock(mutex);
    std::fprintf(file, "%7lld ms  %s\n", static_cast<long long>(elapsedMillis()), text);
    std::fflush(file);
}

inline bool hasTrouble()
{
    const char *text = std::getenv("TROUBLE");
    return !text || std::string(text) != "0";
}

/*!
    The platform's metadata store: objects by kind and name, lists, watches and conditional writes.
*/
class Store
{
public:
    Store(const std::string &ip, int port)
        : m_listener(ip, port, [this](Channel &channel) {
              serve(channel);
          })
    {
    }

    bool isOk() const { return m_listener.isOk(); }

    void put(const std::string &kind, const std::string &name, const std::string &spec)
    {
        const std::lock_guard lock(m_mutex);
        write(kind, name, spec);
    }

private:
    struct Object
    {
        std::uint64_t revision = 0;
        std::string spec;
    };
    struct Change
    {
        std::uint64_t revision = 0;
        std::string kind;
        std::string name;
        bool deleted = false;
        std::string spec;
    };

    void write(const std::string &kind, const std::string &name, const std::string &spec)
    {
        Object &object = m_objects[kind][name];
        if (object.revision != 0 && object.spec == spec)
            return;
        object = {.revision = ++m_revision, .spec = spec};
        m_history.push_back({m_revision, kind, name, false, spec});
        m_changed.notify_all();
    }

    static std::string format(const std::string &name, std::uint64_t revision,
                              const std::string &spec)
    {
        return "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + std::to_string(revision)
                + ",\"created\":1,\"finalizers\":[],\"deletionPending\":false},\"spec\":"
                + (spec.empty() ? "null" : spec) + ",\"status\":null}";
    }

    static std::string query(const std::string &target, const std::string &key)
    {
        std::size_t at = target.find('?');
        while (at != std::string::npos) {
            const std::size_t end = target.find('&', at + 1);
            const std::string item = target.substr(at + 1, end - at - 1);
            if (item.rfind(key + "=", 0) == 0)
                return item.substr(key.size() + 1);
            at = end;
        }
        return {};
    }

    void serve(Channel &channel)
    {
        Request request;
        while (channel.readRequest(request)) {
            const auto [status, body] = answer(request);
            if (!channel.write(
                        formatAnswer(status, "-", {{"Content-Type", "application/json"}}, body)))
                return;
        }
    }

    std::pair<int, std::string> answer(const Request &request)
    {
        const std::string prefix = "/api/objects/";
        const std::string path = request.target.substr(0, request.target.find('?'));
        if (path.rfind(prefix, 0) != 0)
            return {404, "{}"};
        const std::string rest = path.substr(prefix.size());
        const std::size_t slash = rest.find('/');
        const std::string kind = rest.substr(0, slash);
        const std::string name = slash == std::string::npos ? "" : rest.substr(slash + 1);
        std::unique_lock lock(m_mutex);
        if (request.method != "GET")
            return change(request, kind, name);
        const std::string watched = query(request.target, "watch");
        if (!watched.empty())
            return watch(lock, kind, std::strtoull(watched.c_str(), nullptr, 10),
                         Millis(std::atoi(query(request.target, "waitMs").c_str())));
        std::string entries;
        for (const auto &[key, object] : m_objects[kind]) {
            if (name.empty() || key == name)
                entries += (entries.empty() ? "" : ",") + format(key, object.revision, object.spec);
        }
        if (!name.empty())
            return entries.empty() ? std::pair(404, std::string("{}")) : std::pair(200, entries);
        return {200,
                "{\"entries\":[" + entries
                        + "],\"hasMore\":false,\"asOf\":" + std::to_string(m_revision) + "}"};
    }

    std::pair<int, std::string> watch(std::unique_lock<std::mutex> &lock, const std::string &kind,
                                      std::uint64_t since, Millis wait)
    {
        const auto deadline = Clock::now() + wait;
        for (;;) {
            std::string events;
            for (const Change &item : m_history) {
                if (item.kind == kind && item.revision > since)
                    events += (events.empty() ? "" : ",") + std::string("{\"deleted\":")
                            + (item.deleted ? "true" : "false")
                            + ",\"object\":" + format(item.name, item.revision, item.spec) + "}";
            }
            if (!events.empty() || m_changed.wait_until(lock, deadline) == std::cv_status::timeout)
                return {200,
                        "{\"events\":[" + events + "],\"asOf\":" + std::to_string(m_revision)
                                + "}"};
        }
    }

    std::pair<int, std::string> change(const Request &request, const std::string &kind,
                                       const std::string &name)
    {
        json_t *body = json_loadb(request.body.data(), request.body.size(), 0, nullptr);
        const json_t *metadata = json_object_get(body, "metadata");
        const json_t *nameMember = json_object_get(metadata, "name");
        const auto expected = static_cast<std::uint64_t>(
                json_integer_value(json_object_get(metadata, "revision")));
        char *spec = json_dumps(json_object_get(body, "spec"), JSON_COMPACT | JSON_ENCODE_ANY);
        const std::string specText = spec ? spec : "";
        std::free(spec);
        const bool creates = request.method == "POST";
        const std::string key = creates && json_is_string(nameMember)
                ? json_string_value(nameMember)
                : name;
        json_decref(body);
        std::map<std::string, Object> &objects = m_objects[kind];
        const auto found = objects.find(key);
        if (!creates && found == objects.end())
            return {404, "{}"};
        if (found != objects.end()
            && (creates || (expected != 0 && expected != found->second.revision)))
            return {409, format(key, found->second.revision, found->second.spec)};
        if (request.method == "DELETE") {
            objects.erase(key);
            m_history.push_back({++m_revision, kind, key, true, ""});
            m_changed.notify_all();
            return {200, "{}"};
        }
        write(kind, key, specText);
        return {200, format(key, objects[key].revision, objects[key].spec)};
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, Object>> m_objects;
    std::deque<Change> m_history;
    std::uint64_t m_revision = 1;
    Listener m_listener;
};

/*!
    The platform's interface for duties. Accepts each call.
*/
class Cloud
{
public:
    Cloud(const std::string &ip, int port)
        : m_listener(ip, port, [](Channel &channel) {
              Request request;
              while (channel.readRequest(request)) {
                  if (!channel.write(formatAnswer(200, "OK", {}, "{}")))
                      return;
              }
          })
    {
    }

    bool isOk() const { return m_listener.isOk(); }

private:
    Listener m_listener;
};

/*!
    One engine. It reads requests, checks that they are meant for it, and lets the case answer them.
*/
class Engine
{
public:
    //! Answers the request. Returns whether the connection is kept.
    using Behavior = std::function<bool(Engine &, Channel &, const Request &)>;

    Engine(std::string id, std::string service, std::string zone, int slots, std::string ip,
           int port, Behavior behavior)
        : m_id(std::move(id)), m_service(std::move(service)), m_zone(std::move(zone)),
          m_slots(slots), m_ip(std::move(ip)), m_port(port), m_behavior(std::move(behavior)),
          m_listener(m_ip, port, [this](Channel &channel) {
              serve(channel);
          })
    {
    }

    const std::string &id() const { return m_id; }
    bool isOk() const { return m_listener.isOk(); }

    std::string entry(int sequence) const
    {
        return "{\"service\":\"" + m_service + "\",\"address\":\"" + m_ip + ":"
                + std::to_string(m_port) + "\",\"zone\":\"" + m_zone
                + "\",\"version\":\"v1\",\"slots\":" + std::to_string(m_slots)
                + ",\"state\":\"ready\",\"warmupLeftMs\":0,\"phase\":\"both\",\"models\":"
                  "[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"sequence\":"
                + std::to_string(sequence) + ",\"born\":1700000000000}";
    }

    Fields answerFields(const Request &request) const
    {
        return {{"Sesameproxy-Attempt-Id", findField(request.fields, "Sesameproxy-Attempt-Id")},
                {"Sesameproxy-Response-Seal", "3e1b.07.5a2.600.0.c9f2a4d1"}};
    }

    //! Number of times that a request with \a attempt began to run here.
    int runs(const std::string &attempt)
    {
        const std::lock_guard lock(m_mutex);
        const auto found = m_runs.find(attempt);
        return found == m_runs.end() ? 0 : found->second;
    }

    int totalRuns()
    {
        const std::lock_guard lock(m_mutex);
        return m_total;
    }

private:
    void serve(Channel &channel)
    {
        Request request;
        while (channel.readRequest(request)) {
            if (request.method == "GET" && request.target == "/healthz") {
                if (!channel.write(
                            formatAnswer(200, "OK", {{"Sesameproxy-Instance-Id", m_id}}, "")))
                    return;
                continue;
            }
            if (findField(request.fields, "Sesameproxy-Expect-Instance") != m_id) {
                if (!channel.write(formatAnswer(421, "Misdirected Request",
                                                {{"Sesameproxy-Instance-Id", m_id}}, "")))
                    return;
                continue;
            }
            {
                const std::lock_guard lock(m_mutex);
                ++m_runs[findField(request.fields, "Sesameproxy-Attempt-Id")];
                ++m_total;
            }
            if (!m_behavior(*this, channel, request))
                return;
        }
    }

    std::string m_id;
    std::string m_service;
    std::string m_zone;
    int m_slots;
    std::string m_ip;
    int m_port;
    Behavior m_behavior;
    std::mutex m_mutex;
    std::map<std::string, int> m_runs;
    int m_total = 0;
    Listener m_listener;
};

/*!
    Answers with \a count events, of which the first comes after \a first and the others follow at
    intervals of \a gap. Stops when the caller closes the connection.
*/
inline bool sendEvents(Engine &engine, Channel &channel, const Request &request, int count,
                       Millis first, Millis gap)
{
    std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                       "Transfer-Encoding: chunked\r\n";
    for (const auto &[key, value] : engine.answerFields(request))
        head += key + ": " + value + "\r\n";
    for (int i = 1; i <= count; ++i) {
        if (channel.hasPeerClosed(i == 1 ? first : gap))
            return false;
        const std::string event = "id: " + std::to_string(i) + "\ndata: piece " + std::to_string(i)
                + "\n\n";
        char size[16];
        std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
        if (!channel.write((i == 1 ? head + "\r\n" : "") + size + event + "\r\n"))
            return false;
    }
    return channel.write("0\r\n\r\n");
}

/*!
    Answers with a plain body after \a work. Stops when the caller closes the connection.
*/
inline bool sendPlain(Engine &engine, Channel &channel, const Request &request, Millis work)
{
    if (channel.hasPeerClosed(work))
        return false;
    return channel.write(
            formatAnswer(200, "OK", engine.answerFields(request), std::string(800, 'b')));
}

/*!
    The nodes of the project, started with the command of the deploy file. Like the platform, it
    starts a process again after a short delay when it has ended, and kills one whose memory is over
    the limit of the settings.
*/
class Deployment
{
public:
    struct Node
    {
        std::string name;
        std::string ip;
        std::string zone;
        pid_t pid = 0;
        int ends = 0; //!< Ends of the process that the case did not bring about.
        int memoryEnds = 0; //!< Those of them by memory over the limit.
        std::int64_t peakKb = 0;
        bool isStopping = false; //!< The case has sent SIGTERM.
        bool restarts = true;
        Clock::time_point endedAt {};
    };

    static constexpr int memoryLimitMb = 260;
    static constexpr auto restartDelay = 500ms;
    //! A run that takes longer could not be carried out.
    static constexpr auto runLimit = 115s;
    static constexpr int grace = 8;

    Deployment(int nodeCount, const std::string &manifest)
    {
        std::string pattern = std::filesystem::temp_directory_path() / "review.XXXXXX";
        m_directory = ::mkdtemp(pattern.data());
        static const char *const zones[] = {"brussels-a", "brussels-b", "ghent", "liege"};
        for (int i = 0; i < nodeCount; ++i)
            nodes.push_back(
                    {.name = "edge-" + std::string(zones[i % 4]) + "-" + std::to_string(i / 4 + 1),
                     .ip = "127.0.1." + std::to_string(i + 1),
                     .zone = zones[i % 4]});
        // Ports are the same on all machines of a day.
        std::mt19937 random(std::random_device {}());
        do {
            port = std::uniform_int_distribution<int>(21000, 31000)(random);
        } while (!arePortsFree());
        store = std::make_unique<Store>(platformIp, port);
        cloud = std::make_unique<Cloud>(platformIp, port + 1);
        store->put("config", "main", manifest);
    }

    ~Deployment() { stop(); }

    /*!
        Ends all nodes. The stand-ins go on until the program ends.
    */
    void stop()
    {
        if (m_ending.exchange(true))
            return;
        {
            const std::lock_guard lock(mutex);
            for (Node &node : nodes) {
                if (node.pid > 0) {
                    ::kill(node.pid, SIGKILL);
                    ::waitpid(node.pid, nullptr, 0);
                    node.pid = 0;
                }
            }
        }
        if (m_supervisor.joinable())
            m_supervisor.join();
        m_beatsEnd = true;
        if (m_beats.joinable())
            m_beats.join();
        if (std::getenv("REVIEW_KEEP"))
            std::printf("logs: %s\n", m_directory.c_str());
        else
            std::filesystem::remove_all(m_directory);
    }

    Engine &addEngine(const std::string &id, const std::string &service, int slots,
                      Engine::Behavior behavior)
    {
        const std::string ip = "127.0.2." + std::to_string(engines.size() + 1);
        static const char *const zones[] = {"brussels-a", "brussels-b", "ghent", "liege"};
        engines.push_back(std::make_unique<Engine>(id, service, zones[engines.size() % 4], slots,
                                                   ip, port, std::move(behavior)));
        store->put("servers", id, engines.back()->entry(0));
        return *engines.back();
    }

    /*!
        Starts all nodes and waits until they are ready. Returns false if one does not get ready.
    */
    bool start()
    {
        if (!store->isOk() || !cloud->isOk())
            return false;
        for (const auto &engine : engines) {
            if (!engine->isOk())
                return false;
        }
        {
            const std::lock_guard lock(mutex);
            for (Node &node : nodes)
                startProcess(node, true);
        }
        m_supervisor = std::thread([this] {
            supervise();
        });
        m_beats = std::thread([this] {
            for (int sequence = 1; !m_beatsEnd; ++sequence) {
                for (const auto &engine : engines)
                    store->put("servers", engine->id(), engine->entry(sequence));
                for (int i = 0; i < 12 && !m_beatsEnd; ++i)
                    std::this_thread::sleep_for(100ms);
            }
        });
        const auto deadline = Clock::now() + 20s;
        for (const Node &node : nodes) {
            while (!isReady(node)) {
                if (Clock::now() > deadline)
                    return false;
                std::this_thread::sleep_for(50ms);
            }
        }
        record("all %d nodes are ready", static_cast<int>(nodes.size()));
        return true;
    }

    bool isReady(const Node &node) const
    {
        Channel channel;
        return channel.connect(node.ip, port + 1)
                && channel.write("GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                && channel.readAnswer(Clock::now() + 1s).status == 200;
    }

    void signal(std::size_t index, int number)
    {
        const std::lock_guard lock(mutex);
        if (number == SIGTERM)
            nodes[index].isStopping = true;
        if (nodes[index].pid > 0)
            ::kill(nodes[index].pid, number);
    }

    std::vector<Node> nodes;
    std::vector<std::unique_ptr<Engine>> engines;
    std::unique_ptr<Store> store;
    std::unique_ptr<Cloud> cloud;
    std::mutex mutex; //!< Guards the nodes after the start.
    int port = 0; //!< Port of the entry of each node; the others follow.

private:
    static constexpr const char *platformIp = "127.0.3.1";

    bool arePortsFree() const
    {
        for (const Node &node : nodes) {
            for (int i = 0; i < 6; ++i) {
                if (!isPortFree(node.ip, port + i))
                    return false;
            }
        }
        for (int i = 1; i <= 32; ++i) {
            if (!isPortFree("127.0.2." + std::to_string(i), port))
                return false;
        }
        return isPortFree(platformIp, port) && isPortFree(platformIp, port + 1);
    }

    std::string settings(const Node &node, bool isFirstStart) const
    {
        const auto at = [&](const std::string &ip, int offset) {
            return "\"" + ip + ":" + std::to_string(port + offset) + "\"\n";
        };
        std::ostringstream text;
        text << "nodeName: \"" << node.name << "\"\nrole: \"node\"\nmachineClass: \"edge\"\n"
             << "serves:\n  - \"edge\"\n  - \"registry\"\nip: \"" << node.ip << "\"\nzone: \""
             << node.zone << "\"\nregion: \"be-central\"\nzones:\n  brussels-a: \"be-central\"\n"
             << "  brussels-b: \"be-central\"\n  ghent: \"be-central\"\n  liege: \"be-central\"\n"
             << "listen:\n  frontend: " << at(node.ip, 0) << "  readiness: " << at(node.ip, 1)
             << "  controlPlane: " << at(node.ip, 2) << "  directory: " << at(node.ip, 3)
             << "internalPorts:\n  - " << port + 4 << "\n  - " << port + 5 << "\nseeds: []\n"
             << "bootstrap: " << (isFirstStart ? "true" : "false") << "\nfaultCounted: true\n"
             << "limits:\n  cpuShare: 0.25\n  cores: 1\n  memoryMb: " << memoryLimitMb
             << "\n  fileDescriptors: 4100\n  linkMbps: 1000.0\n  diskMb: 0\ndataDir: null\n"
             << "discovery: \"platform\"\nentry: \"registry\"\nheartbeatMs: 1200\n"
             << "bounds:\n  contactMs: 3000\n  ackMs: 4000\n  drainMs: 2000\n  graceS: " << grace
             << "\n  lossSlackMs: 200\n  configApplyMs: 2000\n  rollbackSlackMs: 250\n"
             << "  partitionMs: 5000\n  revokeFailClosed: false\n  revokeMs: 5000\n"
             << "  retryBudgetRatio: 0.2\n  retryWindowS: 10\n  retrySlack: 54\n"
             << "  quotaWindowS: 8\n  quotaOverrun: 0.1\n  quotaSlack: 140000\n"
             << "  fencingRequired: false\n  leaseMs: 3000\n  thawMs: 300\n  reportWindowS: 5\n"
             << "  usageOff: 0.05\n  usageDelayS: 10\n  recoveryS: 12\n  passMs: 120\n"
             << "  reuseWindowS: 6\n  ttl_max_s: 5\n"
             << "platform:\n  address: " << at(platformIp, 0)
             << "  form: \"objects\"\n  writesPerS: 400\n  readsPerS: 2000\n  historyS: 20\n"
             << "  valueBytes: 1048576\n  ttlMinMs: 1000\ncloud:\n  address: " << at(platformIp, 1)
             << "  ratePerS: 50.0\n  duties:\n    - \"metering\"\n    - \"autoscale\"\n"
             << "  dutyPerS: 50.0\n";
        return text.str();
    }

    void startProcess(Node &node, bool isFirstStart)
    {
        const std::string file = m_directory + "/" + node.name + ".yaml";
        std::ofstream(file) << settings(node, isFirstStart);
        const std::string log = m_directory + "/" + node.name + ".log";
        const std::string setting = "SESAMEPROXY_NODE_FILE=" + file;
        const char *const searchPath = std::getenv("PATH");
        const std::string path = std::string("PATH=") + (searchPath ? searchPath : "");
        const std::string program = std::getenv("REVIEW_PROGRAM");
        const char *const arguments[] = {program.c_str(), "serve-platform", nullptr};
        const char *const environment[] = {path.c_str(), setting.c_str(), nullptr};
        node.isStopping = false;
        node.pid = ::fork();
        if (node.pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // Ends with this program, however that ends.
            const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(output, 1);
            ::dup2(output, 2);
            ::close_range(3, ~0U, 0);
            ::execve(arguments[0], const_cast<char *const *>(arguments),
                     const_cast<char *const *>(environment));
            ::_exit(127);
        }
    }

    static std::int64_t residentKb(pid_t pid)
    {
        std::ifstream file("/proc/" + std::to_string(pid) + "/status");
        for (std::string line; std::getline(file, line);) {
            if (line.rfind("VmRSS:", 0) == 0)
                return std::atoll(line.c_str() + 6);
        }
        return 0;
    }

    void supervise()
    {
        while (!m_ending) {
            std::this_thread::sleep_for(20ms);
            const std::lock_guard lock(mutex);
            if (Clock::now() - startTime > runLimit) {
                record("the run took too long");
                for (const Node &node : nodes) {
                    if (node.pid > 0)
                        ::kill(node.pid, SIGKILL);
                }
                std::filesystem::remove_all(m_directory);
                std::_Exit(2);
            }
            for (Node &node : nodes) {
                if (node.pid == 0) {
                    if (!m_ending && node.restarts && Clock::now() - node.endedAt >= restartDelay)
                        startProcess(node, false);
                    continue;
                }
                const std::int64_t kb = residentKb(node.pid);
                node.peakKb = std::max(node.peakKb, kb);
                const bool isOver = kb > memoryLimitMb * 1024;
                if (isOver)
                    ::kill(node.pid, SIGKILL);
                int status = 0;
                if (::waitpid(node.pid, &status, isOver ? 0 : WNOHANG) != node.pid)
                    continue;
                node.pid = 0;
                node.endedAt = Clock::now();
                if (isOver) {
                    ++node.ends;
                    ++node.memoryEnds;
                    record("%s: killed by the platform, %lld MB of memory, over the limit of %d",
                           node.name.c_str(), static_cast<long long>(kb / 1024), memoryLimitMb);
                } else if (node.isStopping && WIFEXITED(status)) {
                    record("%s: exited with %d after SIGTERM", node.name.c_str(),
                           WEXITSTATUS(status));
                } else {
                    ++node.ends;
                    record("%s: ended by itself: %s %d", node.name.c_str(),
                           WIFSIGNALED(status) ? "signal" : "exit code",
                           WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
                }
            }
        }
    }

    std::string m_directory;
    std::thread m_supervisor;
    std::thread m_beats;
    std::atomic<bool> m_ending = false;
    std::atomic<bool> m_beatsEnd = false;
};

inline constexpr const char *host = "ficu95.example";
inline constexpr const char *apiKey = "i9n73hh2b9wu3fexd9dn";

/*!
    The manifest of the cases: the routes of the sheet of mimefest-entries.
*/
inline std::string manifest()
{
    const auto route = [](const std::string &prefix, const std::string &type, int timeoutMs,
                          int targetMs, int priority, const std::string &service, int attempts,
                          const std::string &more) {
        return "{\"name\":\"r-" + prefix + "\",\"hostname\":\"" + host + "\",\"pathPrefix\":\"/"
                + prefix + "/\",\"routeType\":\"" + type + "\",\"timeoutMs\":"
                + std::to_string(timeoutMs) + ",\"targetLatencyMs\":" + std::to_string(targetMs)
                + ",\"priority\":" + std::to_string(priority) + ",\"service\":\"" + service
                + "\",\"maxAttempts\":" + std::to_string(attempts) + ",\"anonymous\":false" + more
                + "}";
    };
    const std::string stream = ",\"sessionAffinity\":true,\"targetGapMs\":400,\"streamResume\":";
    return "{\"version\":7,\"routes\":["
            + route("dossier-review", "streaming", 10000, 1500, 2, "jury-model", 1,
                    stream + "false")
            + ","
            + route("jury-notes", "streaming", 10000, 500, 0, "jury-model", 2, stream + "true")
            + ","
            + route("discipline-tag", "streaming", 2500, 500, 1, "jury-model", 1, stream + "false")
            + "," + route("fee-payment", "unsafe", 2500, 150, 2, "entry-portal", 1, "") + ","
            + route("entry-status", "safe", 2500, 150, 2, "entry-portal", 2, "")
            + "],\"services\":[{\"name\":\"jury-model\",\"healthPath\":\"/healthz\","
              "\"maxConnections\":300,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":48,"
              "\"kvCapacity\":444000,\"kvTokenBytes\":131072,\"linkMbps\":550000.0,"
              "\"models\":[{\"name\":\"m\"}]}},{\"name\":\"entry-portal\",\"healthPath\":"
              "\"/healthz\",\"maxConnections\":100,\"protocol\":\"h1\",\"tls\":false}],"
              "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
              "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":"
              "\"hule930\",\"apiKeys\":[\""
            + std::string(apiKey) + "\"],\"priority\":1}]}";
}

inline std::string nextAttemptId()
{
    static std::atomic<std::uint64_t> number = 0x9c41d07b00000000ULL;
    char text[24];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(++number));
    return text;
}

/*!
    Formats a request of a client on the route \a route.
*/
inline std::string formatClientRequest(const std::string &method, const std::string &route,
                                       const std::string &id, int deadlineMs, bool isModelWork,
                                       std::size_t bodyBytes, const std::string &lastEventId = "")
{
    std::string text = method + " /" + route + "/2f HTTP/1.1\r\nHost: " + host
            + "\r\nSesameproxy-Attempt-Id: " + id + "\r\nSesameproxy-Deadline-Ms: "
            + std::to_string(deadlineMs) + "\r\nAuthorization: Token " + apiKey + "\r\n";
    if (isModelWork)
        text += "Sesameproxy-Model: m\r\nSesameproxy-Token-Usage: 826,288\r\n"
                "Sesameproxy-Prefix-Hash: 5c1e07a2:119,91bd3f06:79,"
                + id + ":628\r\n";
    if (!lastEventId.empty())
        text += "Last-Event-Id: " + lastEventId + "\r\n";
    if (method == "POST")
        text += "Content-Length: " + std::to_string(bodyBytes) + "\r\n";
    return text + "\r\n" + (method == "POST" ? id + std::string(bodyBytes - id.size(), 'p') : "");
}

} // namespace review
