// Small stand-ins for the cases of the second review: an object store, the platform's API, engines,
// clients, and the node processes themselves. Everything listens on loopback addresses. Only the
// C++ library and POSIX are used.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitNotRun = 2;

inline Clock::time_point &startTime()
{
    static Clock::time_point start = Clock::now();
    return start;
}

inline long sinceStartMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - startTime())
            .count();
}

// Lines of record.txt. Each begins with the milliseconds since the start of the case.
class Record
{
public:
    explicit Record(const std::string &path) : m_file(path, std::ios::trunc) { }

    void add(const char *format, ...) __attribute__((format(printf, 2, 3)))
    {
        char text[2048];
        va_list arguments;
        va_start(arguments, format);
        vsnprintf(text, sizeof(text), format, arguments);
        va_end(arguments);
        const std::lock_guard lock(m_mutex);
        m_file << sinceStartMs() << " " << text << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

inline bool isSameName(const std::string &a, const std::string &b)
{
    return a.size() == b.size() && strcasecmp(a.c_str(), b.c_str()) == 0;
}

struct Message
{
    std::string start; // Request line or status line.
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    std::string field(const std::string &name) const
    {
        for (const auto &[key, value] : fields) {
            if (isSameName(key, name))
                return value;
        }
        return {};
    }
    std::string method() const { return start.substr(0, start.find(' ')); }
    std::string target() const
    {
        const auto first = start.find(' ');
        return start.substr(first + 1, start.find(' ', first + 1) - first - 1);
    }
    int status() const { return atoi(start.substr(start.find(' ') + 1).c_str()); }
};

// A connected socket with a buffer of received bytes.
class Connection
{
public:
    explicit Connection(int fd) : m_fd(fd) { }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;
    ~Connection() { close(); }

    static std::unique_ptr<Connection> connect(const std::string &ip, int port)
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<uint16_t>(port));
        inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        if (::connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0) {
            ::close(fd);
            return nullptr;
        }
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        return std::make_unique<Connection>(fd);
    }

    int descriptor() const { return m_fd; }

    void close()
    {
        if (m_fd >= 0)
            ::close(m_fd);
        m_fd = -1;
    }

    bool send(const std::string &text)
    {
        std::size_t sent = 0;
        while (sent < text.size()) {
            const ssize_t n = ::send(m_fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (n <= 0)
                return false;
            sent += static_cast<std::size_t>(n);
        }
        return true;
    }

    // Reads more bytes. Returns false at the end, after an error or at the deadline.
    bool fill(Clock::time_point deadline)
    {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline
                                                                                - Clock::now())
                                  .count();
        pollfd item {.fd = m_fd, .events = POLLIN, .revents = 0};
        m_timedOut = left <= 0 || ::poll(&item, 1, static_cast<int>(left)) <= 0;
        if (m_timedOut)
            return false;
        char bytes[16384];
        const ssize_t n = ::recv(m_fd, bytes, sizeof(bytes), 0);
        if (n <= 0)
            return false;
        buffer.append(bytes, static_cast<std::size_t>(n));
        return true;
    }

