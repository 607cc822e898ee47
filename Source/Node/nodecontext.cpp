#include "Node/nodecontext.h"

namespace sesame {

namespace {

Peer makeSelf(const NodeSettings &settings, std::int64_t incarnation)
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
    options.incarnation = randomSeed();
    return options;
}

} // namespace

std::string suspectHolder(std::string_view node, std::int64_t incarnation)
{
    return std::string(node) + "#" + std::to_string(incarnation);
}

std::uint64_t randomSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

NodeContext::NodeContext(const NodeSettings &nodeSettings)
    : settings(nodeSettings), incarnation(clock.wallMillis()),
      fleet(FleetDocumentTrackerOptions {.zone = settings.zone}),
      membership(makeSelf(settings, incarnation), MembershipOptions {},
                 std::mt19937_64(randomSeed())),
      backends(BackendOptions {}), suspects(suspectHolder(settings.node, incarnation)),
      store(ObjectServiceClientOptions {.url = settings.objectServiceUrl}),
      ledger(store, clock, makeLedgerOptions(settings)), workers(WorkerPoolOptions {}),
      controlWorkers(WorkerPoolOptions {.maxThreads = 32})
{
}

std::uint32_t NodeContext::liveNodes()
{
    const std::size_t n = membership.lock()->liveNodes().size();
    return n == 0 ? 1 : static_cast<std::uint32_t>(n);
}

} // namespace sesame
