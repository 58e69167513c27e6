// Who has which duty.
#pragma once

#include <LibCoordination/ClusterRecord.h>

#include <map>

namespace Goldcrestwall {

// Assigns duties to live members by rendezvous hashing and remembers the result until the members change. All instances that know
// the same members agree; safety never depends on that.
class DutyAssignment
{
public:
    // The member that has the duty; an empty incarnation if there are no live members.
    const Incarnation &holder(const ClusterRecord &cluster, const std::string &duty);

    // The place of a member in the order of preference for a duty, 0 for its holder; the number of live members if it is none.
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
