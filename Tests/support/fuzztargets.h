#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace sesame::test {

/*!
    Passes arbitrary bytes to a parser of external input and checks the properties that must hold
    for every input. Aborts the process if a check fails.
*/
using FuzzTarget = std::function<void(std::string_view)>;

/*!
    Returns the targets by name. Each has a directory of examples in Tests/corpus.
*/
const std::map<std::string, FuzzTarget> &fuzzTargets();

} // namespace sesame::test
