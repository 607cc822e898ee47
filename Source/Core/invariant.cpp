#include "Core/invariant.h"

#include <cstdio>
#include <cstdlib>

namespace sesame {

void requireInvariant(bool holds, std::string_view text)
{
    if (holds)
        return;
    std::fprintf(stderr, "invariant violated: %.*s\n", static_cast<int>(text.size()), text.data());
    std::abort();
}

} // namespace sesame
