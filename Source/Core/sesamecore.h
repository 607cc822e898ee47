#pragma once

//! Public header of the sesamecore library: the decision code, free of sockets, threads and clocks.

#include "Core/fleetconfig.h"
#include "Core/handoverplanner.h"
#include "Core/invariant.h"
#include "Core/lastreason.h"
#include "Core/nodesettings.h"
#include "Core/ports.h"
#include "Core/resultcode.h"
#include "Core/resumetoken.h"
#include "Core/sseparser.h"
#include "Core/streamsession.h"
