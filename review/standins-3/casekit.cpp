#include "casekit.h"

#include "Http/httpcaller.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <csignal>
#include <cstdarg>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <random>
#include <stdexcept>

#include <unistd.h>

namespace review {

namespace asio = sesame::asio;

namespace {

constexpr int portsPerDeployment = 80;
constexpr int firstEngineOffset = 2;
constexpr int firstNodeOffset = 60;
constexpr std::size_t maxConnections = 1000;
constexpr const char *key = "key-of-the-tenant";
constexpr const char *host = "app.example";

std::int64_t wallMillis()
{
    return std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch())
            .count();
}

Tcp::endpoint loopback(const std::string &address, int port)
{
    return {asio::ip::make_address_v4(address), static_cast<std::uint16_t>(port)};
}

bool isFree(const Tcp::endpoint &address)
{
    asio::io_context context;
    Tcp::acceptor acceptor(context);
    boost::system::error_code ec;
    acceptor.open(address.protocol(), ec);
    if (!ec)
        acceptor.bind(address, ec);
    return !ec;
}

/*!
    Returns the first of a range of ports that no process uses.
*/
std::uint16_t findPorts(int nodes)
{
    constexpr int lowest = 20000;
    constexpr int range = 10000;
    std::random_device random;
    for (int i = 0; i < 100; ++i) {
        const int first = lowest + std::uniform_int_distribution<int>(0, range)(random);
        bool free = true;
        for (int port = first; free && port < first + portsPerDeployment; ++port) {
            free = isFree(loopback("127.0.0.1", port));
            for (int node = 1; free && node <= nodes; ++node)
                free = isFree(loopback("127.0.1." + std::to_string(node), port));
        }
        if (free)
            return static_cast<std::uint16_t>(first);
    }
    throw std::runtime_error("no free ports");
}

std::string formatAddress(const Tcp::endpoint &address)
{
    return address.address().to_string() + ":" + std::to_string(address.port());
}

} // namespace

bool hasTrouble()
{
    const char *text = std::getenv("TROUBLE");
    return !text || std::string(text) != "0";
}

Record::Record(const std::string &path) : m_file(std::fopen(path.c_str(), "w"))
{
    if (!m_file)
        throw std::runtime_error("cannot write " + path);
}

Record::~Record()
{
    std::fclose(m_file);
}

std::int64_t Record::now() const
{
    return std::chrono::duration_cast<Millis>(Clock::now() - m_start).count();
}

void Record::write(const char *format, ...)
{
    std::fprintf(m_file, "%8.3f  ", static_cast<double>(now()) / 1000.0);
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(m_file, format, arguments);
    va_end(arguments);
    std::fputc('\n', m_file);
    std::fflush(m_file);
}

struct Engine::Job
{
    Connection connection;
    EngineRequest request;
    std::unique_ptr<asio::steady_timer> timer;
    bool isStream = false;
    bool isRunning = false;
    bool isEnded = false;
    bool hasHead = false;
    int next = 1;
};

Engine::Engine(asio::io_context &context, Record &record, EngineOptions options,
               const Tcp::endpoint &address)
    : m_context(context), m_record(record), m_options(std::move(options)), m_address(address),
      m_born(wallMillis())
{
    open();
}

Engine::~Engine()
{
    stop();
}

void Engine::open()
{
    m_listener = std::make_unique<sesame::Listener>(
            m_context,
            [this](const Connection &connection, sesame::RequestMessage &&request) {
                serve(connection, std::move(request));
            },
            maxConnections);
    if (const auto ec = m_listener->open(m_address))
        throw std::runtime_error("engine address: " + ec.message());
}

void Engine::stop()
{
    if (!m_listener)
        return;
    m_listener.reset();
    for (const auto &job : std::exchange(m_jobs, {})) {
        job->isEnded = true;
        job->timer.reset();
        job->connection->setClosedHandler(nullptr);
        job->connection->abort();
    }
    m_waiting.clear();
    m_running = 0;
}

