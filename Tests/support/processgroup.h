#pragma once

#include <sys/types.h>

#include <string>
#include <vector>

namespace sesame::test {

/*!
    Child processes of a test. The destructor kills those that still run.
*/
class ProcessGroup
{
public:
    ProcessGroup() = default;
    ~ProcessGroup();
    ProcessGroup(const ProcessGroup &) = delete;
    ProcessGroup &operator=(const ProcessGroup &) = delete;

    /*!
        Starts \a command with its output in \a logFile and returns the process id.
    */
    pid_t start(const std::vector<std::string> &command, const std::string &logFile);

    void signal(pid_t pid, int number) const;

    /*!
        Kills the child process \a pid and waits up to 5 s for it to end.
    */
    void kill(pid_t pid);

    /*!
        Waits until \a pid ends and returns its exit code, or -1 after \a timeoutMillis.
        For a process that a signal terminated, the result is 128 plus the signal number.
    */
    int waitForExit(pid_t pid, int timeoutMillis);

private:
    std::vector<pid_t> m_running;
};

/*!
    Runs \a command to its end and returns its exit code; its output goes to \a logFile.
*/
int runCommand(const std::vector<std::string> &command, const std::string &logFile,
               int timeoutMillis);

/*!
    Returns the content of \a path.
*/
std::string readFile(const std::string &path);

void writeFile(const std::string &path, const std::string &text);

void sleepMillis(int millis);

} // namespace sesame::test
