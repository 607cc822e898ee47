#pragma once

//! Public header of the sesameserving library: a node that serves callers on one event loop.

#include "Serving/servingnode.h"
