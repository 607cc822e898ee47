#pragma once

#include "Core/nodesettings.h"

namespace sesame {

struct CloudOptions
{
    Endpoint address;
};

/*!
    Serves the cloud API and its control calls until SIGTERM or SIGINT arrives. Starts and stops no
    processes: instances are listed with the address that a control call set.
    Returns the exit code of the program.
*/
int runCloud(const CloudOptions &options);

} // namespace sesame
