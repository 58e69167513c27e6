// Assignment of the keys of a service to its backend servers.
#pragma once

#include <LibBase/StoreVersion.h>
#include <LibTopology/LibTopology.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Goldcrestwall::Gateway {

// Key of a sharded service.
using ShardKey = std::uint16_t;
inline constexpr std::uint32_t ShardKeyCount = 65536;

// One run of a server process that holds or held keys.
struct ShardHolder
{
    std::string server_;
    UnixMilliseconds startTime_ = 0;
    FencingToken token_ = 0;

    auto operator<=>(const ShardHolder &) const = default;
};

// Contiguous keys with one holder; both ends are inclusive.
struct ShardRange
{
    ShardKey first_ = 0;
    ShardKey last_ = 0;
    ShardHolder holder_;
    // Former holders, which may still hold the keys.
    std::vector<ShardHolder> previous_;

    auto operator<=>(const ShardRange &) const = default;

    bool contains(ShardKey key) const
    {
        return first_ <= key && key <= last_;
    }
};

// Keys whose holder cannot serve them yet.
struct PendingRange
{
    ShardKey first_ = 0;
    ShardKey last_ = 0;
    // When the holder is expected to have them.
    TimePoint availableAt_;

    auto operator<=>(const PendingRange &) const = default;

    bool contains(ShardKey key) const
    {
        return first_ <= key && key <= last_;
    }
};

// The instance that grants the keys of an assignment, and what its successor has to know about it.
struct GranterRecord
{
    std::string instance_;
    // Names of the instances that succeed it first. While it has no lease, it grants only as long as all of them withhold their claims.
    std::vector<std::string> standbys_;
    // Granters before this one send nothing later than this after the record was written.
    Duration earlierGrantersStopWithin_ = Duration::zero();
    // Until this long after the record was written, servers that the assignment does not name may hold any of the keys.
    Duration holdersUnknownWithin_ = Duration::zero();

    auto operator<=>(const GranterRecord &) const = default;
};

// Assignment of all keys of a service, as kept in the store. Empty, or sorted and without gaps.
struct ShardAssignment
{
    // Higher than any fencing token ever issued.
    FencingToken nextToken_ = 1;
    // The store's era in which it was written. In a later era it may be the content of an older copy, and was not granted by.
    StoreEra era_ = 0;
    GranterRecord granter_;
    std::vector<ShardRange> ranges_;

    auto operator<=>(const ShardAssignment &) const = default;

    const ShardRange *rangeOf(ShardKey key) const;
    bool isComplete() const;
};

// Capacity and state of a server, as input of the shard planner.
struct ServerLoadView
{
    std::string id_;
    UnixMilliseconds startTime_ = 0;
    std::uint32_t slots_ = 1;
    double slowness_ = 1;
    bool isCold_ = false;
    // Whether the server may hold keys: ready and not in an evacuated failure domain.
    bool isEligible_ = true;
    // Slots of an average server that it keeps busy at most while it names a limit.
    std::optional<double> limitedSlots_ = {};

    auto operator<=>(const ServerLoadView &) const = default;
};

// Returns the lowest token of an era. The tokens of an era lie above all of earlier eras, even if nobody knows the highest of these.
constexpr FencingToken lowestToken(StoreEra era)
{
    constexpr unsigned TokenBitsPerEra = 32;
    return era << TokenBitsPerEra;
}

std::string encodeAssignment(const ShardAssignment &assignment);
std::optional<ShardAssignment> decodeAssignment(const std::string &text);

} // namespace Goldcrestwall::Gateway
