// State of one backend server in the pool of its service.
#pragma once

#include <LibPlacement/Placement.h>
#include <LibPlacement/ServerLimits.h>

#include <LibTopology/LibTopology.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace Goldcrestwall::Gateway {

// A backend server as it is passed to the pool.
struct PoolServerInput
{
    ServerDescription description_;
    // Time at which the description was received; the remaining warm-up time counts from then.
    TimePoint describedAt_;
    bool isEvacuated_ = false;

    auto operator<=>(const PoolServerInput &) const = default;
};

// A request that runs at a server.
struct RunningRequest
{
    PlacementId id_;
    std::string workKind_;
    TimePoint startedAt_;
    Duration expected_ = Duration::zero();
    // It was counted against the server's rates.
    bool isCounted_ = false;
};

// What a pool knows of one run of a server.
struct PoolServer
{
    PoolServerInput input_;
    ServerSpeed speed_;
    // Requests counted against the rate that the server bears while it is cold, if its service has one.
    std::optional<SharedRate> warmupRate_;
    // Requests counted against the limit that the server names, if it does.
    std::optional<SharedRate> limitRate_;
    TimePoint coldUntil_;
    // Whether a request was ever placed on this server.
    bool hasReceivedRequest_ = false;
    // Whether it has ever passed a health check.
    bool hasPassedHealthCheck_ = false;
    // Period in which the server is suspected to have failed or restarted.
    TimePoint suspectSince_;
    TimePoint suspectUntil_;
    // Smoothed fraction of requests that failed.
    double failureShare_ = 0;
    TimePoint failedAt_;
    std::uint32_t unreachableCount_ = 0;
    TimePoint backoffUntil_;
    // Requests of other instances, according to the last load report of the server.
    std::uint32_t foreignRequests_ = 0;
    TimePoint foreignReportedAt_;
    std::vector<RunningRequest> running_;
    // Index of its forecast during a decision; nothing if the server accepts no requests.
    std::optional<std::size_t> forecast_;

    bool isSuspect(TimePoint now) const;
    void setSuspect(TimePoint now);
    // Whether the server is suspect for so long that it may hold no keys.
    bool isSuspectTooLong(TimePoint now) const;
    bool isCold(TimePoint now) const;
    // Set or end a rate; `allowance` is what the pool may use of it.
    void setWarmupAllowance(const std::optional<RateAllowance> &allowance, TimePoint now);
    void setLimitAllowance(const std::optional<RateAllowance> &allowance, TimePoint now);
    // The earliest time at which the rates of the server allow a request.
    TimePoint nextRequestAt(TimePoint now, std::mt19937_64 &random);
    // Pause between requests that the rates of the server demand; zero if none is in force.
    Duration requestInterval(TimePoint now) const;
    // Counts a request that is sent now, or that another instance has sent.
    void countRequest(TimePoint now);
    // Takes back a counted request that was not sent after all.
    void uncountRequest(TimePoint now);
    // Penalty on the expected completion of a request, for recent failures.
    Duration failurePenalty(TimePoint now) const;
    void recordLoad(const ReportedLoad &load, TimePoint now);
    void recordSuccess();
    void recordFailure(PlacementOutcome outcome, TimePoint now);
    void recordHealthCheck(Duration warmupLeft, const std::optional<ReportedLoad> &load, TimePoint now);
};

} // namespace Goldcrestwall::Gateway
