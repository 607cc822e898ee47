#pragma once

#include "Core/Placement/enginechooser.h"
#include "Core/servingconfig.h"

#include <exchange_types.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace sesame {

struct PromptCrashOptions
{
    //! Crashes in succession, without an answer in between, after which a part is blamed.
    std::size_t crashLimit = 3;
    //! The same for a part that engines have answered before.
    std::size_t answeredCrashLimit = 6;
    std::size_t requestLimit = 2; //!< Different requests that must have been lost in the crashes.
    Milliseconds retention {60'000}; //!< Lifetime of crashes and answers.
    Milliseconds refusalTime {600'000}; //!< Time for which requests with blamed parts are refused.
    //! Time for which a node reports a crash to others, which keep it for its lifetime.
    Milliseconds reportTime {5'000};
    std::size_t maxReportedCrashes = 24; //!< Crashes that a node reports to others.
    std::size_t maxAnsweredParts = 8192;
};

/*!
    Identifies parts of prompts that crash each engine which begins to answer them, whatever else
    the request contains.

    A request is suspected if its engine crashed before it had begun to answer. Each of its parts
    that other requests may contain is blamed after several crashes in succession: each request was
    sent after the crash before, so that engines which fail at the same time for another reason
    count once. An answer to a prompt with the part clears it. Sound parts that occur in the same
    requests as the blamed one cannot be told from it until they are answered in other requests;
    therefore only requests are refused that contain all parts which the lost requests have in
    common. Crashes that a refusal explains are no evidence against other parts.

    Nodes exchange their evidence. It is merged idempotently, so that it does not matter how often
    and from whom it arrives. All times are in milliseconds of the common time of the nodes.
*/
class PromptCrashTable
{
public:
    explicit PromptCrashTable(PromptCrashOptions options = {}) : m_options(options) { }

    /*!
        Records a crash that this node found. Crashes without parts are ignored.
    */
    void recordCrash(const wire::PromptCrash &crash, std::int64_t nowMillis);

    /*!
        Records that an engine answered a prompt with \a parts beyond the beginning.
    */
    void recordAnswer(std::span<const PromptPart> parts, std::int64_t nowMillis);

    /*!
        Adds the \a evidence of other nodes.
    */
    void merge(const wire::PromptEvidence &evidence, std::int64_t nowMillis);

    /*!
        Returns how long requests whose prompts have \a parts are refused, or std::nullopt if they
        are not.
    */
    std::optional<Milliseconds> refusalTime(std::span<const PromptPart> parts,
                                            std::int64_t nowMillis) const;

    /*!
        Returns what this node reports to others: the crashes that it found, its answers to parts in
        question, and all refusals that it knows.
    */
    wire::PromptEvidence ownEvidence(std::int64_t nowMillis) const;

    /*!
        Removes evidence and refusals whose lifetime is over.
    */
    void removeExpired(std::int64_t nowMillis);

    /*!
        Returns the groups of parts for which requests are refused.
    */
    std::span<const wire::RefusedParts> refusals() const { return m_known.refused; }

private:
    std::int64_t answeredMillis(std::int64_t part) const;
    std::vector<const wire::PromptCrash *> unansweredCrashes(std::int64_t part) const;
    bool isExplained(const wire::PromptCrash &crash, std::int64_t part) const;
    bool isBlamed(std::int64_t part, std::span<const wire::PromptCrash *const> crashes) const;
    std::vector<std::int64_t> commonParts(std::span<const wire::PromptCrash *const> crashes) const;
    void decide(std::int64_t nowMillis);

    PromptCrashOptions m_options;
    wire::PromptEvidence m_known; //!< Evidence of all nodes.
    std::vector<wire::PromptCrash> m_ownCrashes;
    std::unordered_map<std::int64_t, std::int64_t> m_ownAnswers; //!< Time by part.
};

//! An engine that has sent more events of an answer did not crash on its beginning.
constexpr std::size_t eventsOfBeginning = 1;

/*!
    Returns the ids of those of \a parts that other requests may contain: all but the last one.
*/
std::vector<std::int64_t> sharedPartIds(std::span<const PromptPart> parts);

/*!
    Returns the ids \a parts in hexadecimal, separated by commas, for logs.
*/
std::string formatPartIds(std::span<const std::int64_t> parts);

/*!
    Adds \a part to \a sum. Adding the same evidence again has no effect. Of many crashes, only the
    latest ones are kept.
*/
void mergePromptEvidence(wire::PromptEvidence &sum, const wire::PromptEvidence &part);

} // namespace sesame
