#pragma once

#include "Http/httpcaller.h"
#include "emulatedplatform.h"
#include "support/processgroup.h"
#include "support/processusage.h"

#include <criterion/criterion.h>

#include <chrono>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>

#include <unistd.h>

namespace sesame::test {

using namespace std::chrono_literals;

struct PlatformDeploymentOptions
{
    //! Time after which nodes that may have missed a revocation refuse keys; unset for never.
    std::optional<std::chrono::milliseconds> revocationLimit {};
    std::chrono::seconds stopGrace {3};
    EmulatedPlatform::EngineCapacity engineCapacity {};
    std::vector<std::string> contracts {}; //!< Contracts that the settings of the nodes list.
    int descriptors = 1000; //!< Limit of descriptors of each node's machine.
    int memoryMb = 0; //!< Memory of each node's machine; 0 if the settings state none.
    std::size_t bodyLimit = 1'000'000;
};

/*!
    What a caller received of an answer.
*/
struct RawAnswer
{
    unsigned status = 0; //!< 0 if no head arrived.
    std::string retryAfter; //!< Value of the header field; empty if there is none.
    std::string body;
    bool isComplete = false;
    bool isMalformed = false; //!< Bytes arrived that are no answer in the protocol.
};

/*!
    A deployment of node processes on an emulated platform. The test runs the event loop of the
    emulator.
*/
class PlatformDeployment
{
public:
    /*!
        Starts \a nodes nodes on ports from \a firstPort and waits until they are ready.
    */
    PlatformDeployment(std::uint16_t firstPort, int nodes,
                       const PlatformDeploymentOptions &options = {})
        : platform(context, firstPort, options.engineCapacity)
    {
        platform.setContracts(options.contracts);
        if (options.revocationLimit)
            platform.setRevocationLimit(*options.revocationLimit);
        platform.setStopGrace(options.stopGrace);
        platform.setMachineLimits(options.descriptors, options.memoryMb);
        platform.setBodyLimit(options.bodyLimit);
        std::string pattern = (std::filesystem::temp_directory_path() / "platformtest.XXXXXX");
        cr_assert_not_null(mkdtemp(pattern.data()));
        m_directory = pattern;
        for (int node = 1; node <= nodes; ++node)
            startNode(node, true);
        for (int node = 1; node <= nodes; ++node)
            cr_assert(runUntil(
                              [&] {
                                  return isReady(node);
                              },
                              10s),
                      "node %d is not ready", node);
    }

    ~PlatformDeployment() { std::filesystem::remove_all(m_directory); }

    /*!
        Starts the process of \a node, where 1 is the first node.
    */
    void startNode(int node, bool isFirstStart)
    {
        std::ofstream(settingsFile(node)) << platform.formatSettings(node, isFirstStart);
        startProcess(node);
    }

    /*!
        Starts the process of \a node with the settings file as it is.
    */
    void startProcess(int node)
    {
        setenv("SESAMEPROXY_NODE_FILE", settingsFile(node).c_str(), 1);
        m_pids[node] = m_processes.start({SESAMEPROXY_BINARY, "serve-platform"}, logFile(node));
    }

    /*!
        Returns whether the program of \a node blocks or handles \a signal. Before, its default
        action applies, as the program has not begun to run.
    */
    bool isSignalHandled(int node, int signal) const
    {
        constexpr int hexadecimal = 16;
        std::ifstream file("/proc/" + std::to_string(m_pids.at(node)) + "/status");
        unsigned long long handled = 0;
        for (std::string line; std::getline(file, line);) {
            if (line.starts_with("SigBlk:") || line.starts_with("SigCgt:"))
                handled |= std::strtoull(line.c_str() + std::strlen("SigBlk:"), nullptr,
                                         hexadecimal);
        }
        return (handled >> static_cast<unsigned>(signal - 1) & 1U) != 0;
    }

    std::string settingsFile(int node) const
    {
        return m_directory + "/node-" + std::to_string(node) + ".yaml";
    }

    std::string logFile(int node) const
    {
        return m_directory + "/node-" + std::to_string(node) + ".log";
    }

    /*!
        Returns the output of "sesameproxy explain" for request \a id and the logs of all nodes.
    */
    std::string runExplain(const std::string &id)
    {
        std::vector<std::string> command {SESAMEPROXY_BINARY, "explain", id};
        for (const auto &[node, pid] : m_pids)
            command.push_back(logFile(node));
        const std::string output = m_directory + "/explain.txt";
        runCommand(command, output, 5000);
        return readFile(output);
    }

    void signalNode(int node, int signal) { m_processes.signal(m_pids.at(node), signal); }

    /*!
        Returns the exit code of the process of \a node, as ProcessGroup::waitForExit() does, once
        it has ended.
    */
    std::optional<int> exitCode(int node)
    {
        const int code = m_processes.waitForExit(m_pids.at(node), 0);
        return code >= 0 ? std::optional(code) : std::nullopt;
    }

    bool hasExited(int node) { return m_processes.waitForExit(m_pids.at(node), 0) >= 0; }

    /*!
        Returns the peak of the memory that the process of \a node has used so far, in KiB.
    */
    long peakMemoryKib(int node) const { return test::peakMemoryKib(processId(node)); }

    //! Returns the process id of \a node.
    pid_t processId(int node) const { return m_pids.at(node); }

    /*!
        Returns which of the first \a nodes nodes logged last that it took the duties, or 0.
    */
    int findHolder(int nodes) const
    {
        std::string latest;
        int holder = 0;
        for (int node = 1; node <= nodes; ++node) {
            std::ifstream log(logFile(node));
            for (std::string line; std::getline(log, line);) {
                if (line.find("duties.taken") != std::string::npos && line > latest) {
                    latest = line;
                    holder = node;
                }
            }
        }
        return holder;
    }