void Engine::upgrade(const std::string &version, Millis downtime, std::function<void()> started)
{
    m_record.write("engine %s crashes", m_options.id.c_str());
    stop();
    const auto timer = std::make_shared<asio::steady_timer>(m_context, downtime);
    timer->async_wait([this, timer, version, started = std::move(started)](const auto &ec) {
        if (ec)
            return;
        m_born = wallMillis();
        m_options.version = version;
        started();
        open();
        m_record.write("engine %s is back with version %s", m_options.id.c_str(), version.c_str());
    });
}

int Engine::runs(const std::string &id) const
{
    const auto found = m_runs.find(id);
    return found == m_runs.end() ? 0 : found->second;
}

std::string Engine::entry(const std::string &state) const
{
    return absl::StrCat(R"({"service":")", m_options.service, R"(","address":")",
                        formatAddress(m_address), R"(","zone":"z","version":")", m_options.version,
                        R"(","slots":)", m_options.slots, R"(,"state":")", state,
                        R"(","warmupLeftMs":0,"sequence":1,"born":)", m_born, "}");
}

sesame::HttpFields Engine::answerFields(const std::string &id) const
{
    sesame::HttpFields fields;
    fields.set("Sesameproxy-Attempt-Id", id);
    fields.set("Keep-Alive", "timeout=5");
    return fields;
}

void Engine::serve(const Connection &connection, sesame::RequestMessage &&request)
{
    const auto job = std::make_shared<Job>();
    job->connection = connection;
    job->request.id = sesame::fieldValue(request, "Sesameproxy-Attempt-Id");
    job->request.path = sesame::toStd(request.target());
    job->request.resumes = sesame::fieldValue(request, "Resumes");
    job->request.prefix = sesame::fieldValue(request, "Sesameproxy-Prefix-Hash");
    job->request.arrival = Clock::now();
    job->isStream = job->request.path.find("/stream") == 0;
    const std::string after(sesame::fieldValue(request, "Last-Event-Id"));
    if (!after.empty())
        job->request.firstEvent = std::atoi(after.c_str()) + 1;
    job->next = job->request.firstEvent;
    sesame::HttpFields fields = answerFields(job->request.id);
    const std::string_view expected = sesame::fieldValue(request, "Sesameproxy-Expect-Instance");
    if (!expected.empty() && expected != m_options.id) {
        fields.set("Sesameproxy-Instance-Id", m_options.id);
        connection->sendResponse(421, fields, "another instance\n");
        return;
    }
    m_record.write("engine %s (version %s) gets %s%s%s%s%s", m_options.id.c_str(),
                   m_options.version.c_str(), job->request.id.c_str(),
                   after.empty() ? "" : " after event ", after.c_str(),
                   job->request.resumes.empty() ? "" : ", resumes ", job->request.resumes.c_str());
    if (m_running >= m_options.slots
        && m_waiting.size() >= static_cast<std::size_t>(m_options.queue)) {
        fields.set("Sesameproxy-Not-Executed", "1");
        connection->sendResponse(503, fields, "full\n");
        return;
    }
    m_jobs.insert(job);
    connection->setClosedHandler([this, weak = std::weak_ptr(job)] {
        if (const auto open = weak.lock())
            finish(open, "its channel closed");
    });
    if (m_running < m_options.slots)
        begin(job);
    else
        m_waiting.push_back(job);
}

void Engine::begin(const std::shared_ptr<Job> &job)
{
    ++m_running;
    ++m_runs[job->request.id];
    job->isRunning = true;
    job->timer = std::make_unique<asio::steady_timer>(m_context);
    if (job->isStream) {
        sendNext(job);
        return;
    }
    job->timer->expires_after(m_options.workTime);
    job->timer->async_wait([this, job](const auto &ec) {
        if (ec || job->isEnded)
            return;
        sesame::HttpFields fields = answerFields(job->request.id);
        fields.set("Sesameproxy-Response-Seal", "seal-" + m_options.id);
        job->connection->sendResponse(200, fields, "answer of " + job->request.id + "\n");
        finish(job, "answered");
    });
}

