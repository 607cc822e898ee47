#pragma once

//! Public header of the sesamenode library.
#include "Node/entrynode.h"
#include "Node/claimcommitter.h"
#include "Node/nodeversion.h"
#include "Node/entrynode.h"
