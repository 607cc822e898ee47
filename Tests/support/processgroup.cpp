#include "support/processgroup.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <fstream>
#include <sstream>
#include <thread>

namespace sesame::test {

namespace {
constexpr int pollMillis = 10;
constexpr int signalExitBase = 128;
constexpr int logFileMode = 0644;
constexpr int executionFailed = 127;

[[noreturn]] void executeInChild(char **arguments, const char *logFile)
{
    // A failed assertion ends a test without running destructors. A server that outlives its
    // test would share the port with the server of the next run and answer for it.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = open(logFile, O_WRONLY | O_CREAT | O_APPEND, logFileMode);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    // A listening socket that the child inherits would stay open after the test has closed it.
    close_range(STDERR_FILENO + 1, ~0U, 0);
    execv(arguments[0], arguments);
    _exit(executionFailed);
}

} // namespace

ProcessGroup::~ProcessGroup()
{
    const std::vector<pid_t> running = m_running;
    for (const pid_t pid : running)
        kill(pid);
}

pid_t ProcessGroup::start(const std::vector<std::string> &command, const std::string &logFile)
{
    std::vector<char *> arguments;
    arguments.reserve(command.size() + 1);
    for (const std::string &part : command)
        arguments.push_back(const_cast<char *>(part.c_str()));
    arguments.push_back(nullptr);
    const pid_t pid = fork();
    if (pid == 0)
        executeInChild(arguments.data(), logFile.c_str());
    if (pid > 0)
        m_running.push_back(pid);
    return pid;
}

void ProcessGroup::signal(pid_t pid, int number) const
{
    if (pid > 0 && std::find(m_running.begin(), m_running.end(), pid) != m_running.end())
        ::kill(pid, number);
}

void ProcessGroup::kill(pid_t pid)
{
    signal(pid, SIGKILL);
    waitForExit(pid, 5000);
}

int ProcessGroup::waitForExit(pid_t pid, int timeoutMillis)
{
    for (int waited = 0; waited <= timeoutMillis; waited += pollMillis) {
        int status = 0;
        const pid_t ended = waitpid(pid, &status, WNOHANG);
        if (ended == pid || (ended < 0 && errno == ECHILD)) {
            std::erase(m_running, pid);
            return WIFSIGNALED(status) ? signalExitBase + WTERMSIG(status) : WEXITSTATUS(status);
        }
        sleepMillis(pollMillis);
    }
    return -1;
}

int runCommand(const std::vector<std::string> &command, const std::string &logFile,
               int timeoutMillis)
{
    ProcessGroup group;
    return group.waitForExit(group.start(command, logFile), timeoutMillis);
}

std::string readFile(const std::string &path)
{
    std::ifstream in(path);
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
}

void writeFile(const std::string &path, const std::string &text)
{
    std::ofstream(path) << text;
}

void sleepMillis(int millis)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(millis));
}

} // namespace sesame::test
