#pragma once

#include "Core/fleetconfig.h"
#include "Core/ports.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace sesame {

/*!
    An entry node that can take over requests.
*/
struct HandoverPeer
{
    std::string node;
    std::string zone;
    double weight = 1.0; //!< Relative share; peers with 0 are used only if no other is left.
    bool leaving = false;
};

/*!
    A request that is open on the leaving node.
*/
struct OpenRequest
{
    std::string id;
    std::string engineZone; //!< Empty if no engine executes it yet.
    Rank rank = Rank::Standard;
    std::uint64_t cost = 1; //!< Load on the peer, for example the tokens still to relay.
};

/*!
    Assignment of a request to the peer that takes it over.
*/
struct Handover
{
    std::string requestId;
    std::string node; //!< The peer that takes over the request; empty if there is none.
};

/*!
    Result of planHandovers().
*/
struct HandoverPlan
{
    std::vector<Handover> handovers; //!< In sending order, most urgent first.
    bool zoneRuleRelaxed = false; //!< Only peers in ownZone or a leaving zone were left.
};

/*!
    Chooses for each of \a requests the peer of \a peers that takes it over when a node in
    \a ownZone leaves. \a leavingZones are the zones that are being reclaimed.

    Peers in other zones that are not being reclaimed are preferred. Among them, those outside the
    zone of the request's engine are preferred, so that the loss of one more zone affects either
    the entry node or the engine, but not both. If there are none, peers in \a ownZone are used if
    it is not being reclaimed, and otherwise peers in any zone. Peers that are leaving themselves
    are never used. Costs are distributed in proportion to the weights.
*/
HandoverPlan planHandovers(std::string_view ownZone, std::span<const std::string> leavingZones,
                           std::span<const HandoverPeer> peers,
                           std::span<const OpenRequest> requests);

/*!
    How a request continues when its engine leaves.
*/
enum class MoveMethod {
    Finish, //!< Stay on the engine; the answer ends before the engine is reclaimed.
    Transfer, //!< Export the KV cache and import it on another engine.
    Recompute //!< Send the prompt and the delivered text to another engine.
};

/*!
    A request on a leaving engine, with the cost of continuing it on a target engine.
*/
struct EngineMove
{
    std::string requestId;
    Rank rank = Rank::Standard;
    std::uint64_t contextTokens = 0; //!< Tokens of the prompt and the delivered answer.
    std::uint64_t remainingTokens = 0; //!< Upper limit, given by max_tokens.
    std::uint64_t cachedTokens = 0; //!< Leading context tokens in the target's cache.
    bool isTextKnown = true; //!< Whether the node has the prompt and delivered text to recompute.
};

/*!
    Speeds and overheads on which the choice of a MoveMethod depends.
*/
struct MoveCosts
{
    Duration tokenTime {0}; //!< Time between tokens on the leaving engine.
    double prefillTokensPerSecond = 0.0; //!< Of the target engine.
    double kvBytesPerToken = 0.0;
    //! Of the leaving engine's network link, which all transfers share.
    double transferBytesPerSecond = 0.0;
    Duration transferOverhead {0}; //!< Time for the export and import calls of one request.
    Duration margin {0}; //!< Time reserved before the deadline.
};

/*!
    How one request leaves the engine.
*/
struct MoveDecision
{
    std::string requestId;
    MoveMethod method = MoveMethod::Recompute;
    Duration pause {0}; //!< Expected time without tokens after the move starts.
    bool feasible = true; //!< False if only recomputing is left and the text is unknown.
};

/*!
    Decides for each of \a moves how the request leaves an engine that is reclaimed after
    \a noticeTime. Transfers run one after the other in the order of the returned list and must end
    within the notice time. The list starts with the requests that cannot be recomputed because
    their text is unknown. The others follow by rank, and within a rank by the recomputation time
    that each second of transfer saves, the largest saving first.
*/
std::vector<MoveDecision> planEngineMoves(std::span<const EngineMove> moves, const MoveCosts &costs,
                                          Duration noticeTime);

} // namespace sesame
