#pragma once

//! Public header of the sesameserving library: a node that serves callers from one event loop.

#include "Serving/servingnode.h"
