#include "termination.h"

#include "Core/lastreason.h"

#include <charconv>
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

std::optional<Endpoint> endpointFromText(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    Endpoint endpoint;
    if (colon != std::string_view::npos) {
        endpoint.host = text.substr(0, colon);
        const char *end = text.data() + text.size();
        const auto [rest, ec] = std::from_chars(text.data() + colon + 1, end, endpoint.port);
        if (ec == std::errc() && rest == end && !endpoint.host.empty())
            return endpoint;
    }
    return fail(ResultCode::InvalidSettings, "expected IP:PORT, found " + std::string(text));
}

} // namespace sesame
