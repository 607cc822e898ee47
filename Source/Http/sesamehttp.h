#pragma once

//! Public header of the sesamehttp library: HTTP connections on one event loop.

#include "Http/clientconnection.h"
#include "Http/httpcaller.h"
#include "Http/listener.h"
