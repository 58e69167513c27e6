// The control plane of one instance and the routing snapshot that it gives to the data plane.
#pragma once

#include <LibCoordination/CoordinationContext.h>
#include <LibCoordination/FailureManager.h>
#include <LibCoordination/MembershipManager.h>
#include <LibCoordination/OwnershipManager.h>
#include <LibCoordination/RecordChanger.h>

#include <memory>

namespace Goldcrestwall {

// The configuration and ownership of one service, as used by the data plane.
struct ServiceRoute
{
    std::shared_ptr<const CustomerConfiguration> customer_;
    // Points into customer_.
    const ServiceConfiguration *configuration_ = nullptr;
    std::shared_ptr<const ServiceRecord> record_;
};

// Whether this instance may dispatch a request, and if not, the reason.
enum class DispatchRight {
    Granted,
    NotDispatcher,
    NoLease,
    Closed,
    NotServing,
};

// An immutable snapshot of everything the data plane needs to route a request.
class RoutingTable
{
public:
    RoutingTable(Incarnation self, const RecordCatalog &catalog, ClosedSet closed, bool isComplete);

    const Incarnation &self() const
    {
        return self_;
    }
    // Whether the instance has loaded all records at least once. Until then, a service that is missing here may exist.
    bool isComplete() const
    {
        return isComplete_;
    }
    const ClusterRecord &cluster() const
    {
        return cluster_;
    }
    const std::map<ServiceKey, ServiceRoute> &services() const
    {
        return services_;
    }
    const std::map<CustomerId, std::shared_ptr<const CustomerConfiguration>> &customers() const
    {
        return customers_;
    }
    // Null when the service is not configured.
    const ServiceRoute *find(const ServiceKey &service) const;

    // Whether this instance may dispatch a request for a key to a server, provided that its lease is valid. `range` is the range by
    // which the request was routed. It is empty for shared services, and outdated if the key has become a hot key since.
    DispatchRight rightTo(const ServerKey &server, const std::optional<KeyRange> &range, const std::string &key) const;

private:
    Incarnation self_;
    ClusterRecord cluster_;
    std::map<CustomerId, std::shared_ptr<const CustomerConfiguration>> customers_;
    std::map<ServiceKey, ServiceRoute> services_;
    ClosedSet closed_;
    bool isComplete_ = false;
};

// Which members have adopted a version of a record.
struct AdoptionState
{
    RecordKey key_;
    Version version_ = 0;
    std::vector<Incarnation> confirmed_;
    std::vector<Incarnation> missing_;
};

// Passes messages and store responses to the managers and collects their actions. It does no I/O, reads no clock and is not
// thread-safe.
class Coordinator
{
public:
    Coordinator(const CoordinatorSettings &settings, std::uint64_t incarnationNumber, DataPlaneQueries dataPlane, std::uint64_t seed);

    // Runs all work that is due. To be called every few milliseconds.
    void tick(Now now);
    void handleMessage(const Envelope &envelope, Now now);
    void handleStoreResponse(const StoreResponse &response, Now now);
    void setPlatformList(PlatformList list);
    void setLoads(const ServiceKey &service, std::vector<ServerLoad> loads)
    {
        ownership_.setLoads(service, std::move(loads));
    }

    // Starts a planned stop: the instance hands over its servers and then removes itself from the members.
    void leave();
    // Whether a planned stop is complete.
    bool hasLeft() const;

    // The actions collected since the last call.
    std::vector<Action> takeActions()
    {
        return context_.takeActions();
    }

    // Submits a change on behalf of an operator. Returns false if a change with the same tag is pending.
    bool submitChange(RecordChange change, Now now)
    {
        return changer_.submit(std::move(change), now);
    }

    // Asks a dispatcher to carry out moves.
    void requestMove(const Incarnation &dispatcher, MoveRequest request, Now now);

    const Incarnation &self() const
    {
        return context_.self();
    }
    const RecordCatalog &catalog() const
    {
        return context_.catalog();
    }
    const LeaseHolder &lease() const
    {
        return membership_.lease();
    }
    // The time until which requests may be dispatched; a time in the past if there is no lease.
    TimePoint leaseExpiry() const;

    // The current snapshot for the data plane; the same object until a record or a closed range changes.
    std::shared_ptr<const RoutingTable> routingTable();

    // Asks all members that have not confirmed it which version of a record they have adopted, and returns the responses received so far.
    AdoptionState queryAdoption(const RecordKey &key, Now now);

    // The time since the last response of the store; empty if it has never responded.
    std::optional<Duration> timeSinceStoreResponse(Now now) const;

private:
    bool hasCaughtUp() const;
    void pollStore(Now now);
    void readClusterIfNeeded(Now now);
    void querySeeds(Now now);
    bool isWatcher();
    void handleList(const StoreResponse &response, Now now);
    void handleRead(const StoreResponse &response, Now now);
    void handleSyncRequest(const Envelope &envelope, const SyncRequest &request, Now now);
    void handleSyncResponse(const Envelope &envelope, const SyncResponse &response, Now now);
    void requestSync(const Envelope &envelope, std::uint64_t digest, Now now);
    void removeSelfWhenUnneeded(Now now);
    void removeSelf(Now now);

    struct PendingRead
    {
        RecordKey key_;
        TimePoint startedAt_;
    };

    CoordinationContext context_;
    RecordChanger changer_;
    MembershipManager membership_;
    FailureManager failures_;
    OwnershipManager ownership_;
    Participation participation_ = Participation::Member;
    std::optional<TimePoint> idleSince_;
    bool isRemovingSelf_ = false;
    std::map<std::uint64_t, PendingRead> reads_;
    std::uint64_t listCall_ = 0;
    Version watcherVersion_ = 0;
    bool isWatcher_ = true;
    TimePoint nextPoll_;
    TimePoint nextSeedQuery_;
    std::optional<TimePoint> storeRespondedAt_;
    std::map<Incarnation, TimePoint> syncRequestedAt_;
    std::map<RecordKey, std::map<Incarnation, Version>> adoptions_;
    bool hasListed_ = false;
    bool hasSynced_ = false;
    bool isComplete_ = false;
    std::shared_ptr<const RoutingTable> table_;
    std::uint64_t tableCatalogGeneration_ = 0;
    std::uint64_t tableClosedGeneration_ = 0;
};

} // namespace Goldcrestwall
