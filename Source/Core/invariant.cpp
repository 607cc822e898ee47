#include "Core/invariant.h"

#include <cstdio>
#include <cstdlib>

namespace sesame {

void requireInvariant(bool isSatisfied, std::string_view text)
{
    if (isSatisfied)
        return;
    std::fprintf(stderr, "invariant violated: %.*s\n", static_cast<int>(text.size()), text.data());
    std::abort();
}

} // namespace sesame
