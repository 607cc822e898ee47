#include "Adapter/metrics.h"

#include "Core/fleetfile.h"

#if defined(__GNUC__) && !defined(__clang__)
// False positive of GCC 12 for a member of extended_p_square_quantile: each query sets it before it
// is read.
#pragma GCC diagnostic ignored "-Wmaybe-uninitialized"
#endif
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <cstdio>

namespace sesame {

namespace {

namespace acc = boost::accumulators;

// The P-square algorithm estimates quantiles from a few markers instead of storing the samples.
using Accumulator = acc::accumulator_set<
        double, acc::stats<acc::tag::count, acc::tag::max, acc::tag::extended_p_square_quantile>>;

constexpr std::array<double, 3> quantiles {0.5, 0.95, 0.99};
// Markers close to each reported quantile are needed: without them, the algorithm interpolates over
// too wide an interval.
constexpr std::array<double, 9> markers {0.25, 0.5, 0.75, 0.9, 0.95, 0.97, 0.98, 0.99, 0.995};
// The algorithm has 2 * markers + 3 cells and needs one sample for each before it can estimate.
constexpr std::size_t minSampleCount = 2 * markers.size() + 3;

std::string formatNumber(double value)
{
    char buf[32];
    std::snprintf(buf, sizeof(buf), "%.3f", value);
    return buf;
}

std::string formatLabel(Rank rank)
{
    return "rank=\"" + std::string(toString(rank)) + "\"";
}

} // namespace

struct Metrics::Latency
{
    Accumulator samples {acc::extended_p_square_probabilities = markers};

    void record(std::chrono::microseconds time)
    {
        samples(std::chrono::duration<double, std::milli>(time).count());
    }

    std::string render(const std::string &name, Rank rank) const
    {
        const std::size_t n = acc::count(samples);
        const std::string label = formatLabel(rank);
        std::string text = name + "_count{" + label + "} " + std::to_string(n) + "\n";
        if (n == 0)
            return text;
        text += name + "_max{" + label + "} " + formatNumber(acc::max(samples)) + "\n";
        if (n < minSampleCount)
            return text;
        for (double probability : quantiles) {
            const double value = acc::quantile(samples, acc::quantile_probability = probability);
            text += name;
            text += "{" + label;
            text += ",quantile=\"" + formatNumber(probability);
            text += "\"} " + formatNumber(value);
            text += "\n";
        }
        return text;
    }
};

Metrics::Metrics()
{
    for (std::size_t i = 0; i < rankCount; ++i) {
        m_firstToken[i] = std::make_unique<Latency>();
        m_tokenGap[i] = std::make_unique<Latency>();
    }
}

Metrics::~Metrics() = default;

void Metrics::count(std::string_view name, std::uint64_t amount)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_counters.find(name);
    if (it == m_counters.end())
        m_counters.emplace(name, amount);
    else
        it->second += amount;
}

void Metrics::recordResult(Rank rank, ResultCode code)
{
    const std::lock_guard lock(m_mutex);
    ++m_results[{rank, code}];
}

void Metrics::recordFirstToken(Rank rank, std::chrono::microseconds time)
{
    const std::lock_guard lock(m_mutex);
    m_firstToken[static_cast<std::size_t>(rank)]->record(time);
}

void Metrics::recordTokenGap(Rank rank, std::chrono::microseconds time)
{
    const std::lock_guard lock(m_mutex);
    m_tokenGap[static_cast<std::size_t>(rank)]->record(time);
}

std::string Metrics::render() const
{
    const std::lock_guard lock(m_mutex);
    std::string text;
    for (const auto &[name, value] : m_counters)
        text += name + " " + std::to_string(value) + "\n";
    for (const auto &[key, value] : m_results)
        text += "requests{" + formatLabel(key.first) + ",result=\""
                + std::string(toString(key.second)) + "\"} " + std::to_string(value) + "\n";
    for (std::size_t i = 0; i < rankCount; ++i) {
        const auto rank = static_cast<Rank>(i);
        text += m_firstToken[i]->render("first_token_ms", rank);
        text += m_tokenGap[i]->render("token_gap_ms", rank);
    }
    return text;
}

} // namespace sesame
