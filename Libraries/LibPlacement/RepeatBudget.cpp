#include "RepeatBudget.h"

namespace Goldcrestwall::Gateway {

void RepeatBudget::noteRequest(TimePoint now)
{
    current(now).requests_ += 1;
}

bool RepeatBudget::tryTake(double share, TimePoint now)
{
    auto &slice = current(now);
    double requests = 0;
    double repeats = 0;
    for (const auto &each : slices_) {
        requests += each.requests_;
        repeats += each.repeats_;
    }
    // The requests counted here are already this instance's own when it decides alone; only the reserve is divided.
    const double allowed = UsedPart * (terms_.ratio_ * requests + terms_.reserve_ * share);
    if (repeats + 1 > allowed) {
        return false;
    }
    slice.repeats_ += 1;
    return true;
}

RepeatBudget::Slice &RepeatBudget::current(TimePoint now)
{
    const Duration length = terms_.window_ / SliceCount;
    if (slices_.empty() || now >= slices_.back().begin_ + length) {
        slices_.push_back({now, 0, 0});
    }
    while (slices_.front().begin_ + terms_.window_ < now) {
        slices_.pop_front();
    }
    return slices_.back();
}

} // namespace Goldcrestwall::Gateway