    // Returns whether the peer has closed the connection.
    bool isClosedByPeer() const
    {
        char byte = 0;
        const ssize_t n = ::recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    bool timedOut() const { return m_timedOut; }

    std::optional<std::string> readLine(Clock::time_point deadline)
    {
        while (true) {
            const auto end = buffer.find("\r\n");
            if (end != std::string::npos) {
                std::string line = buffer.substr(0, end);
                buffer.erase(0, end + 2);
                return line;
            }
            if (!fill(deadline))
                return std::nullopt;
        }
    }

    bool readHead(Message &message, Clock::time_point deadline)
    {
        const auto start = readLine(deadline);
        if (!start)
            return false;
        message.start = *start;
        while (const auto line = readLine(deadline)) {
            if (line->empty())
                return true;
            const auto colon = line->find(':');
            std::string value = colon == std::string::npos ? "" : line->substr(colon + 1);
            while (!value.empty() && value.front() == ' ')
                value.erase(0, 1);
            message.fields.emplace_back(line->substr(0, colon), value);
        }
        return false;
    }

    // Reads a body with a length or in chunks. Calls received, if set, for each piece. Returns
    // whether the body is complete.
    bool readBody(Message &message, Clock::time_point deadline,
                  const std::function<void(const std::string &)> &received = {})
    {
        const auto take = [&](std::size_t n) {
            const std::string piece = buffer.substr(0, n);
            buffer.erase(0, n);
            message.body += piece;
            if (received)
                received(piece);
        };
        if (isSameName(message.field("Transfer-Encoding"), "chunked")) {
            while (true) {
                const auto line = readLine(deadline);
                if (!line)
                    return false;
                std::size_t left = strtoul(line->c_str(), nullptr, 16);
                if (left == 0)
                    return readLine(deadline).has_value();
                while (left > 0) {
                    if (buffer.empty() && !fill(deadline))
                        return false;
                    const std::size_t n = std::min(left, buffer.size());
                    take(n);
                    left -= n;
                }
                if (!readLine(deadline))
                    return false;
            }
        }
        std::size_t left = strtoul(message.field("Content-Length").c_str(), nullptr, 10);
        while (left > 0) {
            if (buffer.empty() && !fill(deadline))
                return false;
            const std::size_t n = std::min(left, buffer.size());
            take(n);
            left -= n;
        }
        return true;
    }

    std::string buffer;

private:
    int m_fd;
    bool m_timedOut = false;
};

// Serves each connection in a thread of its own. The handler returns whether the connection is
// kept.
class Server
{
public:
    using Handler = std::function<bool(Connection &, Message &)>;

    Server(const std::string &ip, int port, Handler handler) : m_handler(std::move(handler))
    {
        m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<uint16_t>(port));
        inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        if (::bind(m_fd, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0
            || ::listen(m_fd, 512) != 0) {
            perror("stand-in cannot listen");
            _exit(exitNotRun);
        }
        std::thread([this] {
            while (true) {
                const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd < 0)
                    continue;
                const int on = 1;
                setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
                std::thread([this, fd] {
                    Connection connection(fd);
                    while (true) {
                        Message request;
                        const auto deadline = Clock::now() + 60s;
                        if (!connection.readHead(request, deadline)
                            || !connection.readBody(request, deadline)
                            || !m_handler(connection, request))
                            return;
                    }
                }).detach();
            }
        }).detach();
    }

private:
    int m_fd;
    Handler m_handler;
};

inline std::string formatAnswer(int status, const std::string &body, const std::string &fields = {})
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields
            + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// The value of member key in the JSON object text, which must be an object, an array or a number.
inline std::string jsonMember(const std::string &text, const std::string &key)
{
    const auto at = text.find("\"" + key + "\":");
    if (at == std::string::npos)
        return {};
    std::size_t i = at + key.size() + 3;
    while (i < text.size() && text[i] == ' ')
        ++i;
    const std::size_t begin = i;
    int depth = 0;
    bool isString = false;
    for (; i < text.size(); ++i) {
        const char c = text[i];
        if (isString) {
            if (c == '\\')
                ++i;
            else if (c == '"')
                isString = false;
            continue;
        }
        if (c == '"')
            isString = true;
        else if (c == '{' || c == '[')
            ++depth;
        else if (c == '}' || c == ']')
            --depth;
        if ((depth < 0 || (depth == 0 && c == ',')))
            return text.substr(begin, i - begin);
        if (depth == 0 && (c == '}' || c == ']'))
            return text.substr(begin, i + 1 - begin);
    }
    return text.substr(begin, i - begin);
}

// The platform's store: objects by kind and name with one counter of revisions.
class Store
{
public:
    void put(const std::string &kind, const std::string &name, const std::string &spec)
    {
        const std::lock_guard lock(m_mutex);
        write(kind, name, spec);
    }

    void remove(const std::string &kind, const std::string &name)
    {
        const std::lock_guard lock(m_mutex);
        erase(kind, name);
    }

