#include "Serving/clientlimits.h"

#include <algorithm>

namespace sesame {

namespace {

//! File descriptors that are not available to callers: those reserved by the platform, those of the
//! control addresses and those of connections to engines.
constexpr std::size_t reservedDescriptors = 1000;
//! Connections to each of the addresses that are not for callers, as a share of the descriptors.
//! All of them and the files must leave descriptors for connections to engines.
constexpr std::size_t controlConnectionsDivisor = 32;
constexpr std::size_t minControlConnections = 16;
constexpr std::size_t controlConnectionsLimit = 256;

} // namespace

std::size_t maxEntryConnections(const ServingSettings &settings)
{
    return settings.descriptorLimit > 2 * reservedDescriptors
            ? settings.descriptorLimit - reservedDescriptors
            : settings.descriptorLimit / 2;
}

std::size_t maxControlConnections(const ServingSettings &settings)
{
    return std::clamp(settings.descriptorLimit / controlConnectionsDivisor, minControlConnections,
                      controlConnectionsLimit);
}

void setClientMetrics(ServingMetrics &metrics, const ClientMemory &memory)
{
    metrics.setGauge("client_memory_bytes", static_cast<double>(memory.budget().heldBytes()));
    metrics.setGauge("client_memory_limit_bytes",
                     static_cast<double>(memory.budget().limitBytes()));
    for (std::size_t i = 0; i < cutReasonCount; ++i)
        metrics.setGauge("clients_cut{reason=\""
                                 + std::string(cutReasonName(static_cast<CutReason>(i))) + "\"}",
                         static_cast<double>(memory.cuts()[i]));
}

} // namespace sesame
