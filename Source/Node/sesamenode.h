#pragma once

//! Public header of the sesamenode library.
#include "Node/nodeversion.h"
#include "Node/entrynode.h"
