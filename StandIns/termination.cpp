#include "termination.h"

#include <csignal>

namespace sesame {

namespace {

sigset_t terminationSignals()
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    return set;
}

} // namespace

void blockTerminationSignals()
{
    const sigset_t set = terminationSignals();
    pthread_sigmask(SIG_BLOCK, &set, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void waitForTermination()
{
    const sigset_t set = terminationSignals();
    int number = 0;
    sigwait(&set, &number);
}

} // namespace sesame
