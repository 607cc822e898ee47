#pragma once

#include "Core/fleetconfig.h"
#include "Core/ports.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace sesame {

/*!
    An entry node that could take over requests.
*/
struct HandoverPeer
{
    std::string node;
    std::string zone;
    double weight = 1.0; //!< Share of the requests; 0 takes part only if no other peer is left.
    bool leaving = false;
};

/*!
    An open request of the leaving node.
*/
struct OpenRequest
{
    std::string id;
    std::string engineZone; //!< Empty if no engine runs it yet.
    Rank rank = Rank::Standard;
    std::uint64_t cost = 1; //!< Load for the peer, for example the tokens still to relay.
};

struct Handover
{
    std::string requestId;
    std::string node; //!< The peer that takes the request; empty if there is none.
};

struct HandoverPlan
{
    std::vector<Handover> handovers; //!< In the order to send them, most urgent first.
    bool zoneRuleRelaxed = false; //!< Only peers in the own or a leaving zone were left.
};

/*!
    Chooses for every one of \a requests which of \a peers takes it when a node in \a ownZone
    leaves. \a leavingZones are being reclaimed.

    Peers in other zones that stay are preferred, among them those outside the zone of the
    request's engine, so that the loss of one more zone takes either the entry node or the
    engine. If none of these is left, peers that stay in the own zone are used, then peers that
    do not leave themselves in any zone. Costs are spread by weight.
*/
HandoverPlan planHandovers(std::string_view ownZone, std::span<const std::string> leavingZones,
                           std::span<const HandoverPeer> peers,
                           std::span<const OpenRequest> requests);

enum class MoveMethod {
    Finish, //!< The answer ends before the engine does.
    Transfer, //!< Export the KV cache and import it elsewhere.
    Recompute //!< Send prompt and delivered text to another engine.
};

/*!
    A request on a leaving engine and what is known about the engine that would continue it.
*/
struct EngineMove
{
    std::string requestId;
    Rank rank = Rank::Standard;
    std::uint64_t contextTokens = 0; //!< Prompt and delivered answer.
    std::uint64_t remainingTokens = 0; //!< At most; bounded by max_tokens.
    std::uint64_t cachedTokens = 0; //!< Leading context tokens that the target has cached.
    bool isTextKnown = true; //!< The node has prompt and delivered text, so it can recompute.
};

struct MoveCosts
{
    Duration tokenTime {0}; //!< Interval between tokens on the leaving engine.
    double prefillTokensPerSecond = 0.0; //!< Of the target engine.
    double kvBytesPerToken = 0.0;
    double transferBytesPerSecond = 0.0; //!< Of the leaving engine's link; transfers share it.
    Duration transferOverhead {0}; //!< Export and import calls of one request.
    Duration margin {0}; //!< Time before the deadline that is left unused.
};

struct MoveDecision
{
    std::string requestId;
    MoveMethod method = MoveMethod::Recompute;
    Duration pause {0}; //!< Expected time without tokens, from the start of the move.
    bool feasible = true; //!< False: it can only be recomputed, and the text is not known.
};

/*!
    Decides for every one of \a moves how the request leaves an engine that ends in
    \a noticeTime. Transfers run one after the other, in the order of the returned list, and
    must end within the notice. They go first to requests that can only be transferred, then
    by rank, then to those where a second of transfer saves most recomputation.
*/
std::vector<MoveDecision> planEngineMoves(std::span<const EngineMove> moves, const MoveCosts &costs,
                                          Duration noticeTime);

} // namespace sesame
