// Creates service records, hands servers over between dispatchers and moves ranges between servers.
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

// Callbacks by which the control plane queries the state of the data plane.
struct DataPlaneQueries
{
    // Whether no request of this range, or of the whole server if no range is given, is in flight at the server. A request whose
    // outcome is unknown counts as in flight until its execution deadline has passed.
    std::function<bool(const ServerKey &server, const std::optional<KeyRange> &range)> isDrained_;
    // Whether the dispatcher of the server considers it failed.
    std::function<bool(const ServerKey &server)> isLost_;
};

// Ranges and servers that accept no new requests because they are about to be moved or handed over.
struct ClosedSet
{
    std::set<ServerKey> servers_;
    std::map<ServiceKey, std::set<KeyRange>> ranges_;

    bool operator==(const ClosedSet &) const = default;
};

// The work of this instance as proposer, dispatcher and balancer. Duties are assigned by rendezvous hashing; safety does not depend on a
// duty being assigned to only one instance.
class OwnershipManager
{
public:
    OwnershipManager(CoordinationContext &context, RecordChanger &changer, MembershipManager &membership, DataPlaneQueries dataPlane);

    void tick(Now now, Participation participation);

    void handleLoadReport(const Incarnation &from, const LoadReport &report, Now now);
    void handleMoveRequest(const MoveRequest &request);
    // Records that a read of the member record that began at `startedAt` was adopted.
    void recordClusterRead(TimePoint startedAt)
    {
        clusterReadAt_ = startedAt;
    }
    // Whether the member record must be read to decide whether a dispatcher that is no known member was removed.
    bool isClusterReadNeeded() const
    {
        return isClusterReadNeeded_;
    }

    // Sets the measured loads of the servers this instance dispatches for.
    void setLoads(const ServiceKey &service, std::vector<ServerLoad> loads)
    {
        ownLoads_[service] = std::move(loads);
    }

    const ClosedSet &closed() const
    {
        return closed_;
    }
    // Incremented whenever closed() changes.
    std::uint64_t generation() const
    {
        return generation_;
    }
    // Whether this instance dispatches for no server.
    bool isIdle() const;

    // Discards all moves and handovers. Called for a new incarnation.
    void reset();

private:
    // A pending move and the range that is closed for it.
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
    // Whether this version of the record allows this instance to carry out a move.
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
