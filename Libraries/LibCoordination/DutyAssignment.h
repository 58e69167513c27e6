// The assignment of duties to members.
#pragma once

#include <LibCoordination/ClusterRecord.h>

#include <map>

namespace Goldcrestwall {

// Assigns duties to live members by rendezvous hashing and caches the result until the members change. Instances with the same version
// of the member record agree on the result, but safety does not depend on this.
class DutyAssignment
{
public:
    // The member to which the duty is assigned; an empty incarnation if there are no live members.
    const Incarnation &holder(const ClusterRecord &cluster, const std::string &duty);

    // The rank of a member in the order of preference for a duty, 0 for the member that has it; the number of live members if it is not
    // live.
    std::size_t rank(const ClusterRecord &cluster, const std::string &duty, const Incarnation &member);

private:
    struct Ranking
    {
        Incarnation holder_;
        std::map<Incarnation, std::size_t> ranks_;
    };

    Ranking &rankingOf(const ClusterRecord &cluster, const std::string &duty);

    Version clusterVersion_ = 0;
    std::map<std::string, Ranking> rankings_;
};

} // namespace Goldcrestwall
