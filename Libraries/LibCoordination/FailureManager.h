// Detects failed members and reassigns the servers they dispatched for.
#pragma once

#include <LibCoordination/CoordinationContext.h>
#include <LibCoordination/MembershipManager.h>
#include <LibCoordination/RecordChanger.h>

#include <set>

namespace Goldcrestwall {

// An instance in the platform's list.
struct PlatformInstance
{
    // When its current process started. Incarnations with lower numbers belong to earlier processes.
    UnixMilliseconds startedAt_ = 0;
    bool isLeaving_ = false;

    auto operator<=>(const PlatformInstance &) const = default;
};

// The platform's list of instances at the time of receipt. It lags: a process that has ended is still listed for a while.
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

// Suspects members that do not respond, seals them at their witnesses and reassigns their servers to live members.
//
// 1. A witness that suspects a member asks the other witnesses; the member is sealed only if a majority suspects it.
// 2. The state of the member is changed to sealing in the store, which makes its witness set final and is never undone.
// 3. The member is sealed at its witnesses, and the takeover waits for the longest remaining renewal of a majority.
// 4. The member's servers get new dispatchers in each service record, and then the member is removed.
// If the witnesses failed together with the member, the takeover relies on the platform's list. Without it, only the backend servers
// that check fencing tokens are reassigned.
class FailureManager
{
public:
    FailureManager(CoordinationContext &context, RecordChanger &changer, MembershipManager &membership);

    void tick(Now now);

    void handleLastContactRequest(const Envelope &envelope, const LastContactRequest &request, Now now);
    void handleLastContactResponse(const Incarnation &witness, const LastContactResponse &response);
    void handleSealRequest(const Envelope &envelope, const SealRequest &request, Now now);
    void handleSealResponse(const Incarnation &witness, const SealResponse &response, Now now);

    // Records that an earlier incarnation of this process has stopped dispatching, so its servers can be reassigned without a wait.
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
    // Which servers of a failed member may get a new dispatcher.
    enum class Scope {
        None,
        // Servers that check fencing tokens and therefore reject requests of the failed member.
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

// Chooses a dispatcher for each server: the live member that dispatches for the fewest servers. Ties are broken by rendezvous order.
std::vector<ServerEntry> chooseDispatchers(const RecordCatalog &catalog, const std::vector<ServerId> &servers);

// Decodes a service record from a stored value; empty if the record is absent or malformed.
std::optional<ServiceRecord> readServiceRecord(const RecordValue &current);

} // namespace Goldcrestwall
