#pragma once

#include "Core/nodesettings.h"

namespace sesame {

/*!
    Runs an entry node until SIGTERM or a drain order. Returns the exit code of the process.
*/
int runServe(const NodeSettings &settings);

} // namespace sesame
