// Limits the requests sent to a cold backend server.
#pragma once

#include <LibBase/LibBase.h>

#include <algorithm>

namespace Goldcrestwall::Gateway {

// A token bucket. It begins empty, so that an instance that has just started or just lost contact to the others adds no burst to
// what those have already sent.
class WarmupRateLimiter
{
public:
    // Requests that may be sent back to back.
    static constexpr double Burst = 2;

    // `rate` is in requests a second.
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

    // When the next request may be sent.
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
