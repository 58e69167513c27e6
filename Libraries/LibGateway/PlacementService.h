// Obtains a backend server for each request, from the coordinator of its service or from a local decision.
#pragma once

#include <LibGateway/LimitExchange.h>
#include <LibGateway/PeerNetwork.h>

#include <map>
#include <memory>

namespace Goldcrestwall::Gateway {

// Passes the caller's disconnect to the code that handles its request.
class RequestControl
{
public:
    explicit RequestControl(MemoryAccount &memory)
        : responseReservation_(memory, MemoryHolder::ResponseBodies)
    {
    }

    // Memory reserved for the response body until the response has been written.
    MemoryReservation &responseReservation()
    {
        return responseReservation_;
    }
    void abandon()
    {
        isAbandoned_ = true;
        if (onAbandon_) {
            onAbandon_();
        }
    }
    bool isAbandoned() const
    {
        return isAbandoned_;
    }
    // Sets how to ask the connection whether the caller has closed it.
    void setConnectionCheck(std::function<bool()> hasCallerLeft)
    {
        connectionCheck_ = std::move(hasCallerLeft);
    }
    // Whether the caller has disconnected, also if the event loop has yet to handle that. Then the request is abandoned.
    bool hasCallerLeft()
    {
        if (!isAbandoned_ && connectionCheck_ && connectionCheck_()) {
            abandon();
        }
        return isAbandoned_;
    }
    // Sets what is called if the caller disconnects; an empty function clears it.
    void setOnAbandon(std::function<void()> handler)
    {
        onAbandon_ = std::move(handler);
    }

private:
    MemoryReservation responseReservation_;
    bool isAbandoned_ = false;
    std::function<void()> onAbandon_;
    std::function<bool()> connectionCheck_;
};

// Owns the server pools of all services and exchanges messages with their coordinators. A request is queued here until it is placed or
// rejected.
class PlacementService
{
public:
    PlacementService(asio::io_context &loop,
                     std::string instance,
                     std::string domain,
                     const StoreView &view,
                     PeerNetwork &network,
                     RetryBudgetSettings retryBudgetSettings,
                     std::shared_ptr<ServerNotices> notices,
                     EventLog &log);

    // Updates services, servers, assignments and coordinators from the view.
    void refresh(TimePoint now);
    // Sets the services that this instance coordinates.
    void setCoordinated(std::set<std::string> services, TimePoint now);
    bool isCoordinating(const std::string &service) const
    {
        return coordinated_.contains(service);
    }

    // Waits for a placement. A request that gets none before its deadline is rejected.
    Task<PlacementResult> acquire(std::string service, PlacementRequest request, PlacementDecider decider, std::shared_ptr<RequestControl> control);
    void release(const std::string &service, const PlacementResult &place, const PlacementReport &report, TimePoint now);
    // Whether a request sent for this placement could exceed a limit that this instance knows of.
    bool mayExceedLimit(const PlacementResult &place, TimePoint now)
    {
        return limits_.mayBeExceeded(place, now);
    }

    // Messages from instances that this one coordinates for.
    void handlePlacementRequest(const std::shared_ptr<PeerLink> &link, const PlacementRequestMessage &message, TimePoint now);
    void handleCancel(const std::shared_ptr<PeerLink> &link, const CancelMessage &message);
    void handleFinish(const std::shared_ptr<PeerLink> &link, const FinishMessage &message, TimePoint now);
    void handleHeldPlacement(const std::shared_ptr<PeerLink> &link, const HeldPlacementMessage &message, TimePoint now);
    void removePeer(const std::shared_ptr<PeerLink> &link);
    // Messages from coordinators.
    void handleQueued(const QueuedMessage &message);
    void handleDeclined(const DeclinedMessage &message);
    void handlePlacement(const std::shared_ptr<PeerLink> &link, const PlacementMessage &message);
    void handleRejection(const RejectionMessage &message);
    // Reports the unfinished placements of this instance to a coordinator after connecting to it.
    void reportHeldPlacements(const std::string &address, const std::shared_ptr<PeerLink> &link);

    ServicePool *pool(const std::string &service);
    KeyLoad *keyLoad(const std::string &service);
    // Schedules a decision on the queued requests of a service.
    void scheduleDecision(const std::string &service);
    // Number of requests, also of other instances, in the queues of this instance's pools.
    std::size_t queuedCount() const;
    // Number of unfinished placements of this instance at a server.
    std::size_t heldPlacementCount(const std::string &server) const;

private:
    // A request of this instance that waits for a placement.
    struct Pending
    {
        explicit Pending(asio::io_context &loop)
            : timer_(loop)
        {
        }
        asio::steady_timer timer_;
        std::optional<PlacementResult> result_;
        bool isQueued_ = false;
        bool isDeclined_ = false;
    };

    // An unfinished placement of this instance.
    struct HeldPlacement
    {
        std::string service_;
        std::string server_;
        std::string workKind_;
    };

    struct ServiceState
    {
        std::unique_ptr<ServicePool> pool_;
        KeyLoad keyLoad_;
        bool isDecisionScheduled_ = false;
        std::unique_ptr<asio::steady_timer> timer_;
        // Connections of the instances whose requests are queued or placed here.
        std::map<std::string, std::weak_ptr<PeerLink>> requesters_;
        // The coordinator did not respond in time or declined; it is bypassed until then.
        TimePoint bypassedUntil_;
        // Requests from other instances that arrived since the last decision.
        std::vector<PlacementId> unconfirmed_;
    };

    Task<bool> awaitCoordinator(const std::string &service,
                                const std::shared_ptr<Pending> &pending,
                                const std::shared_ptr<PeerLink> &link,
                                PlacementRequest request,
                                const std::shared_ptr<RequestControl> &control);
    Task<void>
    awaitPool(const std::string &service, const std::shared_ptr<Pending> &pending, PlacementRequest request, const std::shared_ptr<RequestControl> &control);
    std::shared_ptr<PeerLink> coordinatorLink(const std::string &service, TimePoint now) const;
    void decide(const std::string &service);
    // Tells other instances that their requests are queued.
    void confirmWaiting(ServiceState &state);
    void deliver(ServiceState &state, const Placement &placed, TimePoint now);
    void deliver(ServiceState &state, const Rejection &rejected);
    void resolve(std::uint64_t number, const PlacementResult &result);
    // Records what another instance reports about further requests to a server.
    void recordReportedSigns(const std::string &instance, const FinishMessage &message, TimePoint now);
    // Tells the coordinator how a request ended.
    void reportFinished(const std::string &service, const PlacementResult &place, const PlacementReport &report, TimePoint now);

    asio::io_context &loop_;
    std::string instance_;
    std::string domain_;
    const StoreView &view_;
    PeerNetwork &network_;
    RetryBudgetSettings retryBudgetSettings_;
    std::shared_ptr<ServerNotices> notices_;
    EventLog &log_;
    std::map<std::string, ServiceState> services_;
    std::set<std::string> coordinated_;
    std::map<std::uint64_t, std::shared_ptr<Pending>> pending_;
    std::map<std::uint64_t, HeldPlacement> heldPlacements_;
    LimitExchange limits_;
    std::uint64_t nextNumber_ = 1;
};

} // namespace Goldcrestwall::Gateway
