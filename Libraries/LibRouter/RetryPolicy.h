// Retry policy of the entry role.
#pragma once

#include <LibAdmission/LibAdmission.h>
#include <LibRouter/ServerDispatcher.h>

#include <random>

namespace Goldcrestwall {

// What to do after a failed attempt.
struct RetryDecision
{
    enum class Kind {
        GiveUp,
        Retry,
    };

    Kind kind_ = Kind::GiveUp;
    Duration delay_{};

    bool operator==(const RetryDecision &) const = default;
};

// The previous attempts of one request.
struct AttemptHistory
{
    Idempotence idempotence_ = Idempotence::NotIdempotent;
    // Number of attempts so far.
    int attempts_ = 0;
    TimePoint deadline_;

    bool operator==(const AttemptHistory &) const = default;
};

// Retries a request within its deadline if it certainly has not run or is idempotent. A retry after an attempt that never reached a
// backend server, for example one rejected by a previous dispatcher, costs no budget because it adds no load to the servers.
RetryDecision decideRetry(const Verdict &verdict, const AttemptHistory &history, RetryBudget &budget, std::mt19937_64 &random, TimePoint now);

} // namespace Goldcrestwall