    bool handle(Connection &connection, const Message &request)
    {
        const std::string target = request.target();
        const std::string path = target.substr(0, target.find('?'));
        const std::string prefix = "/api/objects/";
        if (!path.starts_with(prefix))
            return connection.send(formatAnswer(404, "{}"));
        const std::string rest = path.substr(prefix.size());
        const auto slash = rest.find('/');
        const std::string kind = rest.substr(0, slash);
        const std::string name = slash == std::string::npos ? "" : rest.substr(slash + 1);
        const std::string watch = parameter(target, "watch");
        std::unique_lock lock(m_mutex);
        if (request.method() == "GET" && !watch.empty()) {
            const long since = atol(watch.c_str());
            if (since < oldestRevision())
                return connection.send(formatAnswer(410, "{}", json));
            const auto wait = std::chrono::milliseconds(atol(parameter(target, "waitMs").c_str()));
            m_changed.wait_for(lock, wait, [&] {
                return !events(kind, since).empty();
            });
            const std::string body = "{\"events\":[" + events(kind, since)
                    + "],\"asOf\":" + std::to_string(m_revision) + "}";
            lock.unlock();
            return connection.send(formatAnswer(200, body, json));
        }
        if (request.method() == "GET") {
            std::string entries;
            const std::string after = parameter(target, "sinceRevision");
            bool hasMore = false;
            int n = 0;
            for (auto it = m_objects[kind].upper_bound(after); it != m_objects[kind].end(); ++it) {
                const std::string entry = format(it->first, it->second);
                hasMore = n == pageEntries || (n > 0 && entries.size() + entry.size() > pageBytes);
                if (hasMore)
                    break;
                entries += (entries.empty() ? "" : ",") + entry;
                ++n;
            }
            const std::string body = "{\"entries\":[" + entries
                    + "],\"hasMore\":" + (hasMore ? "true" : "false")
                    + ",\"asOf\":" + std::to_string(m_revision) + "}";
            lock.unlock();
            return connection.send(formatAnswer(200, body, json));
        }
        const std::string metadata = jsonMember(request.body, "metadata");
        const std::string spec = jsonMember(request.body, "spec");
        if (request.method() == "POST") {
            const std::string quoted = jsonMember(metadata, "name");
            const std::string created = quoted.substr(1, quoted.size() - 2);
            const auto found = m_objects[kind].find(created);
            if (found != m_objects[kind].end())
                return connection.send(formatAnswer(409, format(created, found->second), json));
            write(kind, created, spec);
            return connection.send(
                    formatAnswer(201, format(created, m_objects[kind][created]), json));
        }
        const auto found = m_objects[kind].find(name);
        if (found == m_objects[kind].end())
            return connection.send(formatAnswer(404, "{}", json));
        if (request.method() == "PUT") {
            const std::string revision = jsonMember(metadata, "revision");
            if (!revision.empty() && atol(revision.c_str()) != found->second.revision)
                return connection.send(formatAnswer(409, format(name, found->second), json));
            if (spec != found->second.spec)
                write(kind, name, spec);
            return connection.send(formatAnswer(200, format(name, found->second), json));
        }
        erase(kind, name);
        return connection.send(formatAnswer(200, "{}", json));
    }

private:
    struct Object
    {
        long revision = 0;
        std::string spec;
    };
    struct Removal
    {
        std::string kind;
        long revision = 0;
        std::string object;
    };

    static constexpr const char *json = "Content-Type: application/json\r\n";
    static constexpr int pageEntries = 500;
    static constexpr std::size_t pageBytes = 1'000'000;
    static constexpr auto history = 20s;

    // Returns the oldest revision from which a watch can continue.
    long oldestRevision() const
    {
        long oldest = 0;
        for (const auto &[revision, at] : m_changes) {
            if (at < Clock::now() - history)
                oldest = revision;
        }
        return oldest;
    }

    static std::string parameter(const std::string &target, const std::string &name)
    {
        const auto query = target.find('?');
        if (query == std::string::npos)
            return {};
        std::stringstream items(target.substr(query + 1));
        std::string item;
        while (std::getline(items, item, '&')) {
            if (item.starts_with(name + "="))
                return item.substr(name.size() + 1);
        }
        return {};
    }

