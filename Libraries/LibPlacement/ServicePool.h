// Decides which request of a service is sent to which backend server, waits, or is rejected.
#pragma once

#include <LibPlacement/RetryBudget.h>
#include <LibPlacement/ShardAssignment.h>
#include <LibPlacement/WarmupRateLimiter.h>
#include <LibPlacement/WorkEstimator.h>

#include <LibTopology/LibTopology.h>

#include <map>
#include <optional>
#include <random>
#include <string>
#include <tuple>
#include <vector>

namespace Goldcrestwall::Gateway {

// Identifies a request that asks for a place: the instance that holds it and that instance's number for it.
struct PlacementId
{
    std::string instance_;
    std::uint64_t number_ = 0;

    auto operator<=>(const PlacementId &) const = default;
};

// Whether a request is sent for the first time.
enum class AttemptKind : std::uint8_t {
    First,
    // It has reached a server before, so that it counts against the budget for repeats.
    Retry,
    // It could not be sent to the server that was chosen first.
    Replacement,
};

// A request that needs a place at a server.
struct PlacementRequest
{
    PlacementId id_;
    // The name of its route: requests of one route need about the same work.
    std::string workKind_;
    std::uint32_t priority_ = 0;
    TimePoint latencyObjectiveAt_;
    TimePoint deadline_;
    // Work expected while nothing has been learned about the kind.
    Duration assumedWork_ = 50ms;
    AttemptKind attempt_ = AttemptKind::First;
    // Its caller was turned away before and has come back.
    bool isCallerRetry_ = false;
    std::optional<ShardKey> key_;
    // The failure domain of the instance that holds the request.
    std::string domain_;
    // Servers that are passed over where there are others.
    std::vector<std::string> avoidedServers_;

    auto operator<=>(const PlacementRequest &) const = default;
};

// Why a request was rejected.
enum class RejectReason : std::uint8_t {
    // No server of the service takes requests.
    NoServer,
    // It would not end before its deadline.
    Overload,
    // No repeats are left in the budget.
    RetryBudget,
    // Its key is not held by a server that takes requests.
    NoOwner,
};

const char *rejectReasonName(RejectReason reason);

// A request may be sent to a server now.
struct Placement
{
    PlacementId id_;
    std::string server_;

    auto operator<=>(const Placement &) const = default;
};

// A request is turned away; it has not run.
struct Rejection
{
    PlacementId id_;
    RejectReason reason_ = RejectReason::NoServer;
    // When a place will probably be free.
    Duration retryAfter_ = Duration::zero();

    auto operator<=>(const Rejection &) const = default;
};

struct PlacementDecisions
{
    std::vector<Placement> placements_;
    std::vector<Rejection> rejections_;
};

// How a request ended at its server.
enum class PlacementOutcome : std::uint8_t {
    // A valid answer.
    Answered,
    // The server turned it away although it should have had room.
    Shed,
    // It could not be sent: no connection.
    Unreachable,
    // It was sent and no valid answer came.
    Lost,
    // The deadline passed while the server was at work: it took at least so long.
    TimedOut,
    // The caller left, or the server was not needed after all.
    Abandoned,
};

// What the instance that held the place learned.
struct PlacementReport
{
    PlacementOutcome outcome_ = PlacementOutcome::Abandoned;
    Duration duration_ = Duration::zero();
    std::optional<ReportedLoad> load_;

    auto operator<=>(const PlacementReport &) const = default;
};

// Whether this pool decides for all instances, or for this one alone.
enum class PoolScope {
    Shared,
    Local,
};

// What makes a server known to the pool besides its own description.
struct PoolServerInput
{
    ServerDescription description_;
    // When the description was received; its remaining warm-up counts from there.
    TimePoint describedAt_;
    bool isEvacuated_ = false;

    auto operator<=>(const PoolServerInput &) const = default;
};

// The queue and the servers of one service.
//
// Load pattern answered: servers differ in speed and are slowed by neighbours, each carries few requests at once, and more requests
// arrive than can be served. One queue in order of aim, priority and slack, and placement by earliest expected end, serve most.
class ServicePool
{
public:
    ServicePool(Service service, RetryBudgetSettings terms, std::uint64_t randomSeed);

    const Service &service() const
    {
        return service_;
    }
    void setService(Service service);
    void setScope(PoolScope scope, std::size_t instanceCount, TimePoint now);
    void setServers(const std::vector<PoolServerInput> &servers, TimePoint now);
    void setAssignment(ShardAssignment assignment);
    // Ranges that the granter knows to be held at this moment; nothing if this instance is not the granter.
    void setHeldRanges(std::optional<std::vector<ShardRange>> held);

