// Limits retries to a fraction of the requests, so that retries do not amplify an overload.
#pragma once

#include <LibBase/LibBase.h>

#include <algorithm>

namespace Goldcrestwall {

// Token bucket in which each request earns a fraction of a retry. The bucket starts full, so that a customer with few requests can
// retry too; only requests refill it.
class RetryBudget
{
public:
    // Retries earned per request.
    static constexpr double Ratio = 0.1;
    // Capacity and initial content, in retries.
    static constexpr double Reserve = 10;

    void recordRequest()
    {
        tokens_ = std::min(Reserve, tokens_ + Ratio);
    }

    // Takes one retry from the budget; returns false if the budget is exhausted.
    bool tryTake()
    {
        if (tokens_ < 1) {
            return false;
        }
        tokens_ -= 1;
        return true;
    }

private:
    double tokens_ = Reserve;
};

} // namespace Goldcrestwall
