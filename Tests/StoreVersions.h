// Versions of the store in tests that play in one era.
#pragma once

#include <LibBase/LibBase.h>

#include <cppunit/TestAssert.h>

namespace Goldcrestwall {

// The version with a revision of a store that states no era.
constexpr StoreVersion atRevision(std::uint64_t revision)
{
    return {0, revision};
}

} // namespace Goldcrestwall

// Shows versions in failed assertions.
template<>
struct CppUnit::assertion_traits<Goldcrestwall::StoreVersion>
{
    static bool equal(const Goldcrestwall::StoreVersion &a, const Goldcrestwall::StoreVersion &b)
    {
        return a == b;
    }
    static std::string toString(const Goldcrestwall::StoreVersion &version)
    {
        return version.toString();
    }
};
