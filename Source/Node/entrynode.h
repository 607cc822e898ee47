#pragma once

#include "Core/nodesettings.h"

namespace sesame {

/*!
    Runs an entry node until SIGTERM, SIGINT, a drain order or a reclaim of its instance has
    stopped it gracefully. Returns the exit code of the process.
*/
int runEntryNode(const NodeSettings &settings);

} // namespace sesame
