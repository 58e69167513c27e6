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
//
// When the store comes back from an older copy, the claims and assignments that it had accepted since are gone. So in the new era an entry or an
// assignment of an earlier one tells neither who has granted last nor to which servers, and nobody grants on it. What still holds:
//  - A granter of an earlier era was confirmed last before the store went away, so it stops `GrantingTimePerConfirmation` after anybody has seen the new
//    era; or, if it goes on without a lease, once one of its standbys is in the new era. Such a standby promises nothing any more, and what it had
//    promised ends `ClaimWithholdTime` later. A granter needs `StandbyCount` standbys for it, so it has stopped by then if no more instances than that
//    have not been seen in the new era. Otherwise it stops after `MaxGrantingWithoutLease`. That is `earlierErasStopAt`.
//  - The first granter of the new era may have been preceded by one whose claim and moves were lost. Any server may hold any key then, until
//    `earlierErasStopAt` and the longest lifetime of a grant have passed.
//  - But a successor moves no key before the longest lifetime of a grant has passed since the time until which its predecessor may have granted. So an
//    instance that granted in the earlier era until some time, and claims the service again, knows all holders if earlier granters stop no later than
//    that time and the longest lifetime of a grant: none of them has moved a key, nor will. It goes on with the same holders (`continuationOf`). It cannot
//    know of a lost successor's renewals, so keys move only after these have expired.
// Nothing is granted in an era before an assignment of that era is stored, but for renewals by a right of the earlier one. So an instance that claims
// later, and finds no assignment of the era, knows that nobody else has granted by a claim of that era.
//
// Not covered: an earlier granter that did not know of this instance, so that its standbys are fewer or are not known here, and that is cut off from the
// store together with all of them, while it hears them.
#pragma once

#include <LibPlacement/InstanceRank.h>
#include <LibPlacement/ShardAssignment.h>

#include <map>
#include <optional>

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

// What an instance knows of the granters of eras before the present one.
struct EarlierEras
{
    // When this instance first saw the present era.
    TimePoint eraSeenAt_;
    // When each of the other instances, of those known from before the change and since, was first seen in the present era; nothing if it was not yet.
    std::vector<std::optional<TimePoint>> othersSeenAt_;
    // Whether none of them can be missing. Otherwise an instance that the copy lacks may have granted last.
    bool knowsAllOthers_ = false;

    auto operator<=>(const EarlierEras &) const = default;

    // Number of other instances that have not been seen in the present era.
    std::size_t unseenCount() const;
};

// Returns since when so many instances are seen in the present era that no granter of an earlier one still has all its standbys; nothing if not yet.
std::optional<TimePoint> enoughSeenAt(const EarlierEras &earlier);

// Returns the time after which no granter of an earlier era sends a grant, as far as is known. Earlier once more instances have been seen.
TimePoint earlierErasStopAt(const EarlierEras &earlier);

// Whether a granter of an earlier era that has claimed its service again goes on with the holders that it knows.
enum class Continuation {
    Allowed,
    // Depends on the instances that have not been seen yet.
    Undecided,
    // Keys may have been moved by a granter that it does not know.
    Excluded,
};

// `grantedUntil` is when the right of the earlier era ended; `grantLifetime` the longest lifetime of a grant.
Continuation continuationOf(TimePoint grantedUntil, Duration grantLifetime, const EarlierEras &earlier, TimePoint now);

// An instance that has claimed a service and is to grant its keys.
struct Adopter
{
    // Of its claim.
    StoreEra era_ = 0;
    // The era in which the stored assignment was written; nothing if there is none.
    std::optional<StoreEra> assignmentEra_;
    // It has itself written the stored assignment.
    bool isOwnAssignment_ = false;
    // It has granted before, and knows its grants.
    bool hasGranter_ = false;
    // When its right to grant by an assignment that is stored, or was in an earlier era, ended or will end.
    TimePoint grantedUntil_;
    // The whole system starts for the first time, as far as is known.
    bool isFirstStart_ = false;

    auto operator<=>(const Adopter &) const = default;
};

// How an instance that has claimed a service comes by the holders of its keys.
enum class Adoption {
    // It goes on with the assignment that it has written.
    Keep,
    // It succeeds the granter of the stored assignment, or is the first granter.
    TakeOver,
    // It goes on with the holders that it knows, and writes them as the first assignment of the era.
    Continue,
    // Whether it can go on is not known yet. Until then it grants by its earlier right only.
    Undecided,
    // Any server may hold any key.
    Restart,
};

Adoption adoptionOf(const Adopter &adopter, Duration grantLifetime, const EarlierEras &earlier, TimePoint now);

// Returns the standbys of a granter: the present ones that are still members, and the best ranked of the other instances.
std::vector<std::string>
chooseStandbys(const std::string &service, const std::string &granter, const std::vector<std::string> &present, const std::vector<InstanceProfile> &instances);

// Returns the number of instances that precede this one in claiming a service without a coordinator: its standbys come first.
std::size_t
claimRank(const std::string &service, const std::string &instance, const std::vector<std::string> &standbys, const std::vector<InstanceProfile> &instances);

} // namespace Goldcrestwall::Gateway
