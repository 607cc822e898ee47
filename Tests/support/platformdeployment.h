#pragma once

#include "Http/httpcaller.h"
#include "emulatedplatform.h"
#include "support/processgroup.h"

#include <criterion/criterion.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <string>

#include <unistd.h>

namespace sesame::test {

using namespace std::chrono_literals;

/*!
    A deployment of node processes on an emulated platform. The test runs the event loop of the
    emulator.
*/
class PlatformDeployment
{
public:
    PlatformDeployment(std::uint16_t firstPort, int nodes) : platform(context, firstPort)
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "platformtest.XXXXXX");
        cr_assert_not_null(mkdtemp(pattern.data()));
        m_directory = pattern;
        for (int n = 1; n <= nodes; ++n)
            startNode(n, true);
        for (int n = 1; n <= nodes; ++n)
            cr_assert(runUntil(
                              [&] {
                                  return isReady(n);
                              },
                              10s),
                      "node %d is not ready", n);
    }

    ~PlatformDeployment() { std::filesystem::remove_all(m_directory); }

    void startNode(int n, bool isFirstStart)
    {
        const std::string file = settingsFile(n);
        std::ofstream(file) << platform.formatSettings(n, isFirstStart);
        setenv("SESAMEPROXY_NODE_FILE", file.c_str(), 1);
        m_pids[n] = m_processes.start({SESAMEPROXY_BINARY, "serve-platform"}, logFile(n));
    }

    std::string settingsFile(int n) const
    {
        return m_directory + "/node-" + std::to_string(n) + ".yaml";
    }

    std::string logFile(int n) const { return m_directory + "/node-" + std::to_string(n) + ".log"; }

    /*!
        Returns the output of "sesameproxy explain" for request \a id and the logs of all nodes.
    */
    std::string runExplain(const std::string &id)
    {
        std::vector<std::string> command {SESAMEPROXY_BINARY, "explain", id};
        for (const auto &[n, pid] : m_pids)
            command.push_back(logFile(n));
        const std::string output = m_directory + "/explain.txt";
        runCommand(command, output, 5000);
        return readFile(output);
    }

    void signalNode(int n, int signal) { m_processes.signal(m_pids.at(n), signal); }

    bool hasExited(int n) { return m_processes.waitForExit(m_pids.at(n), 0) >= 0; }

    void runFor(std::chrono::milliseconds time)
    {
        context.restart();
        context.run_for(time);
    }

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

    CallAnswer sendCall(const Tcp::endpoint &address, const std::string &method,
                        const std::string &target, const std::string &id = "",
                        const std::string &key = "key-large", const std::string &body = "")
    {
        HttpCaller caller(context, address);
        std::optional<CallAnswer> answer;
        caller.call(method, target, requestFields(id, key), body, 5s, [&](CallAnswer result) {
            answer = std::move(result);
        });
        runUntil(
                [&] {
                    return answer.has_value();
                },
                6s);
        return answer.value_or(CallAnswer {});
    }

    CallAnswer sendRequest(int node, const std::string &method, const std::string &target,
                           const std::string &id, const std::string &key = "key-large",
                           const std::string &body = "")
    {
        return sendCall(platform.entryAddress(node), method, target, id, key, body);
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

    bool isReady(int n)
    {
        return sendCall(platform.readinessAddress(n), "GET", "/api/readyz").status == 200;
    }

    int executionCount(const std::string &id) const
    {
        int n = 0;
        for (const auto &engine : platform.engines)
            n += engine->runs(id);
        return n;
    }

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

inline std::string formatEvents(int first, int last)
{
    std::string text;
    for (int i = first; i <= last; ++i)
        text += "id: " + std::to_string(i) + "\ndata: piece " + std::to_string(i) + "\n\n";
    return text;
}

} // namespace sesame::test
