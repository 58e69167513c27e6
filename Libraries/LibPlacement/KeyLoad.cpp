// Tracks the work that each group of keys causes, with exponential decay.
#include "KeyLoad.h"

#include <cmath>

namespace Goldcrestwall::Gateway {

namespace {

constexpr double DecayTimeConstantSeconds = 2;
constexpr Duration DecayInterval = 250ms;

} // namespace

double KeyLoad::decayFactor(TimePoint now) const
{
    return std::exp(-std::chrono::duration<double>(now - decayedAt_).count() / DecayTimeConstantSeconds);
}

void KeyLoad::decay(TimePoint now)
{
    if (now - decayedAt_ < DecayInterval) {
        return;
    }
    const auto factor = static_cast<float>(decayFactor(now));
    for (auto &group : groups_) {
        group *= factor;
    }
    decayedAt_ = now;
}

void KeyLoad::record(ShardKey key, Duration work, TimePoint now)
{
    decay(now);
    groups_[key / KeysPerGroup] += static_cast<float>(std::chrono::duration<double>(work).count() / DecayTimeConstantSeconds);
}

double KeyLoad::load(ShardKey first, ShardKey last, TimePoint now) const
{
    double sum = 0;
    for (std::uint32_t group = first / KeysPerGroup; group <= last / KeysPerGroup; ++group) {
        sum += groups_[group];
    }
    return sum * decayFactor(now);
}

} // namespace Goldcrestwall::Gateway
