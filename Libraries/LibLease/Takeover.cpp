// Implements the takeover of a lease holder by sealing it at its witnesses.
#include <LibLease/Takeover.h>

#include <algorithm>

namespace Goldcrestwall {

namespace {

// How often an unacknowledged seal request is sent again.
constexpr Duration SealRetryInterval = 100ms;

} // namespace

Takeover::Takeover(Incarnation target, std::vector<Incarnation> witnesses, LeaseTerms terms, TimePoint startedAt)
    : target_(std::move(target))
    , witnesses_(std::move(witnesses))
    , terms_(terms)
    , startedAt_(startedAt)
    , nextSend_(startedAt)
{
}

std::vector<Incarnation> Takeover::takeSealsDue(TimePoint now)
{
    std::vector<Incarnation> due;
    if (now < nextSend_) {
        return due;
    }
    nextSend_ = now + SealRetryInterval;
    std::copy_if(witnesses_.begin(), witnesses_.end(), std::back_inserter(due), [&](const Incarnation &witness) {
        return !sealedUntil_.contains(witness);
    });
    return due;
}

void Takeover::handleSealed(const Incarnation &witness, Duration remaining, TimePoint now)
{
    if (std::find(witnesses_.begin(), witnesses_.end(), witness) == witnesses_.end()) {
        return;
    }
    // The remaining time has decreased while the response was in transit, so counting it from the receipt is conservative. The margin
    // covers a local clock that runs faster than the holder's.
    sealedUntil_.try_emplace(witness, now + remaining + terms_.driftMargin_);
}

bool Takeover::hasMajority() const
{
    return !witnesses_.empty() && sealedUntil_.size() >= majorityOf(witnesses_.size());
}

std::optional<TimePoint> Takeover::safeAt() const
{
    if (!hasMajority()) {
        return std::nullopt;
    }
    // Any majority is sufficient, so the one whose renewals expire first is used.
    std::vector<TimePoint> ends;
    for (const auto &[witness, until] : sealedUntil_) {
        ends.push_back(until);
    }
    std::sort(ends.begin(), ends.end());
    return ends[majorityOf(witnesses_.size()) - 1];
}

} // namespace Goldcrestwall