    void write(const std::string &kind, const std::string &name, const std::string &spec)
    {
        m_objects[kind][name] = {.revision = ++m_revision, .spec = spec};
        m_changes.emplace_back(m_revision, Clock::now());
        m_changed.notify_all();
    }

    void erase(const std::string &kind, const std::string &name)
    {
        const auto found = m_objects[kind].find(name);
        if (found == m_objects[kind].end())
            return;
        m_removed.push_back({kind, ++m_revision, format(name, found->second)});
        m_changes.emplace_back(m_revision, Clock::now());
        m_objects[kind].erase(found);
        m_changed.notify_all();
    }

    static std::string format(const std::string &name, const Object &object)
    {
        return "{\"metadata\":{\"name\":\"" + name
                + "\",\"revision\":" + std::to_string(object.revision)
                + ",\"created\":1,\"finalizers\":[],\"deletionPending\":false},\"spec\":"
                + object.spec + ",\"status\":null}";
    }

    std::string events(const std::string &kind, long since)
    {
        std::map<long, std::string> ordered;
        for (const auto &[name, object] : m_objects[kind]) {
            if (object.revision > since)
                ordered[object.revision] = "{\"deleted\":false,\"object\":" + format(name, object)
                        + "}";
        }
        for (const Removal &removal : m_removed) {
            if (removal.kind == kind && removal.revision > since)
                ordered[removal.revision] = "{\"deleted\":true,\"object\":" + removal.object + "}";
        }
        std::string text;
        for (const auto &[revision, event] : ordered)
            text += (text.empty() ? "" : ",") + event;
        return text;
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    long m_revision = 1;
    std::map<std::string, std::map<std::string, Object>> m_objects;
    std::vector<Removal> m_removed;
    std::vector<std::pair<long, Clock::time_point>> m_changes;
};

struct NodeOptions
{
    int memoryMb = 260;
    int descriptors = 4100;
    std::string contracts = "base drain config cost retry recover engine stream tenants quota "
                            "leader platform";
};

// A deployment: the platform's stand-ins and node processes that are started with the command of
// the deploy file.
class Deployment
{
public:
    Deployment(int argc, char **argv) : record(argc > 1 ? argv[1] : "record.txt")
    {
        startTime();
        signal(SIGPIPE, SIG_IGN);
        // Hundreds of clients need as many descriptors here.
        rlimit limit {};
        getrlimit(RLIMIT_NOFILE, &limit);
        limit.rlim_cur = limit.rlim_max;
        setrlimit(RLIMIT_NOFILE, &limit);
        char folder[] = "/tmp/review-2-XXXXXX";
        m_folder = mkdtemp(folder);
        const char *trouble = getenv("TROUBLE");
        hasTrouble = !trouble || std::string(trouble) != "0";
        findAddresses();
        m_store = std::make_unique<Server>(m_net + "9.1", m_port, [this](auto &c, auto &request) {
            return store.handle(c, request);
        });
        m_cloud = std::make_unique<Server>(m_net + "9.2", m_port, [](auto &c, auto &) {
            return c.send(formatAnswer(200, "{}"));
        });
        record.add("trouble: %s", hasTrouble ? "yes" : "no");
    }

    // Ends the case and the processes that it started. Threads of the stand-ins still run, so
    // nothing of them is destroyed.
    [[noreturn]] void finish(int code)
    {
        for (const auto &[node, pid] : m_processes)
            kill(pid, SIGKILL);
        for (const auto &[node, pid] : m_processes)
            waitpid(pid, nullptr, 0);
        std::error_code ignored;
        if (getenv("KEEP"))
            record.add("settings and logs of the nodes: %s", m_folder.c_str());
        else
            std::filesystem::remove_all(m_folder, ignored);
        record.add("exit code: %d", code);
        _exit(code);
    }

    std::string nodeIp(int node) const { return m_net + "1." + std::to_string(node); }
    std::string engineIp(int engine) const { return m_net + "2." + std::to_string(engine); }
    int port() const { return m_port; }
    int entryPort() const { return m_port + 1; }
    const std::string &folder() const { return m_folder; }

