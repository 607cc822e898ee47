#pragma once

namespace sesame {

/*!
    Runs the caller with the options from the command line flags. Calls an application engine's
    route if \a application is set, else a chat route. Returns the exit code.
*/
int runCallerCommand(bool application);

} // namespace sesame
