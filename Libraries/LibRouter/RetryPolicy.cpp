#include <LibRouter/RetryPolicy.h>

#include <algorithm>

namespace Goldcrestwall {

namespace {

constexpr Duration FirstDelay = 10ms;
constexpr Duration MaxDelay = 100ms;
constexpr int MaxDoublings = 4;

// How an error bears on another attempt.
enum class RetryClass {
    // Another attempt would end the same way.
    Final,
    // The request went to the wrong place or ownership is in transit; no backend server was loaded.
    Unbudgeted,
    // A backend server was asked or the path to it failed.
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
    // 1. Only what cannot run twice by it, or may, is tried again.
    const bool isSafe = verdict.execution() == Execution::NotRun || history.idempotence_ == Idempotence::Idempotent;
    const RetryClass retryClass = classify(verdict);
    if (!isSafe || retryClass == RetryClass::Final) {
        return {};
    }
    // 2. The delay grows with the attempts and is spread, so that waiting requests do not come back in step.
    const Duration longest = std::min(MaxDelay, FirstDelay * (1 << std::min(history.attempts_, MaxDoublings)));
    std::uniform_int_distribution<Duration::rep> jitter(longest.count() / 2, longest.count());
    const Duration delay(jitter(random));
    if (now + delay >= history.deadline_) {
        return {};
    }
    // 3. Attempts that load a server are bounded by the budget.
    if (retryClass == RetryClass::Budgeted && !budget.tryTake()) {
        return {};
    }
    return {RetryDecision::Kind::Retry, delay};
}

} // namespace Goldcrestwall
