// Which backend server holds which keys of a service.
#pragma once

#include <LibTopology/LibTopology.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Goldcrestwall::Gateway {

// A key of a sharded service.
using ShardKey = std::uint16_t;
inline constexpr std::uint32_t ShardKeyCount = 65536;

// One life of a server that holds or held keys.
struct ShardHolder
{
    std::string server_;
    UnixMilliseconds startTime_ = 0;
    FencingToken token_ = 0;

    auto operator<=>(const ShardHolder &) const = default;
};

// Neighbouring keys with one holder. Both ends are part of the range.
struct ShardRange
{
    ShardKey first_ = 0;
    ShardKey last_ = 0;
    ShardHolder holder_;
    // Who held the keys before and may still hold them.
    std::vector<ShardHolder> previous_;

    auto operator<=>(const ShardRange &) const = default;

    bool contains(ShardKey key) const
    {
        return first_ <= key && key <= last_;
    }
};

// All keys of a service; what lies in the store. Empty, or sorted and without gaps.
struct ShardAssignment
{
    // Higher than any token ever handed out.
    FencingToken nextToken_ = 1;
    std::vector<ShardRange> ranges_;

    auto operator<=>(const ShardAssignment &) const = default;

    const ShardRange *rangeOf(ShardKey key) const;
    bool isComplete() const;
};

// How busy a server is, as the planner of moves sees it.
struct ServerLoadView
{
    std::string id_;
    UnixMilliseconds startTime_ = 0;
    std::uint32_t slots_ = 1;
    double slowness_ = 1;
    bool isCold_ = false;
    // Whether it may hold keys: ready and not in an evacuated failure domain.
    bool isEligible_ = true;

    auto operator<=>(const ServerLoadView &) const = default;
};

std::string encodeAssignment(const ShardAssignment &assignment);
std::optional<ShardAssignment> decodeAssignment(const std::string &text);

} // namespace Goldcrestwall::Gateway
