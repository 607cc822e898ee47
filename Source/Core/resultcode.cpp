#include "Core/resultcode.h"

#include <array>
#include <utility>

namespace sesame {

namespace {

constexpr std::array<std::pair<ResultCode, std::string_view>, 36> codeNames {{
        {ResultCode::Ok, "ok"},
        {ResultCode::MalformedRequest, "malformed_request"},
        {ResultCode::BodyTooLarge, "body_too_large"},
        {ResultCode::UnknownAccount, "unknown_account"},
        {ResultCode::UnknownModel, "unknown_model"},
        {ResultCode::UnknownRoute, "unknown_route"},
        {ResultCode::RankNotGranted, "rank_not_granted"},
        {ResultCode::IdempotencyKeyMissing, "idempotency_key_missing"},
        {ResultCode::IdempotencyKeyReused, "idempotency_key_reused"},
        {ResultCode::TokenInvalid, "token_invalid"},
        {ResultCode::RequestNotFound, "request_not_found"},
        {ResultCode::DuplicateRequest, "duplicate_request"},
        {ResultCode::Overloaded, "overloaded"},
        {ResultCode::DeadlineUnreachable, "deadline_unreachable"},
        {ResultCode::NoBackendServer, "no_backend_server"},
        {ResultCode::StoreUnavailable, "store_unavailable"},
        {ResultCode::NodeLeaving, "node_leaving"},
        {ResultCode::ConfigurationUnconfirmed, "configuration_unconfirmed"},
        {ResultCode::RequestQuarantined, "request_quarantined"},
        {ResultCode::CancelledBeforeStart, "cancelled_before_start"},
        {ResultCode::BackendFailed, "backend_failed"},
        {ResultCode::BackendTimeout, "backend_timeout"},
        {ResultCode::RetryBudgetExhausted, "retry_budget_exhausted"},
        {ResultCode::Cancelled, "cancelled"},
        {ResultCode::OutcomeUnknown, "outcome_unknown"},
        {ResultCode::ExecutionInProgress, "execution_in_progress"},
        {ResultCode::InvalidSettings, "invalid_settings"},
        {ResultCode::ConfigurationConflict, "configuration_conflict"},
        {ResultCode::CapacityLimitLowered, "capacity_limit_lowered"},
        {ResultCode::ConfigurationOutdated, "configuration_outdated"},
        {ResultCode::ExceptionReasonMissing, "exception_reason_missing"},
        {ResultCode::LeaseLost, "lease_lost"},
        {ResultCode::FencingNumberRefused, "fencing_number_refused"},
        {ResultCode::StoreAnswerLost, "store_answer_lost"},
        {ResultCode::PeerUnauthenticated, "peer_unauthenticated"},
        {ResultCode::PeerUnreachable, "peer_unreachable"},
}};

} // namespace

std::string_view toString(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Complete:
        return "complete";
    case Outcome::NotRun:
        return "not_run";
    case Outcome::Failed:
        return "failed";
    case Outcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

std::string_view toString(ResultCode code)
{
    for (const auto &[value, name] : codeNames) {
        if (value == code)
            return name;
    }
    return "unnamed";
}

} // namespace sesame
