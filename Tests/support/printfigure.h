#pragma once

#include <cstdio>

namespace sesame::test {

/*!
    Prints a measured figure on a line of its own. Criterion's own warnings cannot be used for
    figures, because they make the test program fail.
*/
template <typename... Values>
void printFigure(const char *format, Values... values)
{
    std::printf(format, values...);
    std::printf("\n");
    std::fflush(stdout);
}

} // namespace sesame::test
