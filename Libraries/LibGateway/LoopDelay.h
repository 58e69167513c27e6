// How late the event loop runs its handlers.
#pragma once

#include <LibBase/LibBase.h>

#include <algorithm>

namespace Goldcrestwall::Gateway {

// Estimates, from a timer that fires regularly, how long an event may have waited before its handler ran. A request that is read now may
// have been in the socket for so long.
class LoopDelayMeter
{
public:
    // The timer was set to fire at `dueAt`.
    void expect(TimePoint dueAt)
    {
        dueAt_ = dueAt;
    }
    // The timer's handler runs.
    void record(TimePoint now)
    {
        lastDelay_ = dueAt_ == TimePoint() ? Duration::zero() : std::max<Duration>(Duration::zero(), now - dueAt_);
    }
    // The delay of the last firing, or that of the next one if it is already greater.
    Duration delay(TimePoint now) const
    {
        return dueAt_ == TimePoint() ? Duration::zero() : std::max(lastDelay_, now - dueAt_);
    }

private:
    TimePoint dueAt_;
    Duration lastDelay_ = Duration::zero();
};

} // namespace Goldcrestwall::Gateway
