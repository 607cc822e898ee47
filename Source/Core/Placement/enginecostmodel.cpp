#include "Core/Placement/enginecostmodel.h"

#include <algorithm>
#include <cmath>

namespace sesame {

namespace {

using namespace std::chrono_literals;

constexpr double initialBaseMs = 5.0;
constexpr double initialTokensPerMs = 140.0;
constexpr double initialMsPerRequest = 3.0;
constexpr double initialMsPerThousandTokens = 0.25;
//! Weight of the newest answer in the speeds, after the first answers have been averaged.
constexpr double minSpeedWeight = 0.02;
constexpr double maxSpeedWeight = 0.5;
//! A single answer changes the speeds as if it were off by this factor at most.
constexpr double maxSpeedLog = 1.5;
//! Answers after which the learned speeds are used.
constexpr double minSamples = 20.0;
//! Speeds within this factor (1.35) of the constants leave the choices as they are.
constexpr double clearSpeedLog = 0.3;
//! Standard deviation of the engines' long-term delays above which they count as uneven.
constexpr double clearSpread = 0.15;
//! Weight of an answer that does not show whether its prompt was cached.
constexpr double ambiguousWeight = 0.25;
//! Window in which the demand of a prefix is measured.
constexpr Duration prefixWindow = 5s;
//! Prefixes that are remembered; the ones without recent use are removed first.
constexpr std::size_t maxPrefixes = 512;

struct DelaySample
{
    double logDelay = 0.0;
    double weight = 1.0;
};

/*!
    Returns the delay that \a observedMs shows beyond a factor with the logarithm \a knownLog. The
    engine may have read between the least and the most tokens, so a time within the range of both
    says little.
*/
DelaySample sampleOf(double observedMs, double leastMs, double mostMs, double expectedMs,
                     double knownLog)
{
    const double observed = std::log(observedMs);
    const double least = std::log(leastMs);
    const double most = std::log(mostMs);
    if (observed >= most + knownLog)
        return {.logDelay = observed - most};
    if (observed <= least + knownLog)
        return {.logDelay = observed - least};
    return {.logDelay = observed - std::log(expectedMs), .weight = ambiguousWeight};
}

double fade(Timestamp since, Timestamp now)
{
    return std::exp(-std::chrono::duration<double>(now - since)
                    / std::chrono::duration<double>(prefixWindow));
}

} // namespace

EngineCostModel::Features EngineCostModel::constants()
{
    return {initialBaseMs, 1.0 / initialTokensPerMs, initialMsPerRequest,
            initialMsPerThousandTokens};
}

EngineCostModel::Features EngineCostModel::featuresOf(const WorkAtEngine &work, double readTokens)
{
    return {1.0, readTokens + work.unreadTokens, work.requests, work.heldTokens / 1000.0};
}

double EngineCostModel::predictMs(const Features &msPer, const WorkAtEngine &work,
                                  double readTokens)
{
    const Features features = featuresOf(work, readTokens);
    double ms = 0.0;
    for (std::size_t i = 0; i < features.size(); ++i)
        ms += features.at(i) * msPer.at(i);
    return ms;
}

const EngineCostModel::Features &EngineCostModel::msPer(const std::string &service) const
{
    static const Features initial = constants();
    const auto found = m_speeds.find(service);
    return found == m_speeds.end() ? initial : found->second.msPer;
}

FirstEventPrediction EngineCostModel::predict(const EngineState &engine, const WorkAtEngine &work,
                                              Timestamp now) const
{
    FirstEventPrediction prediction {.work = work};
    prediction.nominalMs = predictMs(msPer(engine.entry.service), work, work.readTokens);
    prediction.ms = prediction.nominalMs * std::exp(engine.delay.logFactor(now));
    return prediction;
}

double EngineCostModel::costMs(const EngineState &engine,
                               const FirstEventPrediction &prediction) const
{
    // The requests that the engine has are delayed too, also where the time to the first event does
    // not show it.
    Features costs = msPer(engine.entry.service);
    costs[Request] = std::max(costs[Request], initialMsPerRequest);
    costs[ThousandTokens] = std::max(costs[ThousandTokens], initialMsPerThousandTokens);
    return predictMs(costs, prediction.work, prediction.work.readTokens) * prediction.ms
            / prediction.nominalMs;
}

void EngineCostModel::recordFirstEvent(EngineState &engine, const FirstEventPrediction &prediction,
                                       double observedMs, Timestamp now)
{
    const auto [found, added] = m_speeds.try_emplace(engine.entry.service);
    Speed &speed = found->second;
    if (added)
        speed.msPer = constants();
    const WorkAtEngine &work = prediction.work;
    const double leastMs = predictMs(speed.msPer, work, work.leastTokens);
    const double mostMs = predictMs(speed.msPer, work, work.mostTokens);
    const double expectedMs = predictMs(speed.msPer, work, work.readTokens);
    // What the engine stated about its machine is not a property of its speed.
    const double stated = engine.delay.statedLog(now).value_or(0.0);
    const double usualMs = std::max(observedMs, 0.1) / std::exp(stated);

    const DelaySample ofService = sampleOf(usualMs, leastMs, mostMs, expectedMs, 0.0);
    speed.samples += ofService.weight;
    const double limited = std::clamp(ofService.logDelay, -maxSpeedLog, maxSpeedLog);
    const double newest = std::clamp(2.0 / (speed.samples + 1.0), minSpeedWeight, maxSpeedWeight);
    const Features features = featuresOf(work, work.readTokens);
    const Features initial = constants();
    constexpr double maxChange = 30.0;
    for (std::size_t i = 0; i < features.size(); ++i) {
        const double share = features.at(i) * speed.msPer.at(i) / expectedMs;
        double &ms = speed.msPer.at(i);
        ms = std::clamp(ms * std::exp(newest * ofService.weight * limited * share),
                        initial.at(i) / maxChange, initial.at(i) * maxChange);
    }

    const double known = engine.delay.meanLog(now);
    speed.squaredSpread += newest * (known * known - speed.squaredSpread);
    const DelaySample ofEngine = sampleOf(usualMs, leastMs, mostMs, expectedMs, known);
    // The first answers of a service show its speed, not the differences between its engines.
    const double certainty = std::min(speed.samples / minSamples, 1.0);
    engine.delay.record(ofEngine.logDelay, ofEngine.weight * certainty, now);
}

void EngineCostModel::recordNoEvent(EngineState &engine, const FirstEventPrediction &prediction,
                                    double elapsedMs, Timestamp now)
{
    const double excess = std::log(std::max(elapsedMs, 0.1) / std::max(prediction.nominalMs, 0.1));
    if (excess > engine.delay.meanLog(now))
        engine.delay.record(excess, 1.0, now);
}

bool EngineCostModel::isUneven(const std::string &service) const
{
    const auto found = m_speeds.find(service);
    if (found == m_speeds.end() || found->second.samples < minSamples)
        return false;
    const Speed &speed = found->second;
    const Features initial = constants();
    return std::abs(std::log(speed.msPer[Token] / initial[Token])) > clearSpeedLog
            || std::sqrt(speed.squaredSpread) > clearSpread;
}

std::optional<double> EngineCostModel::msPerPromptToken(const std::string &service) const
{
    const auto found = m_speeds.find(service);
    if (found == m_speeds.end() || found->second.samples < minSamples)
        return std::nullopt;
    return found->second.msPer[Token];
}

void EngineCostModel::recordPrefix(std::uint64_t prefix, double tokens, Timestamp now)
{
    if (m_prefixes.size() >= maxPrefixes && !m_prefixes.contains(prefix))
        std::erase_if(m_prefixes, [&](const auto &item) {
            return now - item.second.at > prefixWindow;
        });
    if (m_prefixes.size() >= maxPrefixes && !m_prefixes.contains(prefix))
        return;
    PrefixUse &use = m_prefixes[prefix];
    use.tokens = use.tokens * (use.at == Timestamp {} ? 0.0 : fade(use.at, now)) + tokens;
    use.at = now;
}

double EngineCostModel::busyEngines(const std::string &service, std::uint64_t prefix, int nodes,
                                    Timestamp now) const
{
    const auto found = m_prefixes.find(prefix);
    if (found == m_prefixes.end())
        return 0.0;
    const double tokens = found->second.tokens * fade(found->second.at, now) * nodes;
    const double windowMs = std::chrono::duration<double, std::milli>(prefixWindow).count();
    return tokens * msPer(service)[Token] / windowMs;
}

} // namespace sesame
