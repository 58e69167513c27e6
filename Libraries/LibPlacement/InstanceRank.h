// Ranks instances as coordinators of services and as watchers of the store.
#pragma once

#include <LibBase/LibBase.h>

#include <map>
#include <string>
#include <vector>

namespace Goldcrestwall::Gateway {

// Properties of an instance by which it is ranked.
struct InstanceProfile
{
    std::string name_;
    std::string domain_;
    // CPU allotment in thousandths of a core.
    std::uint32_t cpuMillicores_ = 0;
    // Number of services that the instance coordinates.
    std::uint32_t coordinatedServices_ = 0;

    auto operator<=>(const InstanceProfile &) const = default;
};

// Returns the number of instances that precede this one as coordinator of the service, or the number of all instances if this one is
// not listed. Instances with the most CPU time per coordinated service come first. Ties are broken by rendezvous hashing, so that
// only a few instances try to coordinate one service at the same time.
std::size_t coordinatorRank(const std::string &service, const std::string &instance, const std::vector<InstanceProfile> &instances);

// Returns the instances in the order of their ranks.
std::vector<InstanceProfile> rankedInstances(const std::string &service, std::vector<InstanceProfile> instances);

// Returns the instance that ranks first; empty if there are none.
std::string firstRankedInstance(const std::string &service, const std::vector<InstanceProfile> &instances);

// Returns whether the instance should take over the service from its present coordinator: it ranks first and would have more than
// twice the coordinator's CPU time per service. After a fault of all large instances, a small one would otherwise keep a service that
// it is too slow to coordinate.
bool isMuchBetterCoordinator(const std::string &service,
                             const std::string &instance,
                             const std::string &coordinator,
                             const std::vector<InstanceProfile> &instances);

// Returns, by failure domain, the instance that watches the store on behalf of the others. A coordinator is preferred because it
// watches the store anyway, then the instance with the most CPU time.
std::map<std::string, std::string> watchersByDomain(const std::vector<InstanceProfile> &instances);

} // namespace Goldcrestwall::Gateway