    void writeConfig(const std::string &routes, const std::string &services)
    {
        store.put("config", "main",
                  "{\"version\":7,\"routes\":[" + routes + "],\"services\":[" + services
                          + "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
                            "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[{"
                            "\"name\":\"tenant-a\",\"apiKeys\":[\"key-a\"],\"ratePerS\":0,"
                            "\"burst\":0,\"unit\":\"tokens\",\"uncachedTokens\":200}]}");
    }

    void writeEngine(int engine, const std::string &service, int slots,
                     const std::string &zone = "b", const std::string &state = "ready",
                     long born = 1700000000000)
    {
        store.put("servers", "i-" + std::to_string(engine),
                  "{\"service\":\"" + service + "\",\"address\":\"" + engineIp(engine) + ":"
                          + std::to_string(m_port) + "\",\"zone\":\"zone-" + zone
                          + "\",\"version\":\"v1\",\"slots\":" + std::to_string(slots)
                          + ",\"state\":\"" + state
                          + "\",\"warmupLeftMs\":0,\"sequence\":4,\"born\":" + std::to_string(born)
                          + "}");
    }

    void startNode(int node, const NodeOptions &options = {})
    {
        const std::string settings = m_folder + "/node-" + std::to_string(node) + ".yaml";
        writeSettings(settings, node, options);
        const std::string log = m_folder + "/node-" + std::to_string(node) + ".log";
        const pid_t pid = fork();
        if (pid == 0) {
            // A case that is ended leaves no process behind.
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(fd, 1);
            dup2(fd, 2);
            setenv("SESAMEPROXY_NODE_FILE", settings.c_str(), 1);
            execl("target/Source/sesameproxy", "target/Source/sesameproxy", "serve-platform",
                  nullptr);
            _exit(127);
        }
        m_processes[node] = pid;
        record.add("node %d started", node);
    }

    // Waits until all started nodes are ready. The case cannot run if they are not.
    bool waitUntilReady(std::chrono::seconds limit = 20s)
    {
        const auto deadline = Clock::now() + limit;
        for (const auto &[node, pid] : m_processes) {
            while (true) {
                if (Clock::now() > deadline)
                    return false;
                const auto connection = Connection::connect(nodeIp(node), m_port + 2);
                Message answer;
                if (connection && connection->send("GET /api/readyz HTTP/1.1\r\nHost: n\r\n\r\n")
                    && connection->readHead(answer, Clock::now() + 1s) && answer.status() == 200)
                    break;
                std::this_thread::sleep_for(50ms);
            }
        }
        // The nodes hear of each other within a second.
        std::this_thread::sleep_for(1500ms);
        return true;
    }

    pid_t processOf(int node) { return m_processes[node]; }

    // Returns the status of the process if it has ended by itself.
    std::optional<int> exitStatus(int node)
    {
        int status = 0;
        if (waitpid(m_processes[node], &status, WNOHANG) != m_processes[node])
            return std::nullopt;
        m_processes.erase(node);
        return status;
    }

    void killNode(int node)
    {
        kill(m_processes[node], SIGKILL);
        waitpid(m_processes[node], nullptr, 0);
        m_processes.erase(node);
    }

    // Returns a value of /proc/PID/status in KiB, for example VmRSS.
    long memoryKib(int node, const std::string &key)
    {
        std::ifstream file("/proc/" + std::to_string(m_processes[node]) + "/status");
        std::string line;
        while (std::getline(file, line)) {
            if (line.starts_with(key + ":"))
                return atol(line.substr(key.size() + 1).c_str());
        }
        return 0;
    }

    Record record;
    Store store;
    bool hasTrouble = true;

private:
    static std::string zoneOf(int n) { return std::string(1, static_cast<char>('a' + n % 2)); }

