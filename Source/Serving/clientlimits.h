#pragma once

#include "Serving/servingstate.h"

#include <cstddef>

namespace sesame {

/*!
    Returns the largest number of callers' connections of a node with \a settings.
*/
std::size_t maxEntryConnections(const ServingSettings &settings);

/*!
    Returns the largest number of connections to each of a node's other addresses.
*/
std::size_t maxControlConnections(const ServingSettings &settings);

/*!
    Sets the metrics of the memory that clients use and of the clients that were cut.
*/
void setClientMetrics(ServingMetrics &metrics, const ClientMemory &memory);

} // namespace sesame