void Engine::sendNext(const std::shared_ptr<Job> &job)
{
    job->timer->expires_after(m_options.eventInterval);
    job->timer->async_wait([this, job](const auto &ec) {
        if (ec || job->isEnded)
            return;
        if (!job->hasHead && m_options.isDeadly && m_options.isDeadly(job->request)) {
            m_options.onDeadly();
            return;
        }
        if (!job->hasHead) {
            sesame::HttpFields fields = answerFields(job->request.id);
            fields.set("Sesameproxy-Response-Seal", "seal-" + m_options.id);
            fields.set("Content-Type", "text/event-stream");
            job->connection->beginStream(200, fields);
            job->hasHead = true;
        }
        if (job->next <= m_options.events)
            job->connection->sendChunk(absl::StrCat("id: ", job->next,
                                                    "\ndata: ", m_options.version, " piece ",
                                                    job->next, "\n\n"));
        if (++job->next <= m_options.events) {
            sendNext(job);
            return;
        }
        job->connection->endStream();
        finish(job, "complete");
    });
}

void Engine::finish(const std::shared_ptr<Job> &job, const char *result)
{
    if (std::exchange(job->isEnded, true))
        return;
    m_record.write("engine %s ends %s before event %d: %s", m_options.id.c_str(),
                   job->request.id.c_str(), job->next, result);
    m_jobs.erase(job);
    std::erase(m_waiting, job);
    if (!job->isRunning)
        return;
    --m_running;
    if (m_waiting.empty())
        return;
    const auto next = m_waiting.front();
    m_waiting.erase(m_waiting.begin());
    begin(next);
}

Deployment::Deployment(Record &record, DeploymentOptions deploymentOptions)
    : options(std::move(deploymentOptions)), m_record(record)
{
    m_firstPort = findPorts(options.nodes);
    std::string pattern = std::filesystem::temp_directory_path() / "case.XXXXXX";
    if (!mkdtemp(pattern.data()))
        throw std::runtime_error("no temporary folder");
    m_directory = pattern;
    store = std::make_unique<sesame::EmulatedStore>(context, loopback("127.0.0.1", m_firstPort));
    duties = std::make_unique<sesame::EmulatedDuties>(context,
                                                      loopback("127.0.0.1", m_firstPort + 1));
    putManifest();
}

Deployment::~Deployment()
{
    std::filesystem::remove_all(m_directory);
}

Engine &Deployment::addEngine(EngineOptions engineOptions)
{
    const int port = m_firstPort + firstEngineOffset + static_cast<int>(engines.size());
    engines.push_back(std::make_unique<Engine>(context, m_record, std::move(engineOptions),
                                               loopback("127.0.0.1", port)));
    putEntry(*engines.back(), "ready");
    return *engines.back();
}

void Deployment::putEntry(const Engine &engine, const std::string &state)
{
    store->put("servers", engine.id(), engine.entry(state));
    m_record.write("the store acknowledges engine %s as %s", engine.id().c_str(), state.c_str());
}

void Deployment::removeEntry(const Engine &engine)
{
    store->erase("servers", engine.id());
    m_record.write("the store acknowledges that engine %s is gone", engine.id().c_str());
}

void Deployment::putManifest()
{
    ++m_version;
    std::string routes;
    for (const RouteOptions &route : options.routes) {
        absl::StrAppend(&routes, routes.empty() ? "" : ",", R"({"name":"r)", route.prefix,
                        R"(","hostname":")", host, R"(","pathPrefix":")", route.prefix,
                        R"(","routeType":")", route.kind, R"(","service":")", route.service,
                        R"(","timeoutMs":)", route.timeoutMs, R"(,"targetLatencyMs":)",
                        route.targetLatencyMs, R"(,"targetGapMs":)", route.targetGapMs,
                        R"(,"maxAttempts":)", route.maxAttempts, R"(,"priority":1)",
                        R"(,"streamResume":)", route.resumable ? "true" : "false", "}");
    }
    std::string services;
    for (const std::string &service : options.services)
        absl::StrAppend(&services, services.empty() ? "" : ",", R"({"name":")", service,
                        R"(","healthPath":"/healthz","maxConnections":300})");
    store->put(
            "config", "main",
            absl::StrCat(R"({"version":)", m_version, R"(,"routes":[)", routes, R"(],"services":[)",
                         services, R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,)",
                         R"("headerTimeoutMs":3000,"idleTimeoutMs":15000},)", R"("tenants":[)",
                         options.hasTenant
                                 ? absl::StrCat(R"({"name":"tenant","apiKeys":[")", key, R"("]})")
                                 : "",
                         "]}"));
    m_record.write("the store acknowledges manifest %d, with %s", m_version,
                   options.hasTenant ? "one tenant" : "no tenant");
}

