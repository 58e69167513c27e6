// Names and messages of the error codes. Callers and operators see both.
#include <LibBase/Errors.h>

#include <algorithm>
#include <array>
#include <string>

namespace Goldcrestwall {

namespace {

struct ErrorText
{
    RouterError error_;
    const char *name_;
    const char *message_;
};

constexpr std::array ErrorTexts{
    ErrorText{RouterError::UnknownCustomer, "unknown-customer", "the customer or its credential is unknown"},
    ErrorText{RouterError::UnknownService, "unknown-service", "the customer has no such service"},
    ErrorText{RouterError::MissingKey, "missing-key", "the service is divided by key and the request names none"},
    ErrorText{RouterError::BadRequest, "bad-request", "the request is malformed"},
    ErrorText{RouterError::RequestTooLarge, "request-too-large", "the request exceeds a size limit"},
    ErrorText{RouterError::OperationNotAllowed, "operation-not-allowed", "the customer's terms do not allow this operation"},
    ErrorText{RouterError::RateLimited, "rate-limited", "the customer's rate term is exhausted"},
    ErrorText{RouterError::ShareExceeded, "share-exceeded", "the customer's concurrency term is exhausted"},
    ErrorText{RouterError::QueueFull, "queue-full", "the queue of the backend server is full"},
    ErrorText{RouterError::DeadlineExceeded, "deadline-exceeded", "the deadline passed"},
    ErrorText{RouterError::DeadlineUnreachable, "deadline-unreachable", "the deadline cannot be met"},
    ErrorText{RouterError::NoOwner, "no-owner", "no backend server owns the key at present"},
    ErrorText{RouterError::NotDispatcher, "not-dispatcher", "this instance does not dispatch for the backend server"},
    ErrorText{RouterError::NoLease, "no-lease", "the dispatcher holds no valid lease"},
    ErrorText{RouterError::ServerDraining, "server-draining", "the backend server takes no new work"},
    ErrorText{RouterError::ServerUnreachable, "server-unreachable", "the backend server cannot be reached"},
    ErrorText{RouterError::ServerShedding, "server-shedding", "the backend server shed the request"},
    ErrorText{RouterError::StaleToken, "stale-token", "the backend server has accepted a higher fencing token"},
    ErrorText{RouterError::ConnectionLost, "connection-lost", "the connection was lost before the answer was complete"},
    ErrorText{RouterError::AnswerTruncated, "answer-truncated", "the answer ended before its announced length"},
    ErrorText{RouterError::DuplicateRequest, "duplicate-request", "a request with this identifier is running or has run"},
    ErrorText{RouterError::PossibleDuplicate, "possible-duplicate", "an earlier attempt with this identifier cannot be ruled out"},
    ErrorText{RouterError::RetryBudgetExhausted, "retry-budget-exhausted", "the customer's retry budget is exhausted"},
    ErrorText{RouterError::PeerUnreachable, "peer-unreachable", "the dispatching instance cannot be reached"},
    ErrorText{RouterError::MalformedMessage, "malformed-message", "a message between instances is malformed"},
    ErrorText{RouterError::StoreUnavailable, "store-unavailable", "the key-value service does not answer"},
    ErrorText{RouterError::OutcomeUnknown, "outcome-unknown", "the outcome of the change is not known"},
    ErrorText{RouterError::VersionConflict, "version-conflict", "another change came first"},
    ErrorText{RouterError::InvalidConfiguration, "invalid-configuration", "the configuration is not valid"},
    ErrorText{RouterError::InvalidSetting, "invalid-setting", "a setting is not valid"},
    ErrorText{RouterError::SyntaxError, "syntax-error", "the statement is not valid"},
    ErrorText{RouterError::NotAuthorized, "not-authorized", "the operator may not do this"},
    ErrorText{RouterError::NotFound, "not-found", "there is no such object"},
    ErrorText{RouterError::ShuttingDown, "shutting-down", "the instance is shutting down"},
    ErrorText{RouterError::ServerFailed, "server-failed", "the backend server failed while it ran the request"},
    ErrorText{RouterError::RequestIdExpired, "request-id-expired", "the request identifier is too old to be checked for duplicates"},
};

const ErrorText *findText(int value)
{
    const auto position = std::find_if(ErrorTexts.begin(), ErrorTexts.end(), [value](const ErrorText &text) {
        return static_cast<int>(text.error_) == value;
    });
    return position == ErrorTexts.end() ? nullptr : &*position;
}

class RouterErrorCategory final : public std::error_category
{
public:
    const char *name() const noexcept override
    {
        return "goldcrestwall";
    }
    std::string message(int value) const override
    {
        const ErrorText *text = findText(value);
        return text ? text->message_ : "unknown error";
    }
};

} // namespace

const std::error_category &routerErrorCategory()
{
    static const RouterErrorCategory category;
    return category;
}

std::error_code make_error_code(RouterError error)
{
    return {static_cast<int>(error), routerErrorCategory()};
}

const char *errorName(std::error_code error)
{
    const ErrorText *text = error.category() == routerErrorCategory() ? findText(error.value()) : nullptr;
    return text ? text->name_ : "error";
}

} // namespace Goldcrestwall
