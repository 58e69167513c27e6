// Rate limiter for one customer at one service.
#pragma once

#include <LibBase/LibBase.h>

#include <algorithm>

namespace Goldcrestwall {

// Token bucket. Each instance enforces an equal part of the rate, so that the sum over all instances stays within the customer's
// configured rate.
class RateLimiter
{
public:
    explicit RateLimiter(TimePoint now)
        : refilledAt_(now)
    {
    }

    // Takes one token from a bucket refilled at `rate` / `instances` per second; returns false if there is none. A rate of 0 means no
    // limit.
    bool tryTake(double rate, std::size_t instances, TimePoint now)
    {
        if (rate <= 0) {
            return true;
        }
        const double part = rate / static_cast<double>(std::max<std::size_t>(1, instances));
        const double elapsed = std::chrono::duration<double>(now - refilledAt_).count();
        refilledAt_ = now;
        tokens_ = std::min(std::max(1.0, part * BurstSeconds), tokens_ + elapsed * part);
        if (tokens_ < 1) {
            return false;
        }
        tokens_ -= 1;
        return true;
    }

private:
    // Capacity of the bucket, in seconds of its refill rate; at least one token.
    static constexpr double BurstSeconds = 0.1;

    TimePoint refilledAt_;
    double tokens_ = 1;
};

} // namespace Goldcrestwall
