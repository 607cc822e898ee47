#pragma once

//! Public header of the sesamecore library: the decision code, free of sockets, threads and clocks.

#include "Core/admissioncontroller.h"
#include "Core/backoff.h"
#include "Core/capacityplanner.h"
#include "Core/enginerouter.h"
#include "Core/fleetconfig.h"
#include "Core/invariant.h"
#include "Core/lastreason.h"
#include "Core/nodesettings.h"
#include "Core/ports.h"
#include "Core/promptblocks.h"
#include "Core/resultcode.h"
#include "Core/retrybudget.h"
#include "Core/servicerouter.h"
#include "Core/suspecttable.h"
