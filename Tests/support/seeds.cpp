#include "support/seeds.h"

#include <cstdlib>
#include <numeric>
#include <random>

namespace sesame {

std::vector<std::uint64_t> testSeeds(std::size_t fixedCount)
{
    if (const char *seed = std::getenv("SESAME_SEED"))
        return {std::strtoull(seed, nullptr, 10)};
    if (const char *count = std::getenv("SESAME_SEEDS")) {
        std::random_device source;
        std::vector<std::uint64_t> seeds(std::strtoull(count, nullptr, 10));
        for (std::uint64_t &it : seeds)
            it = source();
        return seeds;
    }
    std::vector<std::uint64_t> seeds(fixedCount);
    std::iota(seeds.begin(), seeds.end(), 1);
    return seeds;
}

} // namespace sesame
