// Joins the deployment, keeps the lease and acts as witness for others.
#pragma once

#include <LibCoordination/CoordinationContext.h>
#include <LibCoordination/RecordChanger.h>
#include <LibLease/LibLease.h>

#include <set>

namespace Goldcrestwall {

// Whether an instance may join as a member, or serves as entry only.
enum class Participation : std::uint8_t {
    Member,
    // Leaves: gives its servers away and then its membership.
    Leaving,
};

// The lease and the witness duties of this incarnation.
class MembershipManager
{
public:
    MembershipManager(CoordinationContext &context, RecordChanger &changer);

    void tick(Now now, Participation participation);

    void handleRenewRequest(const Envelope &envelope, const RenewRequest &request, Now now);
    void handleRenewResponse(const Incarnation &witness, const RenewResponse &answer);
    // Notes up to when a peer has everything that this instance has.
    void recordSynced(const Incarnation &peer, TimePoint until);

    const LeaseHolder &lease() const
    {
        return lease_;
    }
    Witness &witness()
    {
        return witness_;
    }
    bool isMember() const;
    // Whether a live member relies on this instance as witness.
    bool isWitnessForOthers() const;

    // Starts over as a new incarnation with none of the old one's rights or promises.
    void rejoin(Now now);
    // Whether this incarnation was sealed and has to start over.
    bool isFenced() const;

private:
    void join(Now now);
    void announceLeaving(Now now);
    void maintainWitnesses(Now now);
    std::vector<Incarnation> findBetterWitnesses(const Member &self) const;
    void sendRenewals(Now now);
    void updateWitnessDuties(Now now);

    CoordinationContext &context_;
    RecordChanger &changer_;
    LeaseHolder lease_;
    Witness witness_;
    std::map<Incarnation, TimePoint> syncedUntil_;
    TimePoint nextWitnessCheck_;
    // The version of the member record that the witness duties follow.
    Version witnessDutiesVersion_ = 0;
    bool hasJoined_ = false;
};

} // namespace Goldcrestwall
