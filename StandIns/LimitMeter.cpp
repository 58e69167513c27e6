// Implements the count of requests against a limit.
#include "LimitMeter.h"

namespace Goldcrestwall {

namespace {

constexpr Duration LearningTime = 500ms;
constexpr double AllowedFactor = 1.5;
constexpr double AllowedExtra = 5;

} // namespace

void LimitMeter::setLimit(std::optional<double> limit, TimePoint now)
{
    // Each change of the limit begins a new period, for which instances have to learn of it.
    namedAt_ = now;
    arrivals_.clear();
    limit_ = limit;
}

std::optional<std::size_t> LimitMeter::recordArrival(TimePoint now)
{
    if (!limit_ || now < namedAt_ + LearningTime) {
        return std::nullopt;
    }
    arrivals_.push_back(now);
    while (arrivals_.front() + Window < now) {
        arrivals_.pop_front();
    }
    const double allowed = AllowedFactor * *limit_ * std::chrono::duration<double>(Window).count() + AllowedExtra;
    const bool isBroken = now >= namedAt_ + Settling && static_cast<double>(arrivals_.size()) > allowed;
    return isBroken ? std::make_optional(arrivals_.size()) : std::nullopt;
}

} // namespace Goldcrestwall
