#pragma once

//! Public header of the sesameadapter library.
#include "Adapter/systemclock.h"
