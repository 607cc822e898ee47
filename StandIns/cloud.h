#pragma once

#include "Core/nodesettings.h"

namespace sesame {

struct CloudOptions
{
    Endpoint address;
};

/*!
    Serves the cloud API and its control calls until SIGTERM or SIGINT. No processes are started
    or stopped; instances appear in the list with the address that a control call gave them.
    Returns the exit code of the program.
*/
int runCloud(const CloudOptions &options);

} // namespace sesame
