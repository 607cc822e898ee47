#pragma once

#include <string_view>

namespace sesame {

/*!
    Whether a request was executed and answered, as reported to its caller.
*/
enum class Outcome {
    Complete, //!< The complete answer was delivered.
    NotRun, //!< No backend server executed the request. Repeating it is safe.
    Failed, //!< The request was executed and did not succeed.
    Unknown //!< The request may have been executed. It is never sent again under its key.
};

/*!
    Numeric result codes of the public interface. docs/codes.md lists the same numbers, and a test
    compares the two.
*/
enum class ResultCode : int {
    Ok = 1000,

    MalformedRequest = 1100,
    BodyTooLarge = 1101,
    UnknownAccount = 1102,
    UnknownModel = 1103,
    UnknownRoute = 1104,
    RankNotGranted = 1105,
    IdempotencyKeyMissing = 1106,
    IdempotencyKeyReused = 1107,
    TokenInvalid = 1108,
    RequestNotFound = 1109,
    DuplicateRequest = 1110,

    Overloaded = 1200,
    DeadlineUnreachable = 1201,
    NoBackendServer = 1202,
    StoreUnavailable = 1203,
    NodeLeaving = 1204,
    ConfigurationUnconfirmed = 1205,
    RequestQuarantined = 1206,
    CancelledBeforeStart = 1207,

    BackendFailed = 1300,
    BackendTimeout = 1301,
    RetryBudgetExhausted = 1302,
    Cancelled = 1303,

    OutcomeUnknown = 1400,
    ExecutionInProgress = 1401,

    InvalidSettings = 1500,
    ConfigurationConflict = 1501,
    CapacityLimitLowered = 1502,
    ConfigurationOutdated = 1503,
    ExceptionReasonMissing = 1504,

    LeaseLost = 1600,
    FencingNumberRefused = 1601,
    StoreAnswerLost = 1602,

    PeerUnauthenticated = 1700,
    PeerUnreachable = 1701
};

/*!
    Returns the name of \a outcome in the caller interface, for example "not_run".
*/
std::string_view toString(Outcome outcome);

/*!
    Returns the name of \a code in logs and in docs/codes.md, for example "store_unavailable".
*/
std::string_view toString(ResultCode code);

} // namespace sesame
