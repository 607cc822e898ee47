#include "support/seededrun.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <vector>

namespace {

volatile std::uint64_t currentSeed = 0;

void printSeedOnAbort(int)
{
    std::fprintf(stderr, "failed with seed %llu\n", static_cast<unsigned long long>(currentSeed));
    std::signal(SIGABRT, SIG_DFL);
    std::raise(SIGABRT);
}

} // namespace

int runSeeds(std::initializer_list<std::uint64_t> fixed,
             const std::function<std::string(std::uint64_t seed)> &run)
{
    std::vector<std::uint64_t> seeds(fixed);
    if (const char *text = std::getenv("SESAME_SEEDS")) {
        std::random_device device;
        seeds.clear();
        for (int i = 0; i < std::atoi(text); ++i)
            seeds.push_back((static_cast<std::uint64_t>(device()) << 32U) | device());
    }
    if (const char *text = std::getenv("SESAME_SEED"))
        seeds = {std::strtoull(text, nullptr, 10)};
    std::signal(SIGABRT, printSeedOnAbort);
    int failures = 0;
    for (const std::uint64_t seed : seeds) {
        currentSeed = seed;
        const std::string what = run(seed);
        if (what.empty())
            continue;
        ++failures;
        std::fprintf(stderr, "failed with seed %llu: %s\n", static_cast<unsigned long long>(seed),
                     what.c_str());
    }
    std::signal(SIGABRT, SIG_DFL);
    return failures;
}
