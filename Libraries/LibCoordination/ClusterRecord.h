// The member record: which incarnations exist and which witnesses renew their leases.
#pragma once

#include <LibBase/LibBase.h>

#include <vector>

namespace Goldcrestwall {

// The state of a member.
enum class MemberState : std::uint8_t {
    Live,
    // A planned stop: the member gets no new duties and hands over those it has.
    Leaving,
    // A takeover has begun. The incarnation never becomes live again, and its witness set is final.
    Sealing,
};

// One incarnation of an instance.
struct Member
{
    Incarnation incarnation_;
    // IP number and port at which other instances reach it.
    std::string address_;
    DomainId domain_;
    std::vector<Incarnation> witnesses_;
    std::uint8_t state_ = 0;

    // Whether the member may be given duties.
    bool isLive() const
    {
        return state_ == static_cast<std::uint8_t>(MemberState::Live);
    }
    bool isSealing() const
    {
        return state_ == static_cast<std::uint8_t>(MemberState::Sealing);
    }

    auto operator<=>(const Member &) const = default;
    MSGPACK_DEFINE(incarnation_, address_, domain_, witnesses_, state_)
};

// The members of the deployment. Every change increments the version by one.
class ClusterRecord
{
public:
    Version version() const
    {
        return version_;
    }
    const std::vector<Member> &members() const
    {
        return members_;
    }
    const ChangeLog &changes() const
    {
        return changes_;
    }

    // The member with this incarnation; null if there is none.
    const Member *find(const Incarnation &incarnation) const;
    // Whether the incarnation is a member that may be given duties.
    bool isLive(const Incarnation &incarnation) const;
    // The members that may be given duties.
    std::vector<Member> liveMembers() const;

    ClusterRecord withMember(Member member, const ChangeNote &note) const;
    ClusterRecord withWitnesses(const Incarnation &incarnation, const std::vector<Incarnation> &witnesses, const ChangeNote &note) const;
    ClusterRecord withState(const Incarnation &incarnation, MemberState state, const ChangeNote &note) const;
    ClusterRecord withoutMember(const Incarnation &incarnation, const ChangeNote &note) const;

    // Whether the incarnations are distinct and not empty, and the version is set.
    bool isWellFormed() const;

    bool operator==(const ClusterRecord &) const = default;
    MSGPACK_DEFINE(version_, members_, changes_)

private:
    ClusterRecord next(const ChangeNote &note) const;

    Version version_ = 0;
    std::vector<Member> members_;
    ChangeLog changes_;
};

// How many witnesses a lease has once the deployment is large enough.
constexpr std::size_t WitnessCount = 3;

// Chooses up to WitnessCount witnesses for an incarnation: live members in as many failure domains as possible, preferring domains other
// than its own. A single instance is its own witness.
std::vector<Incarnation> chooseWitnesses(const ClusterRecord &cluster, const Incarnation &holder, const DomainId &holderDomain);

// The live members in the order of rendezvous hashing for an item, the preferred member first.
std::vector<Incarnation> rendezvousOrder(const ClusterRecord &cluster, std::string_view item);

} // namespace Goldcrestwall
