// The holder side of a lease: requests renewals from the witnesses and computes when the lease expires.
#pragma once

#include <LibLease/LeaseTerms.h>

#include <map>
#include <vector>

namespace Goldcrestwall {

// The witnesses of a lease. While they are being replaced, the lease needs a majority of both sets, because the holder cannot know
// which of the two sets a takeover would read from the store.
struct WitnessSets
{
    std::vector<Incarnation> current_;
    std::vector<Incarnation> next_;

    bool operator==(const WitnessSets &) const = default;
};

// Tracks the lease of one incarnation. The lease is valid only while a majority of its witnesses renews it.
class LeaseHolder
{
public:
    LeaseHolder(Incarnation self, LeaseTerms terms);

    // Replaces the witness sets. Renewals granted by witnesses that remain in a set are kept.
    void setWitnesses(WitnessSets witnesses);
    const WitnessSets &witnesses() const
    {
        return witnesses_;
    }

    // A renewal request to send.
    struct RenewalDue
    {
        Incarnation witness_;
        std::uint64_t sequence_;
    };

    // Returns the renewal requests to send at `now` and records `now` as their send time.
    std::vector<RenewalDue> takeRenewalsDue(TimePoint now);

    // Records that a witness granted the renewal with this sequence number. Responses to unknown requests are ignored.
    void handleGranted(const Incarnation &witness, std::uint64_t sequence);

    // Records that this incarnation was sealed. This cannot be undone.
    void setSealed()
    {
        isSealed_ = true;
    }
    bool isSealed() const
    {
        return isSealed_;
    }

    // The time at which the lease expires: the earliest time at which either witness set no longer has a majority of unexpired
    // renewals.
    TimePoint expiry() const;

    // Whether requests may be dispatched at `now`. Callers check this again immediately before each write to a backend server.
    bool isValid(TimePoint now) const
    {
        return !isSealed_ && now < expiry();
    }

private:
    struct WitnessState
    {
        std::uint64_t lastSequence_ = 0;
        std::map<std::uint64_t, TimePoint> sentAt_;
        TimePoint nextSend_;
        TimePoint grantedUntil_;
    };

    TimePoint expiryOf(const std::vector<Incarnation> &witnesses) const;

    Incarnation self_;
    LeaseTerms terms_;
    WitnessSets witnesses_;
    std::map<Incarnation, WitnessState> states_;
    bool isSealed_ = false;
};

} // namespace Goldcrestwall
