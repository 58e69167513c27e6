// Manages which services this instance coordinates.
#pragma once

#include <LibGateway/RepeatedWrite.h>
#include <LibGateway/ShardService.h>

namespace Goldcrestwall::Gateway {

// Claims services without a coordinator, performs the coordinator's work for those that this instance has, and steps down.
class CoordinationManager
{
public:
    // `isFirstStart`: the whole system starts for the first time, so that nobody has granted keys before.
    CoordinationManager(asio::io_context &loop,
                        MemberEntry self,
                        GrantTimings grantTimings,
                        bool isFirstStart,
                        const StoreView &view,
                        Platform::PlatformStore &store,
                        const StoreLink &storeLink,
                        PeerNetwork &network,
                        PlacementService &placement,
                        AnnouncementRecorder &announcements,
                        EventLog &log);

    // Starts and ends coordination to match the view.
    void refresh(TimePoint now);
    // Performs the coordinator's work that is due. Tries to claim services unless the instance is stopping.
    void run(bool isStopping, TimePoint now);
    // Stops coordinating all services for good.
    void stepDown(TimePoint now);

private:
    // The last renewal of the lease that a coordinator entry of this instance ends with.
    struct EntryRenewal
    {
        StoreLeaseId lease_;
        TimePoint renewedAt_;
    };

    // Whether the entry, which may be null, is of this process.
    bool isOwn(const CoordinatorEntry *coordinator) const;
    // Whether the service has no coordinator that was elected in the store's present era.
    bool isVacant(const std::string &service) const;
    // Runs the granter of a sharded service.
    void runGranter(const std::string &service, ShardService &shards, TimePoint now);
    // Until when this instance may send grants of a service's keys; in the past if it may not. The right by an entry of an earlier era stays as it was.
    TimePoint grantsUntil(const std::string &service, const ShardService &shards, TimePoint now);
    // When the last renewal of the lease was sent that this instance's entry for a service ends with.
    TimePoint entryRenewedAt(const std::string &service, StoreLeaseId lease);
    // Until when each instance withholds its claims; in the past if it does not or is not heard.
    std::vector<TimePoint> claimsWithheldUntil(const std::vector<std::string> &instances, TimePoint now) const;
    bool isSharded(const std::string &service) const;
    void elect(const std::string &service, TimePoint now);
    // The number of instances that claim a service without a coordinator before this one. The previous coordinator claims first: it has the state that a
    // successor would have to rebuild.
    std::size_t ownClaimRank(const std::string &service) const;
    // Returns the profiles of all instances, with the claims in progress counted for this one.
    std::vector<InstanceProfile> instancesWithClaims() const;
    // Starts a takeover from a coordinator that is much less suitable, once that has been so for some time. A granter has to yield first.
    void considerTakeover(const std::string &service, const CoordinatorEntry &coordinator, TimePoint now);
    // As the granter: yields to a much more suitable instance, or takes the service back if none has taken over.
    void considerYielding(const std::string &service, const CoordinatorEntry &coordinator, TimePoint now);
    bool hasMuchBetterInstance(const std::string &service) const;
    void startYielding(const std::string &service, const CoordinatorEntry &coordinator, TimePoint now);
    Task<void> yieldService(std::string service, CoordinatorEntry coordinator);
    // Claims a service if its coordinator entry still has the version; one that does not exist if there must be none. `hasPredecessorYielded`: the entry is
    // of this era and yields.
    void startClaim(const std::string &service, StoreVersion expectedVersion, bool hasPredecessorYielded);
    Task<void> claim(std::string service, StoreVersion expectedVersion, bool hasPredecessorYielded);
    Task<Platform::StoreOutcome> commitCoordinator(std::string service, StoreVersion expectedVersion, CoordinatorEntry coordinator);
    void checkSuspects(TimePoint now);
    Task<void> checkHealth(std::string service, ServerDescription server, std::string path);

    asio::io_context &loop_;
    MemberEntry self_;
    GrantTimings grantTimings_;
    bool isFirstStart_;
    const StoreView &view_;
    Platform::PlatformStore &store_;
    const StoreLink &storeLink_;
    PeerNetwork &network_;
    PlacementService &placement_;
    AnnouncementRecorder &announcements_;
    EventLog &log_;
    // Responses to grants, releases and health checks carry no request id. Only grants keep their connections, and have a client of their own, so
    // that no response of another kind is taken for one to a grant.
    HttpClient shardCallClient_;
    HttpClient healthClient_;
    std::map<std::string, std::shared_ptr<ShardService>> shards_;
    // Since when each service without a coordinator has had none while this instance could have claimed it.
    std::map<std::string, TimePoint> vacantSince_;
    // Since when this instance has been much better suited to each service than its coordinator.
    std::map<std::string, TimePoint> betterSince_;
    std::set<std::string> claiming_;
    // Services whose keys this instance no longer grants, so that another one can take over; with the claim that it gives up.
    std::map<std::string, StoreVersion> yielded_;
    std::map<std::string, TimePoint> yieldedAt_;
    std::map<std::string, EntryRenewal> renewals_;
    // The rights to grant, as last computed while their entries were known to be of the present era.
    std::map<std::string, TimePoint> rightsUntil_;
    std::map<std::string, TimePoint> healthCheckedAt_;
    bool hasSteppedDown_ = false;
};

} // namespace Goldcrestwall::Gateway