Tcp::endpoint Deployment::nodeAddress(int node, int offset) const
{
    return loopback("127.0.1." + std::to_string(node), m_firstPort + firstNodeOffset + offset);
}

std::string Deployment::nodeFile(int node, const char *suffix) const
{
    return absl::StrCat(m_directory, "/node-", node, suffix);
}

/*!
    Returns the settings of \a node in the platform's format, with the bounds of the small
    installations.
*/
std::string Deployment::settings(int node, bool isFirstStart) const
{
    std::string contracts;
    for (const std::string &contract : options.contracts)
        absl::StrAppend(&contracts, contracts.empty() ? "" : ", ", "\"", contract, "\"");
    const int internal = m_firstPort + firstNodeOffset + 4;
    const std::string ip = "127.0.1." + std::to_string(node);
    return absl::StrCat(
            "nodeName: \"edge-z-", node, "\"\nrole: \"node\"\nmachineClass: \"edge\"\nip: \"", ip,
            "\"\nzone: \"z\"\nregion: \"r\"\nlisten:\n  frontend: \"",
            formatAddress(nodeAddress(node, 0)), "\"\n  readiness: \"",
            formatAddress(nodeAddress(node, 1)), "\"\n  directory: \"",
            formatAddress(nodeAddress(node, 2)), "\"\ninternalPorts:\n  - ", internal, "\n  - ",
            internal + 5, "\nbootstrap: ", isFirstStart ? "true" : "false",
            "\nlimits:\n  cpuShare: 0.25\n  cores: 1\n  memoryMb: 260\n  fileDescriptors: 4100\n"
            "  linkMbps: 1000.0\ndiscovery: \"platform\"\nheartbeatMs: 1200\ncontracts: [",
            contracts,
            "]\nbounds:\n  contactMs: 3000\n  ackMs: 4000\n  drainMs: 2000\n  graceS: 8\n"
            "  lossSlackMs: 200\n  configApplyMs: 2000\n  partitionMs: 5000\n"
            "  revokeFailClosed: false\n  revokeMs: 5000\n  retryBudgetRatio: 0.2\n"
            "  retryWindowS: 10\n  retrySlack: 54\n  quotaWindowS: 8\n  fencingRequired: false\n"
            "  leaseMs: 3000\n  thawMs: 300\n  usageDelayS: 10\n  reportWindowS: 5\n"
            "  exposureShare: 0.1\n  exposureSlack: 50\n  rollbackMs: 5000\n  recoveryS: 12\n"
            "platform:\n  address: \"127.0.0.1:",
            m_firstPort,
            "\"\n  form: \"objects\"\n  writesPerS: 400\n  readsPerS: 2000\n  historyS: 20\n"
            "  valueBytes: 1048576\ncloud:\n  address: \"127.0.0.1:",
            m_firstPort + 1, "\"\n  ratePerS: 50.0\n  duties: [\"metering\"]\n  dutyPerS: 50.0\n");
}

void Deployment::startNode(int node, bool isFirstStart)
{
    const std::string file = nodeFile(node, ".yaml");
    std::ofstream(file) << settings(node, isFirstStart);
    setenv("SESAMEPROXY_NODE_FILE", file.c_str(), 1);
    m_pids[node] = m_processes.start({options.program, "serve-platform"}, nodeFile(node, ".log"));
    m_record.write("node %d starts", node);
}

