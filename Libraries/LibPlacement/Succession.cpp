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
