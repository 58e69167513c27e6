// Implements the member record, the choice of witnesses and the rendezvous order of members.
#include <LibCoordination/ClusterRecord.h>

#include <algorithm>
#include <map>
#include <set>
#include <tuple>

namespace Goldcrestwall {

const Member *ClusterRecord::find(const Incarnation &incarnation) const
{
    const auto position = std::find_if(members_.begin(), members_.end(), [&](const Member &member) {
        return member.incarnation_ == incarnation;
    });
    return position == members_.end() ? nullptr : &*position;
}

bool ClusterRecord::isLive(const Incarnation &incarnation) const
{
    const Member *member = find(incarnation);
    return member && member->isLive();
}

std::vector<Member> ClusterRecord::liveMembers() const
{
    std::vector<Member> live;
    std::copy_if(members_.begin(), members_.end(), std::back_inserter(live), [](const Member &member) {
        return member.isLive();
    });
    return live;
}

ClusterRecord ClusterRecord::withMember(Member member, const ChangeNote &note) const
{
    ClusterRecord result = next(note);
    result.members_.push_back(std::move(member));
    return result;
}

ClusterRecord ClusterRecord::withWitnesses(const Incarnation &incarnation, const std::vector<Incarnation> &witnesses, const ChangeNote &note) const
{
    ClusterRecord result = next(note);
    for (Member &member : result.members_) {
        if (member.incarnation_ == incarnation) {
            CHECK(!member.isSealing()) << "the witnesses of a member that is being sealed must not change";
            member.witnesses_ = witnesses;
        }
    }
    return result;
}

ClusterRecord ClusterRecord::withState(const Incarnation &incarnation, MemberState state, const ChangeNote &note) const
{
    ClusterRecord result = next(note);
    for (Member &member : result.members_) {
        if (member.incarnation_ == incarnation) {
            member.state_ = static_cast<std::uint8_t>(state);
        }
    }
    return result;
}

ClusterRecord ClusterRecord::withoutMember(const Incarnation &incarnation, const ChangeNote &note) const
{
    ClusterRecord result = next(note);
    std::erase_if(result.members_, [&](const Member &member) {
        return member.incarnation_ == incarnation;
    });
    return result;
}

bool ClusterRecord::isWellFormed() const
{
    std::set<Incarnation> seen;
    return version_ > 0 && std::all_of(members_.begin(), members_.end(), [&](const Member &member) {
               return !member.incarnation_.isEmpty() && seen.insert(member.incarnation_).second;
           });
}

ClusterRecord ClusterRecord::next(const ChangeNote &note) const
{
    ClusterRecord result = *this;
    ++result.version_;
    ChangeNote numbered = note;
    numbered.version_ = result.version_;
    result.changes_ = changes_.with(std::move(numbered));
    return result;
}

std::vector<Incarnation> chooseWitnesses(const ClusterRecord &cluster, const Incarnation &holder, const DomainId &holderDomain)
{
    // 1. Order the candidates of each domain by rendezvous hashing with the holder, so that witnesses are spread evenly over members.
    std::map<DomainId, std::vector<Incarnation>> byDomain;
    for (const Incarnation &candidate : rendezvousOrder(cluster, holder.toString())) {
        if (candidate.instance_ != holder.instance_) {
            byDomain[cluster.find(candidate)->domain_].push_back(candidate);
        }
    }
    // 2. Take one candidate per domain in turn, the holder's own domain last.
    std::vector<DomainId> domains;
    for (const auto &[domain, candidates] : byDomain) {
        domains.push_back(domain);
    }
    std::sort(domains.begin(), domains.end(), [&](const DomainId &left, const DomainId &right) {
        const std::uint64_t leftWeight = rendezvousWeight(holder.toString(), left.value_);
        const std::uint64_t rightWeight = rendezvousWeight(holder.toString(), right.value_);
        return std::tuple(left == holderDomain, leftWeight) < std::tuple(right == holderDomain, rightWeight);
    });
    std::vector<Incarnation> witnesses;
    for (std::size_t round = 0; witnesses.size() < WitnessCount && round < cluster.members().size(); ++round) {
        for (const DomainId &domain : domains) {
            if (round < byDomain[domain].size() && witnesses.size() < WitnessCount) {
                witnesses.push_back(byDomain[domain][round]);
            }
        }
    }
    // 3. Two witnesses tolerate no failure, so the holder itself becomes the third. A single instance is its own witness.
    if (witnesses.size() == 2 || witnesses.empty()) {
        witnesses.push_back(holder);
    }
    return witnesses;
}

std::vector<Incarnation> rendezvousOrder(const ClusterRecord &cluster, std::string_view item)
{
    std::vector<Incarnation> order;
    for (const Member &member : cluster.liveMembers()) {
        order.push_back(member.incarnation_);
    }
    std::sort(order.begin(), order.end(), [&](const Incarnation &left, const Incarnation &right) {
        return rendezvousWeight(item, left.instance_.value_) > rendezvousWeight(item, right.instance_.value_);
    });
    return order;
}

} // namespace Goldcrestwall
