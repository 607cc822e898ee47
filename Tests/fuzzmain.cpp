#include "support/fuzztargets.h"

#include <cstdint>
#include <cstdio>
#include <cstdlib>

// Entry point of libFuzzer. An environment variable selects the target, so that one program
// contains all targets.

namespace {

const sesame::test::FuzzTarget &findTarget()
{
    const char *name = std::getenv("FUZZ_TARGET");
    const auto &targets = sesame::test::fuzzTargets();
    const auto found = targets.find(name ? name : "");
    if (found != targets.end())
        return found->second;
    std::fprintf(stderr, "FUZZ_TARGET: unknown target %s\n", name ? name : "(unset)");
    std::exit(2);
}

} // namespace

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer requires this name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    static const sesame::test::FuzzTarget &feed = findTarget();
    feed({reinterpret_cast<const char *>(data), size});
    return 0;
}
