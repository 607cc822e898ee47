#include "support/fuzztargets.h"

#include <cstdint>
#include <cstdio>
#include <cstdlib>

// The entry of libFuzzer. The target is named by the environment, so that one program has them all.

namespace {

const sesame::test::FuzzTarget &findTarget()
{
    const char *name = std::getenv("FUZZ_TARGET");
    const auto &targets = sesame::test::fuzzTargets();
    const auto found = targets.find(name ? name : "");
    if (found != targets.end())
        return found->second;
    std::fprintf(stderr, "FUZZ_TARGET: %s is none of the targets\n", name ? name : "(unset)");
    std::exit(2);
}

} // namespace

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer's name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    static const sesame::test::FuzzTarget &feed = findTarget();
    feed({reinterpret_cast<const char *>(data), size});
    return 0;
}
