// How old this instance's view of the store is, and whether its watch reports what is known to have changed.
#pragma once

#include <platform/Platform.h>

#include <map>
#include <optional>

namespace Goldcrestwall::Gateway {

// A view without a more recent confirmation than this is not current. Leaves time for a complete read before a change has to be in force.
inline constexpr Duration MaxViewAge = 1700ms;
// Longest time between two reads of the store's version by an instance that watches it.
inline constexpr Duration PositionCheckInterval = 600ms;
// A watch that does not report a version known to the store or a peer within this time is stale.
inline constexpr Duration StaleWatchTimeout = 600ms;

// Counts the age of the view from proofs alone: the store had a version at some time, by its response to this instance or to a peer, and the view
// has reached that version. Renewals of a lease and other writes prove nothing about the view.
class ViewFreshness
{
public:
    // Records that the store had no higher version than this one at that time, which is not later than the sending of the call that showed it. `known` is
    // the view's version now, as in the functions below. What the store had in an earlier era than the view's proves nothing.
    void recordProof(StoreVersion version, TimePoint provedAt, StoreVersion known);
    // The view has changed.
    void recordView(StoreVersion known);
    // The store or a peer knows this version.
    void expect(StoreVersion version, StoreVersion known, TimePoint now);
    // No proof so far counts any more.
    void reset();

    // When the view was last complete for certain; the epoch if never.
    TimePoint confirmedAt() const
    {
        return confirmedAt_;
    }
    // Nothing if the view was never confirmed.
    std::optional<Duration> age(TimePoint now) const;
    bool isConfirmed(TimePoint now) const;
    // Whether the store is known to have come back from an older copy since the view was read.
    bool isEraOutdated(StoreVersion known) const
    {
        return expectedVersion_.era_ > known.era_;
    }
    // Whether a watch that was sent at that time had to report an expected version by now.
    bool isWatchStale(TimePoint watchSentAt, StoreVersion known, TimePoint now) const;
    // When the store is to be asked for its version if it was last asked at that time.
    TimePoint checkDueAt(TimePoint askedAt) const;
    // The highest version that the store or a peer is known to have; 0 if none.
    StoreVersion expectedVersion() const
    {
        return expectedVersion_;
    }

private:
    TimePoint confirmedAt_;
    // Proofs of versions that the view has not reached.
    std::map<StoreVersion, TimePoint> pending_;
    StoreVersion expectedVersion_;
    TimePoint expectedSince_;
};

} // namespace Goldcrestwall::Gateway
