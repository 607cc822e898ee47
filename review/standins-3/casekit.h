#pragma once

#include "Http/clientconnection.h"
#include "Http/listener.h"
#include "emulatedduties.h"
#include "emulatedstore.h"
#include "support/processgroup.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace review {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;
using sesame::Tcp;

//! Exit codes of a case.
enum ExitCode { RuleHeld = 0, RuleBroken = 1, CaseFailed = 2 };

/*!
    Writes what was sent, answered and run to the record of the case, one line each, with the time
    since the start.
*/
class Record
{
public:
    explicit Record(const std::string &path);
    ~Record();
    void write(const char *format, ...) __attribute__((format(printf, 2, 3)));

    /*!
        Returns the milliseconds since the start of the record.
    */
    std::int64_t now() const;

private:
    std::FILE *m_file;
    Clock::time_point m_start = Clock::now();
};

/*!
    A request as an engine has received it.
*/
struct EngineRequest
{
    std::string id;
    std::string path;
    std::string resumes; //!< Attempt that brought the first event, if the stream is taken up.
    std::string prefix; //!< The parts of the prompt, as the client lists them.
    int firstEvent = 1; //!< Number of the first event that the engine sends.
    Clock::time_point arrival;
};

struct EngineOptions
{
    std::string id;
    std::string service;
    std::string version = "1.0";
    int slots = 48; //!< Requests that are processed at the same time.
    int queue = 100; //!< Requests that wait for a slot.
    int events = 20; //!< Events of a stream.
    Millis eventInterval {100}; //!< Pause between two events, also before the first one.
    Millis workTime {30}; //!< Time of a request that is no stream.
    //! Tells of a stream that crashes the engine when it begins to write the answer.
    std::function<bool(const EngineRequest &)> isDeadly {};
    std::function<void()> onDeadly {}; //!< Called when such a stream crashes the engine.
};

/*!
    A sound engine that follows the users' pages: it echoes the attempt, checks the expected
    instance, queues and rejects requests, resumes streams after Last-Event-Id, and drops a request
    when its channel closes.
*/
class Engine
{
public:
    Engine(sesame::asio::io_context &context, Record &record, EngineOptions options,
           const Tcp::endpoint &address);
    ~Engine();

    /*!
        Returns the entry in the store.
    */
    std::string entry(const std::string &state) const;

    /*!
        Ends the process of the engine: closes its address and all channels.
    */
    void stop();

    /*!
        Crashes and starts again after \a downtime under the same id, with the software \a version.
       Calls \a started then, before the engine accepts channels.
    */
    void upgrade(const std::string &version, Millis downtime, std::function<void()> started);

    const std::string &id() const { return m_options.id; }
    const EngineOptions &options() const { return m_options; }
    bool isServing() const { return m_listener != nullptr; }
    int running() const { return m_running; }
    //! Returns how many times the engine has begun to run the attempt \a id.
    int runs(const std::string &id) const;

private:
    struct Job;
    using Connection = std::shared_ptr<sesame::ServerConnection>;

    void open();
    void serve(const Connection &connection, sesame::RequestMessage &&request);
    void begin(const std::shared_ptr<Job> &job);
    void sendNext(const std::shared_ptr<Job> &job);
    void finish(const std::shared_ptr<Job> &job, const char *result);
    sesame::HttpFields answerFields(const std::string &id) const;

    sesame::asio::io_context &m_context;
    Record &m_record;
    EngineOptions m_options;
    Tcp::endpoint m_address;
    std::unique_ptr<sesame::Listener> m_listener;
    std::vector<std::shared_ptr<Job>> m_waiting;
    std::set<std::shared_ptr<Job>> m_jobs;
    std::map<std::string, int> m_runs;
    int m_running = 0;
    std::int64_t m_born;
};

/*!
    A route of the manifest.
*/
struct RouteOptions
{
    std::string prefix;
    std::string kind; //!< "streaming", "unsafe" or "safe".
    std::string service;
    int timeoutMs = 10000;
    int targetLatencyMs = 500;
    int targetGapMs = 400;
    int maxAttempts = 1;
    bool resumable = false;
};

struct DeploymentOptions
{
    int nodes = 3;
    std::vector<std::string> contracts {"base",    "drain",   "config", "cost",
                                        "retry",   "recover", "engine", "stream",
                                        "tenants", "quota",   "leader", "platform"};
    std::vector<RouteOptions> routes;
    std::vector<std::string> services;
    int slots = 48;
    bool hasTenant
            = true; //!< The manifest has a tenant with one key; else an empty list of tenants.
    std::string program = "target/Source/sesameproxy"; //!< The command of the deploy file.
};

