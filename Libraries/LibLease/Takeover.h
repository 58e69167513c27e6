// The takeover of a failed lease holder by another instance.
#pragma once

#include <LibLease/LeaseTerms.h>

#include <map>
#include <optional>
#include <vector>

namespace Goldcrestwall {

// Seals one holder at its witnesses and computes the time from which the holder can no longer dispatch requests.
//
// 1. Before that, the holder's member record was changed to sealing in the store, which makes its witness set final.
// 2. Every witness is asked to seal the holder.
// 3. Once a majority has responded, the holder's lease cannot be renewed any more.
// 4. The takeover waits for the longest remaining renewal that this majority reported.
class Takeover
{
public:
    Takeover(Incarnation target, std::vector<Incarnation> witnesses, LeaseTerms terms, TimePoint startedAt);

    const Incarnation &target() const
    {
        return target_;
    }
    TimePoint startedAt() const
    {
        return startedAt_;
    }

    // Returns the witnesses to send a seal request to at `now`. Requests without a response are repeated.
    std::vector<Incarnation> takeSealsDue(TimePoint now);

    // Records the response of a witness, received at `now`. `remaining` is how long its last renewal may still be in use.
    void handleSealed(const Incarnation &witness, Duration remaining, TimePoint now);

    // Whether a majority of the witnesses has sealed the holder.
    bool hasMajority() const;

    // The time from which the holder's lease is guaranteed to have expired; empty until a majority has sealed it.
    std::optional<TimePoint> safeAt() const;

private:
    Incarnation target_;
    std::vector<Incarnation> witnesses_;
    LeaseTerms terms_;
    TimePoint startedAt_;
    TimePoint nextSend_;
    std::map<Incarnation, TimePoint> sealedUntil_;
};

} // namespace Goldcrestwall
