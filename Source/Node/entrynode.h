#pragma once

#include "Core/nodesettings.h"

namespace sesame {

/*!
    Runs an entry node until it has stopped gracefully after SIGTERM, SIGINT, a drain command or
    a reclaim of its instance. Returns the exit code of the process.
*/
int runEntryNode(const NodeSettings &settings);

} // namespace sesame
