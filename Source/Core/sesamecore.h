#pragma once

//! Public header of the sesamecore library: the decision code, free of sockets, threads and clocks.

#include "Core/claimledger.h"
#include "Core/claimshard.h"
#include "Core/fleetconfig.h"
#include "Core/invariant.h"
#include "Core/lastreason.h"
#include "Core/leaseholder.h"
#include "Core/nodesettings.h"
#include "Core/orderissuer.h"
#include "Core/ports.h"
#include "Core/resultcode.h"
#include "Core/wireformat.h"
