#pragma once

//! Public header of the sesamenode library.

#include "Node/claimcommitter.h"
#include "Node/entrynode.h"
#include "Node/nodeversion.h"
