// Plans which ranges move to which servers. A plan changes no ownership: the dispatcher of the source server carries out each move.
#pragma once

#include <LibAssignment/ServiceRecord.h>

namespace Goldcrestwall {

// The recent load of one range, in busy slot seconds per second.
struct RangeLoad
{
    KeyRange range_;
    double load_ = 0;

    auto operator<=>(const RangeLoad &) const = default;
    MSGPACK_DEFINE(range_, load_)
};

// The load of one server and of its most loaded ranges, as measured by its dispatcher.
struct ServerLoad
{
    ServerId server_;
    double load_ = 0;
    // The service time of one request in microseconds; 0 if unknown.
    double serviceMicroseconds_ = 0;
    std::vector<RangeLoad> ranges_;

    auto operator<=>(const ServerLoad &) const = default;
    MSGPACK_DEFINE(server_, load_, serviceMicroseconds_, ranges_)
};

// The thresholds and limits of load balancing.
struct BalancePolicy
{
    // A server is overloaded when its load is greater than the mean multiplied by this factor.
    double overloadFactor_ = 1.15;
    // A move must lower the highest load by at least this fraction of the mean load; a smaller gain does not justify its cost.
    double minimumGain_ = 0.015;
    std::size_t maxMoves_ = 8;
    // A server whose service time exceeds the median by this factor is a straggler. While there is one, the limit of moves is
    // `maxStragglerMoves_`.
    double stragglerFactor_ = 3;
    std::size_t maxStragglerMoves_ = 64;

    auto operator<=>(const BalancePolicy &) const = default;
};

// Assigns every slice without an owner to the eligible server that owns the fewest slices.
std::vector<SliceMove> planUnownedSlices(const ServiceRecord &record, const std::vector<ServerId> &eligible);

// Moves all ranges of a server to the other eligible servers, evenly by slice count. Returns at most `limit` moves.
std::vector<SliceMove> planEvacuation(const ServiceRecord &record, const ServerId &from, const std::vector<ServerId> &eligible, std::size_t limit);

// Moves an even share of the slices to servers that own none, because they are new or have returned. The slices come from the servers
// that own the most. Returns at most `limit` moves.
std::vector<SliceMove> planEvenSlices(const ServiceRecord &record, const std::vector<ServerId> &eligible, std::size_t limit);

// Moves ranges away from overloaded servers, choosing those that lower the peak utilization the most. Hot keys with a load of their own
// are candidates like slices. Utilization is relative to the speed of each server, so a straggler keeps almost no ranges.
std::vector<SliceMove>
planBalance(const ServiceRecord &record, const std::vector<ServerId> &eligible, const std::vector<ServerLoad> &loads, const BalancePolicy &policy);

} // namespace Goldcrestwall
