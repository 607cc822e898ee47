#pragma once

#include "commandline.h"

namespace sesame {

//! Each of these is defined in the file that is named after it, for example servecommand.cpp.
Command serveCommand();
Command servePlatformCommand();
Command checkCommand();
Command applyCommand();
Command statusCommand();
Command drainCommand();
Command reportBurnCommand();
Command explainCommand();

} // namespace sesame
