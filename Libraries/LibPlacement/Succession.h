// When an instance may send grants of keys, and when its successor may rely on it having stopped.
//
// The rule: no grant is sent at a time at which a successor may already count on it that none is sent. A granter's right is confirmed at
// the time at which it sent
//  - the last successful renewal of its coordinator entry's lease, or
//  - the last complete read of the store that showed its entry, or no entry of the service and an assignment that it had itself written.
// Both show that any successor claims later: one that had claimed before would still have its entry, or it could not write any more, and
// without an assignment of its own it grants nothing. A granter sends grants
//  - for `GrantingTimePerConfirmation` after its right was confirmed last; and after that
//  - for `MaxGrantingWithoutLease` at most, while each of its standbys has itself no lease and withholds its claim.
// A granter whose entry has ended goes on by the same times, but only while the stored assignment that it knows is its own: another one
// may have granted in between, and may count on it that the present one has stopped.
// A successor counts from its own claim, which the store accepts only after the granter's entry has ended. A standby waits for the time
// for which it has withheld its claim, any other instance for `MaxGrantingWithoutLease`. So a granter that is cut off from its standbys
// stops at once, and one that shares a store outage with them does not.
#pragma once

#include <LibPlacement/InstanceRank.h>
#include <LibPlacement/ShardAssignment.h>

#include <map>

namespace Goldcrestwall::Gateway {

// Shorter than a lease, and long enough for one renewal to fail. The store can take a lease away before it ends, so a successor waits
// for this time also if the lease ran out.
inline constexpr Duration GrantingTimePerConfirmation = 1s;
// Longest time for which a granter serves through an outage of the store.
inline constexpr Duration MaxGrantingWithoutLease = 8s;
// How long an instance without a lease withholds its claims after it has said so. Covers a lost ping. It may claim earlier, but counts a
// granter's last grant from the end of this time.
inline constexpr Duration ClaimWithholdTime = 1200ms;
// Number of standbys, in different failure domains if possible. All of them must be heard in a store outage.
inline constexpr std::size_t StandbyCount = 2;

// Whether a granter whose coordinator entry has ended, and was not replaced as far as it knows, is still the last one that can have
// granted. `stored` is the stored assignment by its view, null if there is none.
bool isLastGranter(const std::string &instance, const ShardAssignment *stored);

// Returns until when a granter may send grants. `confirmedAt` is when its right was confirmed last; each standby withholds its claims until
// one of `claimsWithheldUntil`.
TimePoint grantsAllowedUntil(TimePoint confirmedAt, const std::vector<TimePoint> &claimsWithheldUntil);

// An instance that has just become the granter of an assignment.
struct Successor
{
    std::string instance_;
    // Until when it has withheld its claims.
    TimePoint claimsWithheldUntil_;
    // Its predecessor had stopped granting before it could claim.
    bool hasPredecessorYielded_ = false;
    // When it got the assignment that its predecessor wrote.
    TimePoint assignmentSeenAt_;

    auto operator<=>(const Successor &) const = default;
};

// Returns the time after which no earlier granter sends a grant.
TimePoint earlierGrantersStopAt(const GranterRecord &predecessor, const Successor &successor, TimePoint now);

// Returns the standbys of a granter: the present ones that are still members, and the best ranked of the other instances.
std::vector<std::string>
chooseStandbys(const std::string &service, const std::string &granter, const std::vector<std::string> &present, const std::vector<InstanceProfile> &instances);

// Returns the number of instances that precede this one in claiming a service without a coordinator: its standbys come first.
std::size_t
claimRank(const std::string &service, const std::string &instance, const std::vector<std::string> &standbys, const std::vector<InstanceProfile> &instances);

} // namespace Goldcrestwall::Gateway
