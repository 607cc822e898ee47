#include "Node/nodecontext.h"

namespace sesame {

namespace {

Peer makeOwnPeer(const NodeSettings &settings, std::int64_t incarnation)
{
    Peer self;
    self.node = settings.node;
    self.address = settings.peerAddress;
    self.callerAddress = settings.callerAddress;
    self.zone = settings.zone;
    self.incarnation = incarnation;
    return self;
}

ClaimLedgerOptions makeLedgerOptions(const NodeSettings &settings)
{
    ClaimLedgerOptions options;
    options.node = settings.node;
    options.incarnation = makeRandomSeed();
    return options;
}

} // namespace

std::string makeSuspectHolder(std::string_view node, std::int64_t incarnation)
{
    return std::string(node) + "#" + std::to_string(incarnation);
}

std::uint64_t makeRandomSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

NodeContext::NodeContext(const NodeSettings &nodeSettings)
    : settings(nodeSettings), incarnation(clock.wallMillis()),
      fleet(FleetDocumentTrackerOptions {.zone = settings.zone}),
      membership(makeOwnPeer(settings, incarnation), MembershipOptions {},
                 std::mt19937_64(makeRandomSeed())),
      backends(BackendOptions {}), suspects(makeSuspectHolder(settings.node, incarnation)),
      store(ObjectServiceClientOptions {.url = settings.objectServiceUrl}),
      ledger(store, clock, makeLedgerOptions(settings)), requestWorkers(WorkerPoolOptions {}),
      controlWorkers(WorkerPoolOptions {.maxThreads = 32})
{
}

std::uint32_t NodeContext::countLiveNodes()
{
    const std::size_t n = membership.lock()->liveNodes().size();
    return n == 0 ? 1 : static_cast<std::uint32_t>(n);
}

} // namespace sesame
