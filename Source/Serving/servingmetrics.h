#pragma once

#include "Core/ports.h"
#include "Core/servingconfig.h"

#include <boost/histogram.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace sesame {

/*!
    Counters, gauges and latency histograms of one node in the Prometheus text format.
    Labels come from the configuration and from fixed sets, so that their number is bounded.
*/
class ServingMetrics
{
public:
    /*!
        Counts a finished request. \a kind is the kind of its route or "none"; \a status is 0 for a
        request without a final answer.
    */
    void recordRequest(std::string_view kind, unsigned status, Duration duration);

    /*!
        Counts what became of a request at one engine.
    */
    void recordSend(std::string_view service, std::string_view result);

    /*!
        Records the time from sending to an engine until its first byte or event.
    */
    void recordFirstByte(std::string_view service, Duration duration);

    /*!
        Sets a gauge; \a series is its name, followed by labels in braces where it has some.
    */
    void setGauge(const std::string &series, double value) { m_gauges[series] = value; }

    std::string render() const;

private:
    using Axis = boost::histogram::axis::variable<double>;
    using Buckets = decltype(boost::histogram::make_histogram(Axis {0.0, 1.0}));
    struct LatencyHistogram
    {
        LatencyHistogram();

        Buckets buckets;
        double sum = 0.0;
    };
    using LatencyHistograms = std::map<std::string, LatencyHistogram, std::less<>>; //!< By label.

    static void recordLatency(LatencyHistograms &histograms, const std::string &label,
                              Duration duration);
    static void renderLatencies(std::string &text, const std::string &name,
                                const LatencyHistograms &histograms);

    std::map<std::string, std::uint64_t> m_counters; //!< By series.
    std::map<std::string, double> m_gauges; //!< By series.
    LatencyHistograms m_requestSeconds;
    LatencyHistograms m_firstByteSeconds;
};

/*!
    Returns the name of \a kind in logs and metrics.
*/
std::string_view routeKindName(RouteKind kind);

} // namespace sesame