    static bool isFree(const std::string &ip, int port)
    {
        bool isFree = true;
        for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
            const int fd = ::socket(AF_INET, type, 0);
            sockaddr_in address {};
            address.sin_family = AF_INET;
            address.sin_port = htons(static_cast<uint16_t>(port));
            inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
            isFree = isFree
                    && ::bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address)) == 0;
            ::close(fd);
        }
        return isFree;
    }

    // Chooses a loopback network and ports that nobody uses.
    void findAddresses()
    {
        for (int attempt = 0; attempt < 50; ++attempt) {
            m_net = "127." + std::to_string(20 + (getpid() + attempt * 7) % 200) + ".";
            m_port = 21000 + (getpid() * 13 + attempt * 101) % 9000;
            bool isUsable = true;
            for (int i = 0; i < 8; ++i)
                isUsable = isUsable && isFree(nodeIp(1), m_port + i)
                        && isFree(m_net + "9.1", m_port);
            if (isUsable)
                return;
        }
        _exit(exitNotRun);
    }

    void writeSettings(const std::string &path, int node, const NodeOptions &options)
    {
        const std::string ip = nodeIp(node);
        const auto address = [&](int offset) {
            return "\"" + ip + ":" + std::to_string(m_port + offset) + "\"\n";
        };
        std::ofstream file(path);
        file << "nodeName: \"edge-" << node << "\"\nrole: \"node\"\nmachineClass: \"edge\"\n"
             << "serves:\n  - \"edge\"\n  - \"registry\"\nip: \"" << ip << "\"\nzone: \"zone-"
             << zoneOf(node) << "\"\nregion: \"region\"\nzones:\n  zone-a: \"region\"\n"
             << "  zone-b: \"region\"\nlisten:\n  frontend: " << address(1)
             << "  readiness: " << address(2) << "  directory: " << address(3)
             << "internalPorts:\n  - " << m_port + 4 << "\n  - " << m_port + 7
             << "\nseeds: []\nbootstrap: true\nfaultCounted: false\n"
             << "limits:\n  cpuShare: 0.25\n  cores: 1\n  memoryMb: " << options.memoryMb
             << "\n  fileDescriptors: " << options.descriptors
             << "\n  linkMbps: 1000.0\n  diskMb: 0\ndataDir: null\ndiscovery: \"platform\"\n"
             << "entry: \"registry\"\nheartbeatMs: 1200\ncontracts:\n";
        std::istringstream contracts(options.contracts);
        std::string contract;
        while (contracts >> contract)
            file << "  - \"" << contract << "\"\n";
        file << "faultTolerance:\n  machines: 2\n  zones: 0\n  regions: 0\nbounds:\n"
             << "  seedLagS: 3\n  reuseAfterS: 2\n  contactMs: 3000\n  ackMs: 4000\n"
             << "  catchUpS: 4\n  drainMs: 2000\n  graceS: 8\n  lossSlackMs: 200\n"
             << "  configApplyMs: 2000\n  rollbackSlackMs: 250\n  partitionMs: 5000\n"
             << "  revokeFailClosed: false\n  revokeMs: 5000\n  retryBudgetRatio: 0.2\n"
             << "  retryWindowS: 10\n  retrySlack: 54\n  quotaWindowS: 8\n  quotaOverrun: 0.1\n"
             << "  quotaSlack: 140000\n  fencingRequired: false\n  leaseMs: 3000\n"
             << "  thawMs: 300\n  reportWindowS: 5\n  usageOff: 0.05\n  usageDelayS: 10\n"
             << "  recoveryS: 12\n  passMs: 120\n  reuseWindowS: 6\n  ttl_max_s: 5\n"
             << "platform:\n  address: \"" << m_net << "9.1:" << m_port
             << "\"\n  form: \"objects\"\n  writesPerS: 400\n  readsPerS: 2000\n  historyS: 20\n"
             << "  valueBytes: 1048576\n  ttlMinMs: 1000\ncloud:\n  address: \"" << m_net
             << "9.2:" << m_port
             << "\"\n  ratePerS: 50.0\n  duties:\n    - \"metering\"\n  dutyPerS: 50.0\n";
    }

    std::string m_folder;
    std::string m_net;
    int m_port = 0;
    std::map<int, pid_t> m_processes;
    std::unique_ptr<Server> m_store;
    std::unique_ptr<Server> m_cloud;
};

} // namespace review