void Deployment::signalNode(int node, int number)
{
    m_record.write("node %d gets the signal %s", node, strsignal(number));
    m_processes.signal(m_pids.at(node), number);
}

bool Deployment::waitForEnd(int node, Millis limit)
{
    const auto end = Clock::now() + limit;
    while (Clock::now() < end) {
        if (m_processes.waitForExit(m_pids.at(node), 0) >= 0)
            return true;
        runFor(10ms);
    }
    return false;
}

void Deployment::runFor(Millis time)
{
    context.restart();
    context.run_for(time);
}

bool Deployment::runUntil(const std::function<bool()> &condition, Millis limit)
{
    const auto end = Clock::now() + limit;
    while (Clock::now() < end) {
        if (condition())
            return true;
        runFor(10ms);
    }
    return condition();
}

std::string Deployment::get(const Tcp::endpoint &address, const std::string &target,
                            unsigned &status)
{
    sesame::HttpCaller caller(context, address);
    std::optional<sesame::CallResponse> answer;
    sesame::HttpFields fields;
    fields.set("Connection", "close");
    caller.call("GET", target, fields, "", 1s, [&](sesame::CallResponse result) {
        answer = std::move(result);
    });
    runUntil(
            [&] {
                return answer.has_value();
            },
            2s);
    status = answer ? answer->status : 0;
    return answer ? answer->body : std::string();
}

bool Deployment::isReady(int node)
{
    unsigned status = 0;
    get(nodeAddress(node, 1), "/api/readyz", status);
    return status == 200;
}

std::string Deployment::log(int node) const
{
    return sesame::test::readFile(nodeFile(node, ".log"));
}

Stream::Stream(Deployment &deployment, Record &record, std::string name, StreamOptions options)
    : m_deployment(deployment), m_record(record), m_name(std::move(name)),
      m_options(std::move(options)), m_timer(deployment.context), m_gapTimer(deployment.context)
{
}

void Stream::start()
{
    m_startedAt = Clock::now();
    attempt();
}

Millis Stream::timeLeft() const
{
    return m_options.deadline - std::chrono::duration_cast<Millis>(Clock::now() - m_startedAt);
}

void Stream::attempt()
{
    if (timeLeft() <= 0ms) {
        end("the client's deadline has passed");
        return;
    }
    m_attempt = absl::StrCat(m_name, ".", ++m_attempts);
    m_node = m_options.chooseNode(m_node);
    m_eventBefore = m_lastEvent;
    m_partial.clear();
    m_status = 0;
    m_retryAfterText.clear();
    sesame::HttpFields fields;
    fields.set("Host", host);
    fields.set("Sesameproxy-Attempt-Id", m_attempt);
    fields.set("Authorization", std::string("Token ") + key);
    fields.set("Sesameproxy-Deadline-Ms", std::to_string(timeLeft().count()));
    for (const auto &[name, value] : m_options.fields)
        fields.set(name, value);
    if (m_lastEvent > 0) {
        fields.set("Last-Event-Id", std::to_string(m_lastEvent));
        fields.set("Resumes", m_firstAttempt);
        if (m_takeUps++ == 0)
            m_takenUpAt = Clock::now();
    }
    m_record.write("client sends %s to node %d%s%s", m_attempt.c_str(), m_node,
                   m_lastEvent > 0 ? absl::StrCat(" after event ", m_lastEvent).c_str() : "",
                   m_lastEvent > 0 ? (", resumes " + m_firstAttempt).c_str() : "");
    const std::string text = sesame::formatRequest(m_options.method, m_options.path, fields,
                                                   m_options.body);
    m_connection = std::make_shared<sesame::ClientConnection>(m_deployment.context);
    m_connection->connect(
            m_deployment.entryAddress(m_node), 1s,
            [self = shared_from_this(), connection = m_connection, text](const auto &ec) {
                if (self->m_isEnded || self->m_connection != connection)
                    return;
                if (ec) {
                    self->m_record.write("%s: no connection", self->m_attempt.c_str());
                    self->retryAfter(50ms);
                    return;
                }
                self->m_isChannelOpen = true;
                self->startGapTimer();
                connection->send(text, false,
                                 {.head =
                                          [self](const sesame::ResponseHead &head) {
                                              self->m_status = head.result_int();
                                              self->m_retryAfterText = sesame::fieldValue(
                                                      head, "Retry-After");
                                              return sesame::ResponseSink::Verdict::Take;
                                          },
                                  .body =
                                          [self](std::string_view piece) {
                                              self->onBody(piece);
                                          },
                                  .done =
                                          [self] {
                                              self->onDone(self->m_status);
                                          },
                                  .failed =
                                          [self](sesame::ExchangeFailure) {
                                              self->onFailed();
                                          }});
            });
}

