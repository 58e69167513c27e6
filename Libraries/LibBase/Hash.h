// Stable hashing. All instances must compute the same slice for a key and the same rendezvous order.
#pragma once

#include <LibBase/Identifiers.h>

#include <cstdint>
#include <string_view>

namespace Goldcrestwall {

// A 64-bit hash that is the same on every machine and in every release.
std::uint64_t stableHash(std::string_view bytes, std::uint64_t seed = 0);

// The slice of a key, in [0, sliceCount). The slice count of a service must not change while the service has keys.
SliceIndex sliceOfKey(std::string_view key, SliceIndex sliceCount);

// The rendezvous-hashing weight of a candidate for an item. The candidate with the highest weight is preferred.
std::uint64_t rendezvousWeight(std::string_view item, std::string_view candidate);

} // namespace Goldcrestwall
