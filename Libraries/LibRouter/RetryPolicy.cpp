// Retry policy: classification of errors, backoff and budget.
#include <LibRouter/RetryPolicy.h>

#include <algorithm>

namespace Goldcrestwall {

namespace {

constexpr Duration FirstDelay = 10ms;
constexpr Duration MaxDelay = 100ms;
constexpr int MaxDoublings = 4;

// Whether an error permits a retry, and whether the retry costs budget.
enum class RetryClass {
    // No retry: another attempt would fail in the same way.
    Final,
    // Retry without budget: the request was misdirected or ownership is changing, so no backend server received it.
    Unbudgeted,
    // Retry within the budget: the request reached a backend server, or the connection to it failed.
    Budgeted,
};

RetryClass classify(const Verdict &verdict)
{
    switch (static_cast<RouterError>(verdict.reason().value())) {
    case RouterError::NoOwner:
    case RouterError::NotDispatcher:
    case RouterError::NoLease:
    case RouterError::ShuttingDown:
    case RouterError::ServerDraining:
        return RetryClass::Unbudgeted;
    case RouterError::PeerUnreachable:
    case RouterError::ServerUnreachable:
        return verdict.execution() == Execution::NotRun ? RetryClass::Unbudgeted : RetryClass::Budgeted;
    case RouterError::ServerShedding:
    case RouterError::StaleToken:
    case RouterError::ConnectionLost:
    case RouterError::AnswerTruncated:
    case RouterError::QueueFull:
        return RetryClass::Budgeted;
    default:
        return RetryClass::Final;
    }
}

} // namespace

RetryDecision decideRetry(const Verdict &verdict, const AttemptHistory &history, RetryBudget &budget, std::mt19937_64 &random, TimePoint now)
{
    // 1. Retry only if the request has not run or may run more than once.
    const bool isSafe = verdict.execution() == Execution::NotRun || history.idempotence_ == Idempotence::Idempotent;
    const RetryClass retryClass = classify(verdict);
    if (!isSafe || retryClass == RetryClass::Final) {
        return {};
    }
    // 2. Exponential backoff with jitter, so that requests that failed together are not retried together.
    const Duration longest = std::min(MaxDelay, FirstDelay * (1 << std::min(history.attempts_, MaxDoublings)));
    std::uniform_int_distribution<Duration::rep> jitter(longest.count() / 2, longest.count());
    const Duration delay(jitter(random));
    if (now + delay >= history.deadline_) {
        return {};
    }
    // 3. Retries that add load to a backend server are limited by the budget.
    if (retryClass == RetryClass::Budgeted && !budget.tryTake()) {
        return {};
    }
    return {RetryDecision::Kind::Retry, delay};
}

} // namespace Goldcrestwall
