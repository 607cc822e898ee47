#pragma once

namespace sesame {

/*!
    Runs the caller with the options of its command line flags.
*/
int runCallerCommand(bool application);

} // namespace sesame
