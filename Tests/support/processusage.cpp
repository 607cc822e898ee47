#include "support/processusage.h"

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <string>
#include <string_view>

namespace sesame::test {

namespace {

constexpr int hexadecimal = 16;
constexpr long bytesPerKib = 1024;

std::string processFile(pid_t pid, const char *name)
{
    return "/proc/" + std::to_string(pid) + "/" + name;
}

} // namespace

long peakMemoryKib(pid_t pid)
{
    constexpr std::string_view key = "VmHWM:";
    std::ifstream file(processFile(pid, "status"));
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with(key))
            return std::atol(line.c_str() + key.size());
    }
    return 0;
}

long unreadKib(std::uint16_t port)
{
    constexpr std::string_view listening = "0A";
    char suffix[8];
    std::snprintf(suffix, sizeof(suffix), ":%04X", port);
    std::ifstream file("/proc/net/tcp");
    long bytes = 0;
    for (std::string line; std::getline(file, line);) {
        std::istringstream fields(line);
        std::string index;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues; // Unsent and unread bytes, separated by a colon.
        fields >> index >> local >> remote >> state >> queues;
        if (local.ends_with(suffix) && state != listening)
            bytes += std::strtol(queues.substr(queues.find(':') + 1).c_str(), nullptr, hexadecimal);
    }
    return bytes / bytesPerKib;
}

int openDescriptors(pid_t pid)
{
    const std::filesystem::directory_iterator all(processFile(pid, "fd"));
    return static_cast<int>(std::distance(begin(all), end(all)));
}

} // namespace sesame::test
