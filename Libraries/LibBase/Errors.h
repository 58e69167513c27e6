// Error codes of the router.
#pragma once

#include <system_error>

namespace Goldcrestwall {

// Errors of requests, operator commands and peers. The values are exchanged between instances (see Verdict) and appear in metrics, so
// they must not be renumbered.
enum class RouterError {
    UnknownCustomer = 1,
    UnknownService = 2,
    MissingKey = 3,
    BadRequest = 4,
    RequestTooLarge = 5,
    OperationNotAllowed = 6,
    RateLimited = 7,
    ShareExceeded = 8,
    QueueFull = 9,
    DeadlineExceeded = 10,
    DeadlineUnreachable = 11,
    NoOwner = 12,
    NotDispatcher = 13,
    NoLease = 14,
    ServerDraining = 15,
    ServerUnreachable = 16,
    ServerShedding = 17,
    StaleToken = 18,
    ConnectionLost = 19,
    AnswerTruncated = 20,
    DuplicateRequest = 21,
    PossibleDuplicate = 22,
    RetryBudgetExhausted = 23,
    PeerUnreachable = 24,
    MalformedMessage = 25,
    StoreUnavailable = 26,
    OutcomeUnknown = 27,
    VersionConflict = 28,
    InvalidConfiguration = 29,
    InvalidSetting = 30,
    SyntaxError = 31,
    NotAuthorized = 32,
    NotFound = 33,
    ShuttingDown = 34,
    ServerFailed = 35,
    RequestIdExpired = 36,
};

// The category of RouterError. Its messages are shown to callers and operators.
const std::error_category &routerErrorCategory();

std::error_code make_error_code(RouterError error);

// The stable name of an error for headers and metric labels, for example "queue-full"; "error" for an error of another category.
const char *errorName(std::error_code error);

} // namespace Goldcrestwall

template<>
struct std::is_error_code_enum<Goldcrestwall::RouterError> : std::true_type
{
};
