// Measures how much work the keys of a service cause.
#pragma once

#include <LibPlacement/ShardAssignment.h>

#include <array>

namespace Goldcrestwall::Gateway {

// Work per second by small groups of neighbouring keys, with exponential decay, so that it follows keys that become hot.
class KeyLoad
{
public:
    static constexpr std::uint32_t GroupCount = 4096;
    static constexpr std::uint32_t KeysPerGroup = ShardKeyCount / GroupCount;

    void record(ShardKey key, Duration work, TimePoint now);
    // Busy slots that the keys from first to last cause on an average server.
    double load(ShardKey first, ShardKey last, TimePoint now) const;

private:
    void decay(TimePoint now);
    double decayFactor(TimePoint now) const;

    std::array<float, GroupCount> groups_{};
    TimePoint decayedAt_;
};

} // namespace Goldcrestwall::Gateway
