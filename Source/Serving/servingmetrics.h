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
    Counters, gauges and latency histograms of one node, rendered in the Prometheus text format.

    Label values come from the configuration and from fixed sets, so that the number of series is
    bounded.
*/
class ServingMetrics
{
public:
    /*!
        Counts a finished request that took \a duration. \a kind is the kind of its route or "none",
        \a status is the HTTP status, or 0 for a request without a complete response.
    */
    void recordRequest(std::string_view kind, unsigned status, Duration duration);

    /*!
        Counts a send to an engine of \a service that ended with \a result.
    */
    void recordSend(std::string_view service, std::string_view result);

    /*!
        Counts a check whether an engine of \a service crashed, which a lost connection caused.
        \a result is "crashed" or "alive".
    */
    void recordCrashCheck(std::string_view service, std::string_view result);

    /*!
        Records the \a duration from sending a request to an engine until the head of its response.
    */
    void recordFirstByte(std::string_view service, Duration duration);

    /*!
        Records that the first event of a request to a route of \a kind was predicted after
        \a predictedMs and arrived after \a observedMs.
    */
    void recordPrediction(std::string_view kind, double predictedMs, double observedMs);

    /*!
        Sets a gauge. \a series is its name without the "sesame_" prefix, followed by its labels in
        braces, if any.
    */
    void setGauge(const std::string &series, double value) { m_gauges[series] = value; }

    /*!
        Returns all metrics in the Prometheus text format.
    */
    std::string render() const;

private:
    using Axis = boost::histogram::axis::variable<double>;
    using Buckets = decltype(boost::histogram::make_histogram(Axis {0.0, 1.0}));
    struct LatencyHistogram
    {
        LatencyHistogram();

        Buckets buckets;
        double sum = 0.0; //!< Seconds, or a ratio of times.
    };
    //! Histograms by label pair.
    using LatencyHistograms = std::map<std::string, LatencyHistogram, std::less<>>;

    static void recordLatency(LatencyHistograms &histograms, const std::string &label,
                              double value);
    static void renderLatencies(std::string &text, const std::string &name,
                                const LatencyHistograms &histograms);

    std::map<std::string, std::uint64_t> m_counters; //!< The key is the series.
    std::map<std::string, double> m_gauges; //!< The key is the series.
    LatencyHistograms m_requestSeconds;
    LatencyHistograms m_firstByteSeconds;
    LatencyHistograms m_predictionRatios; //!< Observed divided by predicted time.
};

/*!
    Returns the label \a name with \a value, which may contain any character, as in the Prometheus
    text format.
*/
std::string formatLabel(std::string_view name, std::string_view value);

/*!
    Returns the name of \a kind for logs and metrics.
*/
std::string_view routeKindName(RouteKind kind);

} // namespace sesame