    /*!
        Runs the event loop for \a time.
    */
    void runFor(std::chrono::milliseconds time)
    {
        context.restart();
        context.run_for(time);
    }

    /*!
        Runs the event loop until \a condition holds or \a limit has passed. Returns whether the
        condition holds.
    */
    bool runUntil(const std::function<bool()> &condition, std::chrono::milliseconds limit)
    {
        const auto end = std::chrono::steady_clock::now() + limit;
        while (std::chrono::steady_clock::now() < end) {
            if (condition())
                return true;
            runFor(10ms);
        }
        return condition();
    }

    /*!
        Sends a call to \a address and returns the response, with status 0 if there is none.
    */
    CallResponse sendCall(const Tcp::endpoint &address, const std::string &method,
                          const std::string &target, const std::string &id = "",
                          const std::string &key = "key-large", const std::string &body = "")
    {
        return sendCall(address, method, target, requestFields(id, key), body);
    }

    CallResponse sendCall(const Tcp::endpoint &address, const std::string &method,
                          const std::string &target, const HttpFields &fields,
                          const std::string &body)
    {
        HttpCaller caller(context, address);
        std::optional<CallResponse> answer;
        caller.call(method, target, fields, body, 5s, [&](CallResponse result) {
            answer = std::move(result);
        });
        runUntil(
                [&] {
                    return answer.has_value();
                },
                6s);
        return answer.value_or(CallResponse {});
    }

    /*!
        Sends a caller's request with attempt ID \a id and account key \a key to the entry of
        \a node, and returns the response.
    */
    CallResponse sendRequest(int node, const std::string &method, const std::string &target,
                             const std::string &id, const std::string &key = "key-large",
                             const std::string &body = "")
    {
        return sendCall(platform.entryAddress(node), method, target, id, key, body);
    }

    /*!
        Sends a request with attempt ID \a id and the body \a body to the entry of \a node and
        returns what arrives, also if the answer is incomplete.
    */
    RawAnswer readAnswer(int node, const std::string &target, const std::string &id,
                         const std::string &body = "p")
    {
        RawAnswer answer;
        bool ended = false;
        const auto connection = std::make_shared<ClientConnection>(context);
        connection->connect(platform.entryAddress(node), 1s, [&](const auto &ec) {
            cr_assert_not(ec);
            connection->send(formatRequest("POST", target, requestFields(id, "key-large"), body),
                             false,
                             {.head =
                                      [&](const ResponseHead &head) {
                                          answer.status = head.result_int();
                                          answer.retryAfter = fieldValue(head, "Retry-After");
                                          return ResponseSink::Verdict::Take;
                                      },
                              .body =
                                      [&](std::string_view piece) {
                                          answer.body += piece;
                                      },
                              .done =
                                      [&] {
                                          answer.isComplete = true;
                                          ended = true;
                                      },
                              .failed =
                                      [&](ExchangeFailure failure) {
                                          answer.isMalformed = failure != ExchangeFailure::Closed;
                                          ended = true;
                                      }});
        });
        runUntil(
                [&] {
                    return ended;
                },
                5s);
        connection->close();
        return answer;
    }

    /*!
        Sends a streaming request with attempt ID \a id, whose prompt has the parts \a parts, to the
        entry of \a node. Each part is an id in hexadecimal.
    */
    CallResponse sendPrompt(int node, const std::string &id, std::span<const std::string> parts)
    {
        constexpr int tokensPerPart = 20;
        std::string prefix;
        for (const std::string &part : parts)
            prefix += (prefix.empty() ? "" : ",") + part + ":" + std::to_string(tokensPerPart);
        HttpFields fields = requestFields(id, "key-large");
        fields.set("Sesameproxy-Prefix-Hash", prefix);
        fields.set("Sesameproxy-Token-Usage", std::to_string(tokensPerPart * parts.size()) + ",10");
        return sendCall(platform.entryAddress(node), "POST", "/stream/x", fields, "prompt " + id);
    }

    static HttpFields requestFields(const std::string &id, const std::string &key)
    {
        HttpFields fields;
        fields.set("Host", "app.example");
        if (!id.empty())
            fields.set("Sesameproxy-Attempt-Id", id);
        if (!key.empty())
            fields.set("Authorization", "Token " + key);
        fields.set("Sesameproxy-Deadline-Ms", "3000");
        return fields;
    }

    bool isReady(int node)
    {
        return sendCall(platform.readinessAddress(node), "GET", "/api/readyz").status == 200;
    }

    /*!
        Returns how many times engines have executed the request with attempt ID \a id.
    */
    int executionCount(const std::string &id) const
    {
        int count = 0;
        for (const auto &engine : platform.engines)
            count += engine->runCount(id);
        return count;
    }

    /*!
        Makes each engine apply \a fault to its next \a requests requests.
    */
    void setFault(EmulatedEngine::Fault fault, int requests)
    {
        for (const auto &engine : platform.engines)
            engine->setFault(fault, requests);
    }

    asio::io_context context {1};
    EmulatedPlatform platform;

private:
    std::string m_directory;
    ProcessGroup m_processes;
    std::map<int, pid_t> m_pids;
};

/*!
    Returns the events \a first to \a last of a stream, as an emulated engine sends them.
*/
inline std::string formatEvents(int first, int last)
{
    std::string text;
    for (int i = first; i <= last; ++i)
        text += "id: " + std::to_string(i) + "\ndata: piece " + std::to_string(i) + "\n\n";
    return text;
}

} // namespace sesame::test
