// Detects lost members and takes over what they dispatched.
#pragma once

#include <LibCoordination/CoordinationContext.h>
#include <LibCoordination/MembershipManager.h>
#include <LibCoordination/RecordChanger.h>

#include <set>

namespace Goldcrestwall {

// An instance in the platform's list.
struct PlatformInstance
{
    // When its present process started. Incarnations with lower numbers belong to earlier processes.
    UnixMilliseconds startedAt_ = 0;
    bool isLeaving_ = false;

    auto operator<=>(const PlatformInstance &) const = default;
};

// The platform's list of instances as of some time. It lags: a process that has ended stays listed for a while.
struct PlatformList
{
    std::map<InstanceId, PlatformInstance> instances_;
    TimePoint receivedAt_;

    // Whether the process of this incarnation is listed.
    bool contains(const Incarnation &incarnation) const
    {
        const auto instance = instances_.find(incarnation.instance_);
        return instance != instances_.end() && static_cast<UnixMilliseconds>(incarnation.number_) >= instance->second.startedAt_;
    }

    bool operator==(const PlatformList &) const = default;
};

// Suspects silent members, seals them at their witnesses and hands their servers to live members.
//
// 1. A witness that has not heard a member asks the fellow witnesses; only a majority of silent ones leads on.
// 2. The member's record is swapped to sealing, which makes its witnesses final and is never undone.
// 3. The witnesses are sealed, and the longest remainder of a sealed majority is waited out.
// 4. Each service record gets new dispatchers for the member's servers, and then the member is removed.
// If the witnesses were lost together with the member, the platform's list, or else the backend servers that check tokens, decide.
class FailureManager
{
public:
    FailureManager(CoordinationContext &context, RecordChanger &changer, MembershipManager &membership);

    void tick(Now now);

    void handleLastContactRequest(const Envelope &envelope, const LastContactRequest &request, Now now);
    void handleLastContactResponse(const Incarnation &witness, const LastContactResponse &answer);
    void handleSealRequest(const Envelope &envelope, const SealRequest &request, Now now);
    void handleSealResponse(const Incarnation &witness, const SealResponse &answer, Now now);

    // Tells that an earlier incarnation of this very process has stopped acting.
    void recordPredecessorStopped(const Incarnation &predecessor)
    {
        stoppedPredecessors_.insert(predecessor);
    }

    void setPlatformList(PlatformList list)
    {
        platformList_ = std::move(list);
    }

private:
    struct Suspect
    {
        std::set<Incarnation> suspectingWitnesses_;
        TimePoint nextQuery_;
    };
    struct PendingTakeover
    {
        Takeover takeover_;
        TimePoint noticedAt_;
    };
    // Which servers of a lost member may get a new dispatcher.
    enum class Scope {
        None,
        // Those that check fencing tokens and so refuse the lost member themselves.
        CheckingServers,
        All,
    };

    void investigateSuspects(Now now);
    void investigateAbsentMembers(Now now);
    void seal(const Incarnation &target, const std::string &reason, Now now);
    void advanceTakeovers(Now now);
    Scope scopeOf(const PendingTakeover &pendingTakeover, Now now) const;
    bool isGoneFromPlatform(const Incarnation &target, Now now) const;
    void reassign(const Incarnation &target, Scope scope, Now now);
    void reassignService(const Incarnation &target, const ServiceKey &service, Scope scope, Now now);
    void removeMember(const Incarnation &target, Now now);
    bool dispatchesAny(const Incarnation &target) const;

    CoordinationContext &context_;
    RecordChanger &changer_;
    MembershipManager &membership_;
    std::map<Incarnation, Suspect> suspects_;
    std::map<Incarnation, PendingTakeover> pendingTakeovers_;
    std::map<Incarnation, TimePoint> absentSince_;
    std::set<Incarnation> stoppedPredecessors_;
    PlatformList platformList_;
};

// Chooses dispatchers for servers: for each the live member that has the fewest, in rendezvous order of the server.
std::vector<ServerEntry> chooseDispatchers(const RecordCatalog &catalog, const std::vector<ServerId> &servers);

// Reads a service record from a stored value; nothing when it is absent or malformed.
std::optional<ServiceRecord> readServiceRecord(const RecordValue &current);

} // namespace Goldcrestwall
