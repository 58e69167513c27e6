// Times of granters and their successors, and the choice of standbys.
#include "Succession.h"

#include <algorithm>

namespace Goldcrestwall::Gateway {

bool isLastGranter(const std::string &instance, const ShardAssignment *stored)
{
    return stored != nullptr && stored->granter_.instance_ == instance;
}

TimePoint grantsAllowedUntil(TimePoint confirmedAt, const std::vector<TimePoint> &claimsWithheldUntil)
{
    const TimePoint confirmedUntil = confirmedAt + GrantingTimePerConfirmation;
    TimePoint withheldUntil = confirmedUntil + MaxGrantingWithoutLease;
    for (const auto until : claimsWithheldUntil) {
        withheldUntil = std::min(withheldUntil, until);
    }
    return std::max(confirmedUntil, withheldUntil);
}

TimePoint earlierGrantersStopAt(const GranterRecord &predecessor, const Successor &successor, TimePoint now)
{
    const bool isStandby = std::ranges::find(predecessor.standbys_, successor.instance_) != predecessor.standbys_.end();
    // An instance's next process starts after the previous one has ended.
    const bool hasStopped = successor.hasPredecessorYielded_ || predecessor.instance_ == successor.instance_;
    TimePoint stopsAt = now;
    if (!hasStopped && isStandby) {
        stopsAt = std::max(now + GrantingTimePerConfirmation, successor.claimsWithheldUntil_);
    } else if (!hasStopped) {
        stopsAt = now + GrantingTimePerConfirmation + MaxGrantingWithoutLease;
    }
    return std::max(stopsAt, successor.assignmentSeenAt_ + predecessor.earlierGrantersStopWithin_);
}

std::size_t EarlierEras::unseenCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(othersSeenAt_, [](const auto &seenAt) {
        return !seenAt.has_value();
    }));
}

std::optional<TimePoint> enoughSeenAt(const EarlierEras &earlier)
{
    const std::size_t allowed = earlier.knowsAllOthers_ ? StandbyCount : StandbyCount - 1;
    const auto total = earlier.othersSeenAt_.size();
    if (total <= allowed) {
        return earlier.eraSeenAt_;
    }
    if (earlier.unseenCount() > allowed) {
        return std::nullopt;
    }
    std::vector<TimePoint> seenAt;
    for (const auto &seen : earlier.othersSeenAt_) {
        if (seen) {
            seenAt.push_back(*seen);
        }
    }
    std::ranges::sort(seenAt);
    return std::max(earlier.eraSeenAt_, seenAt[total - allowed - 1]);
}

TimePoint earlierErasStopAt(const EarlierEras &earlier)
{
    const TimePoint unconfirmedAt = earlier.eraSeenAt_ + GrantingTimePerConfirmation;
    const auto enoughAt = enoughSeenAt(earlier);
    return enoughAt ? std::max(unconfirmedAt, *enoughAt + ClaimWithholdTime) : unconfirmedAt + MaxGrantingWithoutLease;
}

Continuation continuationOf(TimePoint grantedUntil, Duration grantLifetime, const EarlierEras &earlier, TimePoint now)
{
    const TimePoint movesBegin = grantedUntil + grantLifetime;
    if (earlierErasStopAt(earlier) <= movesBegin) {
        return Continuation::Allowed;
    }
    const TimePoint earliestStop = std::max(earlier.eraSeenAt_ + GrantingTimePerConfirmation, now + ClaimWithholdTime);
    return enoughSeenAt(earlier) || earliestStop > movesBegin ? Continuation::Excluded : Continuation::Undecided;
}

Adoption adoptionOf(const Adopter &adopter, Duration grantLifetime, const EarlierEras &earlier, TimePoint now)
{
    const bool isOfThisEra = adopter.era_ == 0 || adopter.assignmentEra_ == adopter.era_;
    if (isOfThisEra) {
        return adopter.hasGranter_ && adopter.isOwnAssignment_ ? Adoption::Keep : Adoption::TakeOver;
    }
    if (!adopter.hasGranter_) {
        return adopter.isFirstStart_ && !adopter.assignmentEra_ ? Adoption::TakeOver : Adoption::Restart;
    }
    switch (continuationOf(adopter.grantedUntil_, grantLifetime, earlier, now)) {
    case Continuation::Allowed:
        return Adoption::Continue;
    case Continuation::Undecided:
        return Adoption::Undecided;
    case Continuation::Excluded:
        break;
    }
    return Adoption::Restart;
}

std::vector<std::string>
chooseStandbys(const std::string &service, const std::string &granter, const std::vector<std::string> &present, const std::vector<InstanceProfile> &instances)
{
    std::map<std::string, std::string> domains;
    for (const auto &instance : instances) {
        domains[instance.name_] = instance.domain_;
    }
    std::vector<std::string> standbys;
    std::vector<std::string> usedDomains = {domains[granter]};
    const auto add = [&](const std::string &name, bool needsOwnDomain) {
        const bool isKnown = std::ranges::find(standbys, name) != standbys.end();
        const bool isDomainUsed = std::ranges::find(usedDomains, domains[name]) != usedDomains.end();
        if (standbys.size() < StandbyCount && name != granter && !isKnown && !(needsOwnDomain && isDomainUsed)) {
            standbys.push_back(name);
            usedDomains.push_back(domains[name]);
        }
    };
    for (const auto &name : present) {
        if (domains.contains(name)) {
            add(name, false);
        }
    }
    if (standbys.size() == StandbyCount) {
        return standbys;
    }
    const auto ranked = rankedInstances(service, instances);
    for (const bool needsOwnDomain : {true, false}) {
        for (const auto &instance : ranked) {
            add(instance.name_, needsOwnDomain);
        }
    }
    return standbys;
}

std::size_t
claimRank(const std::string &service, const std::string &instance, const std::vector<std::string> &standbys, const std::vector<InstanceProfile> &instances)
{
    const auto standby = std::ranges::find(standbys, instance);
    if (standby != standbys.end()) {
        return static_cast<std::size_t>(standby - standbys.begin());
    }
    return standbys.size() + coordinatorRank(service, instance, instances);
}

} // namespace Goldcrestwall::Gateway
