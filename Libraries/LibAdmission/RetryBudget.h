// Bounds retries to a share of the requests, so that a failure is not made worse by them.
#pragma once

#include <LibBase/LibBase.h>

#include <algorithm>

namespace Goldcrestwall {

// Each request earns a fraction of a retry. The reserve lets a quiet customer retry at all and is refilled by requests only.
class RetryBudget
{
public:
    // Retries per request.
    static constexpr double Ratio = 0.1;
    static constexpr double Reserve = 10;

    void recordRequest()
    {
        tokens_ = std::min(Reserve, tokens_ + Ratio);
    }

    // Takes one retry out of the budget; returns whether it was there.
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
