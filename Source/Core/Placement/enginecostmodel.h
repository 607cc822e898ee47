#pragma once

#include "Core/enginedirectory.h"

#include <array>
#include <optional>
#include <string>
#include <unordered_map>

namespace sesame {

/*!
    What the time to a request's first event depends on.
*/
struct WorkAtEngine
{
    double readTokens = 0.0; //!< Prompt tokens of the request that the engine is expected to read.
    double leastTokens = 0.0; //!< Prompt tokens if all shared parts are cached.
    double mostTokens = 0.0; //!< Prompt tokens if nothing is cached.
    double unreadTokens = 0.0; //!< Prompt tokens of others that the engine reads before.
    double requests = 0.0; //!< Requests that the engine has.
    double heldTokens = 0.0; //!< Tokens of these requests in the engine's memory.
};

/*!
    Prediction for one request at one engine, kept until its first event.
*/
struct FirstEventPrediction
{
    WorkAtEngine work;
    double nominalMs = 0.0; //!< At the nominal speed of the service.
    double ms = 0.0; //!< With the delay factor of the engine.
};

/*!
    Predicts the time from sending a request to its first event, and learns from the observed times:
    the nominal speeds of each service from all its engines, and the delay factor of each engine.

    Starts from the constants with which EngineChooser chooses where nothing is learned.
*/
class EngineCostModel
{
public:
    /*!
        Returns the prediction for \a work at \a engine, which may receive it at \a now.
    */
    FirstEventPrediction predict(const EngineState &engine, const WorkAtEngine &work,
                                 Timestamp now) const;

    /*!
        Returns the cost of a request with \a prediction: the predicted time, and the delay that the
        request causes for those that \a engine already has.
    */
    double costMs(const EngineState &engine, const FirstEventPrediction &prediction) const;

    /*!
        Records that the first event of a request with \a prediction arrived from \a engine after
        \a observedMs.
    */
    void recordFirstEvent(EngineState &engine, const FirstEventPrediction &prediction,
                          double observedMs, Timestamp now);

    /*!
        Records that a request with \a prediction ended after \a elapsedMs without a first event.
    */
    static void recordNoEvent(EngineState &engine, const FirstEventPrediction &prediction,
                              double elapsedMs, Timestamp now);

    /*!
        Returns whether what was learned of \a service differs clearly from the constants.
    */
    bool isUneven(const std::string &service) const;

    /*!
        Returns the time in which an engine of \a service reads a prompt token at nominal speed, in
        milliseconds, or std::nullopt if it has not been learned yet.
    */
    std::optional<double> msPerPromptToken(const std::string &service) const;

    /*!
        Records that a request with the prompt \a prefix of \a service has \a tokens to read
        besides it.
    */
    void recordPrefix(std::uint64_t prefix, double tokens, Timestamp now);

    /*!
        Returns the number of engines of \a service that prompts with \a prefix keep busy, if
        \a nodes nodes receive as many of them as this one.
    */
    double busyEngines(const std::string &service, std::uint64_t prefix, int nodes,
                       Timestamp now) const;

private:
    enum Feature { Base, Token, Request, ThousandTokens, FeatureCount };
    using Features = std::array<double, FeatureCount>;

    struct Speed
    {
        Features msPer; //!< Milliseconds for each unit of the features.
        double samples = 0.0;
        double squaredSpread = 0.0; //!< Moving mean of the engines' squared long-term delays.
    };
    struct PrefixUse
    {
        double tokens = 0.0; //!< Fading sum.
        Timestamp at {};
    };

    static Features constants();
    static Features featuresOf(const WorkAtEngine &work, double readTokens);
    static double predictMs(const Features &msPer, const WorkAtEngine &work, double readTokens);
    const Features &msPer(const std::string &service) const;

    std::unordered_map<std::string, Speed> m_speeds; //!< By service.
    std::unordered_map<std::uint64_t, PrefixUse> m_prefixes;
};

} // namespace sesame
