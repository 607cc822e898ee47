#pragma once

//! Public header of the sesamehttp library, which provides HTTP/1.1 client and server connections
//! that run on one event loop.

#include "Http/clientconnection.h"
#include "Http/httpcaller.h"
#include "Http/listener.h"
