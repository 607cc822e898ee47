#pragma once

#include "Core/enginedirectory.h"

#include <span>
#include <string_view>
#include <vector>

namespace sesame {

/*!
    A part of a prompt that other requests may share, in prompt order.
*/
struct PromptPart
{
    std::uint64_t id = 0;
    std::int64_t tokens = 0;
};

/*!
    What a request asks of an engine.
*/
struct RequestSize
{
    std::vector<PromptPart> parts; //!< Empty if the request names none.
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0; //!< At most.

    std::int64_t tokens() const { return promptTokens + outputTokens; }
};

struct EngineChooserOptions
{
    double prefillTokensPerMs = 140.0; //!< Speed at which an engine reads a prompt.
    //! Added time of one more request at an engine, for each request that is there already.
    double msPerRequest = 3.0;
    //! Added time for each thousand tokens that the engine's running requests hold.
    double msPerThousandTokens = 0.25;
    double zoneCrossingMs = 2.0; //!< Latency and price of another availability zone.
    double failurePenaltyMs = 400.0; //!< Cost of a request that fails and has to be sent again.
    //! Engines that are taken to hold the shared parts of a prompt; more than one, so that a hot
    //! prompt does not overload a single engine.
    std::size_t preferredEnginesPerPrefix = 2;
    //! Requests beyond the slots that may wait at an engine.
    double queueShare = 0.5;
    double memoryShare = 0.9; //!< Part of an engine's memory that its requests may take.
};

enum class EngineChoiceFailure {
    None,
    NoEngine, //!< The service has no engine that may be used.
    NoRoom //!< All engines are at their limits.
};

struct EngineChoice
{
    EngineState *engine = nullptr;
    double costMs = 0.0; //!< Estimated time that the choice costs.
    EngineChoiceFailure failure = EngineChoiceFailure::None;
};

/*!
    Chooses the engine with the least estimated cost for a request.

    The shared parts of prompts are spread over the engines by rendezvous hashing, so that all
    nodes expect a part in the same engines' memory without telling each other.
*/
class EngineChooser
{
public:
    explicit EngineChooser(EngineChooserOptions options = {}) : m_options(options) { }

    /*!
        Returns the best engine of \a candidates for \a work. \a memoryTokens is the memory of
        each engine, 0 if it does not matter. \a tried are ids that must not be chosen again.
    */
    EngineChoice choose(std::span<EngineState *const> candidates, const RequestSize &work,
                        std::int64_t memoryTokens, std::string_view zone,
                        std::span<const std::string> tried, Timestamp now) const;

private:
    std::vector<const EngineState *> findPreferredEngines(std::span<EngineState *const> candidates,
                                                          const RequestSize &work) const;
    bool hasRoom(const EngineState &engine, const RequestSize &work,
                 std::int64_t memoryTokens) const;

    EngineChooserOptions m_options;
};

} // namespace sesame
