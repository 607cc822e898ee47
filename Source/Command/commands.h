#pragma once

#include "commandline.h"

namespace sesame {

//! Each function returns one subcommand and is defined in the file of the same name; for example,
//! serveCommand() is in servecommand.cpp.
Command serveCommand();
Command servePlatformCommand();
Command checkCommand();
Command applyCommand();
Command statusCommand();
Command drainCommand();
Command reportBurnCommand();
Command explainCommand();

} // namespace sesame
