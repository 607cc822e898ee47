#pragma once

#include <cstdint>
#include <vector>

namespace sesame {

/*!
    Returns the seeds of a randomised test: 1 to \a fixedCount, or SESAME_SEEDS=N new ones, or the
    one of SESAME_SEED, to repeat a failure.
*/
std::vector<std::uint64_t> testSeeds(std::size_t fixedCount);

} // namespace sesame
