#include "Serving/servingmetrics.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>

#include <array>

namespace sesame {

namespace {

//! Bounds of the histogram buckets in seconds. They include the usual latency objectives of plain
//! requests and of first events, and the callers' deadlines.
constexpr std::array latencyBounds {0.0,  0.005, 0.01, 0.025, 0.05, 0.1, 0.15,
                                    0.25, 0.5,   1.0,  1.5,   2.5,  5.0, 10.0};

} // namespace

std::string_view routeKindName(RouteKind kind)
{
    switch (kind) {
    case RouteKind::Safe:
        return "safe";
    case RouteKind::Unsafe:
        return "unsafe";
    case RouteKind::Streaming:
        return "streaming";
    }
    return "none";
}

std::string formatLabel(std::string_view name, std::string_view value)
{
    const std::string escaped = absl::StrReplaceAll(
            absl::string_view(value.data(), value.size()),
            {{"\\", "\\\\"}, {"\"", "\\\""}, {"\n", "\\n"}});
    return std::string(name) + "=\"" + escaped + "\"";
}

ServingMetrics::LatencyHistogram::LatencyHistogram()
    : buckets(boost::histogram::make_histogram(Axis(latencyBounds.begin(), latencyBounds.end())))
{
}

void ServingMetrics::recordRequest(std::string_view kind, unsigned status, Duration duration)
{
    const std::string label = "kind=\"" + std::string(kind) + "\"";
    ++m_counters["sesame_requests_total{" + label + ",status=\"" + std::to_string(status) + "\"}"];
    recordLatency(m_requestSeconds, label, std::chrono::duration<double>(duration).count());
}

void ServingMetrics::recordSend(std::string_view service, std::string_view result)
{
    ++m_counters["sesame_engine_sends_total{" + formatLabel("service", service) + ","
                 + formatLabel("result", result) + "}"];
}

void ServingMetrics::recordCrashCheck(std::string_view service, std::string_view result)
{
    ++m_counters["sesame_engine_crash_checks_total{" + formatLabel("service", service) + ","
                 + formatLabel("result", result) + "}"];
}

void ServingMetrics::recordFirstByte(std::string_view service, Duration duration)
{
    recordLatency(m_firstByteSeconds, formatLabel("service", service),
                  std::chrono::duration<double>(duration).count());
}

void ServingMetrics::recordPrediction(std::string_view kind, double predictedMs, double observedMs)
{
    if (predictedMs > 0.0)
        recordLatency(m_predictionRatios, "kind=\"" + std::string(kind) + "\"",
                      observedMs / predictedMs);
}

void ServingMetrics::recordLatency(LatencyHistograms &histograms, const std::string &label,
                                   double value)
{
    LatencyHistogram &histogram = histograms[label];
    histogram.buckets(value);
    histogram.sum += value;
}

void ServingMetrics::renderLatencies(std::string &text, const std::string &name,
                                     const LatencyHistograms &histograms)
{
    absl::StrAppend(&text, "# TYPE ", name, " histogram\n");
    for (const auto &[label, histogram] : histograms) {
        double count = 0.0;
        for (int i = 0; i < histogram.buckets.axis().size(); ++i) {
            count += histogram.buckets.at(i);
            absl::StrAppend(&text, name, "_bucket{", label, ",le=\"",
                            histogram.buckets.axis().bin(i).upper(), "\"} ", count, "\n");
        }
        // Durations above the last bound are counted in the overflow bin.
        count += histogram.buckets.at(histogram.buckets.axis().size());
        absl::StrAppend(&text, name, "_bucket{", label, ",le=\"+Inf\"} ", count, "\n");
        absl::StrAppend(&text, name, "_sum{", label, "} ", histogram.sum, "\n");
        absl::StrAppend(&text, name, "_count{", label, "} ", count, "\n");
    }
}

std::string ServingMetrics::render() const
{
    std::string text;
    for (const auto &[series, value] : m_counters)
        absl::StrAppend(&text, series, " ", value, "\n");
    for (const auto &[series, value] : m_gauges)
        absl::StrAppend(&text, "sesame_", series, " ", value, "\n");
    renderLatencies(text, "sesame_request_seconds", m_requestSeconds);
    renderLatencies(text, "sesame_engine_first_byte_seconds", m_firstByteSeconds);
    renderLatencies(text, "sesame_first_event_observed_to_predicted", m_predictionRatios);
    return text;
}

} // namespace sesame
