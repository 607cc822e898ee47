#pragma once

#include "support/processgroup.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace sesame::test {

struct TestDeploymentOptions
{
    int nodes = 7;
    int engines = 4;
    int applications = 2;
    double tokenMillis = 5.0;
    int slots = 16;
    int capacityLimit = 24;
    std::vector<std::string> engineArguments {}; //!< Added to each engine's command line.
    std::string nodeSettings {}; //!< Lines that are added to each node's settings.
};

/*!
    A deployment of real processes on loopback addresses of its own: the stand-ins, the entry
    nodes, and the fleet file of nunkapok with short times.
*/
class TestDeployment
{
public:
    explicit TestDeployment(const TestDeploymentOptions &options = {});
    ~TestDeployment();
    TestDeployment(const TestDeployment &) = delete;
    TestDeployment &operator=(const TestDeployment &) = delete;

    struct Node
    {
        std::string name;
        std::string zone;
        std::string host;
        pid_t pid = -1;
        std::string callerUrl() const { return "http://" + host + ":8100"; }
        std::string operatorAddress() const { return host + ":8300"; }
    };

    struct Backend
    {
        std::string id;
        std::string zone;
        std::string url;
        pid_t pid = -1;
    };

    ProcessGroup &processes() { return m_processes; }
    std::vector<Node> &nodes() { return m_nodes; }
    std::vector<Backend> &engines() { return m_engines; }
    std::vector<Backend> &applications() { return m_applications; }
    const std::string &storeUrl() const { return m_storeUrl; }
    const std::string &cloudUrl() const { return m_cloudUrl; }
    std::string fleetFile() const { return m_directory + "/fleet.toml"; }
    std::string logFile(const std::string &name) const { return m_directory + "/" + name + ".log"; }

    /*!
        Starts node \a n (again).
    */
    void startNode(std::size_t n);

    /*!
        Waits until every node in \a indexes, or all if it is empty, serves with \a version.
    */
    bool waitUntilServing(std::uint64_t version, int timeoutMillis,
                          const std::vector<std::size_t> &indexes = {});

    /*!
        Puts \a file in force with the command `apply` and returns its exit code.
    */
    int apply(const std::string &file, std::vector<std::string> extra = {});

    /*!
        Returns the caller URLs of all nodes, separated by commas.
    */
    std::string entryList() const;
    std::string operatorList() const;

    /*!
        Returns the arguments that run the caller stand-in with \a extra.
    */
    std::vector<std::string> callerCommand(const std::string &mode,
                                           std::vector<std::string> extra) const;

    /*!
        Returns the number of executions by key, added up over the application engines.
    */
    std::map<std::string, std::int64_t> countExecutions() const;

private:
    void startPlatform();
    void startBackends();
    void registerBackends();
    void writeFleetFile();
    void writeNodeSettings(const Node &node);

    TestDeploymentOptions m_options;
    std::string m_directory;
    std::string m_network; //!< First two numbers of the addresses.
    std::string m_storeUrl;
    std::string m_cloudUrl;
    std::vector<Node> m_nodes;
    std::vector<Backend> m_engines;
    std::vector<Backend> m_applications;
    ProcessGroup m_processes;
};

/*!
    An HTTP call of a test.
*/
struct TestReply
{
    int status = 0; //!< 0 if no reply arrived.
    std::string body;
    std::string outcome; //!< Header X-Outcome.
    int code = 0; //!< Header X-Result-Code.
};

TestReply callUrl(const std::string &method, const std::string &url, const std::string &body = {},
                  const std::vector<std::pair<std::string, std::string>> &headers = {},
                  int timeoutMillis = 5000);

/*!
    Returns the headers of a caller of account "hotel", with \a idempotencyKey if it is not empty.
*/
std::vector<std::pair<std::string, std::string>>
callerHeaders(const std::string &idempotencyKey = {});

} // namespace sesame::test
