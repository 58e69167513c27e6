// The control plane of one instance.
#pragma once

#include <LibCoordination/CoordinationContext.h>
#include <LibCoordination/FailureManager.h>
#include <LibCoordination/MembershipManager.h>
#include <LibCoordination/OwnershipManager.h>
#include <LibCoordination/RecordChanger.h>

#include <memory>

namespace Goldcrestwall {

// One service as the data plane sees it.
struct ServiceRoute
{
    std::shared_ptr<const CustomerConfiguration> customer_;
    // Points into customer_.
    const ServiceConfiguration *configuration_ = nullptr;
    std::shared_ptr<const ServiceRecord> record_;
};

// Why this instance may not dispatch a request at present.
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
    // Whether the instance has learned all records once. Before that, what is missing here may exist.
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

    // Whether this instance may pass work for a key to a server, apart from its lease. `range` is the range by which the request was
    // routed; it is empty for shared services, and no longer right if the key has got a range of its own meanwhile.
    DispatchRight rightTo(const ServerKey &server, const std::optional<KeyRange> &range, const std::string &key) const;

private:
    Incarnation self_;
    ClusterRecord cluster_;
    std::map<CustomerId, std::shared_ptr<const CustomerConfiguration>> customers_;
    std::map<ServiceKey, ServiceRoute> services_;
    ClosedSet closed_;
    bool isComplete_ = false;
};

// Who has adopted a version of a record.
struct AdoptionState
{
    RecordKey key_;
    Version version_ = 0;
    std::vector<Incarnation> confirmed_;
    std::vector<Incarnation> missing_;
};

// Ties the managers together: routes messages and store answers to them and collects their actions. It does no I/O, reads no clock
// and is not thread-safe.
class Coordinator
{
public:
    Coordinator(const CoordinatorSettings &settings, std::uint64_t incarnationNumber, DataPlaneQueries dataPlane, std::uint64_t seed);

    // Does whatever is due; to be called every few milliseconds.
    void tick(Now now);
    void handleMessage(const Envelope &envelope, Now now);
    void handleStoreResponse(const StoreResponse &answer, Now now);
    void setPlatformList(PlatformList list);
    void setLoads(const ServiceKey &service, std::vector<ServerLoad> loads)
    {
        ownership_.setLoads(service, std::move(loads));
    }

    // Starts a planned stop: servers are handed over first, then the membership ends.
    void leave();
    // Whether a planned stop is complete.
    bool hasLeft() const;

    // The actions collected since the last call.
    std::vector<Action> takeActions()
    {
        return context_.takeActions();
    }

    // Submits a change on behalf of an operator; returns false when the same change is pending.
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
    // The time until which work may be passed on; the past when there is no lease.
    TimePoint leaseExpiry() const;

    // The present snapshot for the data plane; the same object until something changes.
    std::shared_ptr<const RoutingTable> routingTable();

    // Asks all live members which version of a record they have adopted, and returns what is known so far.
    AdoptionState queryAdoption(const RecordKey &key, Now now);

    // How long ago the store last answered; nothing if it never did.
    std::optional<Duration> timeSinceStoreResponse(Now now) const;

private:
    bool hasCaughtUp() const;
    void pollStore(Now now);
    void readClusterIfNeeded(Now now);
    void querySeeds(Now now);
    bool isWatcher();
    void handleList(const StoreResponse &answer, Now now);
    void handleRead(const StoreResponse &answer, Now now);
    void handleSyncRequest(const Envelope &envelope, const SyncRequest &request, Now now);
    void handleSyncResponse(const Envelope &envelope, const SyncResponse &answer, Now now);
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
    std::optional<TimePoint> storeAnsweredAt_;
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