void Stream::startGapTimer()
{
    m_gapTimer.expires_after(std::min(m_options.patience, timeLeft()));
    m_gapTimer.async_wait([self = shared_from_this(), attempt = m_attempt](const auto &ec) {
        if (ec || self->m_isEnded || self->m_attempt != attempt || !self->m_isChannelOpen)
            return;
        self->m_record.write("%s: the client gives up after a gap", attempt.c_str());
        self->m_connection->close();
        self->m_isChannelOpen = false;
        self->retryAfter(0ms);
    });
}

void Stream::onBody(std::string_view piece)
{
    if (m_status != 200)
        return;
    m_partial.append(piece);
    for (std::size_t at = m_partial.find("\n\n"); at != std::string::npos;
         at = m_partial.find("\n\n")) {
        const std::string event = m_partial.substr(0, at);
        m_partial.erase(0, at + 2);
        const int number = event.starts_with("id: ") ? std::atoi(event.c_str() + 4) : 0;
        if (number != m_lastEvent + 1)
            m_record.write("%s: event %d after event %d", m_attempt.c_str(), number, m_lastEvent);
        if (m_lastEvent == 0) {
            m_firstAttempt = m_attempt;
            m_record.write("%s: first event: %s", m_attempt.c_str(),
                           event.substr(event.find('\n') + 1).c_str());
        } else if (m_lastEvent == m_eventBefore) {
            m_wentOn = true;
            m_record.write("%s: goes on: %s", m_attempt.c_str(),
                           event.substr(event.find('\n') + 1).c_str());
        }
        const std::size_t version = event.find("data: ") + 6;
        m_versions.insert(event.substr(version, event.find(' ', version) - version));
        m_lastEvent = number;
        startGapTimer();
    }
}

void Stream::onDone(unsigned status)
{
    m_isChannelOpen = false;
    m_gapTimer.cancel();
    if (status == 200) {
        m_isComplete = true;
        end("complete");
        return;
    }
    m_record.write("%s: answered %u, Retry-After %s", m_attempt.c_str(), status,
                   m_retryAfterText.empty() ? "none" : m_retryAfterText.c_str());
    if (status < 408) {
        end("refused for good");
        return;
    }
    // Clients follow Retry-After up to a third of the time that they have left.
    const auto asked = Millis(
            static_cast<std::int64_t>(1000.0 * std::atof(m_retryAfterText.c_str())));
    retryAfter(std::min(asked, timeLeft() / 3));
}

void Stream::onFailed()
{
    m_isChannelOpen = false;
    m_gapTimer.cancel();
    m_record.write("%s: the channel ends without a complete answer, after event %d",
                   m_attempt.c_str(), m_lastEvent);
    retryAfter(0ms);
}

void Stream::retryAfter(Millis wait)
{
    if (m_attempts > m_options.retries) {
        end("no retries left");
        return;
    }
    m_timer.expires_after(wait + 5ms);
    m_timer.async_wait([self = shared_from_this()](const auto &ec) {
        if (!ec && !self->m_isEnded)
            self->attempt();
    });
}

void Stream::end(const char *result)
{
    m_isEnded = true;
    m_gapTimer.cancel();
    m_record.write("%s ends after event %d: %s", m_name.c_str(), m_lastEvent, result);
}

} // namespace review
