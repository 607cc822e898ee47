#pragma once

#include "Adapter/metrics.h"
#include "Adapter/objectserviceclient.h"
#include "Adapter/systemclock.h"
#include "Core/admissioncontroller.h"
#include "Core/backendtable.h"
#include "Core/burnreport.h"
#include "Core/enginerouter.h"
#include "Core/fleetdocumenttracker.h"
#include "Core/membershiptable.h"
#include "Core/nodesettings.h"
#include "Core/retrybudget.h"
#include "Core/servicerouter.h"
#include "Core/suspecttable.h"
#include "Node/claimcommitter.h"
#include "Node/guarded.h"
#include "Node/lifecycle.h"
#include "Node/streamtable.h"
#include "Node/workerpool.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <random>

namespace sesame {

using Ledger = ClaimCommitter<ObjectServiceClient, SystemClock>;

/*!
    State that the threads of a node share.

    A thread that needs several locks must acquire them in the order of the members. No lock may be
    held during a call to another process.
*/
struct NodeContext
{
    explicit NodeContext(const NodeSettings &nodeSettings);

    /*!
        Returns the current fleet configuration, or a null pointer while there is none.
    */
    std::shared_ptr<const FleetConfig> config() { return fleet.lock()->config(); }

    /*!
        Returns the number of live entry nodes, including this one.
    */
    std::uint32_t countLiveNodes();

    const NodeSettings settings;
    const std::int64_t incarnation; //!< Start time of the process in Unix milliseconds.
    const SystemClock clock {};
    Lifecycle lifecycle;
    std::atomic<bool> storeReachable {false};
    Guarded<FleetDocumentTracker> fleet;
    Guarded<MembershipTable> membership;
    Guarded<BackendTable> backends;
    Guarded<EngineRouter> router;
    Guarded<AdmissionController> admission;
    Guarded<SuspectTable> suspects;
    Guarded<RetryBudget> retryBudget;
    StreamTable streams;
    Guarded<BurnAccumulator> burnAccumulator;
    Metrics metrics;
    ObjectServiceClient store;
    Ledger ledger;
    WorkerPool requestWorkers; //!< Threads that run model requests.
    WorkerPool controlWorkers; //!< Threads for short calls to peers and backend servers.
};

/*!
    Returns the name under which \a node announces suspects during \a incarnation. Each incarnation
    has its own name, because the sequence numbers of the announcements start again after a
    restart.
*/
std::string makeSuspectHolder(std::string_view node, std::int64_t incarnation);

/*!
    Returns a random seed that differs between processes.
*/
std::uint64_t makeRandomSeed();

} // namespace sesame
