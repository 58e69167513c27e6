// Tracks the work that each group of keys causes.
#pragma once

#include <LibPlacement/ShardAssignment.h>

#include <array>

namespace Goldcrestwall::Gateway {

// Work per second of small groups of adjacent keys. Exponential decay lets it follow keys that become hot.
class KeyLoad
{
public:
    static constexpr std::uint32_t GroupCount = 4096;
    static constexpr std::uint32_t KeysPerGroup = ShardKeyCount / GroupCount;

    void record(ShardKey key, Duration work, TimePoint now);
    // Returns the average number of slots that the keys from first to last (inclusive) keep busy on an average server.
    double load(ShardKey first, ShardKey last, TimePoint now) const;

private:
    void decay(TimePoint now);
    double decayFactor(TimePoint now) const;

    std::array<float, GroupCount> groups_{};
    TimePoint decayedAt_;
};

} // namespace Goldcrestwall::Gateway
