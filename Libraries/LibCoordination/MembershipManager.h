// Joins the deployment, renews the lease and acts as witness for other instances.
#pragma once

#include <LibCoordination/CoordinationContext.h>
#include <LibCoordination/RecordChanger.h>
#include <LibLease/LibLease.h>

#include <set>

namespace Goldcrestwall {

// Whether an instance takes part as a member or performs a planned stop.
enum class Participation : std::uint8_t {
    Member,
    // Hands over its servers and then ends its membership.
    Leaving,
};

// The lease and the witness duties of this incarnation.
class MembershipManager
{
public:
    MembershipManager(CoordinationContext &context, RecordChanger &changer);

    void tick(Now now, Participation participation);

    void handleRenewRequest(const Envelope &envelope, const RenewRequest &request, Now now);
    void handleRenewResponse(const Incarnation &witness, const RenewResponse &response);
    // Records the time up to which a peer has all records of this instance.
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
    // Whether this instance is a witness of a live member.
    bool isWitnessForOthers() const;

    // Continues as a new incarnation, without the lease and the witness state of the old one.
    void rejoin(Now now);
    // Whether this incarnation was sealed or removed and must rejoin as a new one.
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
    // The version of the member record from which the witness duties were last updated.
    Version witnessDutiesVersion_ = 0;
    bool hasJoined_ = false;
};

} // namespace Goldcrestwall
