// Stable hashing with XXH3.
#include <LibBase/Hash.h>

#include <glog/logging.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace Goldcrestwall {

std::uint64_t stableHash(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

SliceIndex sliceOfKey(std::string_view key, SliceIndex sliceCount)
{
    CHECK_GT(sliceCount, 0U);
    // The high 64 bits of the product map the hash to [0, sliceCount) without the bias of a modulo.
    return static_cast<SliceIndex>((static_cast<unsigned __int128>(stableHash(key)) * sliceCount) >> 64);
}

std::uint64_t rendezvousWeight(std::string_view item, std::string_view candidate)
{
    return stableHash(candidate, stableHash(item));
}

} // namespace Goldcrestwall
