#pragma once

#include "Core/Placement/enginecostmodel.h"
#include "Core/enginedirectory.h"

#include <span>
#include <string_view>
#include <vector>

namespace sesame {

/*!
    Part of a prompt that other requests may have in common.
*/
struct PromptPart
{
    std::uint64_t id = 0; //!< Equal for equal parts.
    std::int64_t tokens = 0;
};

/*!
    Number of tokens that a request needs at an engine.
*/
struct RequestSize
{
    std::vector<PromptPart> parts; //!< In prompt order; empty if the request names none.
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0; //!< Upper limit.

    std::int64_t tokens() const { return promptTokens + outputTokens; }

    //! Returns the number of prompt tokens that no other request has in common.
    std::int64_t unsharedTokens() const
    {
        return parts.empty() ? promptTokens : parts.back().tokens;
    }

    /*!
        Returns the id that identifies the longest prefix which other requests may have in common:
        the part before the last one, which is specific to the request.
    */
    std::optional<std::uint64_t> sharedPrefix() const
    {
        return parts.size() < 2 ? std::nullopt : std::optional(parts[parts.size() - 2].id);
    }
};

struct EngineChooserOptions
{
    double prefillTokensPerMs = 140.0; //!< Prefill speed of an engine.
    //! Cost of sending a request to an engine, for each request that the engine already has.
    double msPerRequest = 3.0;
    //! Cost for each thousand tokens that the engine's running requests hold in memory.
    double msPerThousandTokens = 0.25;
    double zoneCrossingMs = 2.0; //!< Latency and price of an engine in another availability zone.
    double failurePenaltyMs = 400.0; //!< Cost of a request that fails and must be sent again.
    //! Number of engines that are expected to cache the shared parts of a prompt. More than one,
    //! so that a frequent prompt prefix does not overload a single engine.
    std::size_t preferredEnginesPerPrefix = 2;
    //! Requests that may wait at an engine, as a share of its slots.
    double queueShare = 0.5;
    double memoryShare = 0.9; //!< Share of an engine's memory that is planned for its requests.
    //! Number of nodes beyond which a node compares only some engines. The reports of many nodes
    //! are older than the time between two requests, so all nodes would choose the same engine.
    int maxNodesForAllEngines = 16;
    std::size_t comparedEngines = 4; //!< Engines that a node of a larger deployment compares.
    //! Share of its time that an engine should spend on the prompts of one prefix. Above it, more
    //! engines are expected to cache the prefix.
    double maxPrefixUtilization = 0.25;
    //! Prompt tokens that an engine reads at least until a report of them arrives.
    double tokensReadPerReport = 10000.0;
    //! Share by which a learned cost is higher at the boot of an engine, whose caches are empty and
    //! whose first requests many nodes may send at once.
    double slowStartCost = 1.0;
    Duration slowStartTime = std::chrono::seconds(2); //!< Time until the addition has fallen to 0.
    //! A choice among learned costs multiplies each by a random factor up to 1 plus this, so that
    //! nodes with the same reports do not all choose the same engine.
    double costJitter = 0.15;
};

/*!
    What a choice depends on besides the request and the engines.
*/
struct ChoiceConditions
{
    std::int64_t memoryTokens = 0; //!< Memory of each engine in tokens; 0 if it is not limited.
    std::string_view zone {}; //!< Zone of this node.
    int nodes = 1; //!< Nodes that send to the engines, with this one.
    std::uint64_t random = 0; //!< Random number of this choice.
    //! What was learned of the engines; null where the engines of a service are alike.
    const EngineCostModel *model = nullptr;
};

enum class EngineChoiceFailure {
    None,
    NoEngine, //!< The service has no usable engine.
    NoRoom //!< All usable engines are at their limits.
};

struct EngineChoice
{
    EngineState *engine = nullptr;
    double costMs = 0.0; //!< Estimated cost of the choice, in milliseconds of delay.
    //! Predicted time from sending the request to its first event. Zero without a cost model.
    FirstEventPrediction prediction {};
    EngineChoiceFailure failure = EngineChoiceFailure::None;
};

/*!
    Chooses the engine with the least estimated cost for a request. The cost is estimated with the
    cost model where that has learned that a service's engines differ from the constants.

    The shared parts of prompts are assigned to engines by rendezvous hashing. All nodes therefore
    expect a part in the caches of the same engines without communicating with each other.
*/
class EngineChooser
{
public:
    explicit EngineChooser(EngineChooserOptions options = {}) : m_options(options) { }

    /*!
        Returns the best engine of \a candidates for \a work under \a conditions. \a tried contains
        the ids of engines that must not be chosen again.
    */
    EngineChoice choose(std::span<EngineState *const> candidates, const RequestSize &work,
                        const ChoiceConditions &conditions, std::span<const std::string> tried,
                        Timestamp now) const;

private:
    double unreadTokensAt(const EngineState &engine) const;
    WorkAtEngine workAt(const EngineState &engine, const RequestSize &work, bool isPreferred,
                        Timestamp now) const;
    double slowStartFactor(const EngineState &engine, Timestamp now) const;
    double commonCostMs(const EngineState &engine, const ChoiceConditions &conditions) const;
    std::size_t preferredCount(const std::string &service, const RequestSize &work,
                               const ChoiceConditions &conditions, Timestamp now) const;
    EngineChoice chooseOf(std::span<EngineState *const> candidates,
                          std::span<EngineState *const> preferredEngines, const RequestSize &work,
                          const ChoiceConditions &conditions, std::span<const std::string> tried,
                          Timestamp now) const;
    static std::vector<EngineState *> sampleEngines(std::span<EngineState *const> candidates,
                                                    std::size_t n, std::uint64_t random);
    std::vector<EngineState *> findPreferredEngines(std::span<EngineState *const> candidates,
                                                    const RequestSize &work,
                                                    const ChoiceConditions &conditions,
                                                    Timestamp now) const;
    bool hasRoom(const EngineState &engine, const RequestSize &work, std::int64_t memoryTokens,
                 Timestamp now) const;

    EngineChooserOptions m_options;
};

} // namespace sesame
