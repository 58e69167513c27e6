// Cold-start limiter: growth of the limit, and detection of a server that has become cold again.
#include <LibAdmission/ColdStartLimiter.h>

#include <algorithm>

namespace Goldcrestwall {

namespace {

// After the warm-up requests, the limit grows by at most one per interval.
constexpr Duration StepInterval = 100ms;
// This many consecutive responses, each slower than the smoothed latency by this factor, mean that the server lost its warm state.
constexpr double ColdLatencyFactor = 8;
constexpr std::uint32_t ColdStreak = 3;
constexpr double LatencySmoothing = 0.05;

} // namespace

ColdStartLimiter::ColdStartLimiter(ColdStartSettings settings, TimePoint now)
    : settings_(settings)
    , limit_(std::min(settings.coldSlots_, settings.slots_))
    , raisedAt_(now)
{
    CHECK_GE(limit_, 1U);
}

void ColdStartLimiter::recordSuccess(Duration latency, TimePoint now)
{
    const auto microseconds = static_cast<double>(latency.count());
    if (isWarm()) {
        const bool isSlow = warmLatency_ > 0 && microseconds > ColdLatencyFactor * warmLatency_;
        slowStreak_ = isSlow ? slowStreak_ + 1 : 0;
        if (slowStreak_ >= ColdStreak) {
            setCold(now);
            return;
        }
        if (!isSlow) {
            warmLatency_ = warmLatency_ > 0 ? warmLatency_ + LatencySmoothing * (microseconds - warmLatency_) : microseconds;
        }
        return;
    }
    ++successes_;
    if (successes_ >= settings_.warmupRequests_ && now - raisedAt_ >= StepInterval) {
        ++limit_;
        raisedAt_ = now;
    }
}

void ColdStartLimiter::recordShed(TimePoint now)
{
    limit_ = std::max(std::min(settings_.coldSlots_, settings_.slots_), limit_ - 1);
    raisedAt_ = now;
}

void ColdStartLimiter::restore(std::uint32_t limit, std::uint32_t successes)
{
    limit_ = std::clamp(limit, std::min(settings_.coldSlots_, settings_.slots_), settings_.slots_);
    successes_ = successes;
}

void ColdStartLimiter::setCold(TimePoint now)
{
    limit_ = std::min(settings_.coldSlots_, settings_.slots_);
    successes_ = 0;
    slowStreak_ = 0;
    raisedAt_ = now;
}

} // namespace Goldcrestwall
