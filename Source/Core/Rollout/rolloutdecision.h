#pragma once

#include "Core/Rollout/rolloutbook.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace sesame {

/*!
    Counters of the requests that engines of some versions got on one route.
*/
struct VersionCounts
{
    double sent = 0.0;
    double answers = 0.0;
    double failures = 0.0;
    double logTimeSum = 0.0; //!< Of the answers, logarithm of milliseconds to the first event.
    double logTimeSquareSum = 0.0;

    VersionCounts &operator+=(const VersionCounts &other);

    /*!
        Returns the growth since \a before. Counters that a restarted node has lost do not count as
        negative growth.
    */
    VersionCounts growthSince(const VersionCounts &before) const;
};

/*!
    Evidence of one route, for the target and for all other versions together.
*/
struct RouteEvidence
{
    VersionCounts target;
    VersionCounts others;
};

using RolloutEvidence = std::map<std::string, RouteEvidence>; //!< By route.

struct RolloutDecisionOptions
{
    double exposureShare = 0.1; //!< Largest share of the requests that a bad version gets.
    double exposureSlack = 50.0; //!< Requests that a bad version may get beyond the share.
};

/*!
    What a decision depends on besides the time.
*/
struct RolloutInputs
{
    RolloutEvidence evidence; //!< Counters of all nodes since the order.
    bool hasTarget = false; //!< Engines of the target can get requests.
    bool hasOthers = false; //!< Engines of other versions can get requests.
    int oldRequests = 0; //!< Requests in progress at engines of other versions.
};

/*!
    A step that follows from the evidence, and why.
*/
struct RolloutChange
{
    RolloutState state = RolloutState::Starting;
    int share = 0; //!< In thousandths.
    std::string reason;
    bool isVerdict = false; //!< The evidence shows that the target is bad.
};

/*!
    Decides the steps of one roll-out.

    A cumulative sum test of log-likelihood ratios compares the target's failures and times with
    those of the other versions in the same interval and on the same route. It starts anew at zero,
    so that a version that turns bad late is found as fast as one that was bad from the start.
    The target's share stays small for the first part of the time, because a version that turns bad
    after the share has grown costs more than the bound allows.
*/
class RolloutDecision
{
public:
    /*!
        Decides on the roll-out whose step in force is \a step. The roll-out began at
        \a startMillis and is to end after \a duration. \a nowMillis is the current time.
    */
    RolloutDecision(const RolloutDecisionOptions &options, const wire::RolloutStep &step,
                    Milliseconds duration, std::int64_t startMillis, std::int64_t nowMillis);

    /*!
        Takes over the evidence. Returns the next step if it is due.
    */
    std::optional<RolloutChange> update(const RolloutInputs &inputs, std::int64_t nowMillis);

    /*!
        Tells that \a step is in force since \a nowMillis.
    */
    void setStep(const wire::RolloutStep &step, std::int64_t nowMillis);

    std::int64_t startMillis() const { return m_startMillis; }
    Milliseconds duration() const { return m_duration; }

    /*!
        Returns the evidence that decides, for the log.
    */
    std::string describe() const;

private:
    //! Evidence of one route with the state of its tests.
    struct Route
    {
        RouteEvidence last; //!< Counters at the last update.
        VersionCounts recent; //!< Answers of the other versions in the last seconds.
        VersionCounts current; //!< The same for the last few reports.
        double peakFailures = 0.0; //!< Largest share of failures of the other versions.
        double failureScore = 0.0;
        double timeScore = 0.0;
    };

    enum class Tests { Failures, FailuresAndTimes };

    void judge(Route &route, const RouteEvidence &evidence, Tests tests);
    static void age(VersionCounts &counts, double weight);
    void judgeFailures(Route &route, const VersionCounts &target) const;
    void judgeTimes(Route &route, const VersionCounts &target) const;
    bool hasEachRoute() const;
    std::optional<RolloutChange> widen(double elapsed, const RolloutInputs &inputs,
                                       std::int64_t nowMillis);
    int smallShare() const;
    double stepAge(std::int64_t nowMillis) const;

    RolloutDecisionOptions m_options;
    Milliseconds m_duration;
    std::int64_t m_startMillis;
    std::int64_t m_observedSince; //!< Time of the first evidence.
    std::int64_t m_nowMillis; //!< Time of the latest update.
    double m_intervalMillis = 0.0; //!< Time between the two latest updates.
    std::int64_t m_stepMillis = 0; //!< Time since when the step is in force.
    std::int64_t m_emptySince = 0; //!< Time since when old engines are empty; 0 if they are not.
    RolloutState m_state;
    int m_share;
    std::map<std::string, Route> m_routes;
    Route m_allRoutes; //!< Failures of all routes together. Times of different routes differ.
    VersionCounts m_target; //!< Answers of the target since the start.
    VersionCounts m_others;
    double m_targetAtStep = 0.0; //!< Answers of the target when the step began.
    double m_sentAtStep = 0.0; //!< Requests of the service when the step began.
    std::string m_badRoute; //!< Route whose test has found the target bad.
};

} // namespace sesame
