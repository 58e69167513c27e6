// Creates service records and moves servers between dispatchers and ranges between servers.
#pragma once

#include <LibCoordination/CoordinationContext.h>
#include <LibCoordination/MembershipManager.h>
#include <LibCoordination/RecordChanger.h>

#include <functional>
#include <set>

namespace Goldcrestwall {

// A backend server of a service.
struct ServerKey
{
    ServiceKey service_;
    ServerId server_;

    auto operator<=>(const ServerKey &) const = default;
};

// What the data plane knows and the control plane asks for.
struct DataPlaneQueries
{
    // Whether no work of this range, or of the whole server if there is none, is in flight at the server. Work whose fate is not
    // known counts as in flight until its execution deadline has passed.
    std::function<bool(const ServerKey &server, const std::optional<KeyRange> &range)> isDrained_;
    // Whether the server is lost as far as its dispatcher can tell.
    std::function<bool(const ServerKey &server)> isLost_;
};

// Ranges and servers that take no new work because they are about to move.
struct ClosedSet
{
    std::set<ServerKey> servers_;
    std::map<ServiceKey, std::set<KeyRange>> ranges_;

    bool operator==(const ClosedSet &) const = default;
};

// The duties of this instance as proposer, as dispatcher and as balancer. Who has which duty follows from rendezvous hashing;
// safety never depends on there being one only.
class OwnershipManager
{
public:
    OwnershipManager(CoordinationContext &context, RecordChanger &changer, MembershipManager &membership, DataPlaneQueries dataPlane);

    void tick(Now now, Participation participation);

    void handleLoadReport(const Incarnation &from, const LoadReport &report, Now now);
    void handleMoveRequest(const MoveRequest &request);
    // A read of the cluster record that began at `startedAt` has been adopted.
    void recordClusterRead(TimePoint startedAt)
    {
        clusterReadAt_ = startedAt;
    }
    // Whether a read of the cluster record is wanted to judge entries whose dispatcher is no member.
    bool isClusterReadNeeded() const
    {
        return isClusterReadNeeded_;
    }

    // The measured loads of the servers this instance dispatches for.
    void setLoads(const ServiceKey &service, std::vector<ServerLoad> loads)
    {
        ownLoads_[service] = std::move(loads);
    }

    const ClosedSet &closed() const
    {
        return closed_;
    }
    // Grows whenever closed() changes.
    std::uint64_t generation() const
    {
        return generation_;
    }
    // Whether this instance dispatches for nothing any more.
    bool isIdle() const;

    // Forgets all moves; for a new incarnation.
    void reset();

private:
    // A move under way and the range that is closed for it.
    struct PendingMove
    {
        SliceMove move_;
        KeyRange closed_;

        bool operator==(const PendingMove &) const = default;
    };
    struct ReceivedLoad
    {
        ServerLoad load_;
        TimePoint receivedAt_;
    };

    void propose(const ServiceKey &service, const ServiceConfiguration &configuration, Now now);
    void proposeServers(const ServiceKey &service, const ServiceConfiguration &configuration, const ServiceRecord *record, Now now);
    void proposeDispatchers(const ServiceKey &service, const ServiceRecord &record, Now now);
    void proposeOwners(const ServiceKey &service, const ServiceConfiguration &configuration, const ServiceRecord &record, Now now);

    void evacuateServers(const ServiceKey &service, const ServiceConfiguration *configuration, const ServiceRecord &record);
    void startMoves(const ServiceKey &service, const ServiceRecord &record, const std::vector<SliceMove> &moves);
    // Whether this instance may carry a move out by this version of the record.
    bool mayMove(const ServiceRecord &record, const SliceMove &move) const;
    void endMoves(const ServiceKey &service, const std::function<bool(const PendingMove &move)> &isOver);
    void finishMoves(Now now);
    void submitMoves(const ServiceKey &service, const std::vector<PendingMove> &moves, Now now);
    void transferHistories(
        const ServiceKey &service, const ServiceRecord &before, const ServiceRecord &after, const std::vector<SliceMove> &moves, const ChangeId &change);
    void startHandovers(Participation participation);
    void finishHandovers(Now now);
    void endHandover(const ServerKey &server);
    std::optional<Incarnation> chooseSuccessor(const ServerKey &server) const;

    void reportLoads(Now now);
    void balance(const ServiceKey &service, const ServiceConfiguration &configuration, const ServiceRecord &record, Now now);

    bool isDispatcherOf(const ServiceRecord &record, const ServerId &server) const;
    std::vector<ServerId> eligibleServers(const ServiceKey &service, const ServiceRecord &record) const;
    std::vector<ServerKey> ownServers() const;

    CoordinationContext &context_;
    RecordChanger &changer_;
    MembershipManager &membership_;
    DataPlaneQueries dataPlane_;
    ClosedSet closed_;
    std::uint64_t generation_ = 0;
    std::map<ServiceKey, std::vector<PendingMove>> moves_;
    std::map<ServerKey, Incarnation> handovers_;
    std::map<ServiceKey, std::vector<ServerLoad>> ownLoads_;
    std::map<ServiceKey, std::map<ServerId, ReceivedLoad>> receivedLoads_;
    std::map<ServiceKey, std::set<ServerId>> lostServers_;
    TimePoint nextTick_;
    TimePoint nextHandoverCheck_;
    std::uint64_t seenGeneration_ = 0;
    TimePoint nextLoadReport_;
    std::map<ServiceKey, TimePoint> nextBalance_;
    TimePoint clusterReadAt_;
    std::map<Incarnation, TimePoint> unknownSince_;
    bool isClusterReadNeeded_ = false;
};

} // namespace Goldcrestwall
