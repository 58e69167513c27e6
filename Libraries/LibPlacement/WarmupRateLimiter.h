// Rate limiter for the requests sent to a cold backend server.
#pragma once

#include <LibBase/LibBase.h>

#include <algorithm>

namespace Goldcrestwall::Gateway {

// Token bucket. It starts empty, so that an instance that has just started, or has just lost contact with the other instances, does
// not add a burst to the requests that those have already sent.
class WarmupRateLimiter
{
public:
    // Maximum number of requests sent without a pause.
    static constexpr double Burst = 2;

    // Sets the refill rate; `rate` is in requests per second.
    void setRate(double rate, TimePoint now)
    {
        refill(now);
        rate_ = rate;
    }

    bool hasToken(TimePoint now)
    {
        refill(now);
        return tokens_ >= 1;
    }

    void take(TimePoint now)
    {
        refill(now);
        tokens_ -= 1;
    }

    Duration interval() const
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / std::max(rate_, MinRate)));
    }

    // Returns the earliest time at which the next request may be sent.
    TimePoint nextTokenAt(TimePoint now)
    {
        refill(now);
        if (tokens_ >= 1) {
            return now;
        }
        return now + std::chrono::duration_cast<Duration>(std::chrono::duration<double>((1 - tokens_) / std::max(rate_, MinRate)));
    }

private:
    static constexpr double MinRate = 0.01;

    void refill(TimePoint now)
    {
        if (now > refilledAt_) {
            const double seconds = std::chrono::duration<double>(now - refilledAt_).count();
            tokens_ = refilledAt_ == TimePoint() ? 0 : std::min(Burst, tokens_ + seconds * rate_);
            refilledAt_ = now;
        }
    }

    double rate_ = 1;
    double tokens_ = 0;
    TimePoint refilledAt_;
};

} // namespace Goldcrestwall::Gateway
