#pragma once

namespace sesame {

/*!
    Blocks SIGTERM and SIGINT in the calling thread and the threads it starts later.
    Must run before the first thread starts, so that only waitForStopSignal() receives them.
*/
void blockStopSignals();

/*!
    Returns when SIGTERM or SIGINT arrives.
*/
void waitForStopSignal();

} // namespace sesame
