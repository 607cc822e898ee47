#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace sesame::test {

/*!
    A parser of bytes that come from outside. The function feeds it any bytes and asserts what must
    hold for all of them; a fault aborts the process.
*/
using FuzzTarget = std::function<void(std::string_view)>;

/*!
    Returns the targets by name. Each has a folder of examples in Tests/corpus.
*/
const std::map<std::string, FuzzTarget> &fuzzTargets();

} // namespace sesame::test