/*!
    The processes of the system as separate processes on loopback addresses, with the store, the
    duties' endpoint and engines as stand-ins in this process.
*/
class Deployment
{
public:
    Deployment(Record &record, DeploymentOptions options);
    ~Deployment();

    /*!
        Starts an engine and writes its entry to the store.
    */
    Engine &addEngine(EngineOptions options);
    void putEntry(const Engine &engine, const std::string &state);
    void removeEntry(const Engine &engine);

    /*!
        Writes the manifest with a new version.
    */
    void putManifest();

    void startNode(int node, bool isFirstStart);
    void signalNode(int node, int number);
    //! Waits until the process of \a node has ended.
    bool waitForEnd(int node, Millis limit);
    bool isReady(int node);

    void runFor(Millis time);
    bool runUntil(const std::function<bool()> &condition, Millis limit);

    Tcp::endpoint entryAddress(int node) const { return nodeAddress(node, 0); }
    std::string get(const Tcp::endpoint &address, const std::string &target, unsigned &status);
    //! Returns what the log of \a node contains.
    std::string log(int node) const;

    sesame::asio::io_context context;
    std::unique_ptr<sesame::EmulatedStore> store;
    std::unique_ptr<sesame::EmulatedDuties> duties;
    std::vector<std::unique_ptr<Engine>> engines;
    DeploymentOptions options;

private:
    Tcp::endpoint nodeAddress(int node, int offset) const;
    std::string settings(int node, bool isFirstStart) const;
    std::string nodeFile(int node, const char *suffix) const;

    Record &m_record;
    std::uint16_t m_firstPort = 0;
    std::string m_directory;
    sesame::test::ProcessGroup m_processes;
    std::map<int, pid_t> m_pids;
    int m_version = 0;
};

/*!
    One client that asks for a stream, and takes it up again as the users' pages say: on a new
    channel, after the time that a refusal names, within its deadline.
*/
struct StreamOptions
{
    std::string path;
    int retries = 1; //!< Attempts after the first one.
    Millis deadline {10000};
    Millis patience {3200}; //!< Longest gap, also before the first event.
    //! Returns the node for the next attempt; the argument is the one before, 0 for the first.
    std::function<int(int)> chooseNode;
    std::string body = "prompt";
    std::string method = "POST";
    std::map<std::string, std::string> fields {}; //!< More fields of the head.
};

class Stream : public std::enable_shared_from_this<Stream>
{
public:
    Stream(Deployment &deployment, Record &record, std::string name, StreamOptions options);
    void start();

    const std::string &name() const { return m_name; }
    int node() const { return m_node; } //!< Node of the current attempt.
    int lastEvent() const { return m_lastEvent; }
    bool isEnded() const { return m_isEnded; }
    bool isComplete() const { return m_isComplete; }
    bool wasTakenUp() const { return m_takeUps > 0; }
    bool wentOn() const { return m_wentOn; } //!< An attempt that took the stream up got an event.
    //! Versions of the engines that made the events.
    const std::set<std::string> &versions() const { return m_versions; }
    Clock::time_point startedAt() const { return m_startedAt; }
    Clock::time_point takenUpAt() const { return m_takenUpAt; }

private:
    void attempt();
    void onBody(std::string_view piece);
    void onDone(unsigned status);
    void onFailed();
    void retryAfter(Millis wait);
    void end(const char *result);
    void startGapTimer();
    Millis timeLeft() const;

    Deployment &m_deployment;
    Record &m_record;
    std::string m_name;
    StreamOptions m_options;
    std::shared_ptr<sesame::ClientConnection> m_connection;
    sesame::asio::steady_timer m_timer;
    sesame::asio::steady_timer m_gapTimer;
    Clock::time_point m_startedAt;
    Clock::time_point m_takenUpAt {};
    std::string m_firstAttempt; //!< Attempt that brought the first event.
    std::string m_attempt;
    std::set<std::string> m_versions;
    std::string m_partial;
    std::string m_retryAfterText;
    int m_attempts = 0;
    int m_takeUps = 0;
    int m_node = 0;
    int m_lastEvent = 0;
    int m_eventBefore = 0; //!< Last event when the current attempt began.
    unsigned m_status = 0;
    bool m_isEnded = false;
    bool m_isComplete = false;
    bool m_wentOn = false;
    bool m_isChannelOpen = false;
};

/*!
    Returns whether the environment asks for the disruption: the variable TROUBLE is not "0".
*/
bool hasTrouble();

} // namespace review
