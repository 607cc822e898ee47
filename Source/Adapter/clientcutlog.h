#pragma once

#include "Http/clientmemory.h"

namespace sesame {

/*!
    Logs how many requests and connections of clients the server has ended, and why.
*/
void logClientCuts(const CutCounts &counts);

} // namespace sesame
