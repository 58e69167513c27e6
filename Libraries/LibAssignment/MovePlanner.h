// Plans which ranges move to which servers. Planning never changes ownership: the dispatcher of the source carries a move out.
#pragma once

#include <LibAssignment/ServiceRecord.h>

namespace Goldcrestwall {

// The load that one range caused lately, in busy slot seconds per second.
struct RangeLoad
{
    KeyRange range_;
    double load_ = 0;

    auto operator<=>(const RangeLoad &) const = default;
    MSGPACK_DEFINE(range_, load_)
};

// The load of one server and of the heaviest ranges on it, as its dispatcher measured it.
struct ServerLoad
{
    ServerId server_;
    double load_ = 0;
    // What one request takes there, in microseconds; 0 if not known.
    double serviceMicroseconds_ = 0;
    std::vector<RangeLoad> ranges_;

    auto operator<=>(const ServerLoad &) const = default;
    MSGPACK_DEFINE(server_, load_, serviceMicroseconds_, ranges_)
};

// The bounds on balancing moves.
struct BalancePolicy
{
    // A server is overloaded when its load exceeds the mean by this factor.
    double overloadFactor_ = 1.15;
    // A move must lower the highest load by at least this share of the mean to be worth its cost.
    double minimumGain_ = 0.015;
    std::size_t maxMoves_ = 8;
    // A server that takes this many times longer for a request than the median server is a straggler; it is relieved in bulk.
    double stragglerFactor_ = 3;
    std::size_t maxStragglerMoves_ = 64;

    auto operator<=>(const BalancePolicy &) const = default;
};

// Gives every slice without an owner to the eligible server that owns the fewest slices.
std::vector<SliceMove> planUnownedSlices(const ServiceRecord &record, const std::vector<ServerId> &eligible);

// Moves everything a server owns to the eligible servers, evenly by slice count. At most `limit` moves.
std::vector<SliceMove> planEvacuation(const ServiceRecord &record, const ServerId &from, const std::vector<ServerId> &eligible, std::size_t limit);

// Gives servers that own nothing, because they are new or came back, an even share of the slices, taking from those that own the
// most.
std::vector<SliceMove> planEvenSlices(const ServiceRecord &record, const std::vector<ServerId> &eligible, std::size_t limit);

// Relieves overloaded servers by moving the ranges that bring the loads closest together. Hot keys reported on their own are
// candidates like slices. Loads are compared in terms of what each server can do: a straggler keeps next to nothing.
std::vector<SliceMove>
planBalance(const ServiceRecord &record, const std::vector<ServerId> &eligible, const std::vector<ServerLoad> &loads, const BalancePolicy &policy);

} // namespace Goldcrestwall
