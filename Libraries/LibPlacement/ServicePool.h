// Queue and placement of the requests of one service on its backend servers.
#pragma once

#include <LibPlacement/Placement.h>
#include <LibPlacement/PoolServer.h>
#include <LibPlacement/RetryBudget.h>
#include <LibPlacement/ServerNotices.h>

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <tuple>
#include <vector>

namespace Goldcrestwall::Gateway {

// Whether this pool places requests for all instances (as coordinator) or only for its own instance.
enum class PoolScope {
    Shared,
    Local,
};

// Queue and backend servers of one service.
//
// Designed for servers of different speed that are slowed down by other workloads on their machines and execute only a few requests
// concurrently, under more requests than can be served. A single queue, ordered by whether the latency objective can still be met,
// priority and remaining time, with placement by earliest expected completion, serves the most requests in time.
class ServicePool
{
public:
    // `notices` tells which servers may be sent requests.
    ServicePool(Service service,
                RetryBudgetSettings settings,
                std::uint64_t randomSeed,
                std::shared_ptr<const ServerNotices> notices = std::make_shared<ServerNotices>());

    const Service &service() const
    {
        return service_;
    }
    void setService(Service service);
    void setScope(PoolScope scope, std::size_t instanceCount, TimePoint now);
    void setServers(const std::vector<PoolServerInput> &servers, TimePoint now);
    void setAssignment(ShardAssignment assignment);
    // Sets the keys that their holders cannot serve yet, sorted; none if this instance is not the granter and does not know.
    void setPendingRanges(std::vector<PendingRange> pending);

    void enqueue(PlacementRequest request, TimePoint now);
    // Removes a queued request that has not been placed.
    void cancel(const PlacementId &id);
    // Releases the slot of a placement and learns from its report.
    void finish(const PlacementId &id, const PlacementReport &report, TimePoint now);
    // Registers a running request that another coordinator placed.
    void restorePlacement(const PlacementId &id, const std::string &server, const std::string &workKind, TimePoint now);
    // Removes all queued requests and placements of an instance.
    void removeInstance(const std::string &instance);
    // The server of a placement that has not finished, and when it was placed; nothing if it is not known.
    std::optional<PlacedRequest> placementOf(const PlacementId &id) const;
    // Another instance has sent a request to the server without asking this pool.
    void countForeignRequest(const ServerIncarnation &server, TimePoint now);
    // Whether a health check may be sent to the server now; it counts against the server's limit.
    bool tryCountHealthCheck(const std::string &server, TimePoint now);
    // Learns from a finished request that another coordinator placed.
    void observe(const std::string &server, const std::string &workKind, const PlacementReport &report, TimePoint now);
    // Records a successful health check and the load that the server reported.
    void recordHealthCheck(const std::string &server, Duration warmupLeft, const std::optional<ReportedLoad> &load, TimePoint now);
    void recordHealthCheckFailure(const std::string &server, TimePoint now);
    // Records that a grant or release call did not reach the server or was not answered.
    void recordShardCallFailure(const std::string &server, TimePoint now);

    PlacementDecisions decide(TimePoint now);

    std::size_t waitingCount() const
    {
        return waiting_.size();
    }
    bool hasWaiting() const
    {
        return !waiting_.empty();
    }
    bool isWaiting(const PlacementId &id) const;
    // Returns the servers that need a health check: because they are suspected to have failed, or because their speed is not known yet.
    std::vector<std::string> serversToProbe(TimePoint now) const;
    std::vector<ServerLoadView> serverLoads(TimePoint now) const;

    // Returns the typical service time of a request on an average server.
    Duration typicalWork(const PlacementRequest &request) const;

private:
    // Expected time at which each slot of a server becomes free.
    struct SlotForecast
    {
        PoolServer *server_ = nullptr;
        std::vector<TimePoint> slots_;
        TimePoint earliest_;
        // Pause between requests that the server's rates demand; zero if there is none.
        Duration interval_ = Duration::zero();
    };

    struct Candidate
    {
        SlotForecast *forecast_ = nullptr;
        TimePoint startAt_;
        TimePoint endAt_;
        // Expected completion plus penalties for recent failures and for another failure domain.
        TimePoint cost_;
        // The request should avoid this server; such candidates are ranked last.
        bool isAvoided_ = false;
        // False for a free server without any request so far that would meet the objective; ranked first, so that its speed is measured.
        bool isKnown_ = true;

        auto rank() const
        {
            return std::make_tuple(isAvoided_, isKnown_, cost_);
        }
    };

    bool isUsable(const PoolServer &server, TimePoint now) const;
    // Whether the server wants no requests from the instance that holds this request.
    bool isHeldBack(const PoolServer &server, const PlacementRequest &request, TimePoint now) const;
    double budgetShare() const;
    RatePart ratePart() const;
    void updateWarmupRate(PoolServer &server, TimePoint now) const;
    // Makes the rates follow the limits that servers name.
    void updateLimits(TimePoint now);
    LimitKnowledge limitKnowledge(const PoolServer &server) const;
    Duration expectedWork(const PlacementRequest &request, const PoolServer &server, TimePoint begin, TimePoint now) const;
    void learn(PoolServer &server, const std::string &workKind, const PlacementReport &report, TimePoint now);
    std::vector<SlotForecast> forecastSlots(TimePoint now);
    // Returns the server to which the request's key is assigned, if there is one.
    const PoolServer *holderOf(const PlacementRequest &request) const;
    // Sort key of queued requests, lowest first.
    auto rankOf(const PlacementRequest &request, double meanFactor, TimePoint now) const;
    void sortWaiting(TimePoint now);
    std::optional<Candidate> chooseServer(const PlacementRequest &request, std::vector<SlotForecast> &forecasts, TimePoint now);
    // Makes the rejection of a request that would miss its deadline.
    Rejection rejectLate(const PlacementRequest &request, const Candidate &candidate, TimePoint now);
    // Makes the rejection of a request for which there is no server.
    Rejection rejectUnplaceable(const PlacementRequest &request, const std::vector<SlotForecast> &forecasts, TimePoint now);
    Candidate evaluate(const PlacementRequest &request, SlotForecast &forecast, TimePoint now) const;
    bool mustReserveSlot(const PlacementRequest &request, const std::vector<SlotForecast> &forecasts, TimePoint now) const;
    void place(const PlacementRequest &request, Candidate &candidate, PlacementDecisions &decisions, TimePoint now);
    // When the holder of the request's key can serve it.
    TimePoint keyAvailableAt(const PlacementRequest &request, TimePoint now) const;
    // Whether the request can only run at the holder of its key.
    bool isBoundToHolder(const PlacementRequest &request) const
    {
        return service_.isSharded_ && request.key_.has_value();
    }
    Duration jitter(Duration span);

    Service service_;
    std::shared_ptr<const ServerNotices> notices_;
    RetryBudget budget_;
    WorkEstimator estimator_;
    std::mt19937_64 random_;
    PoolScope scope_ = PoolScope::Local;
    std::size_t instanceCount_ = 1;
    std::map<std::string, PoolServer> servers_;
    ShardAssignment assignment_;
    std::vector<PendingRange> pendingRanges_;
    std::vector<PlacementRequest> waiting_;
    std::map<PlacementId, std::string> serverOfPlacement_;
    // Smoothed service time of the requests for keys, in seconds on an average server.
    double keyedWorkSeconds_ = 0;
    std::uint32_t topPriority_ = 0;
    TimePoint topPriorityQueuedAt_;
};

} // namespace Goldcrestwall::Gateway
