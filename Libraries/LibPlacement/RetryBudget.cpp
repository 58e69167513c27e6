// Sliding-window retry budget of a service.
#include "RetryBudget.h"

namespace Goldcrestwall::Gateway {

void RetryBudget::recordRequest(TimePoint now)
{
    current(now).requests_ += 1;
}

bool RetryBudget::tryTake(double share, TimePoint now)
{
    auto &slot = current(now);
    double requests = 0;
    double retries = 0;
    for (const auto &each : windowSlots_) {
        requests += each.requests_;
        retries += each.retries_;
    }
    // An instance without a coordinator counts only its own requests, so that only the reserve is divided.
    const double allowed = UsableFraction * settings_.ratio_ * requests + UsableReserveFraction * settings_.reserve_ * share;
    if (retries + 1 > allowed) {
        return false;
    }
    slot.retries_ += 1;
    return true;
}

RetryBudget::WindowSlot &RetryBudget::current(TimePoint now)
{
    const Duration length = settings_.window_ / WindowSlotCount;
    if (windowSlots_.empty() || now >= windowSlots_.back().begin_ + length) {
        windowSlots_.push_back({now, 0, 0});
    }
    while (windowSlots_.front().begin_ + settings_.window_ < now) {
        windowSlots_.pop_front();
    }
    return windowSlots_.back();
}

} // namespace Goldcrestwall::Gateway
