#pragma once

namespace sesame {

/*!
    Blocks SIGTERM and SIGINT. Must be called before the first thread starts.
*/
void blockTerminationSignals();

/*!
    Waits for SIGTERM or SIGINT.
*/
void waitForTermination();

} // namespace sesame
