#pragma once

//! Public header of the sesamecore library: the decision code, free of sockets, threads and clocks.

#include "Core/burnreport.h"
#include "Core/claimledger.h"
#include "Core/claimshard.h"
#include "Core/fleetconfig.h"
#include "Core/fleetdocument.h"
#include "Core/fleetexceptions.h"
#include "Core/fleetfile.h"
#include "Core/fleetkeeper.h"
#include "Core/fleetpublisher.h"
#include "Core/invariant.h"
#include "Core/lastreason.h"
#include "Core/linedifference.h"
#include "Core/nodesettings.h"
#include "Core/nodesettingsfile.h"
#include "Core/ports.h"
#include "Core/resultcode.h"
#include "Core/settingserror.h"
#include "Core/resumetoken.h"
#include "Core/sseparser.h"
#include "Core/streamsession.h"
