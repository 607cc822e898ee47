#include "support/platformsoak.h"

#include <algorithm>
#include <csignal>

namespace sesame::test {

namespace {

constexpr int clientsPerNode = 6;
constexpr auto clientPause = 15ms;
constexpr auto requestDeadline = 2500ms;
constexpr auto stopGrace = 8s;
//! A node that runs undisturbed is ready within this time.
constexpr auto maxStartTime = 10s;
//! Time after a disruption of a node during which requests that it cuts are excused.
constexpr auto settleTime = 3500ms;
constexpr const char *rawEngineEntry
        = R"({"service":"model","address":"127.0.0.1:%d","zone":"z","slots":4,"state":"%s",)"
          R"("version":"v1","sequence":1,"born":1})";
constexpr int rawEnginePortOffset = 40;

Tcp::endpoint rawEngineAddress(std::uint16_t firstPort)
{
    return {asio::ip::make_address_v4("127.0.0.1"),
            static_cast<std::uint16_t>(firstPort + rawEnginePortOffset)};
}

bool isPromise(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

PlatformSoak::PlatformSoak(const PlatformSoakOptions &options)
    : m_options(options), m_random(options.seed),
      m_deployment(options.firstPort, options.nodes,
                   {.stopGrace = std::chrono::duration_cast<std::chrono::seconds>(stopGrace)}),
      m_rawEngine(m_deployment.context, rawEngineAddress(options.firstPort))
{
    for (int node = 1; node <= options.nodes; ++node) {
        m_nodes[node].startTime = Clock::now();
        for (int i = 0; i < clientsPerNode; ++i)
            m_clients.push_back(std::make_shared<Client>(Client {.node = node}));
    }
}

std::string PlatformSoak::run()
{
    const auto end = Clock::now() + m_options.duration;
    m_nextDisruption = Clock::now() + 1s;
    while (Clock::now() < end && m_violation.empty()) {
        driveClients();
        m_deployment.runFor(10ms);
        watchProcesses();
        if (Clock::now() >= m_nextDisruption) {
            disrupt();
            m_nextDisruption = Clock::now() + std::chrono::milliseconds(50 + randomBelow(600));
        }
        driveStore();
    }
    checkRuns();
    for (const std::string &violation : m_deployment.platform.duties.violations())
        report(violation);
    return m_violation;
}

int PlatformSoak::randomBelow(int below)
{
    return std::uniform_int_distribution<int>(0, below - 1)(m_random);
}

bool PlatformSoak::chance(double probability)
{
    return std::bernoulli_distribution(probability)(m_random);
}

void PlatformSoak::report(const std::string &violation)
{
    if (m_violation.empty())
        m_violation = violation;
}

void PlatformSoak::disrupt()
{
    const int node = 1 + randomBelow(m_options.nodes);
    if (m_options.hasBackendTrouble && chance(0.6))
        disruptBackends();
    else if (chance(0.2))
        changeSpeed();
    else
        disruptNode(node);
}

/*!
    Makes sound engines fast or slow, up to the time that callers wait.
*/
void PlatformSoak::changeSpeed()
{
    constexpr int maxWorkMillis = 2300;
    constexpr int maxEventMillis = 400;
    for (const auto &engine : m_deployment.platform.engines) {
        const bool isSlow = chance(0.3);
        engine->setWorkTime(std::chrono::milliseconds(isSlow ? randomBelow(maxWorkMillis) : 0));
        engine->setEventInterval(
                std::chrono::milliseconds(isSlow ? 1 + randomBelow(maxEventMillis) : 5));
    }
}

void PlatformSoak::disruptNode(int node)
{
    NodeState &state = m_nodes[node];
    // A signal that comes before the program runs has its default action.
    if (!state.isRunning || state.isSuspended || !m_deployment.isSignalHandled(node, SIGTERM))
        return;
    const auto now = Clock::now();
    if (m_options.hasPlannedWork && chance(0.3)) {
        m_deployment.platform.putConfig(++m_configVersion, m_configVersion % 2 == 0);
    } else if (m_options.hasPlannedWork && chance(0.4)) {
        m_deployment.signalNode(node, SIGHUP);
    } else if (m_options.hasKills && chance(0.5)) {
        state.unplannedUntil = now + settleTime;
        if (chance(0.5)) {
            state.isKilled = true;
            m_deployment.signalNode(node, SIGKILL);
            return;
        }
        state.isSuspended = true;
        state.changeTime = now + std::chrono::milliseconds(200 + randomBelow(2500));
        state.unplannedUntil = state.changeTime + settleTime;
        m_deployment.signalNode(node, SIGSTOP);
    } else if (m_options.hasPlannedWork) {
        state.isStopping = true;
        m_deployment.signalNode(node, SIGTERM);
    }
}

void PlatformSoak::disruptBackends()
{
    using Fault = EmulatedEngine::Fault;
    static const std::vector<Fault> faults {
            Fault::NoCapacity,  Fault::ResetBeforeAnswer, Fault::BrokenStream,
            Fault::NoAnswer,    Fault::EndsInsideEvent,   Fault::Error,
            Fault::PlainAnswer, Fault::Unsigned,          Fault::UnidentifiedRefusal,
            Fault::EndlessBody, Fault::Trickle,           Fault::Encoded};
    auto &platform = m_deployment.platform;
    if (chance(0.5)) {
        const auto engine = static_cast<std::size_t>(
                randomBelow(static_cast<int>(platform.engines.size())));
        const auto fault = static_cast<std::size_t>(randomBelow(static_cast<int>(faults.size())));
        platform.engines[engine]->setFault(faults[fault], 1 + randomBelow(5));
        return;
    }
    if (chance(0.4)) {
        disruptStore();
        return;
    }
    const std::string head = "HTTP/1.1 200 OK\r\nSesameproxy-Attempt-Id: ID\r\n"
                             "Sesameproxy-Response-Seal: s\r\nContent-Type: text/event-stream\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string longText(70000, 'x');
    const std::vector<std::pair<std::string, std::string>> answers {
            {chunked + "0\r\n", "X: " + longText + "\r\n\r\n"},
            {chunked, longText},
            {chunked + "1\r\n:\r\n5;", longText},
            {chunked + "0\r\nX: ", longText},
            {head, "X: " + longText},
            {head.substr(0, static_cast<std::size_t>(randomBelow(static_cast<int>(head.size())))),
             ""},
            {chunked + "11176\r\nid: " + longText, ""},
            {head + "Content-Length: 99999999999999\r\n\r\n", longText},
            {"", longText},
            {head + "Transfer-Encoding: gzip\r\n\r\n", longText}};
    const auto &[answer, block]
            = answers[static_cast<std::size_t>(randomBelow(static_cast<int>(answers.size())))];
    m_rawEngine.setAnswer(answer, chance(0.5) ? RawEngine::End::Close : RawEngine::End::Reset);
    m_rawEngine.setEndlessBlock(block);
    char entry[256];
    std::snprintf(entry, sizeof(entry), rawEngineEntry, m_options.firstPort + rawEnginePortOffset,
                  chance(0.7) ? "ready" : "draining");
    platform.store.put("servers", "i-raw", entry);
}

void PlatformSoak::disruptStore()
{
    EmulatedStore &store = m_deployment.platform.store;
    if (chance(0.7)) {
        store.setFault(chance(0.5) ? EmulatedStore::Fault::Unavailable
                                   : EmulatedStore::Fault::NoAnswer);
        m_storeFaultEnd = Clock::now() + std::chrono::milliseconds(200 + randomBelow(3000));
        return;
    }
    store.writeLostObjects();
    store.restoreCopy(EmulatedStore::Writers::Late);
    m_rewriteTime = Clock::now() + std::chrono::milliseconds(randomBelow(1500));
}

/*!
    Ends faults of the store, copies it every few seconds, and has its writers write again what it
    lost.
*/
void PlatformSoak::driveStore()
{
    constexpr int maxCopyAge = 4000;
    EmulatedStore &store = m_deployment.platform.store;
    const auto now = Clock::now();
    if (m_storeFaultEnd != Clock::time_point {} && now >= m_storeFaultEnd) {
        store.setFault(EmulatedStore::Fault::None);
        m_storeFaultEnd = {};
    }
    if (m_rewriteTime != Clock::time_point {} && now >= m_rewriteTime) {
        store.writeLostObjects();
        m_rewriteTime = {};
    }
    if (m_rewriteTime == Clock::time_point {} && now >= m_nextCopy) {
        store.takeCopy();
        m_nextCopy = now + std::chrono::milliseconds(randomBelow(maxCopyAge));
    }
}

void PlatformSoak::watchProcesses()
{
    for (const auto &[node, state] : m_nodes)
        watchProcess(node);
}

void PlatformSoak::watchProcess(int node)
{
    NodeState &state = m_nodes[node];
    const auto now = Clock::now();
    if (!state.isRunning) {
        if (now < state.changeTime)
            return;
        m_deployment.startNode(node, false);
        state = {.startTime = now, .unplannedUntil = state.unplannedUntil};
        state.mustReloadAtStart = m_options.hasPlannedWork && chance(0.5);
        return;
    }
    if (state.mustReloadAtStart && m_deployment.isSignalHandled(node, SIGHUP)) {
        state.mustReloadAtStart = false;
        m_deployment.signalNode(node, SIGHUP);
    }
    if (state.isSuspended && now >= state.changeTime) {
        state.isSuspended = false;
        m_deployment.signalNode(node, SIGCONT);
    }
    if (const std::optional<int> code = m_deployment.exitCode(node)) {
        constexpr int killed = 128 + SIGKILL;
        const bool isExpected = (state.isStopping && *code == 0)
                || (state.isKilled && *code == killed);
        if (!isExpected)
            report("node " + std::to_string(node) + " ended by itself with code "
                   + std::to_string(*code));
        state.isRunning = false;
        state.changeTime = now + 300ms;
        return;
    }
    if (!state.hasAnswered && !state.isSuspended && !state.isStopping
        && now > std::max(state.startTime, state.unplannedUntil) + maxStartTime)
        report("node " + std::to_string(node) + " does not serve after its start");
}

void PlatformSoak::driveClients()
{
    for (const auto &client : m_clients) {
        if (!client->isBusy)
            sendNext(client);
    }
}

/*!
    Sends a request on the client's connection, or on a new one if that is closed, after a pause.
*/
void PlatformSoak::sendNext(const std::shared_ptr<Client> &client)
{
    client->isBusy = true;
    const auto timer = std::make_shared<asio::steady_timer>(m_deployment.context, clientPause);
    timer->async_wait([this, timer, client](const auto &) {
        if (client->connection && client->connection->isReusable(Clock::now())) {
            send(client);
            return;
        }
        client->answersOnConnection = 0;
        client->connection = std::make_shared<ClientConnection>(m_deployment.context);
        client->connection->connect(m_deployment.platform.entryAddress(client->node), 1s,
                                    [this, client](const boost::system::error_code &ec) {
                                        if (ec)
                                            client->isBusy = false;
                                        else
                                            send(client);
                                    });
    });
}

void PlatformSoak::send(const std::shared_ptr<Client> &client)
{
    static const std::vector<std::string> targets {"/stream/x", "/stream/again/x", "/book/x",
                                                   "/read/x"};
    const auto exchange = std::make_shared<Exchange>();
    exchange->id = "r-" + std::to_string(++m_requestCount);
    exchange->target = targets[static_cast<std::size_t>(randomBelow(4))];
    exchange->node = client->node;
    exchange->sentAt = Clock::now();
    exchange->isOnKeptConnection = client->answersOnConnection > 0;
    if (exchange->target == "/book/x")
        m_unsafeIds.push_back(exchange->id);
    HttpFields fields = PlatformDeployment::requestFields(exchange->id, "key-large");
    fields.set("Sesameproxy-Deadline-Ms", std::to_string(requestDeadline.count()));
    const auto timer = std::make_shared<asio::steady_timer>(m_deployment.context,
                                                            requestDeadline + 3s);
    const auto end = [this, client, exchange, timer](bool isComplete) {
        timer->cancel();
        onEnd(client, exchange, isComplete);
    };
    timer->async_wait([client, connection = client->connection](const auto &ec) {
        if (ec)
            return;
        connection->close();
        client->isBusy = false;
    });
    client->connection->send(formatRequest("POST", exchange->target, fields, "p"), false,
                             {.head =
                                      [exchange](const ResponseHead &head) {
                                          exchange->status = head.result_int();
                                          return ResponseSink::Verdict::Take;
                                      },
                              .body =
                                      [exchange](std::string_view piece) {
                                          exchange->body += piece;
                                      },
                              .done =
                                      [end] {
                                          end(true);
                                      },
                              .failed =
                                      [end](ExchangeFailure) {
                                          end(false);
                                      }});
}

void PlatformSoak::onEnd(const std::shared_ptr<Client> &client,
                         const std::shared_ptr<Exchange> &exchange, bool isComplete)
{
    client->isBusy = false;
    client->answersOnConnection += isComplete ? 1 : 0;
    if (isComplete && exchange->status == 200)
        m_nodes[exchange->node].hasAnswered = true;
    m_answeredCount += isComplete && exchange->status == 200 ? 1 : 0;
    check(*exchange, isComplete);
}

void PlatformSoak::check(const Exchange &exchange, bool isComplete)
{
    const std::string name = exchange.id + " (" + exchange.target + ", node "
            + std::to_string(exchange.node) + ")";
    const bool isStream = exchange.target.starts_with("/stream/");
    const std::string plain = "POST " + exchange.target + " p";
    const std::string events = formatEvents(1, 5);
    // An engine in trouble may answer a stream with a plain body.
    const bool isPlain = exchange.body == plain && (!isStream || m_options.hasBackendTrouble);
    const bool isPart = isStream && events.starts_with(exchange.body);
    const bool isWhole = isPlain || (isStream && exchange.body == events);
    if (exchange.status == 200 && !isWhole && (isComplete || !isPart))
        report(name + ": wrong body: " + exchange.body.substr(0, 200));
    if (isComplete && isPromise(exchange.status) && exchange.target == "/book/x")
        m_refusedIds.push_back(exchange.id);
    // Without trouble at the engines, only the deadline or a disruption of the node itself excuses
    // a cut request.
    const NodeState &state = m_nodes[exchange.node];
    const bool isLate = Clock::now() - exchange.sentAt >= requestDeadline;
    const bool isExcused = m_options.hasBackendTrouble || isLate
            || Clock::now() < state.unplannedUntil || state.isSuspended || state.isKilled;
    if (!isComplete && !isExcused && m_deployment.executionCount(exchange.id) > 0)
        report(name + ": cut after it was passed on to an engine");
}

/*!
    Checks what engines have run.
*/
void PlatformSoak::checkRuns()
{
    for (const std::string &id : m_unsafeIds) {
        if (m_deployment.executionCount(id) > 1)
            report(id + " ran more than once");
    }
    for (const std::string &id : m_refusedIds) {
        if (m_deployment.executionCount(id) > 0)
            report(id + " ran although it was refused");
    }
}

} // namespace sesame::test