    void enqueue(PlacementRequest request, TimePoint now);
    // The request is no longer wanted and was not placed.
    void cancel(const PlacementId &id);
    // A place is given back.
    void finish(const PlacementId &id, const PlacementReport &report, TimePoint now);
    // A request that another coordinator placed still holds a place.
    void restorePlacement(const PlacementId &id, const std::string &server, const std::string &workKind, TimePoint now);
    // Drops everything that an instance asked for or held.
    void removeInstance(const std::string &instance);
    // Learns from a request that another coordinator placed.
    void observe(const std::string &server, const std::string &workKind, const PlacementReport &report, TimePoint now);
    // A server answered a health request.
    void recordHealthCheck(const std::string &server, Duration warmupLeft, const std::optional<ReportedLoad> &load, TimePoint now);
    void recordHealthCheckFailure(const std::string &server, TimePoint now);
    // An order about keys did not reach the server or was not answered.
    void recordShardCallFailure(const std::string &server, TimePoint now);

    PlacementDecisions decide(TimePoint now);

    bool hasWaiting() const
    {
        return !waiting_.empty();
    }
    bool isWaiting(const PlacementId &id) const;
    // Servers whose state must be asked for by a health request: before they get their full share again, or because their speed is
    // not known yet.
    std::vector<std::string> serversToProbe(TimePoint now) const;
    std::vector<ServerLoadView> serverLoads(TimePoint now) const;

    // The usual work of a request on an average server.
    Duration typicalWork(const PlacementRequest &request) const;

private:
    struct Running
    {
        PlacementId id_;
        std::string workKind_;
        TimePoint startedAt_;
        Duration expected_ = Duration::zero();
    };

    struct PoolServer
    {
        PoolServerInput input_;
        ServerSpeed speed_;
        WarmupRateLimiter warmupLimiter_;
        TimePoint coldUntil_;
        // Whether it was ever given a request.
        bool hasReceivedRequest_ = false;
        // Whether it has ever answered a health request.
        bool hasPassedHealthCheck_ = false;
        // Since when and until when it must be feared that the server has failed or started anew.
        TimePoint suspectSince_;
        TimePoint suspectUntil_;
        // Smoothed share of requests that failed.
        double failureShare_ = 0;
        TimePoint failedAt_;
        std::uint32_t unreachableCount_ = 0;
        TimePoint backoffUntil_;
        // Requests of others that the server reported.
        std::uint32_t foreignRequests_ = 0;
        TimePoint foreignReportedAt_;
        std::vector<Running> running_;
        // Where its outlook stands during a decision; nothing if it takes no requests.
        std::optional<std::size_t> forecast_;
    };

    // When each slot of a server is free, as far as can be foreseen.
    struct SlotForecast
    {
        PoolServer *server_ = nullptr;
        std::vector<TimePoint> slots_;
        TimePoint earliest_;
    };

    struct Candidate
    {
        SlotForecast *forecast_ = nullptr;
        TimePoint startAt_;
        TimePoint endAt_;
        // The end, worsened by the server's recent failures and its distance.
        TimePoint cost_;
        // Servers that the request was sent to before come last.
        bool isAvoided_ = false;
        // A server that has had no request yet comes first where it is good enough, so that its speed becomes known.
        bool isKnown_ = true;

        auto rank() const
        {
            return std::make_tuple(isAvoided_, isKnown_, cost_);
        }
    };

    static bool isUsable(const PoolServer &server, TimePoint now);
    static bool isSuspect(const PoolServer &server, TimePoint now);
    static void setSuspect(PoolServer &server, TimePoint now);
    static bool isCold(const PoolServer &server, TimePoint now);
    double budgetShare() const;
    Duration expectedWork(const PlacementRequest &request, const PoolServer &server, TimePoint begin, TimePoint now) const;
    void learn(PoolServer &server, const std::string &workKind, const PlacementReport &report, TimePoint now);
    void recordFailure(PoolServer &server, PlacementOutcome outcome, TimePoint now);
    std::vector<SlotForecast> forecastSlots(TimePoint now);
    // The server that the assignment names for the request's key, if there is one.
    const PoolServer *holderOf(const PlacementRequest &request) const;
    // The order in which waiting requests get places, the lowest first.
    auto rankOf(const PlacementRequest &request, double meanFactor, TimePoint now) const;
    void sortWaiting(TimePoint now);
    std::optional<Candidate> chooseServer(const PlacementRequest &request, std::vector<SlotForecast> &forecasts, TimePoint now);
    Candidate evaluate(const PlacementRequest &request, SlotForecast &forecast, TimePoint now) const;
    bool mustReserveSlot(const PlacementRequest &request, const std::vector<SlotForecast> &forecasts, TimePoint now) const;
    void place(const PlacementRequest &request, Candidate &candidate, PlacementDecisions &decisions, TimePoint now);
    bool isKeyHeld(const PlacementRequest &request) const;
    Duration jitter(Duration span);

    Service service_;
    RetryBudget budget_;
    WorkEstimator estimator_;
    std::mt19937_64 random_;
    PoolScope scope_ = PoolScope::Local;
    std::size_t instanceCount_ = 1;
    std::map<std::string, PoolServer> servers_;
    ShardAssignment assignment_;
    std::optional<std::vector<ShardRange>> heldRanges_;
    std::vector<PlacementRequest> waiting_;
    std::map<PlacementId, std::string> serverOfPlacement_;
    std::uint32_t topPriority_ = 0;
    TimePoint topPriorityQueuedAt_;
};

} // namespace Goldcrestwall::Gateway
