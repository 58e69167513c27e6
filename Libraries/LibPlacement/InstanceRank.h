// Orders the instances that may take a duty.
#pragma once

#include <LibBase/LibBase.h>

#include <map>
#include <string>
#include <vector>

namespace Goldcrestwall::Gateway {

// What makes an instance more or less suited to a duty.
struct InstanceProfile
{
    std::string name_;
    std::string domain_;
    // Its part of a processor, in thousandths of a core.
    std::uint32_t cpuMillicores_ = 0;
    // How many services it coordinates.
    std::uint32_t coordinatedServices_ = 0;

    auto operator<=>(const InstanceProfile &) const = default;
};

// How many of the instances come before this one for the service. Those with the most processor time for each duty come first, and
// among equal ones services spread by rendezvous hashing, so that only few instances try for one service at the same moment.
std::size_t coordinatorRank(const std::string &service, const std::string &instance, const std::vector<InstanceProfile> &instances);

// The instance of each failure domain that watches the store for the others: one that coordinates a service, as it watches in any
// case, or else the one with the most processor time.
std::map<std::string, std::string> watchersByDomain(const std::vector<InstanceProfile> &instances);

} // namespace Goldcrestwall::Gateway
