// Proofs of the view's age.
#include "ViewFreshness.h"

#include <algorithm>

namespace Goldcrestwall::Gateway {

namespace {

// Proofs that wait for the view; more are not needed while it advances at all.
constexpr std::size_t MaxPendingProofs = 16;

} // namespace

void ViewFreshness::recordProof(StoreVersion version, TimePoint provedAt, StoreVersion known)
{
    if (version.era_ < known.era_) {
        return;
    }
    if (version <= known) {
        confirmedAt_ = std::max(confirmedAt_, provedAt);
    } else if (pending_.size() < MaxPendingProofs || pending_.contains(version)) {
        auto &pending = pending_[version];
        pending = std::max(pending, provedAt);
    }
}

void ViewFreshness::recordView(StoreVersion known)
{
    std::erase_if(pending_, [known](const auto &proof) {
        return proof.first.era_ < known.era_;
    });
    while (!pending_.empty() && pending_.begin()->first <= known) {
        confirmedAt_ = std::max(confirmedAt_, pending_.begin()->second);
        pending_.erase(pending_.begin());
    }
}

void ViewFreshness::expect(StoreVersion version, StoreVersion known, TimePoint now)
{
    if (version <= known) {
        return;
    }
    // What was expected in an earlier era never comes.
    if (expectedVersion_ <= known || expectedVersion_.era_ < version.era_) {
        expectedVersion_ = version;
        expectedSince_ = now;
    }
}

void ViewFreshness::reset()
{
    confirmedAt_ = TimePoint();
    pending_.clear();
}

std::optional<Duration> ViewFreshness::age(TimePoint now) const
{
    return confirmedAt_ == TimePoint() ? std::nullopt : std::make_optional(now - confirmedAt_);
}

bool ViewFreshness::isConfirmed(TimePoint now) const
{
    return confirmedAt_ != TimePoint() && now - confirmedAt_ < MaxViewAge;
}

bool ViewFreshness::isWatchStale(TimePoint watchSentAt, StoreVersion known, TimePoint now) const
{
    if (isEraOutdated(known)) {
        return true;
    }
    // A watch sent later has had less time. One that reports some changes and not this one is followed by another.
    return expectedVersion_ > known && now - std::max(expectedSince_, watchSentAt) >= StaleWatchTimeout;
}

TimePoint ViewFreshness::checkDueAt(TimePoint askedAt) const
{
    return std::max(confirmedAt_, askedAt) + PositionCheckInterval;
}

} // namespace Goldcrestwall::Gateway
