#pragma once

//! Public header of the sesameadapter library, which contains HTTP, object service,
//! cloud and peer clients and servers, logging and metrics.

#include "Adapter/backendclient.h"
#include "Adapter/burnjson.h"
#include "Adapter/cloudclient.h"
#include "Adapter/httpclient.h"
#include "Adapter/httpmessage.h"
#include "Adapter/httpserver.h"
#include "Adapter/json.h"
#include "Adapter/jsonlist.h"
#include "Adapter/jsonsplitter.h"
#include "Adapter/log.h"
#include "Adapter/messageauthentication.h"
#include "Adapter/metrics.h"
#include "Adapter/objectserviceclient.h"
#include "Adapter/peerclient.h"
#include "Adapter/peermessage.h"
#include "Adapter/peerserver.h"
#include "Adapter/peertransport.h"
#include "Adapter/systemclock.h"
