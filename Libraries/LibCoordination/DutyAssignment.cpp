// Implements the assignment of duties by rendezvous hashing.
#include <LibCoordination/DutyAssignment.h>

namespace Goldcrestwall {

const Incarnation &DutyAssignment::holder(const ClusterRecord &cluster, const std::string &duty)
{
    Ranking &ranking = rankingOf(cluster, duty);
    if (ranking.holder_.isEmpty()) {
        std::uint64_t highest = 0;
        for (const Member &member : cluster.members()) {
            const std::uint64_t weight = rendezvousWeight(duty, member.incarnation_.instance_.value_);
            if (member.isLive() && (ranking.holder_.isEmpty() || weight > highest)) {
                highest = weight;
                ranking.holder_ = member.incarnation_;
            }
        }
    }
    return ranking.holder_;
}

std::size_t DutyAssignment::rank(const ClusterRecord &cluster, const std::string &duty, const Incarnation &member)
{
    Ranking &ranking = rankingOf(cluster, duty);
    const auto known = ranking.ranks_.find(member);
    if (known != ranking.ranks_.end()) {
        return known->second;
    }
    std::size_t rank = 0;
    std::size_t liveCount = 0;
    const std::uint64_t own = rendezvousWeight(duty, member.instance_.value_);
    for (const Member &other : cluster.members()) {
        liveCount += other.isLive() ? 1 : 0;
        const bool isBefore = other.isLive() && other.incarnation_ != member && rendezvousWeight(duty, other.incarnation_.instance_.value_) > own;
        rank += isBefore ? 1 : 0;
    }
    return ranking.ranks_.emplace(member, cluster.isLive(member) ? rank : liveCount).first->second;
}

DutyAssignment::Ranking &DutyAssignment::rankingOf(const ClusterRecord &cluster, const std::string &duty)
{
    if (cluster.version() != clusterVersion_) {
        rankings_.clear();
        clusterVersion_ = cluster.version();
    }
    return rankings_[duty];
}

} // namespace Goldcrestwall
